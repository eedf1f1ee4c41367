package policy

import (
	"testing"
	"time"
)

// TestTimeOfUnservedAttemptsRaisesTheExpectedWork has one query served after 100 ms and one that times out after 300 ms:
// the work for each response is four times that of the served query. The time at an engine that has sent nothing since
// does not count, and a snapshot keeps the estimate.
func TestTimeOfUnservedAttemptsRaisesTheExpectedWork(t *testing.T) {
	for name, c := range map[string]struct {
		isHeard bool
		want    float64
	}{"engine sends messages": {true, maxUnservedFactor}, "engine is silent": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
			d.advance(3 * time.Second).handle(TimerFired{})
			d.arrive(1, "idempotent")
			d.advance(100 * time.Millisecond)
			d.endAttempt(1, 0, ResultSuccess)
			d.advance(time.Millisecond)
			d.arrive(2, "idempotent")
			d.advance(time.Millisecond)
			if c.isHeard {
				d.handle(AttemptProgress{Query: 2, Kind: ProgressWaitingForMemory})
			}
			d.handle(AttemptEnded{Query: 2, Result: ResultTimeout, Elapsed: 300 * time.Millisecond})
			class := d.g.classes["idempotent"]
			class.responses = maxClassSamples // no correction for attempts in flight
			q := &query{class: class, workMS: 1}
			if got := d.g.sentWorkMS(q); got < 0.99*c.want || got > c.want {
				t.Errorf("expected work = %.2f times that of served queries, want %.2f", got, c.want)
			}
			restored, _ := New(testSettings(), 1)
			restored.Restore(d.now, d.g.Snapshot())
			q.class = restored.classes["idempotent"]
			q.class.responses = maxClassSamples
			if got, want := restored.sentWorkMS(q), d.g.sentWorkMS(&query{class: class, workMS: 1}); got != want {
				t.Errorf("after a restore: expected work = %.2f times that of served queries, want %.2f", got, want)
			}
		})
	}
}
