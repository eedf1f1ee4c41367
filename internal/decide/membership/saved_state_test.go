package membership

import (
	"errors"
	"testing"
	"time"
)

// A process that replaces another one must be the same member to all others: nothing is reported about it, no view
// changes and its gossip remains. Soon after it knows as much as the other members.
func TestResume(t *testing.T) {
	f := newTestFleet(7)
	for _, n := range f.nodes[:2] {
		if err := n.Publish(5, 1, []byte("body")); err != nil {
			t.Fatal(err)
		}
	}
	f.run(12*time.Second, reliable)
	f.checkAgreement(t)
	crashed := f.nodes[6]
	f.nodes = f.nodes[:6]
	f.run(8*time.Second, reliable)
	f.reports = nil
	before := f.nodes[0].views.current

	saved := f.nodes[0].SaveState()
	f.run(2*time.Second, reliable) // the first process continues in the meantime
	next, err := Resume(DefaultConfig(), saved, 1, []ID{1, 2, 3, 4, 5, 6, 7}, f.now, &copyableRandom{9})
	if err != nil {
		t.Fatal(err)
	}
	if view, majority := next.View(); view != before || !majority {
		t.Errorf("view after Resume = %+v, majority %t; want %+v with a majority", view, majority, before)
	}
	if state, _, _ := next.State(crashed.self.id); state != Dead {
		t.Errorf("state of the crashed member = %s, want %s", state, Dead)
	}
	f.nodes[0] = next
	f.run(10*time.Second, reliable)
	for _, report := range f.reports {
		t.Errorf("got report %+v, want none", report)
	}
	for _, n := range f.nodes {
		if n.views.current != before {
			t.Errorf("view of member %d = %+v, want %+v", n.self.id, n.views.current, before)
		}
		if got := n.GossipMessages(5); len(got) != 2 {
			t.Errorf("gossip of member %d = %+v, want two messages", n.self.id, got)
		}
	}
}

func TestResumeRejectsInvalidState(t *testing.T) {
	valid := func() SavedState {
		f := newTestFleet(3)
		if err := f.nodes[0].Publish(5, 1, []byte("body")); err != nil {
			t.Fatal(err)
		}
		f.run(10*time.Second, reliable)
		return f.nodes[0].SaveState()
	}
	for _, c := range []struct {
		name    string
		corrupt func(*SavedState)
	}{
		{"itself among the others", func(s *SavedState) { s.Members[0].ID = s.Self }},
		{"ID too large", func(s *SavedState) { s.Members[0].ID = MaxID + 1 }},
		{"unknown state", func(s *SavedState) { s.Members[0].State = 99 }},
		{"negative loss rate", func(s *SavedState) { s.Members[0].LossRate = -1 }},
		{"negative age", func(s *SavedState) { s.Members[0].ViewAge = -1 }},
		{"record of another member", func(s *SavedState) { s.Members[0].Record = s.Members[1].Record }},
		{"truncated record", func(s *SavedState) { s.Members[0].Record = s.Members[0].Record[:3] }},
		{"bytes after the record", func(s *SavedState) { s.Members[0].Record = append(s.Members[0].Record, 0) }},
		{"member twice", func(s *SavedState) { s.Members = append(s.Members, s.Members[0]) }},
		{"truncated gossip", func(s *SavedState) { s.Gossip = s.Gossip[:len(s.Gossip)-1] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			saved := valid()
			if _, err := Resume(DefaultConfig(), saved, 1, nil, time.Hour, &copyableRandom{}); err != nil {
				t.Fatal(err)
			}
			c.corrupt(&saved)
			if _, err := Resume(DefaultConfig(), saved, 1, nil, time.Hour, &copyableRandom{}); !errors.Is(err, ErrInvalidSavedState) {
				t.Errorf("error = %v, want %v", err, ErrInvalidSavedState)
			}
		})
	}
}
