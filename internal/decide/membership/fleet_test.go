package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTestNode returns a member with members 1 to 5 configured.
func newTestNode(id ID, seed uint64) *Node {
	return New(DefaultConfig(), id, 1, []ID{1, 2, 3, 4, 5}, time.Hour, rand.New(rand.NewPCG(seed, 1)))
}

// testFleet is a fleet in virtual time. Datagrams arrive in the step after the one in which they were sent.
type testFleet struct {
	nodes   []*Node
	now     time.Duration
	reports []MemberReport // reports about members other than the reporting one
}

// transport returns the datagrams that arrive when one is sent: none, the same one, or different ones.
type transport func(from *Node, s Send) []DatagramReceived

// reliable is a transport that delivers each datagram once, unchanged.
func reliable(from *Node, s Send) []DatagramReceived {
	return []DatagramReceived{{from.self.id, s.Payload}}
}

// newTestFleet returns a fleet of the given size whose members have discovered each other.
func newTestFleet(size int) *testFleet {
	f := &testFleet{now: time.Hour}
	for id := ID(1); int(id) <= size; id++ {
		f.nodes = append(f.nodes, newTestNode(id, uint64(id)))
	}
	f.run(10*time.Second, reliable)
	f.reports = nil
	return f
}

// run advances the fleet by a duration.
func (f *testFleet) run(duration time.Duration, transport transport) {
	inTransit := map[ID][]DatagramReceived{}
	for end := f.now + duration; f.now < end; f.now += 50 * time.Millisecond {
		for _, n := range f.nodes {
			actions := n.Handle(f.now, Tick{})
			for _, d := range inTransit[n.self.id] {
				actions = append(actions, n.Handle(f.now, d)...)
			}
			delete(inTransit, n.self.id)
			for _, a := range actions {
				switch a := a.(type) {
				case MemberReport:
					if a.Member != n.self.id {
						f.reports = append(f.reports, a)
					}
				case Send:
					inTransit[a.To] = append(inTransit[a.To], transport(n, a)...)
				}
			}
		}
	}
}

// checkAgreement checks that all members have the same view, of as many members as the fleet has.
func (f *testFleet) checkAgreement(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		view := n.views.current
		if view.Size != len(f.nodes) || view.Digest != f.nodes[0].views.current.Digest {
			t.Errorf("view of member %d = %+v, want %d members and the digest of the first member", n.self.id, view, len(f.nodes))
		}
	}
}
