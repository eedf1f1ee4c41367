package policy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// snapshotFixture runs several gateways of the same settings on one clock. Engine "good" serves every query
// at once, and engine "bad" breaks every connection.
type snapshotFixture struct {
	settings Settings
	now      time.Duration
}

func newSnapshotFixture() *snapshotFixture {
	return &snapshotFixture{now: time.Hour, settings: Settings{
		Gateways: 1, CallInterval: 5 * time.Millisecond, ReportsLoad: true,
		Classes: []Class{{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second,
			PriorityWeight: 1, Threads: 1, Idempotency: Idempotent}},
		Kinds:  []Kind{{Name: "std", Cores: 8, MemoryMB: 1024}},
		Limits: Limits{MaxAttempts: 3},
	}}
}

func (f *snapshotFixture) newGateway(t *testing.T, seed uint64) *Gateway {
	t.Helper()
	g, err := New(f.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func (f *snapshotFixture) list(g *Gateway) {
	f.handle(g, EngineList{Mode: ListFull, Engines: []Engine{
		{ID: "good", Kind: "std", State: EngineLive},
		{ID: "bad", Kind: "std", State: EngineLive},
		{ID: "departed", Kind: "std", State: EngineDeparted},
	}})
}

func (f *snapshotFixture) handle(g *Gateway, ev Event) []Action {
	f.now += 5 * time.Millisecond
	return g.Handle(f.now, ev, nil)
}

func (f *snapshotFixture) arrive(g *Gateway, id uint64) []Action {
	return f.handle(g, QueryArrived{Query: id, Class: "lookup", Deadline: f.now + 6*time.Second})
}

// serve handles the arrival of a query and ends its attempts until it is answered.
func (f *snapshotFixture) serve(g *Gateway, id uint64) {
	sends := sendsIn(f.arrive(g, id))
	for attempt := 0; len(sends) > 0; attempt++ {
		ev := AttemptEnded{Query: id, Attempt: attempt, Result: ResultSuccess, Final: true, Elapsed: 50 * time.Millisecond}
		if sends[0].Engine == "bad" {
			ev = AttemptEnded{Query: id, Attempt: attempt, Result: ResultConnectionLost, Elapsed: time.Millisecond}
		}
		sends = sendsIn(f.handle(g, ev))
	}
}

// sendsToBad returns how many of ten queries go to the engine that breaks connections.
func (f *snapshotFixture) sendsToBad(g *Gateway) (count int) {
	for id := uint64(1000); id < 1010; id++ {
		for _, send := range sendsIn(f.arrive(g, id)) {
			if send.Engine == "bad" {
				count++
			}
		}
		f.handle(g, AttemptEnded{Query: id, Result: ResultSuccess, Final: true, Elapsed: 50 * time.Millisecond})
	}
	return count
}

// TestSnapshotRestoresLearnedState restores the snapshot of one gateway in another. The second gateway must
// then return the same snapshot, and avoid the bad engine as the first one does. Classes that it has no
// settings for must be skipped.
func TestSnapshotRestoresLearnedState(t *testing.T) {
	f := newSnapshotFixture()
	first := f.newGateway(t, 1)
	f.list(first)
	for id := uint64(1); id < 200; id++ {
		f.serve(first, id)
		f.handle(first, TimerFired{})
	}
	snapshot := first.Snapshot()
	if len(snapshot.Engines) != 2 || snapshot.Engines[1].FaultRate == 0 {
		t.Fatalf("engines of the snapshot = %+v, want two, the second with faults", snapshot.Engines)
	}
	snapshot.Classes = append(snapshot.Classes, ClassSnapshot{Name: "of another version"})
	restored := f.newGateway(t, 2)
	restored.Restore(f.now, snapshot)
	if diff := cmp.Diff(first.Snapshot(), restored.Snapshot()); diff != "" {
		t.Errorf("restored snapshot (-want +got):\n%s", diff)
	}
	fresh := f.newGateway(t, 2)
	f.list(fresh)
	with, without := f.sendsToBad(restored), f.sendsToBad(fresh)
	if with >= without || without == 0 {
		t.Errorf("of ten queries, %d went to the bad engine with a snapshot, want fewer than the %d without one", with, without)
	}
}
