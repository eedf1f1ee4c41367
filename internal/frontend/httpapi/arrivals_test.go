package httpapi

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each byte is reported to have come when it did, or earlier where there were too many pieces; never
// later, and at times that don't go back.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var came []time.Duration // of each byte
		now, taken, pieces, last := time.Hour, 0, 0, time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "more") {
				for range rapid.IntRange(1, 5).Draw(t, "bytes") {
					came = append(came, now)
				}
				pieces++
			}
			a.record(int64(len(came)), now)
			if taken == len(came) || rapid.IntRange(0, 2).Draw(t, "take") > 0 {
				continue
			}
			taken = rapid.IntRange(taken+1, len(came)).Draw(t, "up to")
			at := a.consumeTo(int64(taken))
			if want := came[taken-1]; at > want || at != want && pieces <= maxArrivals || at < last {
				t.Fatalf("byte %d came at %v, reported as %v after %v", taken, want, at, last)
			}
			last = at
		}
		if len(a) > maxArrivals {
			t.Fatalf("%d arrivals are kept, want %d at most", len(a), maxArrivals)
		}
	})
}
