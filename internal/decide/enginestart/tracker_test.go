package enginestart

import (
	"strconv"
	"testing"
	"time"
)

const (
	period = 15 * time.Second
	now    = 100 * time.Hour
)

func TestStartIsCountedOnTheOwnClock(t *testing.T) {
	for name, c := range map[string]struct {
		before   time.Duration // start that was reported an hour earlier; 0: none
		reported time.Duration
		want     time.Duration
	}{
		"first seen, clocks agree":            {0, now - 3*time.Second, now},
		"first seen, the other is behind":     {0, now - time.Hour, now},
		"first seen, both are off by an hour": {0, now - 2*time.Hour - period/2, now},
		"first seen, the other is ahead":      {0, now + time.Hour, now},
		"first seen, started long ago":        {0, now - 3*time.Hour, now - 3*time.Hour},
		"reported before":                     {now - 90*time.Minute, now - 90*time.Minute, now - time.Hour},
		"restarted, clocks agree":             {now - 5*time.Hour, now - time.Second, now},
		"restarted, the other is far behind":  {now - 5*time.Hour, now - 4*time.Hour, now},
		"restarted, its clock went back":      {now - 90*time.Minute, now - 100*time.Minute, now},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(period)
			if c.before > 0 {
				tracker.Observe(now-time.Hour, "e", c.before)
			}
			if got := tracker.Observe(now, "e", c.reported); got != c.want {
				t.Errorf("started by %v, want %v", got, c.want)
			}
			if got := tracker.Observe(now+time.Minute, "e", c.reported); got != c.want {
				t.Errorf("a minute later: started by %v, want %v as before", got, c.want)
			}
		})
	}
}

func TestRestoredStartsAreKept(t *testing.T) {
	old, replacement := New(period), New(period)
	old.Observe(now, "e", now-time.Hour)
	replacement.Restore(old.Snapshot())
	if got := replacement.Observe(now+time.Minute, "e", now-time.Hour); got != now {
		t.Errorf("started by %v, want %v", got, now)
	}
}

func TestUnlistedStartsAreBounded(t *testing.T) {
	tracker := New(period)
	listed := func(id string) bool { return id == "0" }
	for i := range 3 * minForgotten {
		tracker.Observe(now, strconv.Itoa(i), now)
		tracker.Forget(1, listed)
	}
	if _, ok := tracker.starts["0"]; !ok || len(tracker.starts) > minForgotten+1 {
		t.Errorf("got %d starts, listed engine among them: %v; want at most %d with the listed one", len(tracker.starts), ok, minForgotten+1)
	}
}
