package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All added items must be found. With any salt, at most a third of the items that were not added may be false
// positives.
func TestBloomFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 400).Draw(t, "items")
		salt := rapid.Uint32().Draw(t, "salt")
		f := make(bloomFilter, count*bitsPerItem/8+1)
		for i := range count {
			f.add(mixHash(uint32(i), 1), salt)
		}
		for i := range count {
			if !f.contains(mixHash(uint32(i), 1), salt) {
				t.Fatalf("item %d of %d added ones is not found", i, count)
			}
		}
		const others = 4000
		falsePositives := 0
		for i := range others {
			if f.contains(mixHash(uint32(i), 2), salt) {
				falsePositives++
			}
		}
		if falsePositives > others/3 {
			t.Fatalf("%d of %d items that were not added are found among %d items, want at most a third", falsePositives, others, count)
		}
	})
}

// Two members with different records must obtain all records of each other by sync requests, despite the false
// positives of the filters.
func TestSyncConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestNode(1, 1), newTestNode(2, 2)
		for i := range rapid.IntRange(0, 300).Draw(t, "a has") {
			a.mergeAnswer(record{Author: ID(100 + i), Incarnation: 1})
		}
		for i := range rapid.IntRange(0, 300).Draw(t, "b has") {
			b.mergeAnswer(record{Author: ID(250 + i), Incarnation: 1 + uint32(i%3)})
		}
		a.mergeAnswer(b.self.record)
		b.mergeAnswer(a.self.record)
		for round := range 400 {
			now := time.Hour + time.Duration(round)*2*time.Second
			syncOnce(a, b, now)
			syncOnce(b, a, now)
			if a.members.digest == b.members.digest {
				if a.members.known != b.members.known {
					t.Fatalf("digests are equal for %d and %d known records, want equal numbers", a.members.known, b.members.known)
				}
				return
			}
		}
		t.Fatalf("records digests after 400 rounds = %08x with %d records known and %08x with %d, want equal digests", a.members.digest, a.members.known, b.members.digest, b.members.known)
	})
}

// syncOnce has one member request records from another one and process the answers.
func syncOnce(from, to *Node, now time.Duration) {
	from.budget.refill(from.config, now)
	to.budget.refill(to.config, now)
	from.now = now
	to.now = now
	from.actions = nil
	from.sequence++
	from.requestRecords(from.members.byID[to.self.id])
	for _, request := range sendsTo(to.self.id, from.actions) {
		for _, answer := range sendsTo(from.self.id, to.Handle(now, DatagramReceived{from.self.id, request.Payload})) {
			from.Handle(now, DatagramReceived{to.self.id, answer.Payload})
		}
	}
}

// sendsTo returns the datagrams for a member.
func sendsTo(id ID, actions []Action) (all []Send) {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.To == id {
			all = append(all, s)
		}
	}
	return all
}

// Sync requests must not use more than their share of the budget.
func TestSyncRequestsKeepToTheirBudget(t *testing.T) {
	n := newTestNode(1, 1)
	for i := range 300 {
		n.mergeAnswer(record{Author: ID(100 + i), Incarnation: 1})
	}
	for range 100 {
		n.requestRecords(n.members.byID[2])
	}
	if want := n.config.BurstBytes - n.config.BurstBytes/syncBudgetDivisor; n.budget.available < want {
		t.Errorf("%.0f bytes are available after 100 requests, want at least %.0f", n.budget.available, want)
	}
	if n.budget.syncAvailable >= float64(n.config.MaxDatagramBytes) {
		t.Errorf("%.0f bytes are available for sync requests after 100 of them, want less than a datagram", n.budget.syncAvailable)
	}
}
