package policy

import (
	"testing"
	"time"
)

// TestUnreportedWorkIsLearnedFromBaseline has engines that report no cost: the work of a class must follow its lowest
// latencies. Those under load would stretch the objectives that they are measured by, and hide the load.
func TestUnreportedWorkIsLearnedFromBaseline(t *testing.T) {
	s := settings()
	s.ReportsCost = false
	d := newDriver(t, s, liveEngine("e", "a", 1))
	for id := range uint64(300) {
		latency := 100 * time.Millisecond
		if id >= 100 {
			latency = 2 * time.Second
		}
		d.advance(20 * time.Millisecond)
		if len(sendsIn(d.arrive(id, "idempotent"))) > 0 {
			d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: latency, Final: true})
		}
	}
	if w := d.g.classes["idempotent"].workMS; w > 150 {
		t.Errorf("work = %.0f ms, want 150 at most for queries that take 100 ms on an idle engine", w)
	}
}
