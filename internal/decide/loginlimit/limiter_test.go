package loginlimit

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLimiter checks that an address has to wait after a burst of failures and another one doesn't, that
// the wait is bounded, and that failures of many other addresses don't lift the limit for an address.
func TestLimiter(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	l := New(cfg)
	for i := range cfg.Burst {
		if got := l.RetryAfter(now, "a"); got != 0 {
			t.Errorf("RetryAfter after %d failures = %v, want 0", i, got)
		}
		l.RecordFailure(now, "a")
	}
	if got := l.RetryAfter(now, "a"); got != time.Second {
		t.Errorf("RetryAfter after a burst = %v, want 1s", got)
	}
	if got := l.RetryAfter(now, "b"); got != 0 {
		t.Errorf("RetryAfter of another address = %v, want 0", got)
	}
	for range 1000 {
		l.RecordFailure(now, "a")
	}
	if got, limit := l.RetryAfter(now, "a"), time.Duration(cfg.Burst+1)*cfg.RefillInterval; got > limit {
		t.Errorf("RetryAfter after 1000 failures = %v, want at most %v", got, limit)
	}
	if got := l.RetryAfter(now+time.Minute, "a"); got != 0 {
		t.Errorf("RetryAfter a minute later = %v, want 0", got)
	}
	for i := range 3 * cfg.MaxAddresses {
		l.RecordFailure(now, strconv.Itoa(i))
	}
	if l.Len() > cfg.MaxAddresses || l.RetryAfter(now, "a") == 0 {
		t.Errorf("after failures of %d other addresses: Len = %d, RetryAfter of the first = %v, want at most %d and above 0", 3*cfg.MaxAddresses, l.Len(), l.RetryAfter(now, "a"), cfg.MaxAddresses)
	}
}

// TestFailureRate checks that an address that respects RetryAfter can fail no more often than once per
// RefillInterval in addition to a burst, over any time.
func TestFailureRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Burst: rapid.IntRange(1, 20).Draw(t, "burst"), RefillInterval: time.Duration(rapid.IntRange(1, 5000).Draw(t, "interval")) * time.Millisecond, MaxAddresses: 10}
		l := New(cfg)
		now, failures := time.Hour, 0
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			if l.RetryAfter(now, "a") > 0 {
				continue
			}
			l.RecordFailure(now, "a")
			if failures++; float64(failures) > float64(cfg.Burst)+float64(now-time.Hour)/float64(cfg.RefillInterval)+1e-6 {
				t.Fatalf("failures = %d in %v, want at most %d and one per %v", failures, now-time.Hour, cfg.Burst, cfg.RefillInterval)
			}
		}
	})
}
