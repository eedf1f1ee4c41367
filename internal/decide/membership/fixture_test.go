package membership

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// testdata/datagrams.txt has one datagram of each kind, encoded by the version before the identifiers of this package
// were renamed. Each line has a name and the bytes in hexadecimal.

// datagramFixture is a line of testdata/datagrams.txt: its name and the message that it encodes.
type datagramFixture struct {
	name    string
	message message
}

func datagramFixtures() []datagramFixture {
	self := ID(10<<40 | 3<<16 | 7946)
	other := ID(10<<40 | 4<<16 | 7946)
	third := ID(10<<40 | 9<<16 | 7946)
	head := func(kind kind) message {
		return message{Kind: kind, From: self, Incarnation: 1_800_000_000, Sequence: 4711, RecordsDigest: 0xdeadbeef, KnownMembers: 300, View: View{Number: 77, Digest: 0xcafe0123}}
	}
	own := record{
		Author: self, Incarnation: 1_800_000_000, Sequence: 12, SuspectsItself: true,
		Statements: []statement{{other, 7, notHeard}, {third, 200, notHeardButAlive}, {third + 5, 0, heardDirectly}},
	}
	heartbeat := head(kindHeartbeat)
	heartbeat.Records = []record{own}
	ack := head(kindAck)
	ack.Argument = 4710
	pingRequest := head(kindPingRequest)
	pingRequest.Argument = uint64(third)
	recordsRequest := head(kindRecordsRequest)
	recordsRequest.Argument = 1<<8 | 3
	recordsRequest.Filter = bloomFilter{0, 1, 0x80, 0xff}
	recordsRequest.Records = []record{{Author: self, Incarnation: 1_800_000_000, Sequence: 65535}}
	records := head(kindRecords)
	records.Argument = 1
	records.Records = []record{
		own,
		{Author: other, Incarnation: 1_799_999_000, Sequence: 1, Departed: true},
		{Author: 1, Incarnation: 1, Statements: []statement{{MaxID, 255, notHeard}}},
	}
	gossip := head(kindGossip)
	gossip.Gossip = []GossipMessage{
		{Topic: 5, Key: 4_000_000_000, Owner: self, Incarnation: 1_800_000_000, Version: 3, Body: []byte("a body")},
		{Topic: 255, Key: 0, Owner: other, Incarnation: 9, Version: 4_000_000_000},
	}
	gossipRequest := head(kindGossipRequest)
	gossipRequest.Argument = 1
	gossipRequest.Filter = bloomFilter{7}
	return []datagramFixture{
		{"beat", heartbeat}, {"probe", head(kindPing)}, {"answer", ack}, {"ask", pingRequest},
		{"have", recordsRequest}, {"tell", records}, {"talk", gossip}, {"more", gossipRequest},
	}
}

func TestDatagramsOfEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "datagrams.txt"))
	if err != nil {
		t.Fatal(err)
	}
	stored := map[string][]byte{}
	for line := range strings.Lines(string(raw)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if stored[name], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	if len(stored) != len(datagramFixtures()) {
		t.Errorf("testdata has %d datagrams, want %d", len(stored), len(datagramFixtures()))
	}
	for _, c := range datagramFixtures() {
		t.Run(c.name, func(t *testing.T) {
			b := stored[c.name]
			body, err := verifyChecksum(b)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeMessage(body)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.message, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("decoded message (-want +got):\n%s", diff)
			}
			if encoded := appendChecksum(got.appendTo(nil)); !slices.Equal(encoded, b) {
				t.Errorf("re-encoded as %x, want %x", encoded, b)
			}
			checkDamaged(t, b, body)
		})
	}
}

// checkDamaged checks truncated copies of a datagram and copies with one flipped bit. The checksum must reject all of
// them. Without the checksum, each is either rejected or decoded to a message that encodes to the same bytes.
func checkDamaged(t *testing.T, b, body []byte) {
	t.Helper()
	for n := range b {
		if _, err := verifyChecksum(b[:n]); err == nil {
			t.Errorf("the first %d of %d bytes were accepted, want an error", n, len(b))
		}
	}
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if _, err := verifyChecksum(flipped); err == nil {
			t.Errorf("datagram with bit %d flipped was accepted, want an error", i)
		}
	}
	checkRejectedOrSame := func(what string, n int, b []byte) {
		got, err := decodeMessage(b)
		if err == nil && !slices.Equal(got.appendTo(nil), b) {
			t.Errorf("%s %d: %x was decoded and re-encoded as %x, want an error or the same bytes", what, n, b, got.appendTo(nil))
		}
	}
	for n := range body {
		checkRejectedOrSame("length", n, body[:n])
	}
	for i := range len(body) * 8 {
		flipped := slices.Clone(body)
		flipped[i/8] ^= 1 << (i % 8)
		checkRejectedOrSame("bit", i, flipped)
	}
}
