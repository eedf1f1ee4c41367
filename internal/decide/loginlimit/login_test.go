package loginlimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An address fails ten times at once and waits then; another does not; and no wait lasts long.
func TestThrottle(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	l := New(cfg)
	for i := range cfg.Burst {
		if w := l.RetryAfter(now, "a"); w != 0 {
			t.Errorf("waits %v after %d failures", w, i)
		}
		l.RecordFailure(now, "a")
	}
	if w := l.RetryAfter(now, "a"); w != time.Second {
		t.Errorf("waits %v", w)
	}
	if w := l.RetryAfter(now, "b"); w != 0 {
		t.Errorf("another waits %v", w)
	}
	for range 1000 {
		l.RecordFailure(now, "a")
	}
	if w := l.RetryAfter(now, "a"); w > time.Duration(cfg.Burst+1)*cfg.RefillInterval {
		t.Errorf("locked out for %v", w)
	}
	if w := l.RetryAfter(now+time.Minute, "a"); w != 0 {
		t.Errorf("waits %v a minute later", w)
	}
	for i := range 3 * cfg.MaxAddresses {
		l.RecordFailure(now, fmt.Sprint(i))
	}
	if l.Len() > cfg.MaxAddresses || l.RetryAfter(now, "a") == 0 {
		t.Errorf("%d addresses are remembered, and the guesser waits %v", l.Len(), l.RetryAfter(now, "a"))
	}
}

// Over any time, an address fails no more often than a burst and one for each span.
func TestNoMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Burst: rapid.IntRange(1, 20).Draw(t, "burst"), RefillInterval: time.Duration(rapid.IntRange(1, 5000).Draw(t, "every")) * time.Millisecond, MaxAddresses: 10}
		l := New(cfg)
		now, failed := time.Hour, 0
		for range rapid.IntRange(1, 300).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			if l.RetryAfter(now, "a") > 0 {
				continue
			}
			l.RecordFailure(now, "a")
			if failed++; float64(failed) > float64(cfg.Burst)+float64(now-time.Hour)/float64(cfg.RefillInterval)+1e-6 {
				t.Fatalf("%d failures in %v", failed, now-time.Hour)
			}
		}
	})
}
