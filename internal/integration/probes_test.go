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

// TestProbes guards against a probe that ends twice or never, whatever the engine answers: a valid answer, none,
// a repeated one, one under another tag, or one that can't be parsed. Answers that match no open probe
// must not disturb the connection or the requests on it.
func TestProbes(t *testing.T) {
	const garbage = "garbage"
	for name, tt := range map[string]struct {
		answer     string // %s stands for the probe's tag
		outcome    string // suffix of the counter of ended probes
		unexpected int64  // answers that match no open probe and are ignored
	}{
		"fit for work":          {"%s FIT gauges=inflight:7;util:0.61 0\r\n\r\n", "served", 0},
		"no load report":        {"%s FIT - 0\r\n\r\n", "served", 0},
		"malformed load report": {"%s FIT gauges=inflight:x;util:NaN;;:;y 0\r\n\r\n", "served", 0},
		"unfit for work":        {"%s UNFIT gauges=inflight:900 0\r\n\r\n", "error", 0},
		"answered twice":        {"%[1]s FIT - 0\r\n\r\n%[1]s FIT - 0\r\n\r\n", "served", 1},
		"unknown tag":           {"x%s FIT - 0\r\n\r\n", "timeout", 1},
		"no answer":             {"", "timeout", 0},
		"unexpected keyword":    {"%s DONE batches=1 0\r\n\r\n", garbage, 0},
		"no keyword":            {"%s\r\n", garbage, 0},
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
			g.startHTTP(addr)
			got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
			assertEqual(t, "request", got, `200 {"result":[]}`)
			await(t, seen)
			g.do(func() {
				g.lines.RequestLoadReport("e" + addr)
				g.lines.RequestLoadReport("e" + addr) // the first is still open, so this one is not sent
			})
			if line := await(t, seen); !strings.HasPrefix(line, "busy p") {
				t.Fatalf("probe: got %q, want a line that begins with \"busy p\"", line)
			}
			for g.count("probes.ended."+tt.outcome) == 0 || g.count("links.late-answer") < tt.unexpected {
				time.Sleep(time.Millisecond)
			}
			want := map[string]int64{"probes.ended." + tt.outcome: 1, "probes.ended.not-sent": 1}
			all := map[string]int64{}
			g.do(func() { all = g.stats.All() })
			maps.DeleteFunc(all, func(name string, _ int64) bool { return !strings.HasPrefix(name, "probes.") })
			if diff := cmp.Diff(want, all); diff != "" {
				t.Errorf("probe counters (-want +got):\n%s", diff)
			}
			got, _ = httpConnect(t, g.addr).call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
			assertEqual(t, "next request", got, `200 {"result":[]}`)
			if dialed, kept := g.count("links.dialed"), tt.outcome != garbage; kept && dialed != 1 {
				t.Errorf("got %d connections, want 1", dialed)
			}
		})
	}
}

// TestProbesToUnreachableEngines guards against a probe that stays open although its engine is unknown or refuses
// the connection: it must end at once. It also checks that probes only ask whether the engine is there where the
// settings say that engines report no load.
func TestProbesToUnreachableEngines(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string {
		return strings.Fields(line)[1] + " FIT - 0\r\n\r\n"
	})
	g := newGateway(t, func(s *policy.Settings) { s.ReportsLoad = false }).startHTTP(addr, "127.0.0.1:1")
	g.do(func() {
		g.lines.RequestLoadReport("nobody")
		g.lines.RequestLoadReport("e127.0.0.1:1")
		g.lines.RequestLoadReport("e" + addr)
	})
	if line := await(t, seen); !strings.HasPrefix(line, "there p") {
		t.Errorf("probe: got %q, want a line that begins with \"there p\"", line)
	}
	for g.count("probes.ended.") < 3 {
		time.Sleep(time.Millisecond)
	}
	if n := g.count("probes.ended.no-engine") + g.count("probes.ended.refused") + g.count("probes.ended.served"); n != 3 {
		t.Errorf("got %d probes that ended as no-engine, refused or served, want 3", n)
	}
}
