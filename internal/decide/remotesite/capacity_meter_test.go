package remotesite

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCapacityMeter checks that the free capacity of a site depends on the threads in use, rejections,
// reported utilization and warm-up, and that a site accepts no query that it can't answer in time.
func TestCapacityMeter(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	m := NewCapacityMeter(cfg, 2)
	if got := m.FreeCapacity(now, "lookup"); got != 0 {
		t.Errorf("free capacity without an engine = %g, want 0", got)
	}
	m.UpdateEngine("a", Engine{Cores: 8, Live: true})
	m.UpdateEngine("b", Engine{Cores: 8, Live: true, WarmUpUntil: now + 10*time.Second, WarmUpPeriod: 10 * time.Second, WarmUpMinCapacity: 0.25})
	if got := m.AvailableCores(now); got != 10 {
		t.Errorf("available cores with one of two engines in warm-up = %g, want 10", got)
	}
	accepts := func(work float64, remaining time.Duration) bool {
		return m.Accepts(now, &Query{Class: "lookup", Work: work, Remaining: remaining})
	}
	if large, small := accepts(2, time.Second), accepts(0.5, time.Second); large || !small {
		t.Errorf("Accepts during a warm-up = %v for a work of 2 and %v for 0.5, want false and true", large, small)
	}
	now += 10 * time.Second
	m.AttemptStarted(8)
	if got := m.FreeCapacity(now, "lookup"); got != 0.5 {
		t.Errorf("free capacity with 8 of 32 threads used by each of two gateways = %g, want 0.5", got)
	}
	for range 10 {
		m.RecordArrival(now, "lookup")
	}
	m.RecordRejection(now, "lookup")
	if got, other := m.FreeCapacity(now, "lookup"), m.FreeCapacity(now, "report"); got != 0.4 || other != 0.5 {
		t.Errorf("free capacity of a class with a tenth rejected = %g, of another class = %g, want 0.4 and 0.5", got, other)
	}
	m.RecordUtilization(now, 1)
	for range 60 {
		m.RecordUtilization(now, 1)
	}
	if got := m.FreeCapacity(now, "report"); got > 0.51 || got < 0.49 {
		t.Errorf("free capacity with all cores in use = %g, want 0.49 to 0.51", got)
	}
	for range 20 {
		m.RecordLatency("lookup", 300*ms, 0.2)
	}
	if late, inTime, lateByWork := accepts(0.2, 150*ms), accepts(0.2, 400*ms), accepts(2, 400*ms); late || !inTime || lateByWork {
		t.Errorf("Accepts = %v for a work of 0.2 in 150 ms, %v for 0.2 in 400 ms and %v for 2 in 400 ms, want false, true and false", late, inTime, lateByWork)
	}
	m.UpdateEngine("a", Engine{})
	m.UpdateEngine("b", Engine{})
	if d := m.Digest(now, []string{"lookup"}); d.AcceptableWork != 0 || d.FreeCapacity["lookup"] != 0 {
		t.Errorf("digest without engines = %+v, want no capacity", d)
	}
}

// TestDivideWork checks that no share is negative and that the shares don't sum to more than the work
// that is divided.
func TestDivideWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.Float64Range(-1, 100).Draw(t, "work")
		sum := 0.0
		for _, share := range DivideWork(work, rapid.SliceOf(rapid.Float64Range(-1, 50)).Draw(t, "requested")) {
			if sum += share; share < 0 {
				t.Fatalf("share = %g, want at least 0", share)
			}
		}
		if sum > max(work, 0)+1e-9 {
			t.Fatalf("sum of the shares = %g, want at most %g", sum, work)
		}
	})
}
