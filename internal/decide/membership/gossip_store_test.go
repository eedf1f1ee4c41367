package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// checkGossip checks which messages of topic 5 each member knows. Each is given as "owner.key body".
func (f *testFleet) checkGossip(t *testing.T, when string, want ...string) {
	t.Helper()
	for _, n := range f.nodes {
		var got []string
		for _, g := range n.GossipMessages(5) {
			got = append(got, fmt.Sprintf("%d.%d %s", g.Owner, g.Key, g.Body))
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: gossip of member %d (-want +got):\n%s", when, n.self.id, diff)
		}
	}
}

// Although half of all datagrams are lost, gossip must reach all members, newer versions must replace older ones, and
// withdrawn messages must disappear. All messages of a member must expire after it has failed.
func TestGossipReachesAll(t *testing.T) {
	f := newTestFleet(7)
	random := rand.New(rand.NewPCG(1, 1))
	lossy := func(n *Node, s Send) []DatagramReceived {
		if random.IntN(2) == 0 {
			return nil
		}
		return reliable(n, s)
	}
	publish := func(n *Node, key uint32, body []byte) {
		t.Helper()
		if err := n.Publish(5, key, body); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.nodes[:3] {
		for key := range uint32(2) {
			publish(n, key, []byte("first"))
		}
	}
	f.run(40*time.Second, lossy)
	f.checkGossip(t, "after publishing", "1.0 first", "1.1 first", "2.0 first", "2.1 first", "3.0 first", "3.1 first")
	publish(f.nodes[0], 0, []byte("second"))
	publish(f.nodes[1], 1, nil)
	f.run(40*time.Second, lossy)
	f.checkGossip(t, "after changes", "1.0 second", "1.1 first", "2.0 first", "3.0 first", "3.1 first")

	f.nodes = f.nodes[1:]
	f.run(recentFailureWindow+15*time.Second, reliable)
	f.checkGossip(t, "after the failure of member 1", "2.0 first", "3.0 first", "3.1 first")
}

func TestGossipIsBounded(t *testing.T) {
	f := newTestFleet(2)
	n := f.nodes[0]
	if err := n.Publish(1, 1, make([]byte, MaxGossipBody+1)); !errors.Is(err, ErrGossipBodyTooLong) {
		t.Errorf("error for a body that is too long = %v, want %v", err, ErrGossipBodyTooLong)
	}
	for key := range uint32(MaxGossipPerOwner) {
		if err := n.Publish(1, key, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.Publish(1, MaxGossipPerOwner, []byte("x")); !errors.Is(err, ErrTooManyGossipMessages) {
		t.Errorf("error for one message too many = %v, want %v", err, ErrTooManyGossipMessages)
	}
	if err := n.Publish(1, 3, []byte("y")); err != nil {
		t.Errorf("error for a change of a message = %v, want none", err)
	}
	// Other members reject messages of an owner beyond the limit.
	other := f.nodes[1]
	for key := range uint32(500) {
		other.receiveGossip(GossipMessage{Topic: 2, Key: key, Owner: 1, Version: 1, Body: []byte("z")})
	}
	if count := len(other.GossipMessages(2)); count > 2*MaxGossipPerOwner || other.RejectedGossip == 0 {
		t.Errorf("%d messages are stored and %d were rejected, want at most %d stored and some rejected", count, other.RejectedGossip, 2*MaxGossipPerOwner)
	}
}
