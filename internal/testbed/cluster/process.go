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

// Event is one line of a process's log.
type Event struct {
	At     time.Time
	From   int // the front end, from 0
	Name   string
	Fields map[string]any
}

// frontEnd is one frontEnd end: a process at a time, or two while one takes the other's place.
type frontEnd struct {
	n       int
	program string
	dir     string
	alone   bool     // it is no member
	addr    string   // where clients connect
	socket  *os.File // listens there, where processes take each other's place; nil: each opens its own
	log     io.Writer
	onEvent func(Event)

	lifecycle sync.Mutex // of whoever has processes of it end or follow each other
	mu        sync.Mutex
	current   *process
	failed    error // one ended though nobody told it to
}

// process is one of a front end.
type process struct {
	cmd          *exec.Cmd
	serves       chan struct{}
	ended        chan struct{}
	endRequested bool // to end
}

// hold opens the socket that processes of the front end follow each other at, as the platform does.
func (f *frontEnd) hold() (err error) {
	if f.socket, _, err = harness.OpenListener(f.addr); err != nil {
		return fmt.Errorf("front end %d: %w", f.n, err)
	}
	return nil
}

// drop lets go of the socket.
func (f *frontEnd) drop() {
	if f.socket != nil {
		_ = f.socket.Close()
		f.socket = nil
	}
}

// begin starts a process.
func (f *frontEnd) begin() (*process, error) {
	out, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("front end %d: %w", f.n, err)
	}
	args := []string{"serve", "--config", filepath.Join(f.dir, "config.json")}
	if !f.alone {
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

// read hears what a process logs, until it ends.
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
		f.failed = fmt.Errorf("front end %d ended by itself: %w", f.n, err)
	}
}

// start starts a process, and waits until it serves.
func (f *frontEnd) start() error {
	p, err := f.begin()
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.current = p
	f.mu.Unlock()
	return f.await(p)
}

// startTimeout is how long a process may take until it serves.
const startTimeout = 20 * time.Second

func (f *frontEnd) await(p *process) error {
	select {
	case <-p.serves:
		return nil
	case <-p.ended:
		return fmt.Errorf("front end %d did not start", f.n)
	case <-time.After(startTimeout):
		return fmt.Errorf("front end %d does not serve", f.n)
	}
}

// replace starts a process that takes the place of the one that runs. Once the new one serves, the old one is told to end
// by a signal, as the platform does. Where the new one does not serve, the old one goes on.
func (f *frontEnd) replace(signal syscall.Signal) error {
	f.lifecycle.Lock()
	defer f.lifecycle.Unlock()
	old := f.running()
	if old.hasEnded() {
		return nil
	}
	next, err := f.begin()
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

// replaceAborted starts a process that would take the place of the one that runs, and kills it at once: the old one goes on.
func (f *frontEnd) replaceAborted() error {
	f.lifecycle.Lock()
	defer f.lifecycle.Unlock()
	if f.running().hasEnded() {
		return nil
	}
	next, err := f.begin()
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

// endTimeout is how long a process may take to end.
const endTimeout = 10 * time.Second

// waitForEnd waits for the end of a process.
func (f *frontEnd) waitForEnd(p *process) error {
	select {
	case <-p.ended:
		return nil
	case <-time.After(endTimeout):
		f.sendSignal(p, syscall.SIGKILL, true)
		return fmt.Errorf("front end %d: its process does not end", f.n)
	}
}

// sendSignal sends a signal to a process that was started here; last tells that it is to end by it.
func (f *frontEnd) sendSignal(p *process, s syscall.Signal, last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == nil {
		return
	}
	p.endRequested = p.endRequested || last
	_ = p.cmd.Process.Signal(s) // one that has ended needs none
}

// signal sends a signal to the process that runs.
func (f *frontEnd) signal(s syscall.Signal, last bool) { f.sendSignal(f.running(), s, last) }

func (f *frontEnd) running() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// limit changes what the process that runs may have of a resource, and tells what it might before.
func (f *frontEnd) limit(resource int, cur uint64) (was uint64, err error) {
	p := f.running()
	var old, set unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, nil, &old); err != nil {
		return 0, fmt.Errorf("front end %d: limit: %w", f.n, err)
	}
	set = old
	set.Cur = min(cur, old.Max)
	return old.Cur, unix.Prlimit(p.cmd.Process.Pid, resource, &set, nil)
}

// starve has the process that runs stand still for a part of each strainEvery, until what is returned is called.
func (f *frontEnd) starve(still time.Duration) (end func()) {
	p, over, done := f.running(), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(starvePeriod)
		defer tick.Stop()
		for {
			f.sendSignal(p, syscall.SIGSTOP, false)
			time.Sleep(still) // this is what is played: it waits for nothing
			f.sendSignal(p, syscall.SIGCONT, false)
			select {
			case <-over:
				return
			case <-tick.C:
			}
		}
	}()
	return func() {
		close(over)
		<-done
	}
}

// open is how many descriptors the process that runs has.
func (f *frontEnd) open() (uint64, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.running().cmd.Process.Pid))
	return uint64(len(all)), err
}

// cost is what a process has taken of its machine.
type cost struct {
	pid    int
	cpu    time.Duration // by all its threads, in hundredths of a second
	memory int           // resident bytes
}

// cost reads it of the process that runs (proc(5): stat and statm).
func (f *frontEnd) cost() (cost, error) {
	c := cost{pid: f.running().cmd.Process.Pid}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.pid))
	if err != nil {
		return c, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // behind the program's name
	words := strings.Fields(rest)
	if len(words) < 22 {
		return c, fmt.Errorf("stat of process %d: %d words", c.pid, len(words))
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

// end ends what runs, whatever it does, and waits.
func (f *frontEnd) end() {
	if p := f.running(); p != nil {
		f.signal(syscall.SIGKILL, true)
		_ = f.wait() // nothing more can be done to one that outlives it
	}
	f.drop()
}

// wait waits for the end of what was told to end.
func (f *frontEnd) wait() error {
	if p := f.running(); p != nil {
		return f.waitForEnd(p)
	}
	return nil
}
