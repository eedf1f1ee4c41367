package loginlimit

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLimiter checks that an address waits after a burst of failures, that another does not, that no
// wait lasts long, and that a flood of addresses does not free one that guesses.
func TestLimiter(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	l := New(cfg)
	for i := range cfg.Burst {
		if w := l.RetryAfter(now, "a"); w != 0 {
			t.Errorf("RetryAfter after %d failures = %v, want 0", i, w)
		}
		l.RecordFailure(now, "a")
	}
	if w := l.RetryAfter(now, "a"); w != time.Second {
		t.Errorf("RetryAfter after a burst = %v, want 1s", w)
	}
	if w := l.RetryAfter(now, "b"); w != 0 {
		t.Errorf("RetryAfter of another address = %v, want 0", w)
	}
	for range 1000 {
		l.RecordFailure(now, "a")
	}
	if w := l.RetryAfter(now, "a"); w > time.Duration(cfg.Burst+1)*cfg.RefillInterval {
		t.Errorf("RetryAfter after 1000 failures = %v, want a bounded one", w)
	}
	if w := l.RetryAfter(now+time.Minute, "a"); w != 0 {
		t.Errorf("RetryAfter a minute later = %v, want 0", w)
	}
	for i := range 3 * cfg.MaxAddresses {
		l.RecordFailure(now, strconv.Itoa(i))
	}
	if l.Len() > cfg.MaxAddresses || l.RetryAfter(now, "a") == 0 {
		t.Errorf("after a flood: Len = %d, RetryAfter of the guesser = %v", l.Len(), l.RetryAfter(now, "a"))
	}
}

// TestFailureRate checks that over any time an address fails no more often than a burst and once for
// each interval.
func TestFailureRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Burst: rapid.IntRange(1, 20).Draw(t, "burst"), RefillInterval: time.Duration(rapid.IntRange(1, 5000).Draw(t, "interval")) * time.Millisecond, MaxAddresses: 10}
		l := New(cfg)
		now, failed := time.Hour, 0
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			if l.RetryAfter(now, "a") > 0 {
				continue
			}
			l.RecordFailure(now, "a")
			if failed++; float64(failed) > float64(cfg.Burst)+float64(now-time.Hour)/float64(cfg.RefillInterval)+1e-6 {
				t.Fatalf("failures = %d in %v, want at most a burst and one an interval", failed, now-time.Hour)
			}
		}
	})
}
