package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: one line for each thing that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		giveUp("record: %v", err)
	}
	return &recorder{f: f, start: time.Now()}
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cleanups run before the process exits, whatever the result.
var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

func onExit(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	cleanupMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// giveUp ends the run with status 2: the case couldn't run.
func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	exit(2)
}

func must(err error, what string) {
	if err != nil {
		giveUp("%s: %v", what, err)
	}
}

// gateway is a process of the project, started as the deploy file's run line does, by /bin/sh.
type gateway struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	logs []map[string]any
	part []byte
	done chan struct{}
}

func (g *gateway) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.part = append(g.part, p...)
	for {
		line, rest, ok := bytes.Cut(g.part, []byte("\n"))
		if !ok {
			return len(p), nil
		}
		var m map[string]any
		if json.Unmarshal(line, &m) == nil {
			g.logs = append(g.logs, m)
		}
		logFile.Write(append(append([]byte{}, line...), '\n'))
		g.part = append([]byte{}, rest...)
	}
}

var logFile *os.File // everything that the project's processes logged

// startGateway starts a command line with sh, as the platform does.
func startGateway(line string, env []string, files ...*os.File) *gateway {
	g := &gateway{cmd: exec.Command("/bin/sh", "-c", line), done: make(chan struct{})}
	g.cmd.Env = append(os.Environ(), env...)
	g.cmd.Stderr, g.cmd.Stdout, g.cmd.ExtraFiles = g, g, files
	g.cmd.WaitDelay = time.Second // a process that it started may still hold its output
	must(g.cmd.Start(), "start of "+line)
	go func() { _ = g.cmd.Wait(); close(g.done) }()
	onExit(func() { _ = g.cmd.Process.Kill(); <-g.done })
	return g
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

func (g *gateway) exited() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// find returns the first log event with the message for which ok holds.
func (g *gateway) find(msg string, ok func(map[string]any) bool) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.logs {
		if m["msg"] == msg && (ok == nil || ok(m)) {
			return m
		}
	}
	return nil
}

// await waits for a log event.
func (g *gateway) await(msg string, within time.Duration, ok func(map[string]any) bool) map[string]any {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := g.find(msg, ok); m != nil {
			return m
		}
	}
	giveUp("no log event %q within %v", msg, within)
	return nil
}

func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "free port")
	defer ln.Close()
	return ln.Addr().String()
}

// tempDir returns a folder of this run, which is removed at its end.
func tempDir() string {
	dir, err := os.MkdirTemp("", "review")
	must(err, "temporary folder")
	onExit(func() { _ = os.RemoveAll(dir) })
	logFile, err = os.Create(filepath.Join(dir, "log"))
	must(err, "log file")
	return dir
}

// copyWith copies a file of the project with some lines replaced: each pair is the beginning of a line and the whole new line.
func copyWith(from, to string, pairs ...string) {
	b, err := os.ReadFile(from)
	must(err, "read "+from)
	original := strings.Split(string(b), "\n")
	lines := slices.Clone(original)
	for i := 0; i < len(pairs); i += 2 {
		found := false
		for n, line := range original {
			if strings.HasPrefix(line, pairs[i]) {
				lines[n], found = pairs[i+1], true
			}
		}
		if !found {
			giveUp("%s has no line that begins with %q", from, pairs[i])
		}
	}
	must(os.WriteFile(to, []byte(strings.Join(lines, "\n")), 0o600), "write "+to)
}
