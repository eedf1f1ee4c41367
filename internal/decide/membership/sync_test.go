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
		f := make(filter, n*roomy/8+1)
		for i := range n {
			f.add(mix(uint32(i), 1), salt)
		}
		for i := range n {
			if !f.has(mix(uint32(i), 1), salt) {
				t.Fatalf("%d of %d is not found", i, n)
			}
		}
		const others = 4000
		seem := 0
		for i := range others {
			if f.has(mix(uint32(i), 2), salt) {
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
			a.merge(record{Author: ID(100 + i), Inc: 1}, true)
		}
		for i := range rapid.IntRange(0, 300).Draw(t, "b has") {
			b.merge(record{Author: ID(250 + i), Inc: 1 + uint32(i%3)}, true)
		}
		a.merge(b.self.record, true)
		b.merge(a.self.record, true)
		for turn := range 400 {
			now := time.Hour + time.Duration(turn)*2*time.Second
			for _, pair := range [][2]*Node{{a, b}, {b, a}} {
				from, to := pair[0], pair[1]
				from.refill(now)
				to.refill(now)
				from.now, to.now, from.out = now, now, nil
				from.seq++
				from.inquire(from.peers[to.self.id])
				for _, s := range sends(from.out, to.self.id) {
					for _, back := range sends(to.Handle(now, DatagramReceived{from.self.id, s.Payload}), from.self.id) {
						from.Handle(now, DatagramReceived{to.self.id, back.Payload})
					}
				}
			}
			if a.digest == b.digest {
				if a.knows != b.knows {
					t.Fatalf("the same digests, %d and %d records", a.knows, b.knows)
				}
				return
			}
		}
		t.Fatalf("never equal: %d and %d records", a.knows, b.knows)
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
		m.merge(record{Author: ID(100 + i), Inc: 1}, true)
	}
	for range 100 {
		m.inquire(m.peers[2])
	}
	if left := m.cfg.BurstBytes - m.cfg.BurstBytes/asking; m.tokens < left {
		t.Errorf("%.0f bytes are left, %.0f at least", m.tokens, left)
	}
	if m.asks >= float64(m.cfg.MaxDatagramBytes) {
		t.Errorf("%.0f bytes for questions are left after a hundred", m.asks)
	}
}
