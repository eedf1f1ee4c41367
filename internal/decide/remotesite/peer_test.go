package remotesite

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// ms makes durations in the tests short to write.
const ms = time.Millisecond

// newTestPeer returns a peer past its ramp with the given acceptable work, in core-seconds, and free
// capacity for the class "lookup".
func newTestPeer(cfg Config, now, rtt time.Duration, work, freeCapacity float64) *Peer {
	p := &Peer{}
	p.SetConnected(true)
	for at := now - cfg.RampDuration - time.Second; at <= now; at += cfg.UnreachableAfter / 2 {
		p.RecordReply(cfg, at, rtt)
	}
	p.RecordDigest(cfg, now, Digest{FreeCapacity: map[string]float64{"lookup": freeCapacity}, AcceptableWork: work})
	return p
}

// TestPeerStateChanges checks the states that a peer goes through, with the reason for each change.
func TestPeerStateChanges(t *testing.T) {
	cfg := Defaults()
	p := &Peer{}
	var got [][2]string
	now := time.Hour
	observe := func() {
		if c, changed := p.StateChange(cfg, now); changed {
			got = append(got, [2]string{c.To.String(), c.Reason.String()})
		}
	}
	reply := func(n int, rtt time.Duration) {
		for range n {
			now += 500 * ms
			p.RecordReply(cfg, now, rtt)
		}
		observe()
	}
	observe()
	p.RecordReply(cfg, now, 40*ms) // it stays unreachable without a link
	observe()
	p.SetConnected(true)
	observe()
	reply(40, 40*ms)
	reply(40, 600*ms)
	p.RecordDigest(cfg, now+cfg.UnreachableAfter, Digest{AcceptableWork: 5}) // a digest is no reply: it proves one direction only
	now += cfg.UnreachableAfter
	observe()
	reply(1, 0)
	if got := p.RampFraction(cfg, now+cfg.RampDuration/2); got < 0.55 || got > 0.65 {
		t.Errorf("ramp fraction after half of the ramp = %g, want 0.55 to 0.65", got)
	}
	p.RecordDigest(cfg, now, Digest{Draining: true})
	observe()
	p.RecordDigest(cfg, now, Digest{})
	observe()
	p.SetDrained(true)
	observe()
	p.SetDrained(false)
	p.RecordDeparture()
	observe()
	reply(1, 0)
	p.SetConnected(false)
	observe()
	want := [][2]string{
		{"cold", "heard for the first time"}, {"up", "heard for 20s since its silence; round trip 40ms"}, {"slow", "round trip 597ms"},
		{"silent", "no reply for 1.5s"}, {"cold", "heard again after a silence"}, {"draining", "by its own word"}, {"cold", "heard again after a silence"},
		{"draining", "drained by an operator here"}, {"gone", "by its own word"}, {"cold", "heard again after a silence"}, {"silent", "its link is down"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states and reasons (-want +got):\n%s", diff)
	}
}

// TestCreditDebtIsKept checks that a peer keeps the negative credit left by a large query when it drains,
// leaves or becomes unreachable and then sends a digest. Otherwise a second large query would be
// forwarded although the peer accepts almost no work.
func TestCreditDebtIsKept(t *testing.T) {
	cfg := Defaults()
	for name, tt := range map[string]struct {
		event func(p *Peer, now time.Duration) // what happens after the first query
		gap   time.Duration                    // time until the next reply
	}{
		"sends the next digest": {func(*Peer, time.Duration) {}, 400 * ms},
		"drains":                {func(p *Peer, now time.Duration) { p.RecordDigest(cfg, now, Digest{Draining: true}) }, 400 * ms},
		"leaves":                {func(p *Peer, _ time.Duration) { p.RecordDeparture() }, 400 * ms},
		"becomes unreachable":   {func(*Peer, time.Duration) {}, cfg.UnreachableAfter},
	} {
		now := time.Hour
		p := newTestPeer(cfg, now, 40*ms, 0.25, 0.9)
		var c Chooser
		var got []Destination
		for range 2 {
			q := Query{Class: "lookup", Idempotency: Idempotent, Work: 2, PriorityWeight: 1, Remaining: 3 * time.Second}
			got = append(got, c.Choose(cfg, now, &q, 0, []*Peer{p}).Destination)
			tt.event(p, now)
			now += tt.gap
			p.RecordReply(cfg, now, 40*ms)
			p.RecordDigest(cfg, now, Digest{FreeCapacity: map[string]float64{"lookup": 0.9}, AcceptableWork: 0.25})
		}
		if diff := cmp.Diff([]Destination{Remote, Local}, got); diff != "" {
			t.Errorf("peer that %s: destinations (-want +got):\n%s", name, diff)
		}
	}
}
