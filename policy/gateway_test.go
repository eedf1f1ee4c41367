package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestStateIsBoundedOverLongRun(t *testing.T) {
	s := testSettings()
	s.Classes[0].WaitsForDataLoad = true
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetBase, s.Rules.RetryBudgetRatio = time.Second, 3, 0.1
	d := newDriver(t, s)
	for id := uint64(1); id < 5000; id++ {
		departed, started := liveEngine(fmt.Sprintf("e%d", id-1), "a", 1), liveEngine(fmt.Sprintf("e%d", id), "a", 1)
		departed.State = EngineDeparted
		d.advance(100 * time.Millisecond).handle(EngineList{Mode: ListChanges, Engines: []Engine{departed, started}})
		d.handle(QueryArrived{Query: id, Class: "ordered", Key: fmt.Sprint("k", id), DataSet: int64(id), Deadline: d.now + time.Second})
		d.handle(AttemptProgress{Query: id, Kind: ProgressWaitingForDataLoad})
		d.endAttempt(id, 0, []Result{ResultSuccess, ResultConnectionLost, ResultCancelled}[id%3])
		if q := d.g.queries[id]; q != nil {
			d.handle(ClientDisconnected{Query: id})
			for n := range q.attempts {
				d.endAttempt(id, n, ResultCancelled)
			}
		}
		d.handle(TimerFired{})
	}
	g := d.g
	locked := 0
	for _, e := range g.engines {
		locked += len(e.lockedUntil)
	}
	for name, n := range map[string]int{
		"arrivals": len(g.retries.arrivals), "retries": len(g.retries.retries), "engines": len(g.engines),
		"engine ids": len(g.enginesByID), "ordering keys": len(g.orderedKeys.queues), "data sets": len(g.dataSets.counts),
		"queries": len(g.queries), "waiting queries": len(g.orderedKeys.waiting), "locked data sets": locked,
	} {
		if n > 300 {
			t.Errorf("%s: %d kept after 5000 queries and engines, want at most 300", name, n)
		}
	}
}
