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

// testdata/datagrams.txt has a datagram of each kind, as the version before the names of this package changed wrote
// it: a name and the bytes in hexadecimal on each line.

type datagramFixture struct {
	name    string
	message message
}

func datagramFixtures() []datagramFixture {
	self := ID(10<<40 | 3<<16 | 7946)
	other := ID(10<<40 | 4<<16 | 7946)
	third := ID(10<<40 | 9<<16 | 7946)
	head := func(kind byte) message {
		return message{Kind: kind, From: self, Inc: 1_800_000_000, Seq: 4711, Records: 0xdeadbeef, Knows: 300, View: View{Number: 77, Digest: 0xcafe0123}}
	}
	own := record{Author: self, Inc: 1_800_000_000, Seq: 12, Doubts: true, Words: []entry{{other, 7, deaf}, {third, 200, aside}, {third + 5, 0, hears}}}
	beat, probe, answer, ask, have, tell, talk, more := head(kindBeat), head(kindProbe), head(kindAnswer), head(kindAsk), head(kindHave), head(kindTell), head(kindTalk), head(kindMore)
	beat.Carries = []record{own}
	answer.About = 4710
	ask.About = uint64(third)
	have.About = 1<<8 | 3
	have.Has = filter{0, 1, 0x80, 0xff}
	have.Carries = []record{{Author: self, Inc: 1_800_000_000, Seq: 65535}}
	tell.About = 1
	tell.Carries = []record{own, {Author: other, Inc: 1_799_999_000, Seq: 1, Left: true}, {Author: 1, Inc: 1, Words: []entry{{MaxID, 255, deaf}}}}
	talk.Talk = []GossipMessage{
		{Topic: 5, Key: 4_000_000_000, Owner: self, Incarnation: 1_800_000_000, Version: 3, Body: []byte("a body")},
		{Topic: 255, Key: 0, Owner: other, Incarnation: 9, Version: 4_000_000_000},
	}
	more.About = 1
	more.Has = filter{7}
	return []datagramFixture{{"beat", beat}, {"probe", probe}, {"answer", answer}, {"ask", ask}, {"have", have}, {"tell", tell}, {"talk", talk}, {"more", more}}
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
		t.Errorf("%d datagrams are stored, want %d", len(stored), len(datagramFixtures()))
	}
	for _, c := range datagramFixtures() {
		t.Run(c.name, func(t *testing.T) {
			b := stored[c.name]
			body, err := open(b)
			if err != nil {
				t.Fatal(err)
			}
			got, err := read(body)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.message, got, cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
			if again := seal(got.append(nil)); !slices.Equal(again, b) {
				t.Errorf("written anew as %x, want %x", again, b)
			}
			checkDamaged(t, b, body)
		})
	}
}

// checkDamaged reads a datagram that is cut short or of which a bit was changed: it is refused by its checksum, and
// what comes past that is either refused or written again as it was read.
func checkDamaged(t *testing.T, b, body []byte) {
	t.Helper()
	for n := range b {
		if _, err := open(b[:n]); err == nil {
			t.Errorf("%d of %d bytes are taken", n, len(b))
		}
	}
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if _, err := open(flipped); err == nil {
			t.Errorf("bit %d is changed and the datagram is taken", i)
		}
	}
	readOrRefuse := func(what string, n int, b []byte) {
		got, err := read(b)
		if err == nil && !slices.Equal(got.append(nil), b) {
			t.Errorf("%s %d: read and written otherwise", what, n)
		}
	}
	for n := range body {
		readOrRefuse("length", n, body[:n])
	}
	for i := range len(body) * 8 {
		flipped := slices.Clone(body)
		flipped[i/8] ^= 1 << (i % 8)
		readOrRefuse("bit", i, flipped)
	}
}
