package policy

import (
	"testing"
	"time"
)

func TestBadPlanIsCancelledOnce(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	d.handle(QueryArrived{Query: 1, Class: "wide", Deadline: d.now + 15*time.Second})
	d.advance(time.Second)
	if actions := d.handle(AttemptProgress{Query: 1, Kind: ProgressFraction, Value: 0.01}); !contains[Cancel](actions) {
		t.Fatalf("actions on a badly planned attempt = %+v, want a cancel", actions)
	}
	d.wantSend(d.endAttempt(1, 0, ResultCancelled), "")
	d.advance(time.Second)
	if actions := d.handle(AttemptProgress{Query: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.15}); contains[Cancel](actions) {
		t.Fatalf("actions on the second slow attempt = %+v, want no cancel", actions)
	}
}

func TestQueryProjectedPastDeadlineIsEndedEarly(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	d.arrive(1, "wide")
	d.advance(time.Second).handle(AttemptProgress{Query: 1, Kind: ProgressFraction, Value: 0.01})
	d.endAttempt(1, 0, ResultCancelled)
	actions := d.advance(time.Second).handle(AttemptProgress{Query: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.01})
	if !contains[Reject](actions) || !contains[Cancel](actions) {
		t.Fatalf("actions on an attempt projected far past the deadline = %+v, want a rejection and a cancel", actions)
	}
	d.wantNoSend(d.endAttempt(1, 1, ResultCancelled))
}

func TestLateQueryIsKeptWhenRetryWouldBeLate(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	d.arrive(1, "idempotent")
	actions := d.advance(500 * time.Millisecond).handle(AttemptProgress{Query: 1, Kind: ProgressFraction, Value: 0.4})
	if contains[Cancel](actions) {
		t.Fatalf("actions on a late attempt = %+v, want no cancel where a retry would be late too", actions)
	}
}

func TestWaitingQueryMovesWhereItMeetsObjective(t *testing.T) {
	for _, c := range []struct {
		class string
		after time.Duration
		moves bool
	}{
		{"wide", 500 * time.Millisecond, true},
		{"wide", 2500 * time.Millisecond, false},
		{"non-idempotent", 500 * time.Millisecond, false},
	} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
		first := sendsIn(d.arrive(1, c.class))[0].Engine
		actions := d.advance(c.after).handle(AttemptProgress{Query: 1, Kind: ProgressWaitingForDataLoad})
		if contains[Cancel](actions) != c.moves {
			t.Fatalf("class %s after %v: actions = %+v, want cancel = %v", c.class, c.after, actions, c.moves)
		}
		if c.moves {
			if actions = d.endAttempt(1, 0, ResultCancelled); len(sendsIn(actions)) != 1 || sendsIn(actions)[0].Engine == first {
				t.Fatalf("actions = %+v, want a send to another engine than %s", actions, first)
			}
		}
	}
}

// TestQueryWaitingForMemoryMovesOnce checks that a query that waits for memory is moved only once.
// Otherwise, when all engines are short of memory, each query would use up its attempts at once and have
// none left for faults.
func TestQueryWaitingForMemoryMovesOnce(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1), liveEngine("g", "a", 1))
	d.arrive(1, "wide")
	if actions := d.handle(AttemptProgress{Query: 1, Kind: ProgressWaitingForMemory}); !contains[Cancel](actions) {
		t.Fatalf("actions = %+v, want a cancel", actions)
	}
	d.endAttempt(1, 0, ResultCancelled)
	if actions := d.handle(AttemptProgress{Query: 1, Attempt: 1, Kind: ProgressWaitingForMemory}); contains[Cancel](actions) {
		t.Fatalf("actions on the second attempt = %+v, want no cancel", actions)
	}
}

func TestWaitingQueryStaysWhenAllEnginesAreFull(t *testing.T) {
	s := testSettings()
	s.ReportsLoad = true
	for utilization, moves := range map[float64]bool{0.1: true, 1: false} {
		d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
		d.arrive(1, "wide")
		d.arrive(2, "idempotent")
		for range 60 { // each report has a weight of 1/5 in the load level
			d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: utilization, InFlight: -1}})
		}
		if actions := d.handle(AttemptProgress{Query: 1, Kind: ProgressWaitingForMemory}); contains[Cancel](actions) != moves {
			t.Errorf("all engines at utilization %v: actions = %+v, want cancel = %v", utilization, actions, moves)
		}
	}
}

func TestSlowCancelledAttemptsShrinkCeiling(t *testing.T) {
	s := testSettings()
	s.Limits.AllowHedging = true // otherwise the attempt stays at the only engine
	d := newDriver(t, s, liveEngine("e", "a", 1))
	before := d.g.enginesByID["e"].ceiling
	for id := uint64(1); id < 9; id++ { // no attempt ends with a response
		d.arrive(id, "wide")
		d.advance(500 * time.Millisecond).handle(AttemptProgress{Query: id, Kind: ProgressFraction, Value: 0.01})
		d.endAttempt(id, 0, ResultCancelled)
		d.handle(ClientDisconnected{Query: id})
		d.endAttempt(id, 1, ResultCancelled)
	}
	if d.runTicks(time.Second); d.g.enginesByID["e"].ceiling > 0.8*before {
		t.Fatalf("ceiling = %v after eight attempts cancelled as slow, want at most 0.8 of %v", d.g.enginesByID["e"].ceiling, before)
	}
}

func TestRetryBudgetIsNotSpentOnWaitingQueries(t *testing.T) {
	for _, window := range []time.Duration{0, 10 * time.Second} {
		s := testSettings()
		s.Rules.RetryBudgetWindow = window
		s.Rules.RetryBudgetBase = 5
		d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
		d.arrive(1, "wide")
		actions := d.advance(500 * time.Millisecond).handle(AttemptProgress{Query: 1, Kind: ProgressWaitingForMemory, Value: 1})
		if moved := contains[Cancel](actions); moved != (window == 0) {
			t.Errorf("retry budget over %v: moved = %v, want %v", window, moved, window == 0)
		}
	}
}
