package membership

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// drawRecord draws a record of an author, with valid statements sorted by member.
func drawRecord(t *rapid.T, author ID) record {
	r := record{
		Author:         author,
		Incarnation:    rapid.Uint32().Draw(t, "incarnation"),
		Sequence:       rapid.Uint16().Draw(t, "sequence"),
		Departed:       rapid.Bool().Draw(t, "departed"),
		SuspectsItself: rapid.Bool().Draw(t, "suspects itself"),
	}
	for _, id := range rapid.SliceOfNDistinct(rapid.Uint32Range(0, 5000), 0, 12, rapid.ID).Draw(t, "members") {
		if ID(id) != author {
			r.Statements = append(r.Statements, statement{ID(id), uint8(id), observation(1 + id%3)})
		}
	}
	slices.SortFunc(r.Statements, func(a, b statement) int { return int(a.Member) - int(b.Member) })
	return r
}

// drawKind draws a kind from first to last.
func drawKind(t *rapid.T, first, last kind) kind {
	return kind(rapid.IntRange(int(first), int(last)).Draw(t, "kind"))
}

// drawMessage draws a valid message of any kind.
func drawMessage(t *rapid.T) message {
	m := message{
		Kind:          drawKind(t, kindHeartbeat, kindGossipRequest),
		From:          ID(rapid.Uint64Range(0, MaxID).Draw(t, "from")),
		Incarnation:   7,
		Sequence:      9,
		RecordsDigest: 11,
		KnownMembers:  rapid.Uint32Range(0, maxMembers).Draw(t, "known members"),
		View:          View{Number: rapid.Uint32().Draw(t, "view number"), Digest: 13},
		Argument:      rapid.Uint64Range(0, MaxID).Draw(t, "argument"),
	}
	switch m.Kind {
	case kindRecordsRequest, kindGossipRequest:
		m.Filter = rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "filter")
		m.Records = []record{drawRecord(t, 5)}
	case kindGossip:
		for i := range rapid.IntRange(0, 3).Draw(t, "gossip messages") {
			body := rapid.SliceOfN(rapid.Byte(), 0, MaxGossipBody).Draw(t, "body")
			m.Gossip = append(m.Gossip, GossipMessage{Topic: 3, Key: rapid.Uint32().Draw(t, "key"), Owner: ID(i), Incarnation: 1, Version: 9, Body: body})
		}
	default:
		for i := range rapid.IntRange(0, 4).Draw(t, "records") {
			m.Records = append(m.Records, drawRecord(t, ID(i)))
		}
	}
	return m
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawMessage(t)
		got, err := decodeMessage(want.appendTo(nil))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("decoded message (-want +got):\n%s", diff)
		}
	})
}

// Every datagram that can be decoded must encode to the same bytes.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(message{Kind: kindHeartbeat, From: 300, Records: []record{{Author: 3, Statements: []statement{{4, 1, notHeard}}}}}.appendTo(nil))
	f.Add(message{Kind: kindRecordsRequest, Argument: 2, Filter: bloomFilter{1, 2, 3}, Records: []record{{Author: 3}}}.appendTo(nil))
	f.Add(message{Kind: kindGossipRequest, Filter: bloomFilter{7}}.appendTo(nil))
	f.Add(message{Kind: kindGossip, Gossip: []GossipMessage{{Topic: 1, Key: 300, Owner: 4, Version: 2, Body: []byte("x")}}}.appendTo(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			return
		}
		if encoded := m.appendTo(nil); !slices.Equal(encoded, b) {
			t.Errorf("%x was decoded and re-encoded as %x, want the same bytes", b, encoded)
		}
	})
}

// A datagram with one flipped bit must be rejected.
func TestCorruptDatagramIsRejected(t *testing.T) {
	valid := appendChecksum(message{Kind: kindRecords, From: 3, Records: []record{{Author: 3}, {Author: 4, Departed: true}}}.appendTo(nil))
	if _, err := verifyChecksum(valid); err != nil {
		t.Fatal(err)
	}
	for i := range valid {
		corrupt := slices.Clone(valid)
		corrupt[i] ^= 1 << (i % 8)
		if _, err := verifyChecksum(corrupt); err == nil {
			t.Errorf("datagram with a flipped bit in byte %d was accepted, want an error", i)
		}
	}
}
