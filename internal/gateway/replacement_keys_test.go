package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// loadRequest is a call of a class whose requests have an idempotency key. Engines hold calls whose id begins with f.
func loadRequest(requestID, key string) string {
	replacer := strings.NewReplacer("rpc/lookup", "rpc/load", "9b1f03aa5c7e2d40", requestID, "Content-Length", "Req-Token: "+key+"\r\nContent-Length")
	return replacer.Replace(fmt.Sprintf(lookupRequest, 0))
}

// keyedPlatform is a testPlatform whose engine one is in the second zone, and whose loads are dropped as repeats by the
// engines of a zone only.
type keyedPlatform struct {
	*testPlatform
	requests int // number of requests sent
}

func newKeyedPlatform(t *testing.T) *keyedPlatform {
	t.Helper()
	p := &keyedPlatform{testPlatform: newPlatform(t)}
	replaceInFile(t, p.config,
		groupAll, groupZone, // of all classes; those without keys ignore it
		`"az": "hall-a", "model": "std-8", "pod_group"`, `"az": "hall-b", "model": "std-8", "pod_group"`, // engine one
	)
	return p
}

// requestID returns a new request id that begins with a letter.
func (p *keyedPlatform) requestID(first string) string {
	p.requests++
	return first + fmt.Sprintf("%015d", p.requests)
}

// countIn returns the number of requests that the engines of a zone have received.
func (p *keyedPlatform) countIn(zone string) int {
	if zone == secondZone {
		return p.requestCount("one")
	}
	return p.requestCount("two") + p.requestCount("three")
}

// sendAndLeave sends a load with the key, and leaves while it is at an engine. It returns the engine's zone.
func (p *keyedPlatform) sendAndLeave(key string) (zone string) {
	p.t.Helper()
	first, second := p.countIn(firstZone), p.countIn(secondZone)
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	_, _ = io.WriteString(c, loadRequest(p.requestID("f"), key))
	for deadline := time.Now().Add(10 * time.Second); p.countIn(firstZone)+p.countIn(secondZone) == first+second; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("no engine received the load with key %s within 10 s", key)
		}
	}
	_ = c.Close()
	if p.countIn(firstZone) > first {
		return firstZone
	}
	return secondZone
}

// repeat sends loads with the keys again, each to any of the processes, and checks that engines of the zones where they
// were sent first get them.
func (p *keyedPlatform) repeat(when string, zones map[string]string) {
	p.t.Helper()
	const repeats = 8 // so that each process gets some
	for key, zone := range zones {
		before := p.countIn(zone)
		for range repeats {
			if got := roundTrip(p.t, p.addr, loadRequest(p.requestID("a"), key)); !strings.HasPrefix(got, "200 ") {
				p.t.Errorf("%s: key %s again: %s, want status 200", when, key, got)
			}
		}
		if got := p.countIn(zone) - before; got != repeats {
			p.t.Errorf("%s: %d of %d repeats of key %s went to its zone, want all", when, got, repeats, key)
		}
	}
}

// TestKeyStaysInItsZoneOverAReplacement guards against a load that runs in two zones because its client leaves and sends
// it again to the other process of a replacement.
func TestKeyStaysInItsZoneOverAReplacement(t *testing.T) {
	const keys = 4 // before the replacement, and during it
	p := newKeyedPlatform(t)
	zones := map[string]string{}
	first := p.start()
	first.await("msg=serving")
	for n := range keys {
		key := fmt.Sprintf("before-%d", n)
		zones[key] = p.sendAndLeave(key)
	}
	second := p.start()
	second.await("takeover.completed")
	p.repeat("with two processes", zones)
	for n := range keys {
		key := fmt.Sprintf("during-%d", n)
		zones[key] = p.sendAndLeave(key)
	}
	p.repeat("with two processes", zones)
	first.signal(syscall.SIGTERM)
	first.await("msg=replaced")
	p.repeat("with the second process", zones)
	close(p.hold)
}

// TestSentIsKnownAfterAKill guards against a process that forgets what it has sent when it is killed or stopped, and
// started again: keys stay in their zone, and an id of a class that allows no repeat is not run again.
func TestSentIsKnownAfterAKill(t *testing.T) {
	const keys = 4
	for name, stop := range map[string]func(child *childProcess){
		"killed":  func(child *childProcess) { _ = child.cmd.Process.Kill(); _ = child.cmd.Wait() },
		"stopped": func(child *childProcess) { child.end("count taken.load") },
	} {
		t.Run(name, func(t *testing.T) {
			p := newKeyedPlatform(t)
			p.addWriteClass()
			first := p.start()
			first.await("msg=serving")
			zones := map[string]string{}
			for n := range keys {
				key := fmt.Sprintf("key-%d", n)
				zones[key] = p.sendAndLeave(key)
			}
			const id = "a000000000000bad"
			if got := roundTrip(t, p.addr, writeRequest(id)); !strings.HasPrefix(got, "200 ") {
				t.Fatalf("first request of id %s: %s, want status 200", id, got)
			}
			stop(first)
			second := p.start()
			second.await("msg=serving")
			p.repeat("after a new start", zones)
			if got := roundTrip(t, p.addr, writeRequest(id)); !strings.HasPrefix(got, "409 ") {
				t.Errorf("second request of id %s: %s, want status 409", id, got)
			}
			close(p.hold)
		})
	}
}
