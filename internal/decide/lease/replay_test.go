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

// The tests in this file guard against changed decisions and a changed message format. testdata/replay.txt has the
// digest of all messages and quotas of a simulation per seed, and testdata/messages.txt a message of each kind. Both
// were written by an earlier version, before identifiers of this package were renamed. The digests are taken over fixed
// strings and numbers, so that they don't depend on any Go identifier.

// replaySeeds is the number of seeds with a stored digest.
const replaySeeds = 16

// replayFleet simulates a fleet with faults and returns the count of messages and the digest, as they are stored.
func replayFleet(seed uint64) string {
	f := newFleet(1+int(seed%8), seed, DefaultConfig(nil).MaxClockDrift)
	digest, messages := sha256.New(), 0
	write := func(parts ...string) { _, _ = fmt.Fprintln(digest, strings.Join(parts, " ")) } // writing to a hash never fails
	for i := range f.members {
		f.demand(i, 0, FullCapacity)
		f.demand(i, 1, 300)
	}
	for range 40 {
		write("fault", f.injectFault())
		for end := f.now + time.Duration(1+f.random.IntN(3000))*time.Millisecond; f.now < end; {
			f.run(50 * time.Millisecond)
			for _, d := range f.inTransit {
				messages++
				write(strconv.FormatInt(int64(d.arrivesAt), 10), strconv.Itoa(d.from), strconv.Itoa(d.to), hex.EncodeToString(d.payload))
			}
			for i, m := range f.members {
				write(strconv.Itoa(i), strconv.Itoa(m.node.Quota(0, f.clock(i))), strconv.Itoa(m.node.Quota(1, f.clock(i))), strconv.Itoa(m.node.BaseQuota()),
					strconv.Itoa(m.node.DroppedMessages), strconv.Itoa(m.node.RejectedEngines))
			}
		}
	}
	return strconv.Itoa(messages) + " " + hex.EncodeToString(digest.Sum(nil))
}

// storedLines returns the lines of a file in testdata by their first words.
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
		t.Errorf("%d digests are stored, want %d", len(want), replaySeeds)
	}
	for seed := range uint64(replaySeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			if got := replayFleet(seed); got != want[strconv.FormatUint(seed, 10)] {
				t.Errorf("count of messages and digest = %s, want %s", got, want[strconv.FormatUint(seed, 10)])
			}
		})
	}
}

// messageFixture is a stored message and what it decodes to.
type messageFixture struct {
	name    string // the first word of the stored line
	message message
}

func messageFixtures() []messageFixture {
	ofKind := func(kind kind) message {
		return message{kind: kind, membersDigest: 0xdeadbeef, engine: 0x0123456789abcdef, process: 0xcafe0123, requestID: 4711, quota: 1023, span: 3999 * time.Millisecond}
	}
	return []messageFixture{
		{"claim", ofKind(kindVoteRequest)}, {"promise", ofKind(kindVote)}, {"ask", ofKind(kindLeaseRequest)}, {"lend", ofKind(kindLease)}, {"back", ofKind(kindLeaseRelease)},
	}
}

func TestMessagesOfEarlierVersion(t *testing.T) {
	stored := storedLines(t, "messages.txt")
	if len(stored) != len(messageFixtures()) {
		t.Errorf("%d messages are stored, want %d", len(stored), len(messageFixtures()))
	}
	for _, c := range messageFixtures() {
		t.Run(c.name, func(t *testing.T) {
			b, err := hex.DecodeString(stored[c.name])
			if err != nil {
				t.Fatal(err)
			}
			got, err := decode(b)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.message, got, cmp.AllowUnexported(message{})); diff != "" {
				t.Errorf("decoded message (-want +got):\n%s", diff)
			}
			if again := got.encode(); !slices.Equal(again, b) {
				t.Errorf("decoded message is encoded as %x, want %x", again, b)
			}
			checkDamaged(t, b)
		})
	}
}

// checkDamaged checks that a truncated message is rejected, and that one with a flipped bit is either rejected or
// decodes to a message whose encoding has the same bit flipped.
func checkDamaged(t *testing.T, b []byte) {
	t.Helper()
	for n := range b {
		if _, err := decode(b[:n]); err == nil {
			t.Errorf("message truncated to %d of %d bytes was decoded, want an error", n, len(b))
		}
	}
	for i := range len(b) * 8 {
		flipped := slices.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		if got, err := decode(flipped); err == nil && !slices.Equal(got.encode(), flipped) {
			t.Errorf("bit %d flipped: decoded message is encoded as %x, want %x", i, got.encode(), flipped)
		}
	}
}
