package policy

import (
	"testing"
	"time"
)

// TestUnreportedWorkIsLearnedFromBaseline has engines that report no cost, so the work of a class is
// estimated from its baseline latency. If latencies under load raised the estimate, they would also extend
// the latency objective that they are compared with, and hide the load.
func TestUnreportedWorkIsLearnedFromBaseline(t *testing.T) {
	s := testSettings()
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
	if got := d.g.classes["idempotent"].workMS; got > 150 {
		t.Errorf("work = %.0f ms, want at most 150 for queries that take 100 ms on an idle engine", got)
	}
}
