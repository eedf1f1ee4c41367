package policy

import "testing"

// TestRetryFollowsThePlacementOfTheSend guards against a retry in the zone to which the list moved an engine
// after the attempt: the engines of its former zone know the key.
func TestRetryFollowsThePlacementOfTheSend(t *testing.T) {
	s := testSettings()
	s.Classes[3].DedupScope = DedupZone
	d := newDriver(t, s, liveEngine("e", "a", 1))
	d.wantSend(d.arrive(1, "keyed"), "e")
	moved := liveEngine("e", "b", 1)
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{moved, liveEngine("f", "a", 1), liveEngine("g", "b", 1)}})
	d.wantSend(d.endAttempt(1, 0, ResultError), "f")
}
