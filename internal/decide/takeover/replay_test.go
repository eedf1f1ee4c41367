package takeover

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against changed decisions: it compares digests of the decisions about pseudorandom processes.
// Each line of testdata/replay.txt has a seed and the digest of what commit c18a9bd decided with it.
// What goes into a digest is written with fixed strings and numbers, so that the digests don't depend
// on the names in this package.
func TestReplay(t *testing.T) {
	text, err := os.ReadFile("testdata/replay.txt")
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(text), "\n"), strings.Split(replayAll(), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d lines of digests, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("line %d of the digests: got %q, want %q", i, got[i], want[i])
		}
	}
}

// replayAll returns the seeds and digests in the form of the file.
func replayAll() string {
	var b strings.Builder
	for seed := range uint64(10) {
		fmt.Fprintf(&b, "%d %x\n", seed, replay(seed))
	}
	return b.String()
}

// replay returns the digest of the decisions for one seed.
func replay(seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	d := sha256.New()
	for range 3000 {
		now := 10*time.Second + time.Duration(r.IntN(5))*time.Millisecond
		self := anyProcess(r, 0, now)
		var others []Process
		for i := range r.IntN(5) {
			others = append(others, anyProcess(r, i+1, now))
		}
		action, from := NextAction(self, others, now)
		_, _ = fmt.Fprintf(d, "%d %q %t %t %g\n", int(action), from, Replaced(self, others), StateWanted(self, others), LimitShare(others))
		for _, other := range others {
			_, _ = fmt.Fprintf(d, "%t %t\n", self.StartedAfter(other), other.StartedAfter(self))
		}
	}
	return d.Sum(nil)
}

// anyProcess returns a process that started up to 1.5 s before now, often maxWait ago or 1 ns more or
// less.
func anyProcess(r *rand.Rand, i int, now time.Duration) Process {
	p := Process{
		ID: strconv.Itoa(i), StartedAt: now - time.Duration(r.IntN(4)*500)*time.Millisecond - time.Duration(r.IntN(3)-1),
		Ready: r.IntN(3) > 0, ShuttingDown: r.IntN(3) == 0, StateWritten: r.IntN(2) == 0,
	}
	for other := range 5 {
		if r.IntN(2) == 0 {
			p.KnownProcesses = append(p.KnownProcesses, strconv.Itoa(other))
		}
	}
	return p
}
