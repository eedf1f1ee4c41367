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

func startFrontend(t *testing.T) *Frontend {
	t.Helper()
	l, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	set := policy.Settings{Gateways: 1, CallInterval: 5 * time.Millisecond,
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.Idempotent}},
		Kinds:   []policy.Kind{{Name: "std", Cores: 8, MemoryMB: 1024}}, Limits: policy.Limits{MaxAttempts: 3}}
	c, err := core.New(set, 1, l, l.Timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f := New(l, c, Options{}, metrics.New())
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return f
}

func get(t *testing.T, addr, path string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// A client is between two pages of its result when another process takes over: the next page
// comes from there, on whichever connection it is requested. Results that are held later are
// published one by one, and a state that can't be read is rejected.
func TestHeldResultsTransfer(t *testing.T) {
	source, target := startFrontend(t), startFrontend(t)
	do := func(f *Frontend, what func()) {
		done := make(chan struct{})
		f.loop.Post(func() { what(); close(done) })
		<-done
	}
	held := func(path string) resultState {
		return resultState{Path: path, HeldUntil: source.loop.Now() + time.Minute,
			Pages: []lineproto.Rows{{[]byte("a\tb\tc\n")}, {[]byte("d\te\tf\n")}, {[]byte("g\th\ti\n")}}}
	}
	var before, later []byte
	do(source, func() {
		source.OnSharedChange(func(b []byte) { later = b })
		source.holdResult(held("/more/x-1"))
		before = source.SharedState()
		source.publishResults(held("/more/x-2"))
	})
	do(target, func() {
		for _, b := range [][]byte{before, later, before} {
			if err := target.ApplySharedState(b); err != nil {
				t.Error(err)
			}
		}
		if err := target.ApplySharedState([]byte("nonsense")); err == nil {
			t.Error("applied a state that can't be read")
		}
		if want := 2 * 18; target.results.bytes != want {
			t.Errorf("held bytes = %d, want %d", target.results.bytes, want)
		}
	})
	for _, path := range []string{"/more/x-1/1", "/more/x-2/2"} {
		if status, body := get(t, target.Addr(), path); status != 200 || !strings.Contains(body, `"d"`) && !strings.Contains(body, `"g"`) {
			t.Errorf("%s: %d %s", path, status, body)
		}
	}
	if status, _ := get(t, target.Addr(), "/more/x-3/1"); status != 404 {
		t.Errorf("a page that nobody held: status = %d, want 404", status)
	}
}

// No state of another version crashes a front.
func FuzzRestore(f *testing.F) {
	k := &conn{served: true, nextPagePending: true}
	f.Add(k.EncodeState())
	f.Add([]byte{0xa1, 0x01, 0xf5})
	f.Fuzz(func(t *testing.T, b []byte) {
		if accept, err := (&Frontend{}).RestoreConnection(b); (accept == nil) != (err != nil) {
			t.Error("neither a handler nor an error")
		}
	})
}

// Some clients take 2 s to write a request, and those that never end one are owed an error within 3 s.
func TestDefaultRequestTimeout(t *testing.T) {
	if within := startFrontend(t).options.RequestTimeout; within <= 2200*time.Millisecond || within >= 2900*time.Millisecond {
		t.Errorf("request timeout = %v, want 2.2 s to 2.9 s", within)
	}
}
