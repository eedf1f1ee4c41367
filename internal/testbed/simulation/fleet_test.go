package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/testbed/enginemodel"

	"github.com/google/go-cmp/cmp"
)

// defaultOptions returns the default options of the tests: two sites with two gateways and two engines each.
func defaultOptions(t testing.TB) Options {
	t.Helper()
	p, err := config.LoadPostgres("../../../deploy/postgres.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg := decide.Defaults()
	cfg.SharedDedup = true
	return Options{
		Site: p.SiteSettings, Config: cfg, Way: Ours, Sites: 2, Gateways: 2, Engines: 2, Engine: enginemodel.Usual(), Rate: 12, Loads: 0.08, Reports: 0.14, Writes: 0.04,
		Estimates: true, ToldAfter: time.Second, Elsewhere: 0.5, Delay: 20 * time.Millisecond, Bandwidth: 10e6, Pack: true, Warm: 17 * time.Second, Span: 60 * time.Second, Seed: 1,
	}
}

// mustPlay runs a simulation that must not fail.
func mustPlay(t *testing.T, o Options) *Result {
	t.Helper()
	r, err := Play(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// In each scenario, each client gets one final answer in time, nothing takes effect twice, no key is
// sent after its window, and service is at most 0.03 below that of sites on their own.
func TestScenarios(t *testing.T) {
	for _, sc := range Scenarios {
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			o := defaultOptions(t)
			o.Events = sc.Events(o.Span, o.Sites)
			r := mustPlay(t, o)
			for _, f := range r.Faults {
				t.Error(f)
			}
			if o.Way = Alone; r.Service() < mustPlay(t, o).Service()-0.03 {
				t.Errorf("got service %.3f with cooperation, want at least %.3f (alone) minus 0.03", r.Service(), mustPlay(t, o).Service())
			}
			if sc.Name != "steady" && r.Crossed == 0 {
				t.Error("got no forwarded request, want at least one")
			}
		})
	}
}

// No rule is violated with high latency and stalls, overload moving around three sites, partial links, low bandwidth without
// compression, or a drain.
func TestLines(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"round trip of 300 ms, with stalls":  func(o *Options) { o.Delay, o.Stall, o.StallFor = 150*time.Millisecond, 0.02, time.Second },
		"overload moving around three sites": func(o *Options) { o.Sites = 3; o.Events = ScenarioOf("ring").Events(o.Span, 3) },
		"five sites, each linked to two":     func(o *Options) { o.Sites, o.Neighbour = 5, 1; o.Events = ScenarioOf("site-loss").Events(o.Span, 5) },
		"low bandwidth without compression": func(o *Options) {
			o.Bandwidth, o.Pack = 200e3, false
			o.Events = ScenarioOf("overload-here").Events(o.Span, 2)
		},
		"drain during a site loss": func(o *Options) {
			o.Events = append(ScenarioOf("site-loss").Events(o.Span, 2), Event{At: 25 * time.Second, Do: Drain, Site: 1}, Event{At: 35 * time.Second, Do: Back, Site: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := defaultOptions(t)
			change(&o)
			for _, f := range mustPlay(t, o).Faults {
				t.Error(f)
			}
		})
	}
}

// The same options give byte-for-byte the same results, and another seed gives different ones.
func TestSameBytes(t *testing.T) {
	o := defaultOptions(t)
	o.Span = 30 * time.Second
	o.Events = ScenarioOf("gateway-dies").Events(o.Span, o.Sites)
	var logs [2]strings.Builder
	o.Log = &logs[0]
	a := mustPlay(t, o)
	o.Log = &logs[1]
	b := mustPlay(t, o)
	if diff := cmp.Diff(a.Sum(), b.Sum()); diff != "" || logs[0].String() != logs[1].String() || logs[0].Len() == 0 {
		t.Errorf("two runs differ:\n%s", diff)
	}
	if o.Seed = 2; mustPlay(t, o).Sum() == a.Sum() {
		t.Error("seeds 1 and 2 give equal results, want different ones")
	}
}

// Clock offsets of 30 s change nothing, because no site uses the clock of another.
func TestClocksApart(t *testing.T) {
	o := defaultOptions(t)
	o.Sites, o.Events = 3, ScenarioOf("silence").Events(o.Span, 3)
	withoutOffsets := mustPlay(t, o)
	o.Skew = 30 * time.Second
	if diff := cmp.Diff(withoutOffsets.Sum(), mustPlay(t, o).Sum()); diff != "" {
		t.Errorf("clock offsets change the results (-without +with):\n%s", diff)
	}
}

// recordingClient is a scripted client that records its answers.
type recordingClient struct {
	w    *World
	name string
	got  *[]string
}

// Answer records the verdict.
func (c recordingClient) Answer(_ *core.Request, a core.Answer) {
	*c.got = append(*c.got, fmt.Sprintf("%s %s doubt=%v", c.name, a.Verdict, a.InDoubt))
}

// The link delivers a load, then loses the reply. While the far site is silent, the client retries the
// same key at each gateway, 11 s and 13 s later. Within the window, the engines drop the repeat. After
// it, neither site sends the load, whether or not the link is back.
func TestLostReplyAndKey(t *testing.T) {
	for _, muted := range []time.Duration{9 * time.Second, 30 * time.Second} { // the link recovers before or after the client's retries
		o := defaultOptions(t)
		o.Gateways, o.Estimates = 1, false
		o.Warm = 20 * time.Second
		o.Events = []Event{{At: 0, Do: Lose, Site: 0, Part: 1}, {At: 10 * time.Second, Do: Return}}
		var got []string
		o.script = func(w *World) {
			at := func(d time.Duration, f func()) { w.queue.Add(origin+o.Warm+d, f) }
			send := func(name string, site int) {
				g := w.sites[site].gateways[0]
				w.ledger.tries["k-0-1"]++
				g.do(func() {
					g.core.Accept(&core.Request{ID: name, Class: "load", IdempotencyKey: "k-0-1", Statement: mark("k-0-1"), Deadline: g.Now() + 6*time.Second, Client: recordingClient{w, name, &got}})
				})
			}
			at(3*time.Second, func() { send("first", 0) })
			at(3*time.Second+100*time.Millisecond, func() { w.event(Event{Do: Mute, Site: 0}) })
			at(3*time.Second+muted, func() { w.event(Event{Do: Mend, Site: 0}) })
			at(14*time.Second, func() { send("far, 11 s", 1) })
			at(14*time.Second+time.Millisecond, func() { send("near, 11 s", 0) })
			at(16*time.Second, func() { send("far, 13 s", 1); send("near, 13 s", 0) })
		}
		r := mustPlay(t, o)
		for _, f := range r.Faults {
			t.Error(f)
		}
		want := []string{"first refused doubt=true", "far, 13 s failed doubt=true", "near, 13 s failed doubt=true", "far, 11 s served doubt=true", "near, 11 s served doubt=true"}
		slices.Sort(want)
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("link silent for %v: answers differ (-want +got):\n%s", muted, diff)
		}
	}
}

// Play rejects invalid options.
func TestOptions(t *testing.T) {
	o := defaultOptions(t)
	o.Events = []Event{{Do: "burn"}}
	if _, err := Play(o); err == nil {
		t.Error("Play accepted an unknown event, want an error")
	}
	if _, err := Play(Options{}); err == nil {
		t.Error("Play accepted empty options, want an error")
	}
}
