package site

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// peer has been up for long, takes so much work and has so much room.
func peer(cfg Config, now time.Duration, rtt time.Duration, takes, room float64) *Peer {
	p := &Peer{}
	for at := now - cfg.ColdFor - time.Second; at <= now; at += cfg.SilentAfter / 2 {
		p.Heard(cfg, at, rtt)
	}
	p.Told(cfg, now, Digest{Room: map[string]float64{"lookup": room}, Takes: takes})
	return p
}

// What is believed of a site, told as a story.
func TestStates(t *testing.T) {
	cfg := Defaults()
	p := &Peer{}
	var got []string
	at := func(now time.Duration) { got = append(got, p.State(cfg, now).String()) }
	now := time.Hour
	at(now)
	p.Heard(cfg, now, 40*ms)
	at(now)
	for range 40 {
		now += 500 * ms
		p.Heard(cfg, now, 40*ms)
	}
	at(now)
	for range 40 {
		now += 500 * ms
		p.Heard(cfg, now, 600*ms)
	}
	at(now)
	at(now + cfg.SilentAfter)
	now += 5 * time.Second
	p.Heard(cfg, now, 0)
	at(now)
	if r := p.Ramp(cfg, now+cfg.ColdFor/2); r < 0.55 || r > 0.65 {
		t.Errorf("half way up the ramp it is sent %g", r)
	}
	p.Drains()
	at(now)
	p.Leaves()
	at(now)
	if diff := cmp.Diff([]string{"silent", "cold", "up", "slow", "silent", "cold", "draining", "gone"}, got); diff != "" {
		t.Error(diff)
	}
}

// Where a query goes.
func TestChoose(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	usual := Query{Class: "lookup", Effect: Safe, Work: 0.2, Left: 2 * time.Second}
	change := func(f func(*Query)) Query { q := usual; f(&q); return q }
	there := Choice{There, 0}
	for name, tt := range map[string]struct {
		q    Query
		room float64
		peer *Peer
		want Choice
	}{
		"room here":              {usual, 0.5, peer(cfg, now, 40*ms, 10, 0.8), Choice{}},
		"none here, much there":  {usual, 0.05, peer(cfg, now, 40*ms, 10, 0.8), there},
		"none anywhere":          {usual, 0.05, peer(cfg, now, 40*ms, 10, 0.05), Choice{}},
		"it takes no more":       {usual, 0.05, peer(cfg, now, 40*ms, 0.1, 0.8), Choice{}},
		"it crossed already":     {change(func(q *Query) { q.Crossed = true }), 0.05, peer(cfg, now, 40*ms, 10, 0.8), Choice{}},
		"too late for the way":   {change(func(q *Query) { q.Left = 50 * ms }), 0.05, peer(cfg, now, 40*ms, 10, 0.8), Choice{}},
		"silent":                 {usual, 0.05, &Peer{}, Choice{}},
		"tried often enough":     {change(func(q *Query) { q.Sends = 3 }), 0.05, peer(cfg, now, 40*ms, 10, 0.8), Choice{Where: Answer}},
		"in doubt, may run once": {change(func(q *Query) { q.Effect, q.Sends, q.Doubt = Unsafe, 1, true }), 0.5, peer(cfg, now, 40*ms, 10, 0.8), Choice{Where: Answer}},
		"in doubt, keyed":        {change(func(q *Query) { q.Effect, q.Sends, q.Doubt, q.Window = Keyed, 1, true, 12*time.Second }), 0.05, peer(cfg, now, 40*ms, 10, 0.8), there},
		"window ends on the way": {change(func(q *Query) {
			q.Effect, q.Sends, q.Doubt, q.Window, q.FirstAgo = Keyed, 1, true, 12*time.Second, 11940*ms
		}), 0.05, peer(cfg, now, 40*ms, 10, 0.8), Choice{}},
		"window over": {change(func(q *Query) {
			q.Effect, q.Sends, q.Doubt, q.Window, q.FirstAgo = Keyed, 1, true, 12*time.Second, 11960*ms
		}), 0.5, peer(cfg, now, 40*ms, 10, 0.8), Choice{Where: Answer}},
		"never sent, may run once": {change(func(q *Query) { q.Effect = Unsafe }), 0.05, peer(cfg, now, 40*ms, 10, 0.8), there},
	} {
		if got := Choose(cfg, now, &tt.q, tt.room, []*Peer{tt.peer}); got != tt.want {
			t.Errorf("%s: %+v, want %+v", name, got, tt.want)
		}
	}
	near, far := peer(cfg, now, 20*ms, 10, 0.8), peer(cfg, now, 90*ms, 10, 0.8)
	if got := Choose(cfg, now, &usual, 0, []*Peer{far, near}); got != (Choice{There, 1}) {
		t.Errorf("of two the nearer: %+v", got)
	}
}

// A spill goes on until there is clearly room here, and flaps at no single figure.
func TestSpillDrainsBack(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	p := peer(cfg, now, 40*ms, 1000, 0.9)
	var got []Where
	for _, room := range []float64{0.2, 0.05, 0.2, 0.29, 0.35, 0.2, 0.12} {
		q := Query{Class: "lookup", Effect: Safe, Work: 0.2, Left: time.Second}
		got = append(got, Choose(cfg, now, &q, room, []*Peer{p}).Where)
	}
	if diff := cmp.Diff([]Where{Here, There, There, There, Here, Here, Here}, got); diff != "" {
		t.Error(diff)
	}
}

// Whatever comes when: nothing crosses to a site that is silent, draining or gone, nor a
// query that crossed; between two words of a site no more work crosses than it said it takes,
// and less while it is cold; nothing that may have run goes out against its class or window,
// nor more often than all sites together may.
func TestRulesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, now := Defaults(), time.Hour
		peers := []*Peer{{}, {}}
		sent, takes := []float64{0, 0}, []float64{0, 0}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 1).Draw(t, "site")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				peers[i].Heard(cfg, now, time.Duration(rapid.IntRange(0, 900).Draw(t, "rtt"))*ms)
			case 1, 2, 3:
				sent[i], takes[i] = 0, rapid.Float64Range(-1, 5).Draw(t, "takes")
				peers[i].Told(cfg, now, Digest{Room: map[string]float64{"lookup": rapid.Float64Range(0, 1).Draw(t, "room there")}, Takes: takes[i]})
				takes[i] = max(takes[i], 0) * peers[i].Ramp(cfg, now)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "end") == 0 {
					peers[i].Drains()
				}
			default:
				q := Query{Class: "lookup", Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Work: rapid.Float64Range(0.01, 2).Draw(t, "work"),
					Left: time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * ms, Crossed: rapid.Bool().Draw(t, "crossed"), Sends: rapid.IntRange(0, 4).Draw(t, "sends"),
					Doubt: rapid.Bool().Draw(t, "doubt"), FirstAgo: time.Duration(rapid.IntRange(0, 14000).Draw(t, "ago")) * ms, Window: 12 * time.Second}
				c := Choose(cfg, now, &q, rapid.Float64Range(0, 1).Draw(t, "room"), peers)
				if c.Where == Answer {
					break
				}
				if q.Sends >= cfg.Tries || q.Doubt && (q.Effect == Unsafe || q.Effect == Keyed && q.FirstAgo >= q.Window) {
					t.Fatalf("%+v goes out again: %+v", q, c)
				}
				if c.Where != There {
					break
				}
				p := peers[c.Peer]
				if s := p.State(cfg, now); q.Crossed || s == Silent || s == Draining || s == Gone {
					t.Fatalf("%+v crosses to a site that is %v", q, s)
				}
				if left, ok := Left(cfg, q.Left, p.Way()); !ok || left > q.Left {
					t.Fatalf("%v is left of %v", left, q.Left)
				}
				if sent[c.Peer] += q.Work; sent[c.Peer] > takes[c.Peer]+1e-9 {
					t.Fatalf("%g s of work crossed, and it takes %g", sent[c.Peer], takes[c.Peer])
				}
			}
		}
	})
}

// A site falls silent: what may be repeated is chosen for anew, all else is told to be in
// doubt, and nothing is left out.
func TestSilenced(t *testing.T) {
	cfg := Defaults()
	load := &Query{Effect: Keyed, Sends: 1, FirstAgo: time.Second, Window: 12 * time.Second}
	late := &Query{Effect: Keyed, Sends: 1, FirstAgo: 12 * time.Second, Window: 12 * time.Second}
	read, write := &Query{Effect: Safe, Sends: 1}, &Query{Effect: Unsafe, Sends: 1}
	anew, doubt := Silenced(cfg, []*Query{load, write, read, late})
	if len(anew) != 2 || anew[0] != load || anew[1] != read || len(doubt) != 2 || doubt[0] != write || doubt[1] != late {
		t.Errorf("anew %v, in doubt %v", anew, doubt)
	}
	if c := Choose(cfg, time.Hour, load, 0, nil); c.Where != Here {
		t.Errorf("the load goes %+v", c)
	}
}
