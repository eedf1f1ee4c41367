package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A rig holds what one run of a case needs: a temporary folder, the record and the processes that it started.
type rig struct {
	dir     string // temporary folder
	root    string // the project's root
	trouble bool
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// cannotRun ends a case with status 2: the case could not be played.
type cannotRun struct{ why string }

func (r *rig) giveUp(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func (r *rig) must(err error) {
	if err != nil {
		r.giveUp("%v", err)
	}
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// write writes a file in the temporary folder and returns its path.
func (r *rig) write(name, content string) string {
	path := filepath.Join(r.dir, name)
	r.must(os.MkdirAll(filepath.Dir(path), 0o700))
	r.must(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// freePort returns a loopback address whose port is free at the time.
func (r *rig) freePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// process is a process of the project: a gateway, or one that a gateway has started.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	logs []map[string]any
	more chan struct{}
	done chan struct{}
}

// run starts the gateway's program from the project's root and follows its log.
func (r *rig) run(name string, args ...string) *process {
	cmd := exec.Command(filepath.Join(r.root, "bin", "gateway"), args...)
	return r.follow(name, "bin/gateway "+strings.Join(args, " "), cmd, "LB_CONFIG=", "LB_LISTEN=", "LB_CONTROL=", "LB_ACCEPT_FD=")
}

// follow starts a process with additional environment variables and follows its log.
func (r *rig) follow(name, command string, cmd *exec.Cmd, env ...string) *process {
	cmd.Dir = r.root
	cmd.Env = append(append(os.Environ(), "TMPDIR="+r.dir), env...)
	out, in, err := os.Pipe()
	r.must(err)
	cmd.Stdout, cmd.Stderr = in, in
	r.must(cmd.Start())
	_ = in.Close()
	p := &process{cmd: cmd, more: make(chan struct{}, 1), done: make(chan struct{})}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.logf("start %s: %s (pid %d)", name, command, cmd.Process.Pid)
	file, err := os.Create(filepath.Join(r.dir, name+".log"))
	r.must(err)
	go func() {
		defer file.Close()
		s := bufio.NewScanner(out)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			fmt.Fprintln(file, s.Text())
			var e map[string]any
			if json.Unmarshal(s.Bytes(), &e) != nil {
				e = map[string]any{"msg": s.Text()}
			}
			p.mu.Lock()
			p.logs = append(p.logs, e)
			p.mu.Unlock()
		}
	}()
	go func() { _ = cmd.Wait(); close(p.done) }()
	return p
}

// find returns the first log record of a message for which match is true, or nil.
func (p *process) find(msg string, match func(map[string]any) bool) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.logs {
		if e["msg"] == msg && (match == nil || match(e)) {
			return e
		}
	}
	return nil
}

// await waits for a log record.
func (r *rig) await(p *process, msg string, within time.Duration, match func(map[string]any) bool) map[string]any {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if e := p.find(msg, match); e != nil {
			return e
		}
	}
	r.giveUp("no log record %q within %v", msg, within)
	return nil
}

// stop ends everything that the case started.
func (r *rig) stop(extra ...int) {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		for _, e := range p.logs {
			if pid, ok := e["pid"].(float64); ok && e["msg"] == "upgrade.started" {
				extra = append(extra, int(pid))
			}
		}
		p.mu.Unlock()
	}
	for _, pid := range extra { // processes of upgrades: they lead process groups of their own
		if ownProgram(pid, r.dir) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// ownProgram reports whether a process is a gateway with a file of this run among its arguments.
func ownProgram(pid int, dir string) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	return err == nil && strings.Contains(string(b), dir)
}

// settings returns deploy/postgres-settings.json with the change applied.
func (r *rig) settings(change func(map[string]any)) string {
	b, err := os.ReadFile(filepath.Join(r.root, "deploy", "postgres-settings.json"))
	r.must(err)
	var s map[string]any
	r.must(json.Unmarshal(b, &s))
	if change != nil {
		change(s)
	}
	b, err = json.MarshalIndent(s, "", " ")
	r.must(err)
	return string(b)
}

// deployFile returns a file of deploy/ with lines replaced: each pair is the beginning of a line and the new line.
func (r *rig) deployFile(name string, pairs ...string) string {
	b, err := os.ReadFile(filepath.Join(r.root, "deploy", name))
	r.must(err)
	lines := strings.Split(string(b), "\n")
	for i := 0; i+1 < len(pairs); i += 2 {
		found := false
		for j, line := range lines {
			if strings.HasPrefix(line, pairs[i]) {
				lines[j], found = pairs[i+1], true
				break
			}
		}
		if !found {
			r.giveUp("deploy/%s has no line that begins with %q", name, pairs[i])
		}
	}
	return strings.Join(lines, "\n")
}
