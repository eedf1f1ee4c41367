package policy

import (
	"testing"
	"time"
)

func TestPlacementHoldsWithoutAllowedEngines(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	d.wantNoSend(d.arrive(1, "placed"))
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{liveEngine("f", "b", 1)}})
	d.wantSend(d.arrive(2, "placed"), "f")
	d.wantSend(d.endAttempt(2, 0, ResultError), "f")
}

func TestReadersAvoidLockedDataSet(t *testing.T) {
	s := testSettings()
	s.Classes[2].DataLoad, s.Classes[0].WaitsForDataLoad = true, true
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	sendTo := func(id uint64, class string) string {
		actions := d.handle(QueryArrived{Query: id, Class: class, DataSet: 7, Deadline: d.now + 9*time.Second})
		return sendsIn(actions)[0].Engine
	}
	loading := sendTo(1, "non-idempotent")
	for id := uint64(2); id < 5; id++ {
		if got := sendTo(id, "idempotent"); got == loading {
			t.Fatalf("query %d went to %s, where a data load locks its data set, want the other engine", id, got)
		}
	}
}

func TestTiesAreBrokenAtRandom(t *testing.T) {
	s, list := manyGateways(20)
	chosen := map[string]bool{}
	for seed := uint64(1); seed < 60; seed++ {
		g, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, EngineList{Mode: ListFull, Engines: list}, nil)
		actions := g.Handle(0, QueryArrived{Query: 1, Class: "idempotent", DataSet: int64(seed), Deadline: time.Second}, nil)
		for _, a := range sendsIn(actions) {
			chosen[a.Engine] = true
		}
	}
	if len(chosen) < 12 {
		t.Fatalf("the first queries of 59 gateways went to %d of 20 engines, want at least 12", len(chosen))
	}
}

func TestRandomAdmissionsSpreadOverEngines(t *testing.T) {
	s, list := manyGateways(30)
	chosen := map[string]int{}
	for seed := uint64(1); seed < 90; seed++ {
		g, _ := New(s, seed)
		g.Handle(0, EngineList{Mode: ListFull, Engines: list}, nil)
		for _, e := range g.engines {
			e.ceiling = 3 // less than the query's four threads
		}
		for _, a := range sendsIn(g.Handle(0, QueryArrived{Query: 1, Class: "wide", DataSet: int64(seed), Deadline: time.Second}, nil)) {
			chosen[a.Engine]++
		}
	}
	for id, n := range chosen {
		if n > 12 {
			t.Fatalf("%d of 89 randomly admitted queries went to %s, want at most 12", n, id)
		}
	}
	if len(chosen) < 15 {
		t.Fatalf("randomly admitted queries went to %d of 30 engines, want at least 15", len(chosen))
	}
}

func TestFittingEngineIsPreferredToRandomAdmission(t *testing.T) {
	s, list := manyGateways(2)
	for seed := uint64(1); seed < 60; seed++ {
		g, _ := New(s, seed)
		g.Handle(0, EngineList{Mode: ListFull, Engines: list}, nil)
		near, far := g.engines[0], g.engines[1]
		if affinity(near.hash, 7) < affinity(far.hash, 7) {
			near, far = far, near
		}
		// The near engine, in the gateway's zone, has a ceiling below the query's four threads.
		near.ceiling, far.zone = 3.9, "b"
		for _, a := range sendsIn(g.Handle(0, QueryArrived{Query: 1, Class: "wide", DataSet: 7, Deadline: time.Second}, nil)) {
			if a.Engine != far.id {
				t.Fatalf("seed %d: sent to %s by random admission, want %s, where the query fits", seed, near.id, far.id)
			}
		}
	}
}
