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

// controlled is the gateway as operators see it.
type controlled struct{ core *core.Core }

func (c controlled) Ready() error                  { return nil }
func (c controlled) Stats() core.Stats             { return c.core.Stats() }
func (c controlled) DisableEngine(id string) error { return c.core.DisableEngine(id) }
func (c controlled) EnableEngine(id string) error  { return c.core.EnableEngine(id) }

// endpoint opens the control endpoint of a gateway.
func (g *gateway) endpoint() string {
	g.t.Helper()
	var d *control.Server
	var err error
	g.do(func() { d, err = control.Open(g.loop, "127.0.0.1:0", controlled{g.core}, g.stats) })
	if err != nil {
		g.t.Fatal(err)
	}
	return d.Addr()
}

// operate makes one call at a control endpoint and words the answer.
func operate(t *testing.T, addr, method, path, body string) string {
	t.Helper()
	answer, _ := httpConnect(t, addr).call(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: endpoint\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
	return answer
}

// A call of the control endpoint that is wrong is answered with its fault, and nothing changes.
func TestControlRejectsBadCalls(t *testing.T) {
	engine := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	g := platform(t, engine)
	addr := g.endpoint()
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
		{"POST", "/engines/enable", known, "200"}, // it is in use
	} {
		if got := operate(t, addr, call.method, call.path, call.body); !strings.HasPrefix(got, call.want+" ") {
			t.Errorf("%s %s %.40s: %s", call.method, call.path, call.body, got)
		}
	}
	var overrides int
	g.do(func() { overrides = len(g.core.Overrides()) })
	if overrides > 0 {
		t.Errorf("%d engines have overrides", overrides)
	}
}

// Callers that send nothing, or stop half way, are closed within the second that others wait,
// and keep nobody out.
func TestControlWithSilentCallers(t *testing.T) {
	g := platform(t)
	addr := g.endpoint()
	var silent []net.Conn
	for i := range 40 {
		c := dial(t, addr)
		if i%2 > 0 {
			_, _ = io.WriteString(c, "POST /engines/disable HTTP/1.1\r\nContent-Length: 20\r\n\r\n{")
		}
		silent = append(silent, c)
	}
	if got := operate(t, addr, "GET", "/ready", ""); got != "200 {}" {
		t.Fatal(got)
	}
	for _, c := range silent {
		if _, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatal(err)
		}
	}
}

// The control endpoint answers while all that clients and engines may take of the descriptors is taken,
// and engines get theirs although clients want more than there are.
func TestControlWithoutDescriptors(t *testing.T) {
	g := platform(t)
	addr := g.endpoint()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	room := len(open) + 30
	g.do(func() {
		if err := g.loop.LimitDescriptors(room, 0); err != nil {
			t.Error(err)
		}
	})
	sink := listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	const wanted = 100
	ends := make(chan error, wanted)
	for range wanted {
		g.do(func() {
			g.loop.Dial(sink, 5*time.Second, 1024, nobody{}, func(_ *netio.Conn, err error) { ends <- err })
		})
	}
	var refused int
	for range wanted {
		if err := await(t, ends); netio.IsDescriptorShortage(err) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if refused < wanted-30 || refused == wanted {
		t.Errorf("%d of %d dials were refused", refused, wanted)
	}
	if got := operate(t, addr, "GET", "/ready", ""); got != "200 {}" {
		t.Fatal(got)
	}
}

type nobody struct{}

func (nobody) Data(*netio.Conn, *netio.Buffer) {}
func (nobody) Closed(*netio.Conn, error)       {}

// Figures are what scripted clients and engines saw, to the last one once all is quiet, and
// stay within what has happened while they are read among a thousand requests.
func TestFiguresAreTrue(t *testing.T) {
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
	g := platform(t, engine)
	addr := g.endpoint()
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
			_ = conn.SetDeadline(time.Now().Add(patience))
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
			text := operate(t, addr, "GET", "/metrics", "")
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
				t.Fatalf("after %d answers: %s", n, text)
			}
		}
	}
	var f core.Stats
	g.do(func() { f = g.core.Stats() })
	i := slices.IndexFunc(f.Classes, func(c core.ClassStats) bool { return c.Class == "lookup" })
	if diff := cmp.Diff(core.ClassStats{Class: "lookup", Served: want[200], Rejected: want[503], Failed: want[500]}, f.Classes[i]); diff != "" {
		t.Error(diff)
	}
	if f.InFlight != 0 || f.EnginesListed != 1 || f.AttemptsWritten != wants {
		t.Errorf("%+v; the engine read %d", f, wants)
	}
	if want[200] == 0 || want[503]+want[500] == 0 {
		t.Errorf("too few kinds of answers: %v", want)
	}
}

// From the yes on a disabled engine gets nothing, whatever discovery says, also not what
// waited for its connection; two calls that disable it are undone by one, and then it serves again.
func TestDisabledEngineGetsNothing(t *testing.T) {
	engine, seen := lineEngine(t, func(line string) string { return done(line, "a\tb\tc\n") })
	g := newGateway(t, func(s *policy.Settings) { s.Rules.OverloadWindow = 0 }).platform(engine) // an engine that is enabled again gets a slow start, by the second
	addr := g.endpoint()
	out := fmt.Sprintf(`{"target":"e%s"}`, engine)
	request := func() string {
		answer, _ := httpConnect(t, g.addr).call(post("lookup", ""))
		return answer
	}
	if got := request(); !strings.HasPrefix(got, "200") {
		t.Fatal(got)
	}
	await(t, seen)
	for range 2 {
		if got := operate(t, addr, "POST", "/engines/disable", out); got != "200 {}" {
			t.Fatal(got)
		}
	}
	for _, state := range []policy.EngineState{policy.EngineLive, policy.EngineDraining, policy.EngineDeparted, policy.EngineLive} {
		g.roster(state, engine)
		if got := request(); !strings.HasPrefix(got, "503") {
			t.Fatalf("discovery says %d: %s", state, got)
		}
	}
	var f core.Stats
	g.do(func() { f = g.core.Stats() })
	if f.EnginesListed != 1 || f.EnginesDown != 1 {
		t.Errorf("%+v", f)
	}
	if got := operate(t, addr, "POST", "/engines/enable", out); got != "200 {}" {
		t.Fatal(got)
	}
	g.do(func() { f = g.core.Stats() })
	if f.EnginesDown != 0 {
		t.Errorf("%+v", f)
	}
	if got := request(); !strings.HasPrefix(got, "200") { // it serves again
		t.Error(got)
	}
	await(t, seen)
	select {
	case line := <-seen:
		t.Fatalf("%s reached the engine while it was disabled", line)
	default:
	}
}

// What waits for its connection when its engine is disabled is never written there.
func TestDisableWhileConnecting(t *testing.T) {
	g := platform(t)
	a := &core.Attempt{Request: &core.Request{}, Engine: "e1"}
	var before, after bool
	g.do(func() {
		g.core.UpdateEndpoints(policy.ListChanges, []core.Engine{{Addr: "127.0.0.1:1", Engine: policy.Engine{ID: "e1", State: policy.EngineLive}}})
		before = g.core.BeginWrite(a)
		_ = g.core.DisableEngine("e1")
		after = g.core.BeginWrite(a)
	})
	if !before || after {
		t.Errorf("may be written: %v before the engine is disabled, %v after it", before, after)
	}
}
