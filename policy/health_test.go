package policy

import (
	"testing"
	"time"
)

func TestSilentEngineIsEjectedAndItsQueriesRetried(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("hung", "a", 1))
	d.arrive(1, "wide")
	d.arrive(2, "idempotent")
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{liveEngine("good", "a", 1)}})
	actions := d.runTicks(1500 * time.Millisecond)
	if !contains[Cancel](actions) || !contains[Log](actions) {
		t.Fatalf("actions = %+v, want cancels and a log message", actions)
	}
	d.wantNoSend(actions) // no second attempt before the first one has ended
	d.wantSend(d.endAttempt(1, 0, ResultCancelled), "good")
}

func TestOneSilentAttemptEjectsNoEngine(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	d.arrive(1, "wide")
	if actions := d.runTicks(1500 * time.Millisecond); contains[Cancel](actions) {
		t.Fatalf("actions after one silent attempt = %+v, want no cancel", actions)
	}
}

func TestGatewayPauseEjectsNoEngine(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	d.handle(TimerFired{})
	for id := uint64(1); id < 4; id++ {
		d.arrive(id, "wide")
		d.arrive(id+10, "idempotent")
	}
	if actions := d.advance(3 * time.Second).handle(TimerFired{}); contains[Cancel](actions) || contains[Log](actions) {
		t.Fatalf("actions after a pause of the gateway = %+v, want no ejection", actions)
	}
}

func TestEngineThatFailsFastIsEjected(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("bad", "a", 1), liveEngine("good", "b", 2))
	sent := 0
	for id := uint64(1); id < 40; id++ {
		d.arrive(id, "idempotent")
		for n := range 4 {
			q := d.g.queries[id]
			if q == nil {
				break
			}
			result := ResultSuccess
			if q.attempts[n].engine.id == "bad" {
				result = ResultError
				sent++
			}
			d.endAttempt(id, n, result)
		}
	}
	if sent == 0 || sent > 8 {
		t.Fatalf("%d attempts went to the failing engine, want 1 to 8", sent)
	}
}

// TestBrokenConnectionIsOneFault ends several attempts with one broken connection. That must count as a
// single fault, and progress of a later attempt, sooner than a process can restart, must disprove the
// presumed restart. A refused connection proves a restart.
func TestBrokenConnectionIsOneFault(t *testing.T) {
	for _, c := range []struct {
		result    Result
		ejected   bool
		warmingUp bool
	}{{ResultConnectionLost, false, false}, {ResultConnectFailed, true, true}} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
		d.advance(3 * time.Second).handle(TimerFired{})
		for id := uint64(1); id <= 4; id++ {
			d.arrive(id, "idempotent")
		}
		e := d.g.engines[0]
		for id := uint64(1); id <= 2; id++ {
			d.endAttempt(id, 0, c.result)
		}
		if e.health.ejected != c.ejected {
			t.Errorf("result %v: ejected = %v, want %v", c.result, e.health.ejected, c.ejected)
		}
		d.advance(200 * time.Millisecond)
		for id := uint64(5); id < 9; id++ {
			if actions := d.arrive(id, "idempotent"); len(sendsIn(actions)) > 0 {
				d.advance(50 * time.Millisecond).handle(AttemptProgress{Query: id, Kind: ProgressFraction, Value: 0.5})
				break
			}
		}
		if got := d.now < e.warmUp.until; got != c.warmingUp {
			t.Errorf("result %v: warming up after progress of a later attempt = %v, want %v", c.result, got, c.warmingUp)
		}
	}
}

// TestErrorsCountOnlyWhenAnotherEngineServes has queries that end with errors, which the queries themselves
// may cause. An error must count against an engine only once another engine has served the query. A query
// that failed at two engines must not be sent to a third.
func TestErrorsCountOnlyWhenAnotherEngineServes(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1), liveEngine("g", "a", 1))
	for id := uint64(1); id < 20; id++ {
		d.arrive(id, "idempotent")
		d.endAttempt(id, 0, ResultError)
		if actions := d.endAttempt(id, 1, ResultError); len(sendsIn(actions)) > 0 || !contains[Reject](actions) {
			t.Fatalf("actions after two errors = %+v, want a rejection and no send", actions)
		}
	}
	for _, e := range d.g.engines {
		if e.health.faultRate > 0 {
			t.Errorf("engine %s: fault rate = %v, want 0 after errors on queries that no engine serves", e.id, e.health.faultRate)
		}
	}
	first := d.g.enginesByID[sendsIn(d.arrive(20, "idempotent"))[0].Engine]
	d.endAttempt(20, 0, ResultError)
	if d.endAttempt(20, 1, ResultSuccess); first.health.faultRate == 0 {
		t.Error("fault rate = 0, want more than 0 after an error on a query that another engine served")
	}
}

// TestLostResponseIsRetried has an attempt without progress while its engine reports progress of another
// one. Its response counts as lost, and the query is retried if its class allows that. Engines report less
// often on an attempt that waits, so that one must not be retried as early.
func TestLostResponseIsRetried(t *testing.T) {
	for _, c := range []struct {
		class       string
		waits, lost bool
	}{{"idempotent", false, true}, {"keyed", false, true}, {"non-idempotent", false, false}, {"idempotent", true, false}} {
		s := testSettings()
		s.Classes[3].DedupWindow = 5 * time.Second
		d := newDriver(t, s, liveEngine("e", "a", 1))
		d.arrive(1, c.class)
		d.arrive(2, "non-idempotent")
		if c.waits {
			d.handle(AttemptProgress{Query: 1, Kind: ProgressWaitingForMemory})
		}
		moved := false
		for range 8 {
			d.handle(AttemptProgress{Query: 2, Kind: ProgressWaitingForMemory})
			moved = moved || contains[Cancel](d.runTicks(400*time.Millisecond))
		}
		if moved != c.lost {
			t.Errorf("class %s, waiting %v: retried = %v, want %v", c.class, c.waits, moved, c.lost)
		}
	}
}

// TestStalledClassIsBlockedOnEngine has a class that makes no progress on an engine while another class
// runs there. The engine must then get one query of the stalled class at a time, as a trial, until one
// makes progress.
func TestStalledClassIsBlockedOnEngine(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	e := d.g.enginesByID["e"]
	sendsToE := func(class string) (n int) {
		for id := uint64(100); id < 110; id++ {
			for _, s := range sendsIn(d.arrive(id, class)) {
				if s.Engine == "e" {
					n++
				}
			}
			d.handle(ClientDisconnected{Query: id})
			for _, q := range d.g.queries {
				if q.id == id {
					d.endAttempt(id, 0, ResultCancelled)
				}
			}
		}
		return n
	}
	stalled := map[uint64]bool{}
	for id := uint64(1); len(stalled) < lostResponsesToBlock; id++ {
		if sendsIn(d.arrive(id, "idempotent"))[0].Engine == "e" {
			stalled[id] = true
		} else {
			d.endAttempt(id, 0, ResultSuccess)
		}
	}
	for range 4 {
		d.runTicks(300 * time.Millisecond)
		e.health.lastHeard = d.now // messages about other classes
	}
	if !d.g.isBlocked(e, d.g.classes["idempotent"]) || d.g.isBlocked(e, d.g.classes["non-idempotent"]) {
		t.Fatalf("lost responses = %v, want class idempotent blocked, and class non-idempotent not", e.health.lostResponses)
	}
	if n := sendsToE("idempotent"); n > 0 {
		t.Errorf("%d queries of the blocked class were sent, want none", n)
	}
	other := liveEngine("f", "a", 1)
	other.State = EngineDraining
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{other}})
	if n := sendsToE("non-idempotent"); n == 0 {
		t.Error("no query of the running class was sent, want at least one")
	}
	d.advance(3 * d.g.silenceTimeout)
	for id := uint64(200); id < 220 && !d.g.isBlocked(e, d.g.classes["idempotent"]); id++ {
		d.arrive(id, "idempotent")
	}
	if !d.g.isBlocked(e, d.g.classes["idempotent"]) {
		t.Error("class is not blocked after 20 queries, want it blocked by exactly one trial in flight")
	}
	trial := e.inFlight[len(e.inFlight)-1]
	d.handle(AttemptProgress{Query: trial.query.id, Attempt: trial.number, Kind: ProgressFraction, Value: 0.5})
	if d.g.isBlocked(e, d.g.classes["idempotent"]) {
		t.Error("class is still blocked after progress of the trial, want it unblocked")
	}
}

func TestOverdueAttemptIsRetriedElsewhereWithoutProgress(t *testing.T) {
	s := testSettings()
	s.ProgressInterval, s.Limits.MaxAttempts, s.Classes[1].ObjectiveStretch = 0, 2, 2.5
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	first := sendsIn(d.arrive(1, "wide"))
	if len(first) != 1 {
		t.Fatalf("actions = %+v, want one send", d.actions)
	}
	if actions := d.runTicks(1500 * time.Millisecond); contains[Cancel](actions) {
		t.Fatalf("actions within the usual deviation = %+v, want no cancel", actions)
	}
	// The usual latency is 1 s, an attempt is overdue after 2 s, and the latency objective is 5.5 s.
	if actions := d.runTicks(700 * time.Millisecond); !contains[Cancel](actions) {
		t.Fatalf("actions after twice the usual latency = %+v, want a cancel", actions)
	}
	retries := sendsIn(d.endAttempt(1, 0, ResultCancelled))
	if len(retries) != 1 || retries[0].Engine == first[0].Engine {
		t.Fatalf("sends = %+v, want one to another engine than %q", retries, first[0].Engine)
	}
	if actions := d.runTicks(5 * time.Second); contains[Cancel](actions) {
		t.Fatalf("actions during the last permitted attempt = %+v, want no cancel", actions)
	}
}
