package tier

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Event is one line of a process's log.
type Event struct {
	At     time.Time
	From   int // the front end, from 0
	Name   string
	Fields map[string]any
}

// process is one front end: a process at a time.
type process struct {
	n       int
	program string
	dir     string
	addr    string // where clients connect
	log     io.Writer
	hear    func(Event)

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	failed error // it ended though nobody told it to
	told   bool  // to end
}

// start starts it, and waits until it serves.
func (p *process) start() error {
	out, w, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("front end %d: %w", p.n, err)
	}
	cmd := exec.Command(p.program, "serve", "--config", filepath.Join(p.dir, "config.json"), "--fleet", filepath.Join(p.dir, "fleet.toml"))
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN=", "LB_CONTROL=", "LB_ACCEPT_FD=", "TMPDIR="+p.dir)
	cmd.Stdout, cmd.Stderr = w, w
	err = cmd.Start()
	_ = w.Close()
	if err != nil {
		_ = out.Close()
		return fmt.Errorf("front end %d: %w", p.n, err)
	}
	ended, serves := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.told = cmd, ended, false
	p.mu.Unlock()
	go func() {
		defer close(ended)
		once := sync.OnceFunc(func() { close(serves) })
		for in := bufio.NewScanner(out); in.Scan(); {
			if p.log != nil {
				fmt.Fprintf(p.log, "%d %s\n", p.n, in.Text())
			}
			var e map[string]any
			if json.Unmarshal(in.Bytes(), &e) != nil {
				continue
			}
			at, _ := time.Parse(time.RFC3339Nano, fmt.Sprint(e["time"]))
			name := fmt.Sprint(e["msg"])
			p.hear(Event{At: at, From: p.n, Name: name, Fields: e})
			if name == "serving" {
				once()
			}
		}
		_ = out.Close()
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.told {
			p.failed = fmt.Errorf("front end %d ended by itself: %w", p.n, err)
		}
	}()
	select {
	case <-serves:
		return nil
	case <-ended:
		return fmt.Errorf("front end %d did not start", p.n)
	case <-time.After(20 * time.Second):
		return fmt.Errorf("front end %d does not serve", p.n)
	}
}

// signal sends a signal to the process that was started here; last tells that it is to end by it.
func (p *process) signal(s syscall.Signal, last bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.told = p.told || last
	_ = p.cmd.Process.Signal(s) // one that has ended needs none
}

// end ends it, whatever it does, and waits.
func (p *process) end() {
	p.signal(syscall.SIGKILL, true)
	p.wait(10 * time.Second)
}

func (p *process) wait(most time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}
