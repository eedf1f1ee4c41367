package gateway

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestIDIsNotRunAgainByTheOtherProcess guards against a request that runs twice over a replacement: its client leaves, and
// sends it again with the same id on a new connection, which the other process accepts.
func TestIDIsNotRunAgainByTheOtherProcess(t *testing.T) {
	const (
		ids     = 6
		repeats = 8 // of each id, so that each process gets some
	)
	p := newPlatform(t)
	p.addWriteClass()
	send := func(requestID string) net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, writeRequest(requestID))
		return c
	}
	total := func() int { return p.requestCount("one") + p.requestCount("two") + p.requestCount("three") }
	sent := 0
	sendAndLeave := func(requestID string) {
		c := send(requestID)
		sent++
		for deadline := time.Now().Add(10 * time.Second); total() < sent; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("engines received %d requests, want %d", total(), sent)
			}
		}
		_ = c.Close()
	}
	repeat := func(phase, requestID string) {
		t.Helper()
		for range repeats {
			if got := roundTrip(t, p.addr, writeRequest(requestID)); !strings.HasPrefix(got, "409 ") {
				t.Errorf("%s: id %s again: %s, want status 409", phase, requestID, got)
				return
			}
		}
	}
	first := p.start()
	first.await("msg=serving")
	sendAndLeave("f000000000000001") // before the second process starts
	second := p.start()
	second.await("takeover.completed")
	repeat("before the replacement", "f000000000000001")
	for n := range ids {
		requestID := fmt.Sprintf("f0000000000001%02d", n)
		sendAndLeave(requestID) // at either process
		repeat("with two processes", requestID)
	}
	first.signal(syscall.SIGTERM)
	first.await("msg=replaced")
	for n := range ids {
		repeat("with the second process", fmt.Sprintf("f0000000000001%02d", n))
	}
	if got := total(); got != sent {
		t.Errorf("engines received %d requests, want %d, one for each id", got, sent)
	}
	close(p.hold)
}

// writeRequest is a call of a class that allows no repeat.
func writeRequest(requestID string) string {
	return strings.NewReplacer("lookup", "write", "9b1f03aa5c7e2d40", requestID).Replace(fmt.Sprintf(lookupRequest, 0))
}

// addWriteClass adds a class that allows no repeat to the configuration.
func (p *testPlatform) addWriteClass() {
	p.t.Helper()
	raw, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	text := strings.NewReplacer(
		`"classes": [`, `"classes": [
   {"name": "write", "aim-ms": 1200, "aim-stretch": 1.5, "hard-limit-ms": 6000, "importance": 1, "late-share": 0.1, "effect": "non_idempotent", "group": "all"},`,
		`"is-load": [`, `"is-load": [false, `, `"parallelism": [`, `"parallelism": [1, `, `"yields-to-loads": [`, `"yields-to-loads": [true, `,
	).Replace(string(raw))
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}
