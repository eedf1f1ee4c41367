package policy

import (
	"math"
	"testing"
	"time"
)

func TestNextLimitMatchesEquations(t *testing.T) {
	for _, c := range []struct{ limit, alpha, ratio, wantLimit, wantAlpha float64 }{
		{10, 0.1, 1, 10, 0.1},                 // at the set-point: alpha = .3*.1+.7*.1, no change
		{10, 0.1, 2, 10 - 0.7/0.13, 0.13},     // alpha = .3*.2+.7*.1
		{8, 0.05, 0.4, 8 + 0.7/0.05*0.6, .05}, // alpha = .3*.05+.7*.05
	} {
		limit, alpha := nextLimit(c.limit, c.alpha, c.ratio)
		if math.Abs(limit-c.wantLimit) > 1e-9 || math.Abs(alpha-c.wantAlpha) > 1e-9 {
			t.Errorf("nextLimit(%v, %v, %v) = %v, %v, want %v, %v", c.limit, c.alpha, c.ratio, limit, alpha, c.wantLimit, c.wantAlpha)
		}
	}
}

func TestControllerKeepsLimitWhenIdleAndAboveMinimum(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	e := d.g.enginesByID["e"]
	limit, alpha := e.limit, e.alpha
	e.adjust(d.now)
	if e.limit != limit || e.alpha != alpha {
		t.Fatalf("limit, alpha after an idle period = %v, %v, want %v, %v", e.limit, e.alpha, limit, alpha)
	}
	for range 50 {
		e.latencySum, e.responses = 50, 1
		e.adjust(d.now)
	}
	if e.limit <= 0 || e.limit >= 1 {
		t.Fatalf("limit = %v, want more than 0 and less than one thread", e.limit)
	}
}

func TestCeilingFollowsTrafficShare(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "t", Quota: 40, Share: 1}}
	busy, idle := newDriver(t, s, liveEngine("e", "a", 1)), newDriver(t, s, liveEngine("e", "a", 1))
	for id := uint64(1); id < 800; id++ {
		busy.advance(25 * time.Millisecond).handle(QueryArrived{Query: id, Class: "idempotent", Tenant: "t", Deadline: busy.now + time.Second})
		busy.endAttempt(id, 0, ResultSuccess)
		if id%4 == 0 {
			busy.handle(TimerFired{})
			idle.advance(100 * time.Millisecond).handle(TimerFired{})
		}
	}
	busyCeiling, idleCeiling := busy.g.enginesByID["e"].ceiling, idle.g.enginesByID["e"].ceiling
	if equalShare := ceilingFactor * baseThreadsPerCore * 8 / 2; idleCeiling < equalShare {
		t.Fatalf("ceiling of the idle gateway = %v, want at least its equal share, %v", idleCeiling, equalShare)
	}
	if busyCeiling < 1.3*idleCeiling {
		t.Fatalf("ceiling of the busy gateway = %v, want at least 1.3 times that of the idle one, %v", busyCeiling, idleCeiling)
	}
}

func TestCeilingShrinksAboveSaturation(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	e := d.g.enginesByID["e"]
	serve := func(from uint64, latency time.Duration) {
		for id := from; id < from+200; id++ {
			d.arrive(id, "idempotent")
			d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: latency, Final: true})
			d.advance(20 * time.Millisecond).handle(TimerFired{})
		}
	}
	serve(1, 20*time.Millisecond)
	before := e.ceiling
	serve(1000, 200*time.Millisecond) // still within the objective of 300 ms
	if e.ceiling > 0.7*before {
		t.Fatalf("ceiling = %v after latencies of ten times the baseline, want at most 0.7 of %v", e.ceiling, before)
	}
}
