package remotesite

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
	p.SetConnected(true)
	for at := now - cfg.RampDuration - time.Second; at <= now; at += cfg.UnreachableAfter / 2 {
		p.RecordReply(cfg, at, rtt)
	}
	p.RecordDigest(cfg, now, Digest{FreeCapacity: map[string]float64{"lookup": room}, AcceptableWork: takes})
	return p
}

// What is believed of a peer, told as a story, with the evidence for each change.
func TestStates(t *testing.T) {
	cfg := Defaults()
	p := &Peer{}
	var got [][2]string
	now := time.Hour
	at := func() {
		if c, changed := p.StateChange(cfg, now); changed {
			got = append(got, [2]string{c.To.String(), c.Reason})
		}
	}
	hear := func(n int, rtt time.Duration) {
		for range n {
			now += 500 * ms
			p.RecordReply(cfg, now, rtt)
		}
		at()
	}
	at()
	p.RecordReply(cfg, now, 40*ms) // without a link it is silent all the same
	at()
	p.SetConnected(true)
	at()
	hear(40, 40*ms)
	hear(40, 600*ms)
	p.RecordDigest(cfg, now+cfg.UnreachableAfter, Digest{AcceptableWork: 5}) // what it says proves one way only
	now += cfg.UnreachableAfter
	at()
	hear(1, 0)
	if r := p.RampFraction(cfg, now+cfg.RampDuration/2); r < 0.55 || r > 0.65 {
		t.Errorf("half way up the ramp it is sent %g", r)
	}
	p.RecordDigest(cfg, now, Digest{Draining: true})
	at()
	p.RecordDigest(cfg, now, Digest{})
	at()
	p.SetDrained(true)
	at()
	p.SetDrained(false)
	p.RecordDeparture()
	at()
	hear(1, 0)
	p.SetConnected(false)
	at()
	want := [][2]string{
		{"cold", "heard for the first time"}, {"up", "heard for 20s since its silence; round trip 40ms"}, {"slow", "round trip 597ms"},
		{"silent", "no reply for 1.5s"}, {"cold", "heard again after a silence"}, {"draining", "by its own word"}, {"cold", "heard again after a silence"},
		{"draining", "drained by an operator here"}, {"gone", "by its own word"}, {"cold", "heard again after a silence"}, {"silent", "its link is down"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Where a query goes.
func TestChoose(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	cfg.MinPriorityWeight = 0.5
	usual := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: 2 * time.Second}
	change := func(f func(*Query)) Query { q := usual; f(&q); return q }
	keyed := func(ago time.Duration) Query {
		return change(func(q *Query) {
			q.Idempotency, q.Attempts, q.MayHaveRun, q.DedupWindow, q.SinceFirstAttempt = IdempotentWithKey, 1, true, 12*time.Second, ago
		})
	}
	near := func() *Peer { return peer(cfg, now, 40*ms, 10, 0.8) }
	there := Choice{Remote, 0}
	for name, tt := range map[string]struct {
		q    Query
		room float64
		peer *Peer
		want Choice
	}{
		"room here":              {usual, 0.5, near(), Choice{}},
		"none here, much there":  {usual, 0.05, near(), there},
		"turned away here":       {change(func(q *Query) { q.RejectedLocally = true }), 0.9, near(), there},
		"none anywhere":          {usual, 0.05, peer(cfg, now, 40*ms, 10, 0.05), Choice{}},
		"it takes no more":       {usual, 0.05, peer(cfg, now, 40*ms, 0, 0.8), Choice{}},
		"it crossed already":     {change(func(q *Query) { q.Forwarded = true }), 0.05, near(), Choice{}},
		"not worth the crossing": {change(func(q *Query) { q.PriorityWeight = 0.4 }), 0.05, near(), Choice{}},
		"too late for the way":   {change(func(q *Query) { q.Remaining = 50 * ms }), 0.05, near(), Choice{}},
		"silent":                 {usual, 0.05, &Peer{}, Choice{}},
		"tried often enough":     {change(func(q *Query) { q.Attempts = 3 }), 0.05, near(), Choice{Destination: Reject}},
		"in doubt, may run once": {change(func(q *Query) { q.Attempts, q.MayHaveRun, q.Idempotency = 1, true, NotIdempotent }), 0.5, near(), Choice{Destination: Reject}},
		"in doubt, keyed":        {keyed(time.Second), 0.05, near(), there},
		"window ends on the way": {keyed(11940 * ms), 0.05, near(), Choice{}},
		"window over":            {keyed(11960 * ms), 0.5, near(), Choice{Destination: Reject}},
		"its key holds there only": {change(func(q *Query) {
			q.Idempotency, q.Attempts, q.MayHaveRun, q.DedupWindow, q.DedupNotShared = IdempotentWithKey, 1, true, 12*time.Second, true
		}), 0.5, near(), Choice{Destination: Reject}},
		"never sent, may run once": {change(func(q *Query) { q.Idempotency = NotIdempotent }), 0.05, near(), there},
	} {
		var c Chooser
		if got := c.Choose(cfg, now, &tt.q, tt.room, []*Peer{tt.peer}); got != tt.want {
			t.Errorf("%s: %+v, want %+v", name, got, tt.want)
		}
	}
	var c Chooser
	if got := c.Choose(cfg, now, &usual, 0, []*Peer{peer(cfg, now, 300*ms, 10, 0.8), near()}); got != (Choice{Remote, 1}) {
		t.Errorf("of two as empty the nearer: %+v", got)
	}
	liar := near()
	for range 20 {
		liar.RecordOutcome(now, false)
	}
	if got := c.Choose(cfg, now, &usual, 0, []*Peer{liar}); got.Destination != Local {
		t.Errorf("to one that turned all away: %+v", got)
	}
	if later := now + 20*time.Second; liar.Distrust(later) > 0.1 {
		t.Errorf("distrust is %g after 20 s", liar.Distrust(later))
	}
	stale := near()
	if got := c.Choose(cfg, now+cfg.DigestMaxAge, &usual, 0, []*Peer{stale}); got.Destination != Local {
		t.Errorf("on stale word: %+v", got)
	}
}

// A spill goes on until there is clearly room here, and flaps at no single figure; a group of
// tables stays where it is warm.
func TestSpillDrainsBack(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var c Chooser
	p := peer(cfg, now, 40*ms, 1000, 0.9)
	var got []Destination
	for _, room := range []float64{0.2, 0.05, 0.2, 0.29, 0.35, 0.2, 0.12} {
		q := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: time.Second}
		got = append(got, c.Choose(cfg, now, &q, room, []*Peer{p}).Destination)
	}
	if diff := cmp.Diff([]Destination{Local, Remote, Remote, Remote, Local, Local, Local}, got); diff != "" {
		t.Error(diff)
	}
	full, empty := peer(cfg, now, 40*ms, 1000, 0.80), peer(cfg, now, 40*ms, 1000, 0.85)
	q := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: time.Second, TableGroup: 7}
	c.warm.ran(now, 7, 0)
	if got := c.Choose(cfg, now, &q, 0, []*Peer{full, empty}); got != (Choice{Remote, 0}) {
		t.Errorf("a group that is warm at the first went %+v", got)
	}
	for g := range int64(3 * warmMost) {
		c.warm.ran(now, g+1, home)
	}
	if n := len(c.warm.at); n > warmMost {
		t.Errorf("%d groups are remembered", n)
	}
}

// What one large query took beyond a peer's credit is not forgotten when the peer drains, leaves or
// falls silent and says anew what it takes: another would cross on next to nothing.
func TestDebtStays(t *testing.T) {
	cfg := Defaults()
	for name, tt := range map[string]struct {
		between func(p *Peer, now time.Duration)
		gap     time.Duration
	}{
		"word by word": {func(*Peer, time.Duration) {}, 400 * ms},
		"drains":       {func(p *Peer, now time.Duration) { p.RecordDigest(cfg, now, Digest{Draining: true}) }, 400 * ms},
		"leaves":       {func(p *Peer, _ time.Duration) { p.RecordDeparture() }, 400 * ms},
		"silent":       {func(*Peer, time.Duration) {}, cfg.UnreachableAfter},
	} {
		now := time.Hour
		p := peer(cfg, now, 40*ms, 0.25, 0.9)
		var c Chooser
		var got []Destination
		for range 2 {
			q := Query{Class: "lookup", Idempotency: Idempotent, Work: 2, PriorityWeight: 1, Remaining: 3 * time.Second}
			got = append(got, c.Choose(cfg, now, &q, 0, []*Peer{p}).Destination)
			tt.between(p, now)
			now += tt.gap
			p.RecordReply(cfg, now, 40*ms)
			p.RecordDigest(cfg, now, Digest{FreeCapacity: map[string]float64{"lookup": 0.9}, AcceptableWork: 0.25})
		}
		if diff := cmp.Diff([]Destination{Remote, Local}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Whatever comes when: nothing crosses to a site that is silent, draining or gone, nor a
// query that crossed; over any time no more work crosses than the site said it takes, but for one
// query at a time; nothing that may have run goes out against its class or window, nor more often
// than all sites together may.
func TestRulesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, now := Defaults(), time.Hour
		peers := []*Peer{{}, {}}
		var c Chooser
		sent, takes, largest := []float64{0, 0}, []float64{0, 0}, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 1).Draw(t, "site")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				peers[i].SetConnected(rapid.IntRange(0, 9).Draw(t, "linked") > 0)
				peers[i].RecordReply(cfg, now, time.Duration(rapid.IntRange(0, 900).Draw(t, "rtt"))*ms)
			case 1, 2, 3:
				d := Digest{FreeCapacity: map[string]float64{"lookup": rapid.Float64Range(-1, 2).Draw(t, "room there")}, AcceptableWork: rapid.Float64Range(-1, 5).Draw(t, "takes"),
					Draining: rapid.IntRange(0, 9).Draw(t, "drains") == 0}
				peers[i].RecordDigest(cfg, now, d)
				takes[i] += max(d.AcceptableWork, 0)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "end") == 0 {
					peers[i].RecordDeparture()
				}
				peers[i].RecordOutcome(now, rapid.Bool().Draw(t, "well"))
			default:
				q := Query{Class: "lookup", Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "effect")), Work: rapid.Float64Range(0.01, 2).Draw(t, "work"), PriorityWeight: 1,
					Remaining: time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * ms, Forwarded: rapid.Bool().Draw(t, "crossed"), Attempts: rapid.IntRange(0, 4).Draw(t, "sends"),
					MayHaveRun: rapid.Bool().Draw(t, "doubt"), SinceFirstAttempt: time.Duration(rapid.IntRange(0, 14000).Draw(t, "ago")) * ms, DedupWindow: 12 * time.Second,
					DedupNotShared: rapid.Bool().Draw(t, "there only"), RejectedLocally: rapid.Bool().Draw(t, "turned")}
				choice := c.Choose(cfg, now, &q, rapid.Float64Range(0, 1).Draw(t, "room"), peers)
				if choice.Destination == Reject {
					break
				}
				if q.Attempts >= cfg.MaxAttempts || q.MayHaveRun && (q.Idempotency == NotIdempotent || q.Idempotency == IdempotentWithKey && (q.DedupNotShared || q.SinceFirstAttempt >= q.DedupWindow)) {
					t.Fatalf("%+v goes out again: %+v", q, choice)
				}
				if n := AttemptGrant(cfg, &q); n < 1 || n+q.Attempts > cfg.MaxAttempts {
					t.Fatalf("%+v: the other site may send it %d times", q, n)
				}
				if choice.Destination != Remote {
					break
				}
				p := peers[choice.Peer]
				if s := p.State(cfg, now); q.Forwarded || s == Unreachable || s == Draining || s == Departed {
					t.Fatalf("%+v crosses to a site that is %v", q, s)
				}
				if left, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay()); !ok || left > q.Remaining {
					t.Fatalf("%v is left of %v", left, q.Remaining)
				}
				largest = max(largest, q.Work)
				if sent[choice.Peer] += q.Work; sent[choice.Peer] > takes[choice.Peer]+largest+1e-9 {
					t.Fatalf("%g s of work crossed, and it takes %g", sent[choice.Peer], takes[choice.Peer])
				}
			}
		}
	})
}

// What becomes of a query whose crossing brought no answer.
func TestAfter(t *testing.T) {
	cfg := Defaults()
	for name, tt := range map[string]struct {
		q    Query
		end  Failure
		want NextStep
	}{
		"read, in doubt":              {Query{Idempotency: Idempotent, Attempts: 1}, InDoubt, RunLocally},
		"read, tried enough":          {Query{Idempotency: Idempotent, Attempts: 3}, InDoubt, ReportRejected},
		"write, in doubt":             {Query{Idempotency: NotIdempotent, Attempts: 1}, InDoubt, ReportInDoubt},
		"write, never ran":            {Query{Idempotency: NotIdempotent}, NeverRan, RunLocally},
		"never ran, no room here":     {Query{Idempotency: Idempotent, RejectedLocally: true}, NeverRan, ReportRejected},
		"in doubt, no room here":      {Query{Idempotency: Idempotent, RejectedLocally: true, Attempts: 1}, InDoubt, RunLocally},
		"load, in doubt":              {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: time.Second, DedupWindow: 12 * time.Second}, InDoubt, RunLocally},
		"load, 11 s":                  {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: 11 * time.Second, DedupWindow: 12 * time.Second}, InDoubt, RunLocally},
		"load, 13 s":                  {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: 13 * time.Second, DedupWindow: 12 * time.Second}, InDoubt, ReportInDoubt},
		"load, other engines' key":    {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: time.Second, DedupWindow: 12 * time.Second, DedupNotShared: true}, InDoubt, ReportInDoubt},
		"load, never ran, its window": {Query{Idempotency: IdempotentWithKey, SinceFirstAttempt: time.Hour, DedupWindow: 12 * time.Second}, NeverRan, RunLocally},
	} {
		if got := AfterFailure(cfg, &tt.q, tt.end); got != tt.want {
			t.Errorf("%s: %d, want %d", name, got, tt.want)
		}
	}
}

// The room of a site follows what it has out, what it turns away, what engines report and
// what is cold; and what it offers is divided, never multiplied.
func TestMeter(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	m := NewCapacityMeter(cfg, 2)
	if r := m.FreeCapacity(now, "lookup"); r != 0 {
		t.Errorf("without an engine it has room for %g", r)
	}
	m.UpdateEngine("a", Engine{Cores: 8, Live: true})
	m.UpdateEngine("b", Engine{Cores: 8, Live: true, WarmUpUntil: now + 10*time.Second, WarmUpPeriod: 10 * time.Second, WarmUpMinCapacity: 0.25})
	if c := m.AvailableCores(now); c != 10 {
		t.Errorf("with one of two engines cold it has %g cores", c)
	}
	if m.Accepts(now, &Query{Class: "lookup", Work: 2, Remaining: time.Second}) || !m.Accepts(now, &Query{Class: "lookup", Work: 0.5, Remaining: time.Second}) {
		t.Error("of other sites' work a cold site takes small pieces only")
	}
	now += 10 * time.Second
	m.AttemptStarted(8)
	if r := m.FreeCapacity(now, "lookup"); r != 0.5 {
		t.Errorf("with 8 of 32 threads out of each of two gateways there is room for %g", r)
	}
	for range 10 {
		m.RecordArrival(now, "lookup")
	}
	m.RecordRejection(now, "lookup")
	if r := m.FreeCapacity(now, "lookup"); r != 0.4 || m.FreeCapacity(now, "report") != 0.5 {
		t.Errorf("with a tenth turned away there is room for %g", r)
	}
	m.RecordUtilization(now, 1)
	for range 60 {
		m.RecordUtilization(now, 1)
	}
	if r := m.FreeCapacity(now, "report"); r > 0.51 || r < 0.49 {
		t.Errorf("with all cores in use there is room for %g", r)
	}
	for range 20 {
		m.RecordLatency("lookup", 300*ms, 0.2)
	}
	if m.Accepts(now, &Query{Class: "lookup", Work: 0.2, Remaining: 150 * ms}) || !m.Accepts(now, &Query{Class: "lookup", Work: 0.2, Remaining: 400 * ms}) ||
		m.Accepts(now, &Query{Class: "lookup", Work: 2, Remaining: 400 * ms}) {
		t.Error("what can't be in time is refused at once, and only that")
	}
	m.UpdateEngine("a", Engine{})
	m.UpdateEngine("b", Engine{})
	if d := m.Digest(now, []string{"lookup"}); d.AcceptableWork != 0 || d.FreeCapacity["lookup"] != 0 {
		t.Errorf("without engines it says %+v", d)
	}
	rapid.Check(t, func(t *rapid.T) {
		takes := rapid.Float64Range(-1, 100).Draw(t, "takes")
		sum := 0.0
		for _, p := range DivideWork(takes, rapid.SliceOf(rapid.Float64Range(-1, 50)).Draw(t, "asked")) {
			if sum += p; p < 0 {
				t.Fatal("a part below 0")
			}
		}
		if sum > max(takes, 0)+1e-9 {
			t.Fatalf("%g of %g", sum, takes)
		}
	})
}

// Hedges are of safe queries, late, where there is room, and within their budget.
func TestHedge(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var h Hedger
	if _, ok := h.Delay("lookup"); ok {
		t.Error("nothing is known yet")
	}
	for range 30 {
		h.RecordLatency("lookup", 200*ms)
		h.RecordForward(now)
	}
	if d, ok := h.Delay("lookup"); !ok || d < 200*ms || d > 500*ms {
		t.Errorf("late after %v", d)
	}
	n := 0
	for range 20 {
		if h.Allow(cfg, now, &Query{Idempotency: Idempotent, Attempts: 1}, 0.5) {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d hedges for 30 crossings", n)
	}
	now += 10 * time.Minute
	for _, q := range []*Query{{Idempotency: IdempotentWithKey}, {Idempotency: NotIdempotent}, {Idempotency: Idempotent, Attempts: 3}} {
		if h.Allow(cfg, now, q, 0.5) {
			t.Errorf("%+v is hedged", q)
		}
	}
	if h.Allow(cfg, now, &Query{Idempotency: Idempotent}, 0.01) || !h.Allow(cfg, now, &Query{Idempotency: Idempotent}, 0.5) {
		t.Error("a hedge wants room here")
	}
}

// The earliest send of a key counts, whoever tells of it, and what is remembered is bounded.
func TestKeys(t *testing.T) {
	now := time.Hour
	k := NewKeyHistory(time.Minute, 3)
	k.Record(now, "a", now, false)
	k.Record(now, "a", now-2*time.Second, true)
	if k.Record(now, "a", now, false) {
		t.Error("a later send is news")
	}
	if at, elsewhere, ok := k.FirstSend(now, "a"); !ok || at != now-2*time.Second || !elsewhere {
		t.Error(at, elsewhere, ok)
	}
	k.Retract("a", now)
	if _, _, ok := k.FirstSend(now, "a"); !ok {
		t.Error("a send that never ran took another one back")
	}
	k.Retract("a", now-2*time.Second)
	if _, _, ok := k.FirstSend(now, "a"); ok {
		t.Error("it never ran")
	}
	if k.Record(now, "old", now-time.Hour, true) || k.Record(now, "", now, true) {
		t.Error("what is past or no key is news")
	}
	for _, key := range []string{"b", "c", "d", "e"} {
		k.Record(now, key, now, false)
	}
	if _, _, ok := k.FirstSend(now, "b"); ok || k.Len() != 3 {
		t.Errorf("%d keys", k.Len())
	}
	if _, _, ok := k.FirstSend(now+time.Minute, "e"); ok {
		t.Error("remembered past its time")
	}
}
