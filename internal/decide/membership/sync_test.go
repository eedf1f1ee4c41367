package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What is in a filter is in it, and of what is not hardly more than the bits allow seems to be: another part in each question.
func TestFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "things")
		salt := rapid.Uint32().Draw(t, "salt")
		f := make(bloomFilter, n*bitsPerItem/8+1)
		for i := range n {
			f.add(mixHash(uint32(i), 1), salt)
		}
		for i := range n {
			if !f.contains(mixHash(uint32(i), 1), salt) {
				t.Fatalf("%d of %d is not found", i, n)
			}
		}
		const others = 4000
		seem := 0
		for i := range others {
			if f.contains(mixHash(uint32(i), 2), salt) {
				seem++
			}
		}
		if seem > others/3 {
			t.Fatalf("of %d that are not there %d seem to be, among %d", others, seem, n)
		}
	})
}

// Two members of which each knows what the other doesn't ask each other until neither lacks anything, whatever the filters hide.
func TestAskUntilEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMachine(1, 1), newMachine(2, 2)
		for i := range rapid.IntRange(0, 300).Draw(t, "a has") {
			a.mergeAnswer(record{Author: ID(100 + i), Incarnation: 1})
		}
		for i := range rapid.IntRange(0, 300).Draw(t, "b has") {
			b.mergeAnswer(record{Author: ID(250 + i), Incarnation: 1 + uint32(i%3)})
		}
		a.mergeAnswer(b.self.record)
		b.mergeAnswer(a.self.record)
		for turn := range 400 {
			now := time.Hour + time.Duration(turn)*2*time.Second
			for _, pair := range [][2]*Node{{a, b}, {b, a}} {
				from, to := pair[0], pair[1]
				from.budget.refill(from.config, now)
				to.budget.refill(to.config, now)
				from.now, to.now, from.actions = now, now, nil
				from.sequence++
				from.requestRecords(from.members.byID[to.self.id])
				for _, s := range sends(from.actions, to.self.id) {
					for _, back := range sends(to.Handle(now, DatagramReceived{from.self.id, s.Payload}), from.self.id) {
						from.Handle(now, DatagramReceived{to.self.id, back.Payload})
					}
				}
			}
			if a.members.digest == b.members.digest {
				if a.members.known != b.members.known {
					t.Fatalf("the same digests, %d and %d records", a.members.known, b.members.known)
				}
				return
			}
		}
		t.Fatalf("never equal: %d and %d records", a.members.known, b.members.known)
	})
}

func sends(out []Action, to ID) (all []Send) {
	for _, o := range out {
		if s, ok := o.(Send); ok && s.To == to {
			all = append(all, s)
		}
	}
	return all
}

// Questions for what differs have a part of what is saved up, and leave the rest to what else there is to say.
func TestQuestionsHaveAPart(t *testing.T) {
	m := newMachine(1, 1)
	for i := range 300 {
		m.mergeAnswer(record{Author: ID(100 + i), Incarnation: 1})
	}
	for range 100 {
		m.requestRecords(m.members.byID[2])
	}
	if left := m.config.BurstBytes - m.config.BurstBytes/syncBudgetDivisor; m.budget.available < left {
		t.Errorf("%.0f bytes are left, %.0f at least", m.budget.available, left)
	}
	if m.budget.syncAvailable >= float64(m.config.MaxDatagramBytes) {
		t.Errorf("%.0f bytes for questions are left after a hundred", m.budget.syncAvailable)
	}
}
