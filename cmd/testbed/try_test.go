package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/harness"
)

// TestTry starts the try command in a child process. Both front ends must listen, serve the statements that the
// command prints for the user, and stop listening after SIGINT.
func TestTry(t *testing.T) {
	if os.Getenv("TESTBED_TRY") != "" {
		c := tryCommand{Engines: 2, HTTP: os.Getenv("HTTP"), Postgres: os.Getenv("POSTGRES"), For: time.Minute}
		if err := os.Chdir("../.."); err != nil {
			t.Fatal(err)
		}
		if err := c.Run(); err != nil {
			t.Fatal(err)
		}
		return
	}
	web, err := harness.UnusedAddress()
	if err != nil {
		t.Fatal(err)
	}
	pg, err := harness.UnusedAddress()
	if err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0], "-test.run=^TestTry$", "-test.v")
	p.Env = append(os.Environ(), "TESTBED_TRY=1", "HTTP="+web, "POSTGRES="+pg)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	defer func() { _ = p.Process.Kill() }()
	for _, addr := range []string{web, pg} {
		if err := harness.WaitListening(ctx, addr); err != nil {
			t.Fatal(err)
		}
	}
	// A front end listens shortly before it knows its engines, so the first requests may fail.
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+web+"/rpc/lookup", strings.NewReader("SELECT day FROM sales_17.orders WHERE tag = '3f9c'"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Req-Id", "9b1f03aa5c7e2d41")
		req.Header.Set("Req-Wait-Ms", "1500")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && strings.Contains(string(body), "3f9c") {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("HTTP front end: got status %d, body %q until the timeout; want 200 and a body that contains 3f9c", res.StatusCode, body)
		}
	}
	for !queryServed(t, pg) {
		if ctx.Err() != nil {
			t.Fatal("PostgreSQL front end: no statement was served until the timeout, want the tag SELECT 2")
		}
	}
	if err := p.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if err := p.Wait(); err != nil {
		b, _ := os.ReadFile(log.Name())
		t.Fatalf("after SIGINT: got %v, want exit status 0; log:\n%s", err, b)
	}
	for _, addr := range []string{web, pg} {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			t.Errorf("%s still accepts connections after the command ended, want none", addr)
		}
	}
}

// queryServed sends one statement to the PostgreSQL front end and reports whether it was served.
func queryServed(t *testing.T, addr string) bool {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := append(append(pgproto.CString("user"), pgproto.CString("desk")...), 0)
	b := pgproto.AppendStartup(nil, pgproto.Version, start)
	b = pgproto.AppendMessage(b, 'Q', pgproto.CString("SELECT day FROM stock_17.orders"))
	b = pgproto.AppendMessage(b, 'X')
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	all, _ := io.ReadAll(c)
	return strings.Contains(string(all), "SELECT 2")
}
