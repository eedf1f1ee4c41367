package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/control"
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// controlTarget gives the control endpoint access to a core; it is always ready.
type controlTarget struct{ core *core.Core }

func (c controlTarget) Ready() error                  { return nil }
func (c controlTarget) Stats() core.Stats             { return c.core.Stats() }
func (c controlTarget) DisableEngine(id string) error { return c.core.DisableEngine(id) }
func (c controlTarget) EnableEngine(id string) error  { return c.core.EnableEngine(id) }

// openControl opens the gateway's control endpoint and returns its address.
func (g *gateway) openControl() string {
	g.t.Helper()
	var server *control.Server
	var err error
	g.do(func() { server, err = control.Open(g.loop, "127.0.0.1:0", controlTarget{g.core}, g.stats) })
	if err != nil {
		g.t.Fatal(err)
	}
	return server.Addr()
}

// callControl makes one call at a control endpoint and returns the status code and body.
func callControl(t *testing.T, addr, method, path, body string) string {
	t.Helper()
	answer, _ := httpConnect(t, addr).call(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: endpoint\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
	return answer
}

// TestControlRejectsBadCalls guards against invalid calls of the control endpoint that change something: each is
// answered with its status, and no engine gets an override.
func TestControlRejectsBadCalls(t *testing.T) {
	engine := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	g := httpGateway(t, engine)
	addr := g.openControl()
	known := fmt.Sprintf(`{"target":"e%s"}`, engine)
	for _, call := range []struct{ method, path, body, want string }{
		{"GET", "/ready", "", "200"},
		{"GET", "/", "", "404"},
		{"GET", "/ready/", "", "404"},
		{"DELETE", "/metrics", "", "405"},
		{"GET", "/engines/disable", "", "405"},
		{"POST", "/engines/disable", "", "411"},
		{"POST", "/engines/disable", "{", "400"},
		{"POST", "/engines/disable", `{"target":7}`, "400"},
		{"POST", "/engines/disable", `{"id":"x"}`, "400"},
		{"POST", "/engines/disable", known + known, "400"},
		{"POST", "/engines/disable", `{"target":"` + strings.Repeat("x", 5000) + `"}`, "413"},
		{"POST", "/engines/disable", `{"target":"nobody"}`, "404"},
		{"POST", "/engines/enable", `{"target":"nobody"}`, "404"},
		{"POST", "/engines/enable", known, "200"}, // enabling an engine that is not disabled is no error
	} {
		if got := callControl(t, addr, call.method, call.path, call.body); !strings.HasPrefix(got, call.want+" ") {
			t.Errorf("%s %s %.40s: got %s, want status %s", call.method, call.path, call.body, got, call.want)
		}
	}
	var overrides int
	g.do(func() { overrides = len(g.core.Overrides()) })
	if overrides > 0 {
		t.Errorf("got %d engines with overrides, want 0", overrides)
	}
}

// TestControlWithSilentCallers guards against silent callers that block the control endpoint: callers that send
// nothing or half a call are disconnected when the endpoint's timeout of a second has passed, and other callers are
// answered.
func TestControlWithSilentCallers(t *testing.T) {
	g := httpGateway(t)
	addr := g.openControl()
	var silent []net.Conn
	for i := range 40 {
		c := dial(t, addr)
		if i%2 > 0 {
			_, _ = io.WriteString(c, "POST /engines/disable HTTP/1.1\r\nContent-Length: 20\r\n\r\n{")
		}
		silent = append(silent, c)
	}
	if got := callControl(t, addr, "GET", "/ready", ""); got != "200 {}" {
		t.Fatalf("got %s, want 200 {}", got)
	}
	for _, c := range silent {
		if _, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatal(err)
		}
	}
}

// TestControlWithoutDescriptors guards against a control endpoint that is unreachable when clients and engines
// have used up their descriptors. More connections to an engine are dialed than descriptors are left: those within
// the limit are established, the others fail with a descriptor shortage.
func TestControlWithoutDescriptors(t *testing.T) {
	g := httpGateway(t)
	addr := g.openControl()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	limit := len(open) + 30
	g.do(func() {
		if err := g.loop.LimitDescriptors(limit, 0); err != nil {
			t.Error(err)
		}
	})
	sink := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	const wanted = 100
	dialed := make(chan error, wanted)
	for range wanted {
		g.do(func() {
			g.loop.Dial(sink, 5*time.Second, 1024, discardHandler{}, func(_ *netio.Conn, err error) { dialed <- err })
		})
	}
	var refused int
	for range wanted {
		if err := await(t, dialed); netio.IsDescriptorShortage(err) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused < wanted-30 || refused == wanted {
		t.Errorf("got %d of %d dials refused, want at least %d but not all", refused, wanted, wanted-30)
	}
	if got := callControl(t, addr, "GET", "/ready", ""); got != "200 {}" {
		t.Fatalf("got %s, want 200 {}", got)
	}
}

// discardHandler ignores all events of a connection.
type discardHandler struct{}

func (discardHandler) Data(*netio.Conn, *netio.Buffer) {}
func (discardHandler) Closed(*netio.Conn, error)       {}

// TestMetricsMatchTraffic guards against wrong metrics: at rest they equal what the scripted clients and engine
// counted, to the last request, and while a thousand requests run they stay within what has happened.
func TestMetricsMatchTraffic(t *testing.T) {
	var wants int64
	engine, seen := lineEngine(t, func(line string) string {
		if !strings.HasPrefix(line, "want ") {
			return ""
		}
		wants++
		switch id := strings.Fields(line)[1]; id[len(id)-1] {
		case '0':
			return id + " WAIT - 0\r\n\r\n"
		case '1':
			return id + " BROKE - 0\r\n\r\n"
		}
		return done(line, "a\tb\tc\n")
	})
	go func() {
		for range seen {
		}
	}()
	g := httpGateway(t, engine)
	addr := g.openControl()
	const clients, each = 20, 50
	answers := make(chan int, clients*each)
	for c := range clients {
		go func() {
			conn, err := net.Dial("tcp", g.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			r := bufio.NewReader(conn)
			for i := range each {
				_, _ = fmt.Fprintf(conn, "POST /rpc/lookup HTTP/1.1\r\nReq-Id: %016x\r\nReq-Wait-Ms: 5000\r\nContent-Length: 8\r\n\r\nSELECT 1", c<<16|i)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					answers <- 0
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				answers <- resp.StatusCode
			}
		}()
	}
	want := map[int]int64{}
	for n := range clients * each {
		want[await(t, answers)]++
		if n%100 == 0 {
			var done, inflight int64
			text := callControl(t, addr, "GET", "/metrics", "")
			for _, line := range strings.Split(text, "\n") {
				var v int64
				if _, err := fmt.Sscanf(line[strings.LastIndexByte(line, ':')+1:], "%d|", &v); err != nil {
					continue
				}
				if strings.Contains(line, "lb.calls.lookup.") {
					done += v
				} else if strings.Contains(line, "lb.inflight") {
					inflight = v
				}
			}
			if done < int64(n) || done+inflight > clients*each || inflight > clients {
				t.Fatalf("after %d answers: got %d done and %d in flight, want done >= %d, their sum <= %d and in flight <= %d: %s",
					n, done, inflight, n, clients*each, clients, text)
			}
		}
	}
	var stats core.Stats
	g.do(func() { stats = g.core.Stats() })
	i := slices.IndexFunc(stats.Classes, func(c core.ClassStats) bool { return c.Class == "lookup" })
	if diff := cmp.Diff(core.ClassStats{Class: "lookup", Served: want[200], Rejected: want[503], Failed: want[500]}, stats.Classes[i]); diff != "" {
		t.Errorf("figures of class lookup (-want +got):\n%s", diff)
	}
	if stats.InFlight != 0 || stats.EnginesListed != 1 || stats.AttemptsWritten != wants {
		t.Errorf("got %+v, want 0 in flight, 1 engine listed and %d attempts written", stats, wants)
	}
	if want[200] == 0 || want[503]+want[500] == 0 {
		t.Errorf("got answers by status %v, want some of 200 and some of 503 or 500", want)
	}
}

// TestDisabledEngineGetsNothing guards against requests to a disabled engine: from the successful answer on it
// gets nothing, whatever discovery reports, not even requests that waited for its connection. One enabling call
// undoes two disabling ones.
func TestDisabledEngineGetsNothing(t *testing.T) {
	engine, seen := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := newGateway(t, func(s *policy.Settings) { s.Rules.OverloadWindow = 0 }).startHTTP(engine) // no overload window: an engine that is enabled again otherwise gets a slow start, in steps of a second
	addr := g.openControl()
	target := fmt.Sprintf(`{"target":"e%s"}`, engine)
	request := func() string {
		answer, _ := httpConnect(t, g.addr).call(post("lookup", ""))
		return answer
	}
	if got := request(); !strings.HasPrefix(got, "200") {
		t.Fatalf("request: got %s, want status 200", got)
	}
	await(t, seen)
	for range 2 {
		if got := callControl(t, addr, "POST", "/engines/disable", target); got != "200 {}" {
			t.Fatalf("got %s, want 200 {}", got)
		}
	}
	for _, state := range []policy.EngineState{policy.EngineLive, policy.EngineDraining, policy.EngineDeparted, policy.EngineLive} {
		g.updateEngines(state, engine)
		if got := request(); !strings.HasPrefix(got, "503") {
			t.Fatalf("engine state %d from discovery: got %s, want status 503", state, got)
		}
	}
	var stats core.Stats
	g.do(func() { stats = g.core.Stats() })
	if stats.EnginesListed != 1 || stats.EnginesDown != 1 {
		t.Errorf("disabled: got %+v, want 1 engine listed and 1 down", stats)
	}
	if got := callControl(t, addr, "POST", "/engines/enable", target); got != "200 {}" {
		t.Fatalf("got %s, want 200 {}", got)
	}
	g.do(func() { stats = g.core.Stats() })
	if stats.EnginesDown != 0 {
		t.Errorf("enabled again: got %+v, want 0 engines down", stats)
	}
	if got := request(); !strings.HasPrefix(got, "200") { // enabled, it serves again
		t.Errorf("request: got %s, want status 200", got)
	}
	await(t, seen)
	select {
	case line := <-seen:
		t.Fatalf("engine: got %s while it was disabled, want nothing", line)
	default:
	}
}

// TestDisableWhileConnecting guards against a request written to an engine that was disabled while the request
// waited for its connection.
func TestDisableWhileConnecting(t *testing.T) {
	g := httpGateway(t)
	a := &core.Attempt{Request: &core.Request{}, Engine: "e1"}
	var before, after bool
	g.do(func() {
		g.core.UpdateEndpoints(policy.ListChanges, []core.Engine{{Addr: "127.0.0.1:1", Engine: policy.Engine{ID: "e1", State: policy.EngineLive}}})
		before = g.core.BeginWrite(a)
		_ = g.core.DisableEngine("e1")
		after = g.core.BeginWrite(a)
	})
	if !before || after {
		t.Errorf("may be written: got %v before the engine is disabled and %v after, want true and false", before, after)
	}
}
