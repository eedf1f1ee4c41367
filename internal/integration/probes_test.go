package integration

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// A probe ends once, whatever its engine answers: with its word, with nothing, late, twice, under
// another tag, in what can't be read. What goes by leaves the connection, and requests on it, alone.
func TestProbes(t *testing.T) {
	const garbage = "garbage"
	for name, tt := range map[string]struct {
		answer string // %s is the probe's tag
		ended  string
		passed int64 // answers that were passed by
	}{
		"fit":         {"%s FIT gauges=inflight:7;util:0.61 0\r\n\r\n", "served", 0},
		"no report":   {"%s FIT - 0\r\n\r\n", "served", 0},
		"odd report":  {"%s FIT gauges=inflight:x;util:NaN;;:;y 0\r\n\r\n", "served", 0},
		"unfit":       {"%s UNFIT gauges=inflight:900 0\r\n\r\n", "error", 0},
		"twice":       {"%[1]s FIT - 0\r\n\r\n%[1]s FIT - 0\r\n\r\n", "served", 1},
		"other tag":   {"x%s FIT - 0\r\n\r\n", "timeout", 1},
		"silence":     {"", "timeout", 0},
		"other words": {"%s DONE batches=1 0\r\n\r\n", garbage, 0},
		"no words":    {"%s\r\n", garbage, 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := lineEngine(t, func(line string) string {
				w := strings.Fields(line)
				switch {
				case w[0] == "want":
					return done(line, "")
				case w[0] == "busy" && strings.Contains(tt.answer, "%"):
					return fmt.Sprintf(tt.answer, w[1])
				}
				return tt.answer
			})
			g := newGateway(t, func(s *policy.Settings) { s.ReportsLoad = true })
			g.site.ConnectTimeout = 100 * time.Millisecond
			g.platform(addr)
			got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
			same(t, "request", got, `200 {"result":[]}`)
			await(t, seen)
			g.do(func() {
				g.lines.RequestLoadReport("e" + addr)
				g.lines.RequestLoadReport("e" + addr) // one is out already
			})
			if line := await(t, seen); !strings.HasPrefix(line, "busy p") {
				t.Fatalf("asked: %s", line)
			}
			for g.count("probes.ended."+tt.ended) == 0 || g.count("links.late-answer") < tt.passed {
				time.Sleep(time.Millisecond)
			}
			want := map[string]int64{"probes.ended." + tt.ended: 1, "probes.ended.not-sent": 1}
			all := map[string]int64{}
			g.do(func() { all = g.stats.All() })
			maps.DeleteFunc(all, func(name string, _ int64) bool { return !strings.HasPrefix(name, "probes.") })
			if diff := cmp.Diff(want, all); diff != "" {
				t.Error(diff)
			}
			got, _ = httpConnect(t, g.addr).call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
			same(t, "next request", got, `200 {"result":[]}`)
			if dialed, once := g.count("links.dialed"), tt.ended != garbage; once && dialed != 1 {
				t.Errorf("%d connections", dialed)
			}
		})
	}
}

// A probe to an engine that nobody knows, or that refuses the connection, ends at once; where probes
// tell no load, it is asked only whether it is there.
func TestProbesThatReachNobody(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string {
		return strings.Fields(line)[1] + " FIT - 0\r\n\r\n"
	})
	g := newGateway(t, func(s *policy.Settings) { s.ReportsLoad = false }).platform(addr, "127.0.0.1:1")
	g.do(func() {
		g.lines.RequestLoadReport("nobody")
		g.lines.RequestLoadReport("e127.0.0.1:1")
		g.lines.RequestLoadReport("e" + addr)
	})
	if line := await(t, seen); !strings.HasPrefix(line, "there p") {
		t.Errorf("asked: %s", line)
	}
	for g.count("probes.ended.") < 3 {
		time.Sleep(time.Millisecond)
	}
	if n := g.count("probes.ended.no-engine") + g.count("probes.ended.refused") + g.count("probes.ended.served"); n != 3 {
		t.Errorf("%d ended as they should", n)
	}
}
