package remotesite

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestChoose checks the destination of a single query with one peer.
func TestChoose(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	cfg.MinPriorityWeight = 0.5
	baseQuery := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: 2 * time.Second}
	modified := func(modify func(*Query)) Query { q := baseQuery; modify(&q); return q }
	retryWithKey := func(sinceFirst time.Duration) Query {
		return modified(func(q *Query) {
			q.Idempotency, q.Attempts, q.MayHaveRun, q.DedupWindow, q.SinceFirstAttempt = IdempotentWithKey, 1, true, 12*time.Second, sinceFirst
		})
	}
	nearPeer := func() *Peer { return newTestPeer(cfg, now, 40*ms, 10, 0.8) }
	forward := Choice{Remote, 0}
	for name, tt := range map[string]struct {
		q            Query
		freeCapacity float64
		peer         *Peer
		want         Choice
	}{
		"free capacity here":                     {baseQuery, 0.5, nearPeer(), Choice{}},
		"no free capacity here":                  {baseQuery, 0.05, nearPeer(), forward},
		"rejected here":                          {modified(func(q *Query) { q.RejectedLocally = true }), 0.9, nearPeer(), forward},
		"no free capacity anywhere":              {baseQuery, 0.05, newTestPeer(cfg, now, 40*ms, 10, 0.05), Choice{}},
		"peer accepts no more work":              {baseQuery, 0.05, newTestPeer(cfg, now, 40*ms, 0, 0.8), Choice{}},
		"already forwarded":                      {modified(func(q *Query) { q.Forwarded = true }), 0.05, nearPeer(), Choice{}},
		"priority weight too low":                {modified(func(q *Query) { q.PriorityWeight = 0.4 }), 0.05, nearPeer(), Choice{}},
		"remaining time too short for the delay": {modified(func(q *Query) { q.Remaining = 50 * ms }), 0.05, nearPeer(), Choice{}},
		"peer unreachable":                       {baseQuery, 0.05, &Peer{}, Choice{}},
		"no attempts left":                       {modified(func(q *Query) { q.Attempts = 3 }), 0.05, nearPeer(), Choice{Destination: Reject}},
		"in doubt, not idempotent":               {modified(func(q *Query) { q.Attempts, q.MayHaveRun, q.Idempotency = 1, true, NotIdempotent }), 0.5, nearPeer(), Choice{Destination: Reject}},
		"in doubt, idempotent with key":          {retryWithKey(time.Second), 0.05, nearPeer(), forward},
		"dedup window ends before arrival":       {retryWithKey(11940 * ms), 0.05, nearPeer(), Choice{}},
		"dedup window expired":                   {retryWithKey(11960 * ms), 0.5, nearPeer(), Choice{Destination: Reject}},
		"dedup not shared": {modified(func(q *Query) {
			q.Idempotency, q.Attempts, q.MayHaveRun, q.DedupWindow, q.DedupNotShared = IdempotentWithKey, 1, true, 12*time.Second, true
		}), 0.5, nearPeer(), Choice{Destination: Reject}},
		"first attempt, not idempotent": {modified(func(q *Query) { q.Idempotency = NotIdempotent }), 0.05, nearPeer(), forward},
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
	nearPeer := func() *Peer { return newTestPeer(cfg, now, 40*ms, 10, 0.8) }
	farPeer := newTestPeer(cfg, now, 300*ms, 10, 0.8)
	var c Chooser
	if got, want := c.Choose(cfg, now, &query, 0, []*Peer{farPeer, nearPeer()}), (Choice{Remote, 1}); got != want {
		t.Errorf("choice between two peers with equal capacity = %+v, want the nearer one, %+v", got, want)
	}
	failingPeer := nearPeer()
	for range 20 {
		failingPeer.RecordFailure(now)
	}
	if got := c.Choose(cfg, now, &query, 0, []*Peer{failingPeer}); got.Destination != Local {
		t.Errorf("choice with a peer that has failed 20 times = %+v, want a local one", got)
	}
	if distrust := failingPeer.Distrust(now + 20*time.Second); distrust > 0.1 {
		t.Errorf("distrust after 20 s = %g, want at most 0.1", distrust)
	}
	if got := c.Choose(cfg, now+cfg.DigestMaxAge, &query, 0, []*Peer{nearPeer()}); got.Destination != Local {
		t.Errorf("choice with an expired digest = %+v, want a local one", got)
	}
}

// TestSpillHysteresis checks that forwarding continues until this site clearly has free capacity, so that
// it doesn't switch on and off around a single threshold.
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

// TestDataSetAffinity checks that a query goes to the peer where its data set is warm, and that the
// number of remembered data sets is bounded.
func TestDataSetAffinity(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var c Chooser
	warm, larger := newTestPeer(cfg, now, 40*ms, 1000, 0.80), newTestPeer(cfg, now, 40*ms, 1000, 0.85)
	q := Query{Class: "lookup", Idempotency: Idempotent, Work: 0.2, PriorityWeight: 1, Remaining: time.Second, DataSet: 7}
	c.affinity.record(now, 7, 0)
	if got, want := c.Choose(cfg, now, &q, 0, []*Peer{warm, larger}), (Choice{Remote, 0}); got != want {
		t.Errorf("choice for a data set that is warm at the first peer = %+v, want %+v", got, want)
	}
	for i := range int64(3 * maxAffinityDataSets) {
		c.affinity.record(now, i+1, localSite)
	}
	if n := len(c.affinity.lastRuns); n > maxAffinityDataSets {
		t.Errorf("remembered data sets = %d, want at most %d", n, maxAffinityDataSets)
	}
}

// TestChooseInvariants checks for any order of events:
//   - no query is forwarded to a peer that is unreachable, draining or departed, and none twice;
//   - no more work is forwarded to a peer than it has accepted, beyond one query;
//   - a query that may have run is attempted again only if its idempotency and dedup window permit it;
//   - the sites together make no more than Config.MaxAttempts attempts at a query.
func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, now := Defaults(), time.Hour
		peers := []*Peer{{}, {}}
		var c Chooser
		forwarded, accepted, largest := []float64{0, 0}, []float64{0, 0}, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			i := rapid.IntRange(0, 1).Draw(t, "peer")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				peers[i].SetConnected(rapid.IntRange(0, 9).Draw(t, "connected") > 0)
				peers[i].RecordReply(cfg, now, time.Duration(rapid.IntRange(0, 900).Draw(t, "rtt"))*ms)
			case 1, 2, 3:
				d := Digest{FreeCapacity: map[string]float64{"lookup": rapid.Float64Range(-1, 2).Draw(t, "free capacity of the peer")}, AcceptableWork: rapid.Float64Range(-1, 5).Draw(t, "acceptable work"),
					Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0}
				peers[i].RecordDigest(cfg, now, d)
				accepted[i] += max(d.AcceptableWork, 0)
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "departs") == 0 {
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
					t.Fatalf("choice for %+v = %+v, want no further attempt", q, choice)
				}
				if n := AttemptGrant(cfg, &q); n < 1 || n+q.Attempts > cfg.MaxAttempts {
					t.Fatalf("AttemptGrant(%+v) = %d, want at least 1 and at most %d attempts in all", q, n, cfg.MaxAttempts)
				}
				if choice.Destination != Remote {
					break
				}
				p := peers[choice.Peer]
				if s := p.State(cfg, now); q.Forwarded || s == Unreachable || s == Draining || s == Departed {
					t.Fatalf("%+v is forwarded to a peer in state %v, want an available peer and a query not forwarded before", q, s)
				}
				if remaining, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay()); !ok || remaining > q.Remaining {
					t.Fatalf("RemainingAfter = %v, %v, want true and at most %v", remaining, ok, q.Remaining)
				}
				largest = max(largest, q.Work)
				if forwarded[choice.Peer] += q.Work; forwarded[choice.Peer] > accepted[choice.Peer]+largest+1e-9 {
					t.Fatalf("forwarded work = %g core-seconds, want at most the accepted %g and one query of up to %g", forwarded[choice.Peer], accepted[choice.Peer], largest)
				}
			}
		}
	})
}
