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

func drawRecord(t *rapid.T, author ID) record {
	r := record{Author: author, Incarnation: rapid.Uint32().Draw(t, "inc"), Sequence: rapid.Uint16().Draw(t, "seq"), Departed: rapid.Bool().Draw(t, "left"), SuspectsItself: rapid.Bool().Draw(t, "doubts")}
	for _, id := range rapid.SliceOfNDistinct(rapid.Uint32Range(0, 5000), 0, 12, rapid.ID).Draw(t, "about") {
		if ID(id) != author {
			r.Statements = append(r.Statements, statement{ID(id), uint8(id), observation(1 + id%3)})
		}
	}
	slices.SortFunc(r.Statements, func(a, b statement) int { return int(a.Member) - int(b.Member) })
	return r
}

// What is written is read as it was, and what can be read is written in one way alone.
func TestWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := message{
			Kind: kind(rapid.IntRange(int(kindHeartbeat), int(kindGossipRequest)).Draw(t, "kind")), From: ID(rapid.Uint64Range(0, MaxID).Draw(t, "from")), Incarnation: 7, Sequence: 9, RecordsDigest: 11, KnownMembers: rapid.Uint32Range(0, maxMembers).Draw(t, "knows"),
			View: View{Number: rapid.Uint32().Draw(t, "number"), Digest: 13}, Argument: rapid.Uint64Range(0, MaxID).Draw(t, "about"),
		}
		switch d.Kind {
		case kindRecordsRequest, kindGossipRequest:
			d.Filter = rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "filter")
			d.Records = []record{drawRecord(t, 5)}
		case kindGossip:
			for i := range rapid.IntRange(0, 3).Draw(t, "rumours") {
				d.Gossip = append(d.Gossip, GossipMessage{Topic: 3, Key: rapid.Uint32().Draw(t, "key"), Owner: ID(i), Incarnation: 1, Version: 9, Body: rapid.SliceOfN(rapid.Byte(), 0, MaxGossipBody).Draw(t, "body")})
			}
		default:
			for i := range rapid.IntRange(0, 4).Draw(t, "records") {
				d.Records = append(d.Records, drawRecord(t, ID(i)))
			}
		}
		got, err := decodeMessage(d.appendTo(nil))
		if diff := cmp.Diff(d, got, cmpopts.EquateEmpty()); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add(message{Kind: kindHeartbeat, From: 300, Records: []record{{Author: 3, Statements: []statement{{4, 1, notHeard}}}}}.appendTo(nil))
	f.Add(message{Kind: kindRecordsRequest, Argument: 2, Filter: bloomFilter{1, 2, 3}, Records: []record{{Author: 3}}}.appendTo(nil))
	f.Add(message{Kind: kindGossipRequest, Filter: bloomFilter{7}}.appendTo(nil))
	f.Add(message{Kind: kindGossip, Gossip: []GossipMessage{{Topic: 1, Key: 300, Owner: 4, Version: 2, Body: []byte("x")}}}.appendTo(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := decodeMessage(b)
		if err != nil {
			return
		}
		if again := d.appendTo(nil); !slices.Equal(again, b) {
			t.Errorf("%x is written as %x", b, again)
		}
	})
}

func newMachine(id ID, seed uint64) *Node {
	return New(DefaultConfig(), id, 1, []ID{1, 2, 3, 4, 5}, time.Hour, rand.New(rand.NewPCG(seed, 1)))
}

// A datagram of which one byte was changed on its way is not read.
func TestSpoilt(t *testing.T) {
	b := appendChecksum(message{Kind: kindRecords, From: 3, Records: []record{{Author: 3}, {Author: 4, Departed: true}}}.appendTo(nil))
	if _, err := verifyChecksum(b); err != nil {
		t.Fatal(err)
	}
	for i := range b {
		spoilt := slices.Clone(b)
		spoilt[i] ^= 1 << (i % 8)
		if _, err := verifyChecksum(spoilt); err == nil {
			t.Errorf("byte %d", i)
		}
	}
}

// Records that come in any order, twice or late leave the same behind.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rs []record
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			r := drawRecord(t, ID(2+i%4))
			r.Incarnation, r.Sequence = r.Incarnation%3, r.Sequence%3
			if slices.ContainsFunc(rs, func(o record) bool {
				return o.Author == r.Author && o.Incarnation == r.Incarnation && o.Sequence == r.Sequence
			}) {
				continue // an author writes one record under one number
			}
			rs = append(rs, r)
		}
		a, b := newMachine(1, 1), newMachine(1, 1)
		for _, r := range rs {
			a.mergeRecord(r)
		}
		for _, i := range rapid.Permutation(append(rs, rs...)).Draw(t, "order") {
			b.mergeRecord(i)
		}
		if a.members.digest != b.members.digest {
			t.Fatal("the order counts")
		}
		for id, p := range a.members.byID {
			if diff := cmp.Diff(p.record, b.members.byID[id].record, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// Whatever comes, no more is sent than the budget allows, nothing longer than a datagram may be, nothing to itself,
// and what says that it is of another than its address is dropped.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(1, rapid.Uint64().Draw(t, "seed"))
		now, began, sent := time.Hour, time.Hour, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			var e Event = Tick{}
			if rapid.IntRange(0, 3).Draw(t, "what") > 0 {
				from := ID(rapid.Uint32Range(2, 300).Draw(t, "from"))
				d := message{Kind: kind(rapid.IntRange(int(kindHeartbeat), int(kindAck)).Draw(t, "kind")), From: from, Incarnation: 1, Sequence: 1, Records: []record{drawRecord(t, from)}}
				if rapid.IntRange(0, 9).Draw(t, "liar") == 0 {
					d.From++
				}
				e = DatagramReceived{from, appendChecksum(d.appendTo(nil))}
			} else {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			}
			for _, a := range m.Handle(now, e) {
				if s, ok := a.(Send); ok {
					sent += float64(len(s.Payload))
					if len(s.Payload) > m.config.MaxDatagramBytes || s.To == 1 {
						t.Fatalf("%d bytes to %d", len(s.Payload), s.To)
					}
				}
			}
			if most := m.config.BurstBytes + m.config.BytesPerSecond*(now-began).Seconds(); sent > most+1 {
				t.Fatalf("sent %f, %f at most", sent, most)
			}
		}
	})
}

// A process that starts under the incarnation up to which the one before it had answered, and writes as often, is told so by those who
// remember that one, and takes up the next. Else its record and theirs would differ for good under one number, as the model check found.
func TestTwoRecordsUnderOneNumber(t *testing.T) {
	f := fewOf(5)
	m, other := f.all[0], f.all[1]
	own := m.self.record
	remembered := own
	remembered.Statements = []statement{{4, 1, notHeard}}
	if own.hash() == remembered.hash() {
		t.Error("what a record says does not count")
	}
	p := other.members.byID[1]
	other.members.toggleDigest(p.record)
	p.record = remembered
	other.members.toggleDigest(p.record)
	f.run(f.now+20*time.Second, nil)
	if m.self.record.Incarnation == own.Incarnation {
		t.Error("it goes on under the same number")
	}
	for _, o := range f.all {
		if o.members.digest != m.members.digest {
			t.Errorf("member %d has other records", o.self.id)
		}
	}
}

// Whatever a member has to say of members whose ids are addresses, its record fits a datagram, beside a head.
func TestRecordFitsADatagram(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxDatagramBytes -= 25
	address := func(host int) ID { return ID(10<<40 | host<<16 | 7946) }
	var named []ID
	for host := range 300 {
		named = append(named, address(host))
	}
	m := New(cfg, address(0), 1_800_000_000, named, time.Hour, rand.New(rand.NewPCG(1, 1)))
	for _, id := range named[1:] {
		m.mergeAnswer(record{Author: id, Incarnation: 1_800_000_000})
		m.members.byID[id].ownObservation = notHeard
	}
	m.ownStatements.stale, m.now = true, m.now+time.Minute
	m.updateStatements()
	if n := len(m.self.record.Statements); n < 30 {
		t.Errorf("only %d words", n)
	}
	d := message{Kind: kindRecords, From: address(0), Incarnation: 1, Sequence: 1<<16 - 1, RecordsDigest: 1<<32 - 1, KnownMembers: maxMembers, View: View{Number: 1<<32 - 1, Digest: 1<<32 - 1}, Records: []record{m.self.record}}
	if n := len(appendChecksum(d.appendTo(nil))); n > cfg.MaxDatagramBytes {
		t.Errorf("%d bytes", n)
	}
}
