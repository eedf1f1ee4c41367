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

// A rumour reaches all though half of what is sent is lost, the later version wins, what is taken back is gone, and what a
// member said goes with it.
func TestRumours(t *testing.T) {
	f := fewOf(7)
	chance := rand.New(rand.NewPCG(1, 1))
	loss := func(m *Node, s Send) []DatagramReceived {
		if chance.IntN(2) == 0 {
			return nil
		}
		return []DatagramReceived{{m.self.id, s.Payload}}
	}
	same := func(what string, want ...string) {
		t.Helper()
		for _, m := range f.all {
			var got []string
			for _, r := range m.GossipMessages(5) {
				got = append(got, fmt.Sprintf("%d.%d %s", r.Owner, r.Key, r.Body))
			}
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("%s, member %d: %s", what, m.self.id, diff)
			}
		}
	}
	for _, m := range f.all[:3] {
		for key := range uint32(2) {
			if err := m.Publish(5, key, []byte("first")); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.run(f.now+40*time.Second, loss)
	same("at first", "1.0 first", "1.1 first", "2.0 first", "2.1 first", "3.0 first", "3.1 first")
	_ = f.all[0].Publish(5, 0, []byte("second")) // of what it has, this never fails
	_ = f.all[1].Publish(5, 1, nil)
	f.run(f.now+40*time.Second, loss)
	same("later", "1.0 second", "1.1 first", "2.0 first", "3.0 first", "3.1 first")

	f.all = f.all[1:]
	f.run(f.now+recentMemory+15*time.Second, nil)
	same("without the first", "2.0 first", "3.0 first", "3.1 first")
}

func TestRumoursAreBounded(t *testing.T) {
	f := fewOf(2)
	m := f.all[0]
	if err := m.Publish(1, 1, make([]byte, MaxGossipBody+1)); !errors.Is(err, ErrGossipBodyTooLong) {
		t.Errorf("a long one: %v", err)
	}
	for key := range uint32(MaxGossipPerOwner) {
		if err := m.Publish(1, key, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Publish(1, MaxGossipPerOwner, []byte("x")); !errors.Is(err, ErrTooManyGossipMessages) {
		t.Errorf("one too many: %v", err)
	}
	if err := m.Publish(1, 3, []byte("y")); err != nil {
		t.Errorf("a change: %v", err)
	}
	// One that does not keep to it is refused by others.
	for key := range uint32(500) {
		f.all[1].receiveGossip(GossipMessage{Topic: 2, Key: key, Owner: 1, Version: 1, Body: []byte("z")})
	}
	if n := len(f.all[1].GossipMessages(2)); n > 2*MaxGossipPerOwner || f.all[1].RejectedGossip == 0 {
		t.Errorf("%d are kept, %d refused", n, f.all[1].RejectedGossip)
	}
}
