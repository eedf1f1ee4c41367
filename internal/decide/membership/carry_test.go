package membership

import (
	"errors"
	"testing"
	"time"
)

// A process that takes another's place is the same member to all others: nobody calls it anything, no view changes, and what it
// said stands. A second later it knows as much as they do.
func TestResume(t *testing.T) {
	f := fewOf(7)
	for _, m := range f.all[:2] {
		if err := m.Publish(5, 1, []byte("said")); err != nil {
			t.Fatal(err)
		}
	}
	f.run(f.now+12*time.Second, nil)
	f.whole(t)
	gone := f.all[6]
	f.all = f.all[:6]
	f.run(f.now+8*time.Second, nil)
	f.heard = nil
	before := f.all[0].views.current

	c := f.all[0].SaveState()
	f.run(f.now+2*time.Second, nil) // it serves on meanwhile
	next, err := Resume(DefaultConfig(), c, 1, []ID{1, 2, 3, 4, 5, 6, 7}, f.now, &draws{9})
	if err != nil {
		t.Fatal(err)
	}
	if v, most := next.View(); v != before || !most {
		t.Errorf("it begins with %v, not %v", v, before)
	}
	if s, _, _ := next.State(gone.self.id); s != Dead {
		t.Errorf("the one that died is %s", s)
	}
	f.all[0] = next
	f.run(f.now+10*time.Second, nil)
	for _, told := range f.heard {
		t.Errorf("one is told of: %+v", told)
	}
	for _, m := range f.all {
		if m.views.current != before {
			t.Errorf("%d has the view %v, not %v", m.self.id, m.views.current, before)
		}
		if got := m.GossipMessages(5); len(got) != 2 {
			t.Errorf("%d has the rumours %v", m.self.id, got)
		}
	}
}

func TestResumeOfSpoilt(t *testing.T) {
	good := func() SavedState {
		f := fewOf(3)
		_ = f.all[0].Publish(5, 1, []byte("said")) // of what it has, this never fails
		f.run(f.now+10*time.Second, nil)
		return f.all[0].SaveState()
	}
	for _, c := range []struct {
		name  string
		spoil func(*SavedState)
	}{
		{"itself among the others", func(c *SavedState) { c.Members[0].ID = c.Self }},
		{"an id that is none", func(c *SavedState) { c.Members[0].ID = MaxID + 1 }},
		{"a state that is none", func(c *SavedState) { c.Members[0].State = 99 }},
		{"a loss that is none", func(c *SavedState) { c.Members[0].LossRate = -1 }},
		{"a time to come", func(c *SavedState) { c.Members[0].ViewAge = -1 }},
		{"another's record", func(c *SavedState) { c.Members[0].Record = c.Members[1].Record }},
		{"half a record", func(c *SavedState) { c.Members[0].Record = c.Members[0].Record[:3] }},
		{"more than a record", func(c *SavedState) { c.Members[0].Record = append(c.Members[0].Record, 0) }},
		{"one twice", func(c *SavedState) { c.Members = append(c.Members, c.Members[0]) }},
		{"half a rumour", func(c *SavedState) { c.Gossip = c.Gossip[:len(c.Gossip)-1] }},
	} {
		one := good()
		if _, err := Resume(DefaultConfig(), one, 1, nil, time.Hour, &draws{}); err != nil {
			t.Fatal(err)
		}
		c.spoil(&one)
		if _, err := Resume(DefaultConfig(), one, 1, nil, time.Hour, &draws{}); !errors.Is(err, ErrInvalidSavedState) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// One that makes up members without end has so many known and no more.
func TestMembersAreBounded(t *testing.T) {
	f := fewOf(2)
	f.run(f.now+2*time.Second, nil)
	m, from := f.all[0], f.all[1].self.id
	for id := ID(100); id < 100+2*maxMembers; id++ {
		r := record{Author: id, Incarnation: 1}
		m.mergeRecord(r)
	}
	m.Handle(f.now, DatagramReceived{From: from + 50000, Payload: appendChecksum(message{Kind: kindHeartbeat, From: from + 50000}.appendTo(nil))})
	if len(m.members.sorted) != maxMembers || m.RejectedMembers < maxMembers || m.RejectedMembers > maxMembers+10 {
		t.Errorf("%d are known, %d were too many", len(m.members.sorted), m.RejectedMembers)
	}
}
