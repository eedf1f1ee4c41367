package policy

import (
	"testing"
	"time"
)

func TestOrderedQueryWaitsForPredecessorToSettle(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	arrive := func(id uint64) []Action {
		return d.handle(QueryArrived{Query: id, Class: "ordered", Key: "x", Deadline: d.now + 5*time.Second})
	}
	d.wantSend(arrive(1), "e")
	d.wantNoSend(arrive(2))
	d.handle(ClientDisconnected{Query: 1})
	d.wantNoSend(d.handle(TimerFired{})) // its attempt is still in flight
	d.endAttempt(1, 0, ResultCancelled)
	d.wantNoSend(d.advance(500 * time.Millisecond).handle(TimerFired{}))
	d.wantSend(d.advance(300*time.Millisecond).handle(TimerFired{}), "e")
}
