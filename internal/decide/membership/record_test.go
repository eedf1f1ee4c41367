package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// Merging records late, twice or in any order must give the same result.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []record
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			r := drawRecord(t, ID(2+i%4))
			r.Incarnation %= 3
			r.Sequence %= 3
			hasSameNumber := func(o record) bool {
				return o.Author == r.Author && o.Incarnation == r.Incarnation && o.Sequence == r.Sequence
			}
			if !slices.ContainsFunc(records, hasSameNumber) { // an author writes only one record with the same numbers
				records = append(records, r)
			}
		}
		a, b := newTestNode(1, 1), newTestNode(1, 1)
		for _, r := range records {
			a.mergeRecord(r)
		}
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			b.mergeRecord(r)
		}
		if a.members.digest != b.members.digest {
			t.Fatalf("records digest after merging in another order = %08x, want %08x", b.members.digest, a.members.digest)
		}
		for id, p := range a.members.byID {
			if diff := cmp.Diff(p.record, b.members.byID[id].record, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("record of member %d (-in order +in another order):\n%s", id, diff)
			}
		}
	})
}

// A record with as many statements as possible, about members whose IDs are addresses, must fit a datagram together
// with the largest header.
func TestRecordFitsDatagram(t *testing.T) {
	config := DefaultConfig()
	config.MaxDatagramBytes -= 25 // what remains in a signed datagram
	address := func(host int) ID { return ID(10<<40 | host<<16 | 7946) }
	var configured []ID
	for host := range 300 {
		configured = append(configured, address(host))
	}
	n := New(config, address(0), 1_800_000_000, configured, time.Hour, rand.New(rand.NewPCG(1, 1)))
	for _, id := range configured[1:] {
		n.mergeAnswer(record{Author: id, Incarnation: 1_800_000_000})
		n.members.byID[id].ownObservation = notHeard
	}
	n.ownStatements.stale = true
	n.now += time.Minute
	n.updateStatements()
	if count := len(n.self.record.Statements); count < 30 {
		t.Errorf("record has %d statements, want at least 30", count)
	}
	m := message{
		Kind: kindRecords, From: address(0), Incarnation: 1, Sequence: 1<<16 - 1, RecordsDigest: 1<<32 - 1, KnownMembers: maxMembers,
		View: View{Number: 1<<32 - 1, Digest: 1<<32 - 1}, Records: []record{n.self.record},
	}
	if size := len(appendChecksum(m.appendTo(nil))); size > config.MaxDatagramBytes {
		t.Errorf("datagram has %d bytes, want at most %d", size, config.MaxDatagramBytes)
	}
}
