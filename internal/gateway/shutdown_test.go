package gateway

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// lookupRequest is an HTTP request with a deadline of 6 s. Its parameter is the last digit of the request id.
const lookupRequest = "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d4%d\r\nReq-Wait-Ms: 6000\r\nContent-Length: 8\r\n\r\nSELECT 1"

// sendRequest sends request n on a new connection and returns a channel for the status of the response, or the error.
func sendRequest(t *testing.T, addr string, n int) <-chan string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, lookupRequest, n)
	status := make(chan string, 1)
	go func() {
		defer func() { _ = c.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			status <- err.Error()
			return
		}
		_ = resp.Body.Close()
		status <- resp.Status
	}()
	return status
}

// serve runs a gateway in the test process. ended is closed once its loop has ended.
func serve(t *testing.T, path string) (p *process, ended chan struct{}) {
	t.Helper()
	p = newProcess(slog.New(slog.DiscardHandler))
	if err := p.assemblePlatform(path, "", ""); err != nil {
		t.Fatal(err)
	}
	p.protocol.watchEndpoints(nil)
	if err := p.protocol.listen(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		p.loop.Run()
		close(ended)
	}()
	return p, ended
}

// TestPlannedStop checks a graceful shutdown: a client that connects right afterwards is still served, a request that no
// engine answers gets a final response before the platform would kill the process, and then the process ends.
func TestPlannedStop(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	received := make(chan string, 10) // request ids at the engine
	go func() {                       // an engine that answers all requests but number 1
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					fields := strings.Fields(in.Text())
					if len(fields) != 4 || fields[0] != "want" {
						continue
					}
					if !strings.HasSuffix(fields[1], "1") {
						_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", fields[1])
					}
					received <- fields[1]
				}
			}()
		}
	}()
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:9101", ln.Addr().String(), "127.0.0.1:9090", "127.0.0.1:0").Replace(string(raw))
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p, ended := serve(t, path)
	open := sendRequest(t, p.protocol.frontend().Addr(), 1)
	<-received
	start := time.Now()
	p.loop.Post(p.beginShutdown)
	if got := <-sendRequest(t, p.protocol.frontend().Addr(), 2); got != "200 OK" {
		t.Errorf("request right after the shutdown began: status %s, want 200 OK", got)
	}
	if got := <-open; !strings.HasPrefix(got, "50") {
		t.Errorf("request that no engine answers: status %s, want 50x", got)
	}
	<-ended
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the shutdown took %v, want at most 3.7s: the platform kills the process first", took)
	}
	if _, err := net.Dial("tcp", p.protocol.frontend().Addr()); err == nil {
		t.Error("the gateway still accepts connections after the shutdown")
	}
}

// TestReloadAndStopTogether sends SIGHUP, SIGTERM and SIGHUP in a row while a request is open: the gateway switches to the
// new event bus, the request gets its response, and the loop ends without an error.
func TestReloadAndStopTogether(t *testing.T) {
	received, release := make(chan string, 1), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		for in := bufio.NewScanner(c); in.Scan(); {
			if fields := strings.Fields(in.Text()); len(fields) == 4 && fields[0] == "want" {
				received <- fields[1]
				<-release
				_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", fields[1])
			}
		}
	}()
	oldBus, oldResume := eventBus(t, 7)
	newBus, newResume := eventBus(t, 8)
	raw, err := os.ReadFile("../../examples/toy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(bus string) {
		text := strings.NewReplacer("127.0.0.1:9101", ln.Addr().String(), `"127.0.0.1:9090"`, fmt.Sprintf(`"127.0.0.1:0", "bus": %q`, bus)).Replace(string(raw))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(oldBus)
	p, ended := serve(t, path)
	<-oldResume
	open := sendRequest(t, p.protocol.frontend().Addr(), 2)
	<-received
	write(newBus)
	signals := make(chan os.Signal, 3)
	go p.handleSignals(signals)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		signals <- s
	}
	<-newResume
	close(release)
	if got := <-open; got != "200 OK" {
		t.Errorf("open request: status %s, want 200 OK", got)
	}
	<-ended
	if p.failed != nil {
		t.Errorf("the loop ended with error %v, want nil", p.failed)
	}
}
