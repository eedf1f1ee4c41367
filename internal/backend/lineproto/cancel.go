package lineproto

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
)

const (
	// cancelledIDReuseDelay is how long a request ID is not used again on a connection after it
	// was cancelled there. A late answer to the cancelled request would otherwise be taken for an
	// answer to the new one.
	cancelledIDReuseDelay = 30 * time.Second
	// cancelRetryInterval is how long to wait for an engine's confirmation that a cancelled
	// statement is over before asking again, as any answer may be lost.
	cancelRetryInterval = time.Second
	// maxCancelledIDs is the number of cancelled IDs on one connection above which it accepts no more requests, and
	// is closed once none is in flight.
	maxCancelledIDs = 1024
)

// cancelledIDs holds the IDs of requests that were recently cancelled on one connection.
type cancelledIDs struct {
	reusableAt map[string]time.Duration // when each ID may be used again
	byAge      []string                 // the same IDs, oldest first
}

func newCancelledIDs() cancelledIDs { return cancelledIDs{reusableAt: map[string]time.Duration{}} }

// contains reports whether the ID must not be used yet.
func (ids *cancelledIDs) contains(id string, now time.Duration) bool { return now < ids.reusableAt[id] }

// full reports whether the connection must not be used for more requests.
func (ids *cancelledIDs) full() bool { return len(ids.byAge) >= maxCancelledIDs }

// add records that the request with this ID was cancelled now.
func (ids *cancelledIDs) add(id string, now time.Duration) {
	ids.expire(now)
	ids.reusableAt[id] = now + cancelledIDReuseDelay
	ids.byAge = append(ids.byAge, id)
}

// expire drops the IDs that may be used again. Without it, a connection that stays open for days
// would keep every ID that was ever cancelled on it.
func (ids *cancelledIDs) expire(now time.Duration) {
	for len(ids.byAge) > 0 && now >= ids.reusableAt[ids.byAge[0]] {
		delete(ids.reusableAt, ids.byAge[0])
		ids.byAge = ids.byAge[1:]
	}
}

// Cancel cancels an attempt. It returns false if the core must wait for EndAttempt because the
// statement may still be running at the engine, and true if the attempt is over.
func (b *Backend) Cancel(a *core.Attempt) bool {
	s, ok := a.BackendState.(*stream)
	if !ok {
		return true
	}
	c := s.connection
	switch {
	case s.cancelling():
		return false
	case !s.written || c.socket == nil: // the engine has no such request, or the connection has closed
	case s.result.missing > 0: // the statement is complete, and only pages of its result are missing
		c.socket.Write(appendReleaseCommand(newCommand(), a.Request.ID))
	case a.MustAwaitEngine() && !c.retired: // the engine process of a retired connection counts as ended
		s.requestCancellation()
		return false
	default:
		c.socket.Write(appendCancelCommand(newCommand(), a.Request.ID))
	}
	c.release(s)
	c.closeIfDone()
	return true
}

// release removes a cancelled stream from the connection. If its request was written, its ID is not
// used on the connection for cancelledIDReuseDelay.
func (c *connection) release(s *stream) {
	id := s.attempt.Request.ID
	delete(c.streams, id)
	if s.written && c.socket != nil {
		c.cancelledIDs.add(id, c.backend.core.Now())
	}
}

// requestCancellation cancels the statement and, for a confirmation, requests a page of its result.
// Engines process commands in order, so the answer that the query is unknown shows that the statement
// is over. The commands are repeated every cancelRetryInterval until an answer arrives.
func (s *stream) requestCancellation() {
	id := s.attempt.Request.ID
	commands := appendCancelCommand(newCommand(), id)
	commands = appendPageCommand(commands, id, 1)
	s.connection.socket.Write(commands)
	due := s.connection.backend.core.Now() + cancelRetryInterval
	s.cancelRetryTimer = s.connection.backend.loop.Timers.Add(due, s.requestCancellation)
}

// handleCancellingAnswer handles an answer for an attempt whose cancellation is being confirmed. Any
// answer other than a progress report shows that the statement is over at the engine.
func (c *connection) handleCancellingAnswer(s *stream, a answer) error {
	switch a.kind {
	case answerProgress:
	case answerRejected, answerDeadlinePassed: // the statement never ran
		c.finishCancelled(s, failureOutcomes[a.kind])
	case answerDone, answerPage, answerFailed:
		c.finishCancelled(s, core.OutcomeCancelled)
	default:
		return fmt.Errorf("%w: %.20q", errUnknownAnswer, a.kind)
	}
	return nil
}

// finishCancelled ends a cancelled attempt whose statement is over: the engine has confirmed it, or the
// connection has closed or is retired.
func (c *connection) finishCancelled(s *stream, outcome core.Outcome) {
	s.cancelRetryTimer.Stop()
	c.release(s)
	c.lastUsed = c.backend.core.Now()
	c.backend.core.EndAttempt(s.attempt, outcome, core.Report{})
	c.closeIfDone()
}
