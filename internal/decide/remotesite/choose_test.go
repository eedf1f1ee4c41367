package remotesite

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestChoose checks the destinations of single queries.
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
	near := func() *Peer { return newTestPeer(cfg, now, 40*ms, 10, 0.8) }
	forwarded := Choice{Remote, 0}
	for name, tt := range map[string]struct {
		q            Query
		freeCapacity float64
		peer         *Peer
		want         Choice
	}{
		"capacity here":                 {usual, 0.5, near(), Choice{}},
		"none here, much there":         {usual, 0.05, near(), forwarded},
		"rejected here":                 {change(func(q *Query) { q.RejectedLocally = true }), 0.9, near(), forwarded},
		"none anywhere":                 {usual, 0.05, newTestPeer(cfg, now, 40*ms, 10, 0.05), Choice{}},
		"peer accepts no more work":     {usual, 0.05, newTestPeer(cfg, now, 40*ms, 0, 0.8), Choice{}},
		"forwarded already":             {change(func(q *Query) { q.Forwarded = true }), 0.05, near(), Choice{}},
		"priority weight too low":       {change(func(q *Query) { q.PriorityWeight = 0.4 }), 0.05, near(), Choice{}},
		"too late for the delay":        {change(func(q *Query) { q.Remaining = 50 * ms }), 0.05, near(), Choice{}},
		"unreachable":                   {usual, 0.05, &Peer{}, Choice{}},
		"no attempts left":              {change(func(q *Query) { q.Attempts = 3 }), 0.05, near(), Choice{Destination: Reject}},
		"in doubt, not idempotent":      {change(func(q *Query) { q.Attempts, q.MayHaveRun, q.Idempotency = 1, true, NotIdempotent }), 0.5, near(), Choice{Destination: Reject}},
		"in doubt, idempotent with key": {keyed(time.Second), 0.05, near(), forwarded},
		"dedup window ends on the way":  {keyed(11940 * ms), 0.05, near(), Choice{}},
		"dedup window over":             {keyed(11960 * ms), 0.5, near(), Choice{Destination: Reject}},
		"dedup not shared": {change(func(q *Query) {
			q.Idempotency, q.Attempts, q.MayHaveRun, q.DedupWindow, q.DedupNotShared = IdempotentWithKey, 1, true, 12*time.Second, true
		}), 0.5, near(), Choice{Destination: Reject}},
		"never sent, not idempotent": {change(func(q *Query) { q.Idempotency = NotIdempotent }), 0.05, near(), forwarded},
	} {
		t.Run(name, func(t *testing.T) {
			var c Chooser
			if got := c.Choose(cfg, now, &tt.q, tt.freeCapacity, []*Peer{tt.peer}); got != tt.want {
				t.Errorf("choice = %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestChoosePeer checks which peer a query is forwarded to.
func TestChoosePeer(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	query := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: 2 * time.Second}
	near := func() *Peer { return newTestPeer(cfg, now, 40*ms, 10, 0.8) }
	far := newTestPeer(cfg, now, 300*ms, 10, 0.8)
	var c Chooser
	if got, want := c.Choose(cfg, now, &query, 0, []*Peer{far, near()}), (Choice{Remote, 1}); got != want {
		t.Errorf("choice of two with equal capacity = %+v, want the nearer, %+v", got, want)
	}
	failing := near()
	for range 20 {
		failing.RecordFailure(now)
	}
	if got := c.Choose(cfg, now, &query, 0, []*Peer{failing}); got.Destination != Local {
		t.Errorf("choice with a peer that rejected all = %+v, want a local one", got)
	}
	if distrust := failing.Distrust(now + 20*time.Second); distrust > 0.1 {
		t.Errorf("distrust after 20 s = %g, want at most 0.1", distrust)
	}
	if got := c.Choose(cfg, now+cfg.DigestMaxAge, &query, 0, []*Peer{near()}); got.Destination != Local {
		t.Errorf("choice on an expired digest = %+v, want a local one", got)
	}
}

// TestSpillHysteresis checks that forwarding goes on until there is clearly free capacity here, and
// does not flap at one figure.
func TestSpillHysteresis(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var c Chooser
	p := newTestPeer(cfg, now, 40*ms, 1000, 0.9)
	var got []Destination
	for _, freeCapacity := range []float64{0.2, 0.05, 0.2, 0.29, 0.35, 0.2, 0.12} {
		q := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: time.Second}
		got = append(got, c.Choose(cfg, now, &q, freeCapacity, []*Peer{p}).Destination)
	}
	if diff := cmp.Diff([]Destination{Local, Remote, Remote, Remote, Local, Local, Local}, got); diff != "" {
		t.Errorf("destinations (-want +got):\n%s", diff)
	}
}

// TestDataSetAffinity checks that a data set stays where it is warm, and that what is
// remembered is bounded.
func TestDataSetAffinity(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var c Chooser
	warm, larger := newTestPeer(cfg, now, 40*ms, 1000, 0.80), newTestPeer(cfg, now, 40*ms, 1000, 0.85)
	q := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: time.Second, DataSet: 7}
	c.affinity.record(now, 7, 0)
	if got, want := c.Choose(cfg, now, &q, 0, []*Peer{warm, larger}), (Choice{Remote, 0}); got != want {
		t.Errorf("choice for a data set that is warm at the first peer = %+v, want %+v", got, want)
	}
	for g := range int64(3 * maxAffinityDataSets) {
		c.affinity.record(now, g+1, localSite)
	}
	if n := len(c.affinity.lastRuns); n > maxAffinityDataSets {
		t.Errorf("data sets remembered = %d, want at most %d", n, maxAffinityDataSets)
	}
}

// TestChooseInvariants checks, for any order of events, that nothing is forwarded to a peer that is
// unreachable, draining or gone, nor a forwarded query; that over any time no more work is
// forwarded than the peer accepts, but for one query at a time; and that nothing that may have run
// is attempted against its idempotency or window, nor more often than all sites together may.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, now := Defaults(), time.Hour
		peers := []*Peer{{}, {}}
		var c Chooser
		forwarded, accepted, largest := []float64{0, 0}, []float64{0, 0}, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 1).Draw(t, "site")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				peers[i].SetConnected(rapid.IntRange(0, 9).Draw(t, "linked") > 0)
				peers[i].RecordReply(cfg, now, time.Duration(rapid.IntRange(0, 900).Draw(t, "rtt"))*ms)
			case 1, 2, 3:
				d := Digest{FreeCapacity: map[string]float64{"lookup": rapid.Float64Range(-1, 2).Draw(t, "free capacity there")}, AcceptableWork: rapid.Float64Range(-1, 5).Draw(t, "acceptable work"),
					Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0}
				peers[i].RecordDigest(cfg, now, d)
				accepted[i] += max(d.AcceptableWork, 0)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "end") == 0 {
					peers[i].RecordDeparture()
				}
				if rapid.Bool().Draw(t, "served") {
					peers[i].RecordSuccess(now)
				} else {
					peers[i].RecordFailure(now)
				}
			default:
				q := Query{Class: "lookup", Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")), Work: rapid.Float64Range(0.01, 2).Draw(t, "work"), PriorityWeight: 1,
					Remaining: time.Duration(rapid.IntRange(0, 3000).Draw(t, "remaining")) * ms, Forwarded: rapid.Bool().Draw(t, "forwarded"), Attempts: rapid.IntRange(0, 4).Draw(t, "attempts"),
					MayHaveRun: rapid.Bool().Draw(t, "may have run"), SinceFirstAttempt: time.Duration(rapid.IntRange(0, 14000).Draw(t, "since first attempt")) * ms, DedupWindow: 12 * time.Second,
					DedupNotShared: rapid.Bool().Draw(t, "dedup not shared"), RejectedLocally: rapid.Bool().Draw(t, "rejected")}
				choice := c.Choose(cfg, now, &q, rapid.Float64Range(0, 1).Draw(t, "free capacity"), peers)
				if choice.Destination == Reject {
					break
				}
				if q.Attempts >= cfg.MaxAttempts || q.MayHaveRun && (q.Idempotency == NotIdempotent || q.Idempotency == IdempotentWithKey && (q.DedupNotShared || q.SinceFirstAttempt >= q.DedupWindow)) {
					t.Fatalf("%+v is attempted again: %+v", q, choice)
				}
				if n := AttemptGrant(cfg, &q); n < 1 || n+q.Attempts > cfg.MaxAttempts {
					t.Fatalf("%+v: attempts granted to the other site = %d", q, n)
				}
				if choice.Destination != Remote {
					break
				}
				p := peers[choice.Peer]
				if s := p.State(cfg, now); q.Forwarded || s == Unreachable || s == Draining || s == Departed {
					t.Fatalf("%+v is forwarded to a peer that is %v", q, s)
				}
				if left, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay()); !ok || left > q.Remaining {
					t.Fatalf("remaining after the delay = %v of %v", left, q.Remaining)
				}
				largest = max(largest, q.Work)
				if forwarded[choice.Peer] += q.Work; forwarded[choice.Peer] > accepted[choice.Peer]+largest+1e-9 {
					t.Fatalf("work forwarded = %g s, accepted %g", forwarded[choice.Peer], accepted[choice.Peer])
				}
			}
		}
	})
}
