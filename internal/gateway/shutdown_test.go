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

const call = "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d4%d\r\nReq-Wait-Ms: 6000\r\nContent-Length: 8\r\n\r\nSELECT 1"

// client makes one call on a connection of its own and reports the status.
func client(t *testing.T, addr string, n int) <-chan string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(c, call, n)
	answer := make(chan string, 1)
	go func() {
		defer func() { _ = c.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answer <- err.Error()
			return
		}
		_ = resp.Body.Close()
		answer <- resp.Status
	}()
	return answer
}

// serve runs a gateway in the test's own process; ended is closed once it has ended.
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

// A planned stop: who comes right after TERM is still served, what is open goes on,
// what no engine answers gets its final answer before the kill, and then it ends.
func TestPlannedStop(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	wants := make(chan string, 10)
	go func() { // an engine that answers all but the call numbered 1
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					w := strings.Fields(in.Text())
					if len(w) != 4 || w[0] != "want" {
						continue
					}
					if !strings.HasSuffix(w[1], "1") {
						_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
					}
					wants <- w[1]
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
	open := client(t, p.protocol.frontend().Addr(), 1)
	<-wants
	began := time.Now()
	p.loop.Post(p.beginStop)
	if got := <-client(t, p.protocol.frontend().Addr(), 2); got != "200 OK" {
		t.Errorf("a client right after TERM got %s", got)
	}
	if got := <-open; !strings.HasPrefix(got, "50") {
		t.Errorf("what no engine answers got %s", got)
	}
	<-ended
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("the stop took %v: the kill comes first", took)
	}
	if _, err := net.Dial("tcp", p.protocol.frontend().Addr()); err == nil {
		t.Error("still listening")
	}
}

// The configuration is read again and the process told to end at once, also again while it ends: it moves to the new event
// bus, what is open has its answer, and it ends well.
func TestReloadAndStopTogether(t *testing.T) {
	wants, answer := make(chan string, 1), make(chan struct{})
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
			if w := strings.Fields(in.Text()); len(w) == 4 && w[0] == "want" {
				wants <- w[1]
				<-answer
				_, _ = fmt.Fprintf(c, "%s DONE batches=1 0\r\n\r\n", w[1])
			}
		}
	}()
	old, heardOld := eventBus(t, 7)
	next, heardNext := eventBus(t, 8)
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
	write(old)
	p, ended := serve(t, path)
	<-heardOld
	open := client(t, p.protocol.frontend().Addr(), 2)
	<-wants
	write(next)
	told := make(chan os.Signal, 3)
	go p.handleSignals(told)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		told <- s
	}
	<-heardNext
	close(answer)
	if got := <-open; got != "200 OK" {
		t.Errorf("what was open got %s", got)
	}
	<-ended
	if p.failed != nil {
		t.Error(p.failed)
	}
}
