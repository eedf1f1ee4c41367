package policy

import (
	"testing"
)

func TestDrainingAndDepartedEnginesGetNoAttempts(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	e := liveEngine("e", "a", 1)
	e.State = EngineDraining
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{e}})
	d.wantSend(d.arrive(1, "idempotent"), "f")
	d.handle(EngineList{Mode: ListFull, Engines: []Engine{e}})
	d.wantNoSend(d.arrive(2, "idempotent"))
}
