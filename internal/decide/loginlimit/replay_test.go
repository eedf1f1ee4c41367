package loginlimit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestReplay applies seeded pseudorandom failures to limiters with different configurations. It compares
// the digest of all decisions with a recorded one, so that a change of any decision is noticed. The digest
// covers the text written, so its wording must not change. All times are multiples of 125 ms, so that the
// levels are exact and their sums don't depend on the iteration order of a map.
func TestReplay(t *testing.T) {
	want, err := os.ReadFile("testdata/replay.sha256")
	if err != nil {
		t.Fatal(err)
	}
	var decisions bytes.Buffer
	for seed, cfg := range []Config{
		Defaults(),
		{Burst: 3, RefillInterval: time.Second, MaxAddresses: 8},
		{Burst: 5, RefillInterval: 4 * time.Second, MaxAddresses: 20},
		{Burst: 0, RefillInterval: 0, MaxAddresses: 0},
	} {
		rng := rand.New(rand.NewPCG(41, uint64(seed)))
		l, now := New(cfg), time.Hour
		for range 5000 {
			now += time.Duration(rng.IntN(3)) * 125 * time.Millisecond
			addr := strconv.Itoa(min(int(rng.ExpFloat64()*8), 60))
			if rng.IntN(3) > 0 {
				l.RecordFailure(now, addr)
			}
			fmt.Fprintf(&decisions, "%s waits %d; %d remembered\n", addr, int64(l.RetryAfter(now, addr)), l.Len())
		}
	}
	if got := digest(decisions.Bytes()); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of decisions = %s, want %s", got, want)
	}
}

// digest returns the SHA-256 digest of b in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
