package httpapi

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestArrivals checks the receive times of bytes: exact up to maxArrivals reads, possibly earlier
// after more reads, never later, and never decreasing.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var receivedAt []time.Duration // by byte
		now, consumed, reads, previous := time.Hour, 0, 0, time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "more") {
				for range rapid.IntRange(1, 5).Draw(t, "bytes") {
					receivedAt = append(receivedAt, now)
				}
				reads++
			}
			a.record(int64(len(receivedAt)), now)
			if consumed == len(receivedAt) || rapid.IntRange(0, 2).Draw(t, "consume") > 0 {
				continue
			}
			consumed = rapid.IntRange(consumed+1, len(receivedAt)).Draw(t, "offset")
			got := a.consumeTo(int64(consumed))
			if want := receivedAt[consumed-1]; got > want || got != want && reads <= maxArrivals || got < previous {
				t.Fatalf("consumeTo(%d) = %v after %d reads, want %v, or from %v to that if there were more than %d reads",
					consumed, got, reads, want, previous, maxArrivals)
			}
			previous = got
		}
		if len(a) > maxArrivals {
			t.Fatalf("number of arrivals = %d, want at most %d", len(a), maxArrivals)
		}
	})
}
