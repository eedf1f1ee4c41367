package policy

import (
	"testing"
	"time"
)

func TestNonIdempotentIsRetriedOnlyWhenNotExecuted(t *testing.T) {
	for result, wantRetry := range map[Result]bool{
		ResultRejected: true, ResultConnectFailed: true, ResultConnectTimeout: true, ResultNotSent: true,
		ResultError: false, ResultTimeout: false, ResultConnectionLost: false, ResultCancelled: false, ResultUnknown: false,
	} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
		d.arrive(1, "non-idempotent")
		actions := d.endAttempt(1, 0, result)
		if (len(sendsIn(actions)) == 1) != wantRetry || contains[Reject](actions) || contains[Fail](actions) == wantRetry {
			t.Errorf("actions after result %d = %+v, want retry = %v", result, actions, wantRetry)
		}
	}
}

// TestStreamingAttemptIsNotRetried guards against a transaction that goes on at another engine: once a part of its
// response was delivered, a query is not sent again, whatever the result of the attempt and the class are.
func TestStreamingAttemptIsNotRetried(t *testing.T) {
	for _, class := range []string{"idempotent", "non-idempotent", "keyed"} {
		for result := ResultError; result <= ResultConnectTimeout; result++ {
			d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
			d.arrive(1, class)
			d.handle(StreamStarted{Query: 1, Attempt: 0})
			actions := d.endAttempt(1, 0, result)
			if len(sendsIn(actions)) > 0 || !contains[Fail](actions) && !contains[Reject](actions) {
				t.Errorf("%s: actions after result %d = %+v, want an answer and no send", class, result, actions)
			}
			if class == "non-idempotent" && contains[Reject](actions) {
				t.Errorf("%s: actions after result %d = %+v, want no Reject: its first statements have run", class, result, actions)
			}
		}
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	first := sendsIn(d.arrive(1, "keyed"))[0].Engine
	d.wantSend(d.endAttempt(1, 0, ResultError), first)
	d.advance(1100 * time.Millisecond)
	actions := d.endAttempt(1, 1, ResultError)
	if len(sendsIn(actions)) != 0 || !contains[Fail](actions) {
		t.Fatalf("actions after the deduplication window = %+v, want a Fail and no send", actions)
	}
}

// TestCancelledQueryReturnsOnlyWithHedging cancels an attempt at the only engine. Without hedging the query
// must not be sent there again: the new attempt may use another connection and overtake the cancel request,
// so that two attempts would run at once.
func TestCancelledQueryReturnsOnlyWithHedging(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		s := testSettings()
		s.Limits.AllowHedging = hedging
		d := newDriver(t, s, liveEngine("e", "a", 1))
		d.advance(3 * time.Second).handle(TimerFired{})
		d.arrive(1, "idempotent")
		if !d.g.cancel(d.g.queries[1].attempts[0]) {
			t.Fatal("cancel() = false, want true")
		}
		if again := len(sendsIn(d.endAttempt(1, 0, ResultCancelled))) > 0; again != hedging {
			t.Errorf("hedging %v: retried on the same engine = %v, want %v", hedging, again, hedging)
		}
	}
}

// TestOverdueAttemptMovesOnlyToSuitableEngine checks that an overdue attempt is cancelled only if another
// engine may run the query. The same engine does not count without hedging, nor does one that is draining
// or outside the zones of the class.
func TestOverdueAttemptMovesOnlyToSuitableEngine(t *testing.T) {
	draining := liveEngine("e2", "a", 1)
	draining.State = EngineDraining
	for name, c := range map[string]struct {
		hedging bool
		class   string
		others  []Engine
		moved   bool
	}{
		"no other engine":                  {false, "idempotent", nil, false},
		"no other engine, with hedging":    {true, "idempotent", nil, true},
		"another engine":                   {false, "idempotent", []Engine{liveEngine("e2", "a", 1)}, true},
		"another engine, draining":         {false, "idempotent", []Engine{draining}, false},
		"another engine outside its zones": {false, "placed", []Engine{liveEngine("e2", "a", 1)}, false},
		"another engine within its zones":  {false, "placed", []Engine{liveEngine("e2", "b", 1)}, true},
	} {
		s := testSettings()
		s.ProgressInterval = 0
		s.Limits.AllowHedging = c.hedging
		for i := range s.Classes {
			s.Classes[i].ObjectiveStretch = 2 // otherwise a new attempt would miss the objective
		}
		first := liveEngine("e1", "a", 1)
		if c.class == "placed" {
			first.Zone = "b"
		}
		d := newDriver(t, s, append([]Engine{first}, c.others...)...)
		d.advance(3 * time.Second).handle(TimerFired{})
		d.arrive(1, c.class)
		if got := contains[Cancel](d.runTicks(900 * time.Millisecond)); got != c.moved {
			t.Errorf("%s: moved = %v, want %v", name, got, c.moved)
		}
	}
}
