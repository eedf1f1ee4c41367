package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/testbed/harness"

	"golang.org/x/sys/unix"
)

// Event is one log record of a process.
type Event struct {
	At     time.Time
	From   int            // number of the front end, from 0
	Name   string         // the record's message
	Fields map[string]any // all attributes of the record
}

// frontEnd is one front end. It has one process at a time, or two during a replacement.
type frontEnd struct {
	n         int         // its number, from 0
	program   string      // path of the gateway program
	dir       string      // directory of its configuration files
	notMember bool        // it runs without membership
	addr      string      // listen address for clients
	socket    *os.File    // inherited listening socket at addr; nil: each process opens its own
	log       io.Writer   // receives its logs; nil: discarded
	onEvent   func(Event) // called for each log record

	lifecycle sync.Mutex // serializes stops, starts and replacements
	mu        sync.Mutex
	current   *process // process started last that has taken over, whether or not it still runs; nil: none
	failed    error    // a process ended without a request; nil: none
}

// process is one process of a front end.
type process struct {
	cmd          *exec.Cmd
	serves       chan struct{} // closed when it serves
	ended        chan struct{} // closed when it has ended
	endRequested bool          // its end was requested by a signal
}

// openSocket opens the listening socket that successive processes of the front end inherit, as on the platform.
func (f *frontEnd) openSocket() (err error) {
	if f.socket, _, err = harness.OpenListener(f.addr); err != nil {
		return fmt.Errorf("front end %d: %w", f.n, err)
	}
	return nil
}

// closeSocket closes the inherited listening socket, if there is one.
func (f *frontEnd) closeSocket() {
	if f.socket != nil {
		_ = f.socket.Close()
		f.socket = nil
	}
}

// startProcess starts a process without waiting until it serves.
func (f *frontEnd) startProcess() (*process, error) {
	out, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("front end %d: %w", f.n, err)
	}
	args := []string{"serve", "--config", filepath.Join(f.dir, "config.json")}
	if !f.notMember {
		args = append(args, "--fleet", filepath.Join(f.dir, "fleet.toml"))
	}
	cmd := exec.Command(f.program, args...)
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=", "LB_CONTROL=", "LB_ACCEPT_FD=", "TMPDIR="+f.dir)
	if f.socket != nil {
		cmd.ExtraFiles = []*os.File{f.socket}
		cmd.Env = append(cmd.Env, "LB_ACCEPT_FD=3")
	}
	cmd.Stdout, cmd.Stderr = w, w
	err = cmd.Start()
	_ = w.Close()
	if err != nil {
		_ = out.Close()
		return nil, fmt.Errorf("front end %d: %w", f.n, err)
	}
	p := &process{cmd: cmd, serves: make(chan struct{}), ended: make(chan struct{})}
	go f.read(p, out)
	return p, nil
}

// read parses the log of a process until it ends.
func (f *frontEnd) read(p *process, out io.ReadCloser) {
	defer close(p.ended)
	once := sync.OnceFunc(func() { close(p.serves) })
	for in := bufio.NewScanner(out); in.Scan(); {
		if f.log != nil {
			_, _ = fmt.Fprintf(f.log, "%d %s\n", f.n, in.Text())
		}
		var e map[string]any
		if json.Unmarshal(in.Bytes(), &e) != nil {
			continue
		}
		at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(e["time"]))
		name := fmt.Sprint(e["msg"])
		f.onEvent(Event{At: at, From: f.n, Name: name, Fields: e})
		if name == "serving" {
			once()
		}
	}
	_ = out.Close()
	err := p.cmd.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.endRequested {
		f.failed = fmt.Errorf("front end %d ended without a request: %w", f.n, err)
	}
}

// start starts a process, and waits until it serves.
func (f *frontEnd) start() error {
	p, err := f.startProcess()
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.current = p
	f.mu.Unlock()
	return f.await(p)
}

// startTimeout is the maximum time from the start of a process until it serves.
const startTimeout = 20 * time.Second

// await waits until a process serves.
func (f *frontEnd) await(p *process) error {
	select {
	case <-p.serves:
		return nil
	case <-p.ended:
		return fmt.Errorf("front end %d ended before it served; see its log", f.n)
	case <-time.After(startTimeout):
		return fmt.Errorf("front end %d does not serve within %v; see its log", f.n, startTimeout)
	}
}

// replace starts a process that takes over from the running one. Once the new one serves, the old one gets the signal to
// end, as on the platform. If the new one does not serve, the old one continues.
func (f *frontEnd) replace(signal syscall.Signal) error {
	f.lifecycle.Lock()
	defer f.lifecycle.Unlock()
	old := f.running()
	if old.hasEnded() {
		return nil
	}
	next, err := f.startProcess()
	if err != nil {
		return err
	}
	if err := f.await(next); err != nil {
		f.sendSignal(next, syscall.SIGKILL, true)
		return errors.Join(err, f.waitForEnd(next))
	}
	f.mu.Lock()
	f.current = next
	f.mu.Unlock()
	f.sendSignal(old, signal, true)
	kill := time.AfterFunc(harness.TerminationTimeout, func() { f.sendSignal(old, syscall.SIGKILL, true) })
	defer kill.Stop()
	return f.waitForEnd(old)
}

// replaceAborted starts a process that would take over from the running one, and kills it at once. The old one continues.
func (f *frontEnd) replaceAborted() error {
	f.lifecycle.Lock()
	defer f.lifecycle.Unlock()
	if f.running().hasEnded() {
		return nil
	}
	next, err := f.startProcess()
	if err != nil {
		return err
	}
	f.sendSignal(next, syscall.SIGKILL, true)
	return f.waitForEnd(next)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// endTimeout is the maximum time that a process may take to end.
const endTimeout = 10 * time.Second

// waitForEnd waits for the end of a process.
func (f *frontEnd) waitForEnd(p *process) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(endTimeout):
		f.sendSignal(p, syscall.SIGKILL, true)
		return fmt.Errorf("front end %d: its process did not end within %v", f.n, endTimeout)
	}
}

// sendSignal sends a signal to a process started by this front end. endRequested says that the signal requests its end.
func (f *frontEnd) sendSignal(p *process, s syscall.Signal, endRequested bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == nil {
		return
	}
	p.endRequested = p.endRequested || endRequested
	_ = p.cmd.Process.Signal(s) // fails only if the process has ended
}

// signal sends a signal to the current process.
func (f *frontEnd) signal(s syscall.Signal, endRequested bool) {
	f.sendSignal(f.running(), s, endRequested)
}

// running returns the current process; nil: none was started.
func (f *frontEnd) running() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// setLimit sets a soft resource limit of the current process, at most its hard limit, and returns the previous soft limit.
func (f *frontEnd) setLimit(resource int, cur uint64) (previous uint64, err error) {
	p := f.running()
	var old, set unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, nil, &old); err != nil {
		return 0, fmt.Errorf("front end %d: limit: %w", f.n, err)
	}
	set = old
	set.Cur = min(cur, old.Max)
	return old.Cur, unix.Prlimit(p.cmd.Process.Pid, resource, &set, nil)
}

// starve stops the current process for the duration still in each starvePeriod, until the returned function is called.
func (f *frontEnd) starve(still time.Duration) (end func()) {
	p, stop, done := f.running(), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(starvePeriod)
		defer tick.Stop()
		for {
			f.sendSignal(p, syscall.SIGSTOP, false)
			time.Sleep(still) // the duration is the fault itself; there is no event to wait for
			f.sendSignal(p, syscall.SIGCONT, false)
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// openDescriptors returns the number of open file descriptors of the current process.
func (f *frontEnd) openDescriptors() (uint64, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.running().cmd.Process.Pid))
	return uint64(len(all)), err
}

// cost is the resource use of a process.
type cost struct {
	pid    int
	cpu    time.Duration // CPU time of all its threads, with a resolution of 10 ms
	memory int           // resident bytes
}

// cost reads the resource use of the current process from /proc/PID/stat (proc(5)).
func (f *frontEnd) cost() (cost, error) {
	c := cost{pid: f.running().cmd.Process.Pid}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.pid))
	if err != nil {
		return c, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // skips the program's name, which may contain spaces
	words := strings.Fields(rest)
	if len(words) < 22 {
		return c, fmt.Errorf("stat of process %d: got %d fields after the program name, want at least 22", c.pid, len(words))
	}
	var ticks [2]int
	for i := range ticks {
		if ticks[i], err = strconv.Atoi(words[11+i]); err != nil {
			return c, fmt.Errorf("stat of process %d: %w", c.pid, err)
		}
	}
	pages, err := strconv.Atoi(words[21])
	c.cpu, c.memory = time.Duration(ticks[0]+ticks[1])*10*time.Millisecond, pages*os.Getpagesize()
	return c, err
}

// kill kills the current process, waits for its end and closes the inherited socket.
func (f *frontEnd) kill() {
	if p := f.running(); p != nil {
		f.signal(syscall.SIGKILL, true)
		_ = f.wait() // nothing more can be done if it outlives SIGKILL
	}
	f.closeSocket()
}

// wait waits for the end of the current process.
func (f *frontEnd) wait() error {
	if p := f.running(); p != nil {
		return f.waitForEnd(p)
	}
	return nil
}
