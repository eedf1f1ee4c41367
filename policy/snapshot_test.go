package policy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// What one gateway has learned is taken whole by another: its copy of it is the same, and
// it chooses as the first would. Classes that it has no settings for are passed by.
func TestSnapshotRestoresLearnedState(t *testing.T) {
	set := Settings{Gateways: 1, CallInterval: 5 * time.Millisecond, ReportsLoad: true,
		Classes: []Class{{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: Idempotent}},
		Kinds:   []Kind{{Name: "std", Cores: 8, MemoryMB: 1024}}, Limits: Limits{MaxAttempts: 3}}
	one, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	var out []Action
	step := func(g *Gateway, ev Event) []Action {
		now += 5 * time.Millisecond
		out = g.Handle(now, ev, out[:0])
		return out
	}
	step(one, EngineList{Mode: ListFull, Engines: []Engine{{ID: "a", Kind: "std", State: EngineLive}, {ID: "b", Kind: "std", State: EngineLive}, {ID: "c", Kind: "std", State: EngineDeparted}}})
	// One engine answers at once, the other breaks every connection.
	for id := uint64(1); id < 200; id++ {
		actions := append([]Action{}, step(one, QueryArrived{Query: id, Class: "lookup", Deadline: now + 6*time.Second})...)
		for n := 0; len(actions) > 0; n++ {
			var next []Action
			for _, a := range actions {
				if s, ok := a.(Send); ok {
					res := AttemptEnded{Query: id, Attempt: n, Result: ResultSuccess, Final: true, Elapsed: 50 * time.Millisecond}
					if s.Engine == "b" {
						res = AttemptEnded{Query: id, Attempt: n, Result: ResultConnectionLost, Elapsed: time.Millisecond}
					}
					next = append(next, step(one, res)...)
				}
			}
			actions = next
		}
		step(one, TimerFired{})
	}
	l := one.Snapshot()
	if len(l.Engines) != 2 || l.Engines[1].FaultRate == 0 {
		t.Fatalf("learned: %+v", l.Engines)
	}
	l.Classes = append(l.Classes, ClassSnapshot{Name: "of another version"})
	two, err := New(set, 2)
	if err != nil {
		t.Fatal(err)
	}
	two.Restore(now, l)
	if diff := cmp.Diff(one.Snapshot(), two.Snapshot()); diff != "" {
		t.Errorf("what the second took (-first +second):\n%s", diff)
	}
	cold, _ := New(set, 2)
	step(cold, EngineList{Mode: ListFull, Engines: []Engine{{ID: "a", Kind: "std", State: EngineLive}, {ID: "b", Kind: "std", State: EngineLive}}})
	sentTo := func(g *Gateway) (bad int) {
		for id := uint64(1000); id < 1010; id++ {
			for _, a := range step(g, QueryArrived{Query: id, Class: "lookup", Deadline: now + 6*time.Second}) {
				if s, ok := a.(Send); ok && s.Engine == "b" {
					bad++
				}
			}
			step(g, AttemptEnded{Query: id, Result: ResultSuccess, Final: true, Elapsed: 50 * time.Millisecond})
		}
		return bad
	}
	if with, without := sentTo(two), sentTo(cold); with >= without || without == 0 {
		t.Errorf("of ten, %d went to the faulty engine with what was learned, %d without", with, without)
	}
}
