package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/harness"
)

// replaceCommand replaces a front end process behind a shared listening socket while clients send calls.
type replaceCommand struct {
	Program string        `default:"bin/gateway" help:"Path of the gateway's program." name:"ringwood"`
	Times   int           `default:"3" help:"Number of replacements." name:"times"`
	Rate    float64       `default:"100" help:"Calls per second; half of them use keep-alive connections." name:"rate"`
	For     time.Duration `default:"1s" help:"Time between two replacements." name:"for"`
}

// readyTimeout is the time that the platform gives a new process to become ready.
const readyTimeout = 6 * time.Second

// Run holds a listening socket, as the platform does, and replaces the process behind it while calls arrive.
func (c *replaceCommand) Run() (err error) {
	dir, err := os.MkdirTemp("", "testbed-replace")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r, err := harness.New(harness.Options{
		Root: ".", Dir: dir, Engines: 2, HTTP: "127.0.0.1:9090", Postgres: "127.0.0.1:0", Work: emulator.Plain,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	defer r.Close()
	p := &platform{dir: dir, config: r.Config, program: c.Program}
	if p.socket, p.addr, err = harness.OpenListener("127.0.0.1:0"); err != nil {
		return err
	}
	defer func() { _ = p.socket.Close() }()

	current, elapsed, err := p.start()
	if err != nil {
		return err
	}
	fmt.Printf("ready after %v\n", elapsed.Round(time.Millisecond))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	calls := startCalls(ctx, "http://"+p.addr, c.Rate)
	for i := range c.Times {
		if err := harness.Sleep(ctx, c.For); err != nil {
			return err
		}
		next, elapsed, err := p.start()
		if err != nil {
			return errors.Join(fmt.Errorf("replacement %d", i+1), err, current.Wait())
		}
		ended, err := terminate(current)
		if err != nil {
			return fmt.Errorf("replacement %d: the old process: %w", i+1, err)
		}
		fmt.Printf("replacement %d: ready after %v, the old process ended after %v\n", i+1, elapsed.Round(time.Millisecond), ended.Round(time.Millisecond))
		current = next
	}
	stop()
	answered, failed := calls()
	if _, err := terminate(current); err != nil {
		return fmt.Errorf("the last process: %w", err)
	}
	fmt.Printf("%d calls answered, %d failed (at most %d may fail)\n", answered, failed, 2*c.Times)
	if failed > 2*c.Times {
		return fmt.Errorf("%d calls failed during %d replacements, want at most two per replacement; see the errors above", failed, c.Times)
	}
	return nil
}

// platform plays the role of the platform that runs the gateway in service: it holds the clients' listening
// socket and starts gateway processes on it.
type platform struct {
	dir, config, program, addr string
	socket                     *os.File
}

// start starts a process, waits until its control endpoint reports ready, and returns how long that took.
func (p *platform) start() (*exec.Cmd, time.Duration, error) {
	endpoint, err := harness.UnusedAddress()
	if err != nil {
		return nil, 0, err
	}
	var log bytes.Buffer
	cmd := exec.Command(p.program)
	cmd.Stderr = &log
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.config, "LB_LISTEN="+p.addr, "LB_CONTROL="+endpoint, "LB_ACCEPT_FD=3", "TMPDIR="+p.dir)
	cmd.ExtraFiles = []*os.File{p.socket}
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return nil, 0, err
	}
	for time.Since(began) < readyTimeout {
		if resp, err := http.Get("http://" + endpoint + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return cmd, time.Since(began), nil
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	return nil, 0, fmt.Errorf("the new process was not ready within %v; its log: %s", readyTimeout, strings.TrimSpace(log.String()))
}

// terminate ends a process as the platform does, with SIGTERM and, after harness.TerminationTimeout, SIGKILL.
// It returns how long the process took to end.
func terminate(cmd *exec.Cmd) (time.Duration, error) {
	began := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	kill := time.AfterFunc(harness.TerminationTimeout, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	err := cmd.Wait()
	return time.Since(began), err
}

// startCalls sends rate calls per second, alternately on keep-alive and new connections, until the
// context ends. The returned function waits for the last answers and returns the counts.
func startCalls(ctx context.Context, url string, rate float64) func() (answered, failed int) {
	var mu sync.Mutex
	var answered, failed int
	var all sync.WaitGroup
	perCall, keepAlive := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	all.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			client := perCall
			if n%2 == 0 {
				client = keepAlive
			}
			all.Go(func() {
				err := callOnce(client, url, n)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					fmt.Fprintln(os.Stderr, "call:", err)
				} else {
					answered++
				}
			})
		}
	})
	return func() (int, int) { all.Wait(); return answered, failed }
}

// callOnce sends call number n. An answer of 200 or 503 counts as answered.
func callOnce(client *http.Client, url string, n int) error {
	req, err := http.NewRequest(http.MethodPost, url+"/rpc/lookup", strings.NewReader("SELECT day FROM sales_17.orders"))
	if err != nil {
		return err
	}
	req.GetBody = nil // keeps the HTTP client from retrying by itself
	req.Header.Set("Req-Id", fmt.Sprintf("%016x", n+1))
	req.Header.Set("Req-Wait-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("got status %q, want 200 or 503", resp.Status)
	}
	return nil
}
