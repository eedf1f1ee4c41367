package lineproto

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
)

const (
	// cancelledIDTime is how long an ID that was cancelled on a connection is not used
	// there again: a late answer to the first would be taken for one to the second.
	cancelledIDTime = 30 * time.Second
	// settleInterval is how long an engine has to report that a cancelled statement is over before it is asked
	// again: any answer may be lost on its way.
	settleInterval = time.Second
)

// cancelledIDs are the IDs of requests that were cancelled on one connection not long ago.
type cancelledIDs struct {
	until  map[string]time.Duration
	oldest []string // the same IDs, oldest first
}

func newCancelledIDs() cancelledIDs { return cancelledIDs{until: map[string]time.Duration{}} }

func (ids *cancelledIDs) contains(id string, now time.Duration) bool { return now < ids.until[id] }

func (ids *cancelledIDs) add(id string, now time.Duration) {
	ids.expire(now)
	ids.until[id] = now + cancelledIDTime
	ids.oldest = append(ids.oldest, id)
}

// expire drops the IDs that may be used again: a connection that lives for days would
// otherwise keep all that were ever cancelled on it.
func (ids *cancelledIDs) expire(now time.Duration) {
	for len(ids.oldest) > 0 && now >= ids.until[ids.oldest[0]] {
		delete(ids.until, ids.oldest[0])
		ids.oldest = ids.oldest[1:]
	}
}

// Cancel cancels an attempt, and reports whether it is over.
func (b *Backend) Cancel(a *core.Attempt) bool {
	s, ok := a.LinkState.(*stream)
	if !ok {
		return true
	}
	c := s.connection
	switch {
	case s.settling():
		return false
	case !s.written || c.socket == nil: // a connection that has ended ends its streams one by one
	case s.result.missing > 0: // the statement is done, and only its pages are still wanted
		c.socket.Write(appendReleaseCommand(newCommand(), a.Request.ID))
	case a.MustAwaitEngine() && !c.retired: // a retired connection's engine process has ended
		s.requestSettlement()
		return false
	default:
		c.socket.Write(appendCancelCommand(newCommand(), a.Request.ID))
	}
	c.release(s)
	c.closeIfDone()
	return true
}

// release takes a cancelled stream off the connection. Where it was written, its ID is not used here again
// for a while.
func (c *connection) release(s *stream) {
	id := s.attempt.Request.ID
	delete(c.streams, id)
	if s.written && c.socket != nil {
		c.cancelledIDs.add(id, c.backend.core.Now())
	}
}

// requestSettlement cancels the statement and asks for a page of it. An engine reads one command after the other,
// and answers that it knows no such query once it has read the first.
func (s *stream) requestSettlement() {
	id := s.attempt.Request.ID
	commands := appendCancelCommand(newCommand(), id)
	commands = appendPageCommand(commands, id, 1)
	s.connection.socket.Write(commands)
	due := s.connection.backend.core.Now() + settleInterval
	s.settleTimer = s.connection.backend.loop.Timers.Add(due, s.requestSettlement)
}

// handleSettlingAnswer takes an answer for an attempt that was cancelled: after any but a progress report its
// statement is over at the engine.
func (c *connection) handleSettlingAnswer(s *stream, a answer) error {
	switch a.kind {
	case answerProgress:
	case answerRejected, answerDeadlinePassed: // it never ran
		c.settle(s, failureOutcomes[a.kind])
	case answerDone, answerPage, answerFailed:
		c.settle(s, core.OutcomeCancelled)
	default:
		return fmt.Errorf("%w: %.20q", errUnknownAnswer, a.kind)
	}
	return nil
}

// settle ends an attempt that was cancelled.
func (c *connection) settle(s *stream, outcome core.Outcome) {
	s.settleTimer.Stop()
	c.release(s)
	c.lastUsed = c.backend.core.Now()
	c.backend.core.EndAttempt(s.attempt, outcome, core.Report{})
	c.closeIfDone()
}
