package policy

import (
	"math"
	"testing"
	"time"
)

func TestReportedLoadRemovesHeadroom(t *testing.T) {
	s, list := manyGateways(40)
	d := newDriver(t, s, list...)
	free := d.g.aggregate.ceiling
	for id := uint64(1); id < 20; id++ {
		d.arrive(id, "idempotent")
		d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: 50 * time.Millisecond, Final: true, Load: LoadReport{Reported: true, CPUUtilization: 1, InFlight: -1}})
	}
	d.runTicks(time.Second)
	if got, want := d.g.aggregate.ceiling, ceilingFactor*d.g.aggregate.baseline+0.05*free; got > want {
		t.Fatalf("aggregate ceiling = %v with all engines reported busy, want at most %v; %v without reports", got, want, free)
	}
}

func TestReportedIdlenessAddsHeadroom(t *testing.T) {
	s, list := manyGateways(40)
	d := newDriver(t, s, list...)
	before := d.g.aggregate.ceiling
	for id := uint64(1); id < 20; id++ {
		d.arrive(id, "idempotent")
		d.handle(AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: 50 * time.Millisecond, Final: true, Load: LoadReport{Reported: true, CPUUtilization: 0.2, InFlight: -1}})
	}
	if d.runTicks(time.Second); d.g.aggregate.ceiling < 1.5*before {
		t.Fatalf("aggregate ceiling = %v with all engines reported idle, want at least 1.5 times the %v without reports", d.g.aggregate.ceiling, before)
	}
}

func TestLoadReportsSteerQueries(t *testing.T) {
	s := testSettings()
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	if actions := d.arrive(1, "idempotent"); contains[RequestLoadReport](actions) {
		t.Fatalf("actions = %+v, want no request for a load report where none is permitted", actions)
	}
	s.Limits.AllowLoadRequests, s.ReportsLoad = true, true
	d = newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	requests := 0
	for id := uint64(1); id <= 40; id++ {
		d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 1, InFlight: 60}})
		d.handle(LoadReportReceived{Engine: "f", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 0.1, InFlight: 2}})
		d.handle(LoadReportReceived{Engine: "unknown", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 9, InFlight: 1e9}})
		if contains[RequestLoadReport](d.arrive(id, "idempotent")) {
			requests++
		}
		d.wantSend(d.actions, "f")
		d.endAttempt(id, 0, ResultSuccess)
	}
	if requests < 28 {
		t.Fatalf("%d requests with 40 queries while an engine is busy, want at least 28", requests)
	}
	requests = 0
	for id := uint64(100); id < 200; id++ {
		d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, InFlight: 0}})
		d.handle(LoadReportReceived{Engine: "f", Result: ResultSuccess, Load: LoadReport{Reported: true, InFlight: 0}})
		if contains[RequestLoadReport](d.arrive(id, "idempotent")) {
			requests++
		}
		d.endAttempt(id, 0, ResultSuccess)
	}
	if requests < 20 || requests > 70 { // some must continue, to detect when the load returns
		t.Fatalf("%d requests with 100 queries while all are idle, want 20 to 70", requests)
	}
}

func TestInvalidLoadReportsAreHarmless(t *testing.T) {
	s := testSettings()
	s.Limits.AllowLoadRequests, s.ReportsLoad = true, true
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	for id, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -7, 1e300} {
		for _, load := range []LoadReport{
			{Reported: true, CPUUtilization: invalid, InFlight: -1},
			{Reported: true, CPUUtilization: 0.5, InFlight: invalid},
			{Reported: true, CPUUtilization: invalid, InFlight: invalid},
		} {
			d.handle(LoadReportReceived{Engine: "e", Result: ResultTimeout, Load: load})
			d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: load})
			d.handle(LoadReportReceived{Engine: "", Result: ResultSuccess, Load: load})
		}
		d.advance(20 * time.Second).handle(TimerFired{})
		d.wantSend(d.arrive(uint64(id+1), "idempotent"), "")
		d.endAttempt(uint64(id+1), 0, ResultSuccess)
	}
	for name, v := range map[string]float64{
		"load level": d.g.aggregate.loadLevel, "mean load": d.g.meanLoad,
		"reported in flight": d.g.traffic.reportedInFlight, "share": d.g.traffic.share(),
	} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			t.Errorf("%s = %v, want a finite number of at least 0", name, v)
		}
	}
}

// TestReportedFreeThreadsAreUsed has a gateway that uses its whole share of an engine. It must send more
// while the engine reports free threads, but only a part of these, and less once the report is old.
func TestReportedFreeThreadsAreUsed(t *testing.T) {
	s := testSettings()
	s.Gateways, s.ProgressInterval, s.ReportsLoad = 8, 0, true
	sent := func(inFlight float64, age time.Duration) (n int) {
		d := newDriver(t, s, liveEngine("e", "a", 1))
		d.g.aggregate.ceiling, d.g.aggregate.limit = 1e9, 1e9 // so that the engine alone limits
		d.handle(LoadReportReceived{Engine: "e", Result: ResultSuccess, Load: LoadReport{Reported: true, CPUUtilization: 0.1, InFlight: inFlight}})
		d.advance(age)
		for id := uint64(1); id <= 60; id++ {
			if contains[Send](d.arrive(id, "non-idempotent")) {
				n++
			}
		}
		return n
	}
	unknown, empty, half, full := sent(-1, 0), sent(0, 0), sent(6, 0), sent(60, 0)
	old := sent(0, 5*time.Second)
	followsReport := empty > half && half > unknown && old < half && old >= unknown && full <= unknown
	if !followsReport {
		t.Errorf("sent %d without a report, %d to an empty engine, %d to a half full one, %d on an old report, %d to a full one; "+
			"want empty > half full > no report, half full > old >= no report, full <= no report",
			unknown, empty, half, old, full)
	}
	if empty >= 16 { // two threads for each of eight cores
		t.Errorf("one of eight gateways sent %d queries, want fewer than 16", empty)
	}
}
