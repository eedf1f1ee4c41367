package integration

import (
	"bytes"
	"runtime"
	"testing"
	"time"
)

// TestOneConnectionLeavesTheLoop guards against a client that sends at full speed and keeps all others waiting: a
// front end handled all that a connection's buffer held before it turned to another connection.
func TestOneConnectionLeavesTheLoop(t *testing.T) {
	const flood = 60 << 10 // bytes, sent at once
	for name, start := range map[string]func(*testing.T) (g *gateway, send func([]byte), request []byte){
		"platform": func(t *testing.T) (*gateway, func([]byte), []byte) {
			t.Helper()
			g := httpGateway(t)
			k := httpConnect(t, g.addr)
			_, _ = k.call("GET /health HTTP/1.1\r\n\r\n") // the connection is open in the loop
			return g, func(b []byte) { _, _ = k.c.Write(b) }, []byte("GET /health HTTP/1.1\r\n\r\n")
		},
		"postgres": func(t *testing.T) (*gateway, func([]byte), []byte) {
			t.Helper()
			g := postgresGateway(t)
			k := connect(t, g.addr)
			return g, func(b []byte) { k.send(b) }, sync
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, send, request := start(t)
			input := bytes.Repeat(request, flood/len(request))
			release := make(chan struct{})
			g.loop.Post(func() { <-release })
			go send(input)
			for deadline := time.Now().Add(waitTimeout); g.loop.BufferedBytes() < int64(len(input)); runtime.Gosched() {
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes were read, want %d", g.loop.BufferedBytes(), len(input))
				}
			}
			left := make(chan int64, 1)
			g.loop.Post(func() { left <- g.loop.BufferedBytes() }) // behind the turn of the connection
			close(release)
			if got := <-left; got < int64(len(input))/2 {
				t.Errorf("%d of %d bytes are left after one turn, want half of them at least", got, len(input))
			}
		})
	}
}
