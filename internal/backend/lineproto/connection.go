package lineproto

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

const (
	// maxBufferBytes is the size of a connection's read buffer; further bytes wait in the socket.
	maxBufferBytes = 64 << 10
	// maxAnswerPause is how long an answer may stop in the middle. Engines send an answer in one piece.
	maxAnswerPause = 500 * time.Millisecond
	// maxAnswerTime is the maximum time from the first byte of an answer to its last. An answer that
	// keeps arriving without end would block all others on the connection.
	maxAnswerTime = 4 * maxAnswerPause
	// idleFraction is the fraction of the engines' idle timeout after which the gateway closes an
	// idle connection itself, so that no request is sent while the engine closes it.
	idleFraction = 0.8
)

var errAnswerStalled = errors.New("an answer was not complete in time")

// connection is one connection to an engine. It exists from the start of its dial.
type connection struct {
	backend      *Backend
	engine       *backend.Engine[*connection]
	socket       *netio.Conn        // nil while dialing and after the connection has closed
	streams      map[string]*stream // by request ID
	healthCheck  *healthCheck       // in flight, or waiting for the dial; nil: none
	cancelledIDs cancelledIDs
	partial      partialAnswer
	retired      bool          // accepts no more streams
	lastUsed     time.Duration // when an attempt or health check last started or ended
	closeReason  core.Outcome  // why the connection closes; OutcomeUnknown: it is not closing
}

// partialAnswer tracks the time of an incomplete answer in the buffer.
type partialAnswer struct {
	startedAt time.Duration     // when its first byte was seen; 0: no incomplete answer
	timer     *timerqueue.Timer // aborts the connection if the answer is not complete in time
}

// dial starts a connection to an engine. Attempts can be added to it at once and are written when it is open.
func (b *Backend) dial(engine *backend.Engine[*connection]) *connection {
	c := &connection{backend: b, engine: engine, streams: map[string]*stream{}, cancelledIDs: newCancelledIDs()}
	engine.Connections = append(engine.Connections, c)
	b.counters.Inc("links.dialed")
	b.loop.Dial(engine.Addr, b.site.ConnectTimeout, maxBufferBytes, c, c.dialed)
	return c
}

// dialed handles the result of the dial.
func (c *connection) dialed(socket *netio.Conn, err error) {
	if err != nil {
		outcome := backend.DialOutcome(err)
		if outcome != core.OutcomeConnectionRefused {
			c.backend.log.Warn("engine.unreachable", "engine", c.engine.ID, "error", err)
		}
		c.disconnected(outcome)
		return
	}
	c.socket = socket
	c.writeRequests()
	if c.healthCheck != nil {
		c.healthCheck.write()
	}
	c.closeIfDone()
	c.scheduleIdleClose()
}

// accepts reports whether a request with this ID can be sent on the connection.
func (c *connection) accepts(id string, now time.Duration) bool {
	switch {
	case c.retired, c.cancelledIDs.full(), len(c.streams) >= c.backend.site.MaxStreams:
		return false
	case c.streams[id] != nil, c.cancelledIDs.contains(id, now):
		return false
	}
	return c.socket == nil || !c.socket.Disconnected()
}

// writeRequests writes the requests that were waiting for the dial or for earlier requests to be sent.
func (c *connection) writeRequests() {
	for _, s := range c.streamsInOrder() {
		if c.hasStream(s) && !s.written {
			s.writeRequest()
		}
	}
}

// streamsInOrder returns the streams ordered by the time at which the core sent their attempts.
func (c *connection) streamsInOrder() []*stream {
	streams := make([]*stream, 0, len(c.streams))
	for _, s := range c.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.attempt.SentAt, b.attempt.SentAt) })
	return streams
}

// hasStream reports whether a stream is still on the connection. Ending one attempt may make the core
// cancel others, so a loop over several streams checks each of them before it uses it.
func (c *connection) hasStream(s *stream) bool { return c.streams[s.attempt.Request.ID] == s }

// scheduleIdleClose retires the connection once it has been unused for idleFraction of the engine's
// idle timeout. Without an idle timeout in the settings it does nothing.
func (c *connection) scheduleIdleClose() {
	idle := time.Duration(float64(c.backend.site.IdleTimeout) * idleFraction)
	if idle <= 0 {
		return
	}
	due := max(c.lastUsed, c.backend.core.Now()-idle) + idle
	c.backend.loop.Timers.Add(due, func() {
		switch {
		case c.socket == nil:
		case len(c.streams) == 0 && c.healthCheck == nil && c.backend.core.Now() >= c.lastUsed+idle:
			c.Retire()
		default:
			if len(c.streams) > 0 {
				c.lastUsed = c.backend.core.Now()
			}
			c.scheduleIdleClose()
		}
	})
}

// Retire makes the connection accept no more attempts, and closes it once none is in flight. The engine
// process at its other end is presumed to have ended, and with it the statements whose cancellation
// was not confirmed yet.
func (c *connection) Retire() {
	c.retired = true
	for _, s := range c.streamsInOrder() {
		if s.cancelling() && c.hasStream(s) {
			c.finishCancelled(s, core.OutcomeCancelled)
		}
	}
	c.closeIfDone()
}

// closeIfDone closes a retired connection on which nothing is in flight.
func (c *connection) closeIfDone() {
	done := c.retired || c.cancelledIDs.full()
	if done && c.socket != nil && len(c.streams) == 0 && c.healthCheck == nil {
		c.closeReason = core.OutcomeIdleClosed
		c.socket.Close()
	}
}

// Data handles the complete answers in the buffer.
func (c *connection) Data(_ *netio.Conn, in *netio.Buffer) {
	for c.closeReason == core.OutcomeUnknown {
		a, n, err := parseAnswer(in.Bytes())
		if err == nil && n > 0 {
			err = c.handleAnswer(a)
			in.Consume(n)
			c.partial.startedAt = 0
		}
		if err != nil {
			c.abort(err)
			return
		}
		if n == 0 {
			break
		}
	}
	c.partial.timer.Stop()
	if in.Len() > 0 && c.closeReason == core.OutcomeUnknown {
		c.restartAnswerTimer()
	}
}

// restartAnswerTimer aborts the connection unless more of an incomplete answer arrives within
// maxAnswerPause and all of it within maxAnswerTime.
func (c *connection) restartAnswerTimer() {
	now := c.backend.loop.Now()
	if c.partial.startedAt == 0 {
		c.partial.startedAt = now
	}
	due := min(now+maxAnswerPause, c.partial.startedAt+maxAnswerTime)
	c.partial.timer = c.backend.loop.Timers.Add(due, func() { c.abort(errAnswerStalled) })
}

// abort closes the connection and ends everything on it. After an answer that cannot be parsed, the
// start of the next answer is unknown.
func (c *connection) abort(err error) {
	if c.socket == nil || c.closeReason != core.OutcomeUnknown {
		return
	}
	c.backend.log.Warn("engine.unreadable", "engine", c.engine.ID, "error", err)
	c.closeReason = core.OutcomeUnreadable
	c.retired = true
	c.socket.Abort()
}

// handleAnswer passes an answer to the health check or stream that it belongs to. An answer that
// belongs to none, such as a late one to a cancelled request, is counted and ignored.
func (c *connection) handleAnswer(a answer) error {
	if h := c.healthCheck; h != nil && a.id == h.tag {
		return h.handleAnswer(a)
	}
	s := c.streams[a.id]
	if s == nil {
		c.backend.counters.Inc("links.late-answer")
		return nil
	}
	if s.cancelling() {
		return c.handleCancellingAnswer(s, a)
	}
	switch a.kind {
	case answerProgress:
		if kind, value, ok := parseProgress(a.fields); ok {
			c.backend.core.ReportProgress(s.attempt, kind, value)
		}
		return nil
	case answerDone:
		return c.handleFirstPage(s, a)
	case answerPage:
		return c.handlePage(s, a)
	case answerRejected, answerFailed, answerDeadlinePassed:
		outcome := failureOutcomes[a.kind]
		if s.result.missing > 0 {
			outcome = core.OutcomePagesLost
		}
		s.report.LoadReport = parseLoadReport(a.fields)
		c.finish(s, outcome)
		return nil
	}
	return fmt.Errorf("%w: %.20q", errUnknownAnswer, a.kind)
}

// Closed determines why the connection has closed and ends everything on it.
func (c *connection) Closed(*netio.Conn, error) {
	switch {
	case c.closeReason != core.OutcomeUnknown:
	case len(c.streams) == 0:
		c.closeReason = core.OutcomeIdleClosed
	default:
		c.closeReason = core.OutcomeConnectionReset
	}
	c.disconnected(c.closeReason)
}

// disconnected unregisters the connection and ends its health check and its attempts with the
// outcome; attempts whose cancellation was not confirmed yet end as cancelled.
func (c *connection) disconnected(outcome core.Outcome) {
	c.retired = true
	c.socket = nil
	c.partial.timer.Stop()
	c.backend.counters.Inc("links.ended." + outcome.String())
	c.engine.Remove(c)
	if c.healthCheck != nil {
		c.healthCheck.finish(outcome, policy.LoadReport{})
	}
	for _, s := range c.streamsInOrder() {
		switch {
		case !c.hasStream(s):
		case s.cancelling():
			c.finishCancelled(s, core.OutcomeCancelled)
		default:
			delete(c.streams, s.attempt.Request.ID)
			c.backend.core.EndAttempt(s.attempt, outcome, core.Report{})
		}
	}
}
