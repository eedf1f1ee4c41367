package remotesite

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// newTestPeer returns a peer that has been up for long, accepts so much work and has so much free
// capacity.
func newTestPeer(cfg Config, now, rtt time.Duration, work, freeCapacity float64) *Peer {
	p := &Peer{}
	p.SetConnected(true)
	for at := now - cfg.RampDuration - time.Second; at <= now; at += cfg.UnreachableAfter / 2 {
		p.RecordReply(cfg, at, rtt)
	}
	p.RecordDigest(cfg, now, Digest{FreeCapacity: map[string]float64{"lookup": freeCapacity}, AcceptableWork: work})
	return p
}

// TestPeerStateChanges checks the states of a peer over its life, with the reason for each change.
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
	p.RecordReply(cfg, now, 40*ms) // without a link it is unreachable all the same
	observe()
	p.SetConnected(true)
	observe()
	reply(40, 40*ms)
	reply(40, 600*ms)
	p.RecordDigest(cfg, now+cfg.UnreachableAfter, Digest{AcceptableWork: 5}) // a digest proves one way only
	now += cfg.UnreachableAfter
	observe()
	reply(1, 0)
	if r := p.RampFraction(cfg, now+cfg.RampDuration/2); r < 0.55 || r > 0.65 {
		t.Errorf("ramp fraction at half of the ramp = %g, want 0.6", r)
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
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestCreditDebtIsKept checks that what one large query took beyond a peer's credit is kept when the
// peer drains, leaves or becomes unreachable and reports anew: another query would be forwarded
// on next to nothing.
func TestCreditDebtIsKept(t *testing.T) {
	cfg := Defaults()
	for name, tt := range map[string]struct {
		between func(p *Peer, now time.Duration)
		gap     time.Duration
	}{
		"next digest": {func(*Peer, time.Duration) {}, 400 * ms},
		"drains":      {func(p *Peer, now time.Duration) { p.RecordDigest(cfg, now, Digest{Draining: true}) }, 400 * ms},
		"leaves":      {func(p *Peer, _ time.Duration) { p.RecordDeparture() }, 400 * ms},
		"unreachable": {func(*Peer, time.Duration) {}, cfg.UnreachableAfter},
	} {
		now := time.Hour
		p := newTestPeer(cfg, now, 40*ms, 0.25, 0.9)
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
