package policy

import (
	"math"
	"testing"
	"time"
)

func TestGrantFollowsReportedNeedOverBiasedEstimate(t *testing.T) {
	s := testSettings()
	s.HonorsGrants, s.ReportsCost = true, true
	d := newDriver(t, s, liveEngine("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 60; id++ {
		actions := d.handle(QueryArrived{Query: id, Class: "idempotent", MemoryMB: 100, Deadline: d.now + time.Second})
		for _, a := range actions {
			if g, ok := a.(Grant); ok {
				grant = g.MemoryMB
			}
		}
		d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: 50 * time.Millisecond, Final: true, MemoryMB: 50})
	}
	if grant < 45 || grant > 65 {
		t.Fatalf("granted %v MB for an estimate of 100 that is twice the need, want 45 to 65", grant)
	}
}

func grantIn(actions []Action) (g Grant) {
	for _, a := range actions {
		if got, ok := a.(Grant); ok {
			g = got
		}
	}
	return g
}

func TestPriorityFollowsValueOverWork(t *testing.T) {
	s := testSettings()
	s.HonorsPriority = true
	d := newDriver(t, s, liveEngine("e", "a", 1))
	id := uint64(0)
	priority := func(work time.Duration) int {
		id++
		actions := d.handle(QueryArrived{Query: id, Class: "idempotent", Work: work, Deadline: d.now + time.Second})
		d.endAttempt(id, 0, ResultSuccess)
		return grantIn(actions).Priority
	}
	for range 50 {
		priority(100 * time.Millisecond)
	}
	short := priority(40 * time.Millisecond)
	usual := priority(100 * time.Millisecond)
	long := priority(800 * time.Millisecond)
	if short <= usual || usual <= long {
		t.Fatalf("priorities of a short, a usual and a long query = %d, %d, %d, want them in descending order", short, usual, long)
	}
}

func TestSpillsRaiseGrantsWithoutReportedCost(t *testing.T) {
	s := testSettings()
	s.HonorsGrants = true
	d := newDriver(t, s, liveEngine("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 20; id++ { // each needs twice its estimate
		grant = grantIn(d.handle(QueryArrived{Query: id, Class: "idempotent", MemoryMB: 100, Deadline: d.now + time.Second})).MemoryMB
		if grant < 200 {
			d.handle(AttemptProgress{Query: id, Kind: ProgressSpilled, Value: 200 - grant})
		}
		d.endAttempt(id, 0, ResultSuccess)
	}
	if grant < 180 || grant > 260 {
		t.Fatalf("granted %v MB, want 180 to 260 for a need of 200", grant)
	}
}

// TestDefaultGrantsWhereMemoryIsSwapped has queries without estimates. Where memory is swapped, the grant
// must follow the reported need, far above it: the excess costs other queries nothing, and a query that
// gets too little spills. Elsewhere the engine chooses.
func TestDefaultGrantsWhereMemoryIsSwapped(t *testing.T) {
	for shortage, want := range map[MemoryShortage]float64{ShortageSwap: swapGrantFactor * 100, ShortageQueue: 0, ShortageTrim: 0} {
		s := testSettings()
		s.MemoryShortage = shortage
		s.HonorsGrants, s.ReportsCost = true, true
		d := newDriver(t, s, liveEngine("e", "a", 1))
		if got := grantIn(d.arrive(1, "idempotent")).MemoryMB; got != 0 {
			t.Errorf("shortage %v: granted %g MB before any response, want 0", shortage, got)
		}
		d.endAttempt(1, 0, ResultCancelled)
		for id := uint64(61); id <= 90; id++ {
			d.arrive(id, "idempotent")
			d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: 50 * time.Millisecond, Work: 50 * time.Millisecond, MemoryMB: 50 + 100*float64(id%2), Final: true})
		}
		if got := grantIn(d.arrive(91, "idempotent")).MemoryMB; math.Abs(got-want) > 0.2*want {
			t.Errorf("shortage %v: granted %g MB, want about %g", shortage, got, want)
		}
	}
}

// TestGrantsAreBounded has queries that spill often and much. Grants must stay within the largest that one
// query may get. Where engines trim grants and report no cost, a spill does not show the need, and the
// engine chooses.
func TestGrantsAreBounded(t *testing.T) {
	for shortage, want := range map[MemoryShortage]float64{ShortageQueue: 3276, ShortageSwap: 3276, ShortageTrim: 0} {
		s := testSettings()
		s.HonorsGrants = true
		s.MaxGrantFraction = 0.4
		s.MemoryShortage = shortage
		d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
		largest := 0.0
		for id := uint64(1); id < 400; id++ {
			actions := d.advance(time.Second).handle(QueryArrived{Query: id, Class: "idempotent", Deadline: d.now + 2*time.Second, MemoryMB: 100})
			g := grantIn(actions)
			largest = max(largest, g.MemoryMB)
			d.handle(AttemptProgress{Query: id, Kind: ProgressSpilled, Value: 500})
			d.endAttempt(id, 0, ResultSuccess)
		}
		if largest != want {
			t.Errorf("shortage %v: largest grant = %v MB, want %v", shortage, largest, want)
		}
	}
}
