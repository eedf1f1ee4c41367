package remotesite

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCapacityMeter checks that the free capacity of a site follows the threads in use, rejections,
// reported utilization and warm-up.
func TestCapacityMeter(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	m := NewCapacityMeter(cfg, 2)
	if r := m.FreeCapacity(now, "lookup"); r != 0 {
		t.Errorf("free capacity without an engine = %g, want 0", r)
	}
	m.UpdateEngine("a", Engine{Cores: 8, Live: true})
	m.UpdateEngine("b", Engine{Cores: 8, Live: true, WarmUpUntil: now + 10*time.Second, WarmUpPeriod: 10 * time.Second, WarmUpMinCapacity: 0.25})
	if c := m.AvailableCores(now); c != 10 {
		t.Errorf("available cores with one of two engines in warm-up = %g, want 10", c)
	}
	if m.Accepts(now, &Query{Class: "lookup", Work: 2, Remaining: time.Second}) || !m.Accepts(now, &Query{Class: "lookup", Work: 0.5, Remaining: time.Second}) {
		t.Error("a site in warm-up must accept only small queries of other sites")
	}
	now += 10 * time.Second
	m.AttemptStarted(8)
	if r := m.FreeCapacity(now, "lookup"); r != 0.5 {
		t.Errorf("free capacity with 8 of 32 threads used by each of two gateways = %g, want 0.5", r)
	}
	for range 10 {
		m.RecordArrival(now, "lookup")
	}
	m.RecordRejection(now, "lookup")
	if r := m.FreeCapacity(now, "lookup"); r != 0.4 || m.FreeCapacity(now, "report") != 0.5 {
		t.Errorf("free capacity with a tenth rejected = %g, want 0.4", r)
	}
	m.RecordUtilization(now, 1)
	for range 60 {
		m.RecordUtilization(now, 1)
	}
	if r := m.FreeCapacity(now, "report"); r > 0.51 || r < 0.49 {
		t.Errorf("free capacity with all cores in use = %g, want 0.5", r)
	}
	for range 20 {
		m.RecordLatency("lookup", 300*ms, 0.2)
	}
	if m.Accepts(now, &Query{Class: "lookup", Work: 0.2, Remaining: 150 * ms}) || !m.Accepts(now, &Query{Class: "lookup", Work: 0.2, Remaining: 400 * ms}) ||
		m.Accepts(now, &Query{Class: "lookup", Work: 2, Remaining: 400 * ms}) {
		t.Error("queries that can't be answered in time must be rejected at once, and only those")
	}
	m.UpdateEngine("a", Engine{})
	m.UpdateEngine("b", Engine{})
	if d := m.Digest(now, []string{"lookup"}); d.AcceptableWork != 0 || d.FreeCapacity["lookup"] != 0 {
		t.Errorf("digest without engines = %+v, want no capacity", d)
	}
}

// TestDivideWork checks that what a gateway accepts is divided, never multiplied.
func TestDivideWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := rapid.Float64Range(-1, 100).Draw(t, "work")
		sum := 0.0
		for _, p := range DivideWork(work, rapid.SliceOf(rapid.Float64Range(-1, 50)).Draw(t, "requested")) {
			if sum += p; p < 0 {
				t.Fatalf("part = %g, want at least 0", p)
			}
		}
		if sum > max(work, 0)+1e-9 {
			t.Fatalf("sum of the parts = %g, want at most %g", sum, work)
		}
	})
}
