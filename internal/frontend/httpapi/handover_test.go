package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// startFrontend starts a frontend with the default options and one class, on a loop of its own.
func startFrontend(t *testing.T) *Frontend {
	t.Helper()
	loop, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	settings := policy.Settings{Gateways: 1, CallInterval: 5 * time.Millisecond,
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.Idempotent}},
		Kinds:   []policy.Kind{{Name: "std", Cores: 8, MemoryMB: 1024}}, Limits: policy.Limits{MaxAttempts: 3}}
	c, err := core.New(settings, 1, loop, loop.Timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f := New(loop, c, Options{}, metrics.New())
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go loop.Run()
	t.Cleanup(func() { loop.Post(loop.Stop) })
	return f
}

// get sends a GET request on a new connection.
func get(t *testing.T, addr, path string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	b, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(b)
}

// TestHeldResultsTransfer checks that a client that is between two pages of its result during a
// handover gets the next page from the new process, on any connection. Results that are held after
// the handover of the shared state are published one by one, and invalid states are rejected.
func TestHeldResultsTransfer(t *testing.T) {
	source, target := startFrontend(t), startFrontend(t)
	runOnLoop := func(f *Frontend, fn func()) {
		done := make(chan struct{})
		f.loop.Post(func() { fn(); close(done) })
		<-done
	}
	newResult := func(path string) resultState {
		return resultState{Path: path, HeldUntil: source.loop.Now() + time.Minute,
			Pages: []lineproto.Rows{{[]byte("a\tb\tc\n")}, {[]byte("d\te\tf\n")}, {[]byte("g\th\ti\n")}}}
	}
	var sharedState, change []byte
	runOnLoop(source, func() {
		source.OnSharedStateChange(func(b []byte) { change = b })
		source.holdResult(newResult("/more/x-1"))
		sharedState = source.SharedState()
		source.publishResults(newResult("/more/x-2"))
	})
	runOnLoop(target, func() {
		for _, b := range [][]byte{sharedState, change, sharedState} {
			if err := target.ApplySharedState(b); err != nil {
				t.Error(err)
			}
		}
		if err := target.ApplySharedState([]byte("nonsense")); err == nil {
			t.Error("ApplySharedState accepted an invalid state")
		}
		if want := 2 * 18; target.results.bytes != want {
			t.Errorf("held bytes = %d, want %d", target.results.bytes, want)
		}
	})
	for _, path := range []string{"/more/x-1/1", "/more/x-2/2"} {
		if status, body := get(t, target.Addr(), path); status != 200 || !strings.Contains(body, `"d"`) && !strings.Contains(body, `"g"`) {
			t.Errorf("GET %s: status = %d, body = %s, want 200 and the rows of the page", path, status, body)
		}
	}
	if status, _ := get(t, target.Addr(), "/more/x-3/1"); status != 404 {
		t.Errorf("page of an unknown result: status = %d, want 404", status)
	}
}

// FuzzRestoreConnection checks that no state, such as one of another version, makes the frontend
// panic, and that either a handler or an error is returned.
func FuzzRestoreConnection(f *testing.F) {
	c := &conn{served: true, nextPagePending: true}
	f.Add(c.EncodeState())
	f.Add([]byte{0xa1, 0x01, 0xf5})
	f.Fuzz(func(t *testing.T, b []byte) {
		if accept, err := (&Frontend{}).RestoreConnection(b); (accept == nil) != (err != nil) {
			t.Errorf("handler returned = %t, error = %v, want one of the two", accept != nil, err)
		}
	})
}

// TestDefaultRequestTimeout checks that the timeout leaves time to clients that take 2 s to write a
// request, and that a client that never completes one gets its error within 3 s.
func TestDefaultRequestTimeout(t *testing.T) {
	if timeout := startFrontend(t).options.RequestTimeout; timeout <= 2200*time.Millisecond || timeout >= 2900*time.Millisecond {
		t.Errorf("request timeout = %v, want between 2.2 s and 2.9 s", timeout)
	}
}
