package lease

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testdata/replay.txt has the digest of all messages and parts of each play, and testdata/words.txt a message of each
// kind; both were written by the version before the names of this package changed. The digest is taken over fixed
// strings and numbers, so that it does not depend on any Go identifier.

const replaySeeds = 16

// replayFleet plays a fleet with faults and returns the count of all messages and the digest.
func replayFleet(seed uint64) string {
	f := newFleet(1+int(seed%8), seed, Defaults(nil).Drift)
	digest, messages := sha256.New(), 0
	write := func(parts ...string) { fmt.Fprintln(digest, strings.Join(parts, " ")) }
	for i := range f.all {
		f.need(i, 0, Whole)
		f.need(i, 1, 300)
	}
	for range 40 {
		write("fault", f.trouble())
		for end := f.now + time.Duration(1+f.rng.IntN(3000))*time.Millisecond; f.now < end; {
			f.run(50 * time.Millisecond)
			for _, l := range f.way {
				messages++
				write(strconv.FormatInt(int64(l.at), 10), strconv.Itoa(l.from), strconv.Itoa(l.to), hex.EncodeToString(l.b))
			}
			for i, n := range f.all {
				write(strconv.Itoa(i), strconv.Itoa(n.m.Part(0, f.clock(i))), strconv.Itoa(n.m.Part(1, f.clock(i))), strconv.Itoa(n.m.Alone()), strconv.Itoa(n.m.Dropped), strconv.Itoa(n.m.Refused))
			}
		}
	}
	return strconv.Itoa(messages) + " " + hex.EncodeToString(digest.Sum(nil))
}

// storedLines are the lines of a file in testdata, by their first words.
func storedLines(t *testing.T, name string) map[string]string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		all[key] = value
	}
	return all
}

func TestReplayOfEarlierVersion(t *testing.T) {
	t.Parallel()
	want := storedLines(t, "replay.txt")
	if len(want) != replaySeeds {
		t.Errorf("%d digests, want %d", len(want), replaySeeds)
	}
	for seed := range uint64(replaySeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			if got := replayFleet(seed); got != want[strconv.FormatUint(seed, 10)] {
				t.Errorf("messages and digest = %s, want %s", got, want[strconv.FormatUint(seed, 10)])
			}
		})
	}
}

type wordFixture struct {
	name string
	word word
}

func wordFixtures() []wordFixture {
	of := func(kind byte) word {
		return word{kind: kind, members: 0xdeadbeef, engine: 0x0123456789abcdef, run: 0xcafe0123, count: 4711, share: 1023, span: 3999 * time.Millisecond}
	}
	return []wordFixture{{"claim", of(kindClaim)}, {"promise", of(kindPromise)}, {"ask", of(kindAsk)}, {"lend", of(kindLend)}, {"back", of(kindBack)}}
}

func TestWordsOfEarlierVersion(t *testing.T) {
	stored := storedLines(t, "words.txt")
	if len(stored) != len(wordFixtures()) {
		t.Errorf("%d messages are stored, want %d", len(stored), len(wordFixtures()))
	}
	for _, c := range wordFixtures() {
		t.Run(c.name, func(t *testing.T) {
			b, err := hex.DecodeString(stored[c.name])
			if err != nil {
				t.Fatal(err)
			}
			got, err := read(b)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.word, got, cmp.AllowUnexported(word{})); diff != "" {
				t.Error(diff)
			}
			if again := got.append(nil); !slices.Equal(again, b) {
				t.Errorf("written anew as %x, want %x", again, b)
			}
			for n := range b {
				if _, err := read(b[:n]); err == nil {
					t.Errorf("%d of %d bytes are taken", n, len(b))
				}
			}
			for i := range len(b) * 8 {
				flipped := slices.Clone(b)
				flipped[i/8] ^= 1 << (i % 8)
				if got, err := read(flipped); err == nil && !slices.Equal(got.append(nil), flipped) {
					t.Errorf("bit %d is changed: read and written otherwise", i)
				}
			}
		})
	}
}
