package lineproto

import (
	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
)

// Statement is a statement's text.
type Statement string

// SQL returns the text.
func (s Statement) SQL() string { return string(s) }

// stream is one attempt on a connection.
type stream struct {
	attempt     *core.Attempt
	connection  *connection
	written     bool
	settleTimer *timerqueue.Entry // asks the engine again whether a cancelled attempt is over; nil: not settling
	result      pageSet
	report      core.Report
}

// Owner returns the attempt of the stream.
func (s *stream) Owner() *core.Attempt { return s.attempt }

// settling reports whether the attempt was cancelled, and is not over before its engine says so.
func (s *stream) settling() bool { return s.settleTimer != nil }

// writeRequest writes the request once the engine has read all before it. Guards against what waits here for an engine
// that does not read: it could not be taken back, and would start there long after its client left.
func (s *stream) writeRequest() {
	c := s.connection
	if c.socket == nil {
		return // the end of the connection is about to end the stream
	}
	if c.socket.Pending() > 0 {
		c.socket.WhenWritten(c.writeRequests)
		return
	}
	if !c.backend.core.BeginWrite(s.attempt) {
		c.finish(s, core.OutcomeNotSent)
		return
	}
	s.written = c.socket.Write(s.request().encode())
	if !s.written { // the connection has ended: the statement has never run
		c.finish(s, core.OutcomeNotSent)
	}
}

// request returns the command that starts the attempt.
func (s *stream) request() requestCommand {
	a := s.attempt
	statement, _ := a.Request.Statement.(Statement)
	timeLeft := a.SentAt + a.Timeout - s.connection.backend.core.Now()
	return requestCommand{
		id:             a.Request.ID,
		class:          a.Request.Class,
		timeLeftMS:     max(timeLeft.Milliseconds(), 1),
		idempotencyKey: a.Request.IdempotencyKey,
		memoryMB:       int64(a.MemoryMB),
		priority:       a.Priority,
		statement:      statement,
	}
}

// finish takes the stream off the connection and ends its attempt.
func (c *connection) finish(s *stream, outcome core.Outcome) {
	delete(c.streams, s.attempt.Request.ID)
	c.lastUsed = c.backend.core.Now()
	if outcome == core.OutcomeServed {
		s.report.Result = s.result.pages
	}
	c.backend.core.EndAttempt(s.attempt, outcome, s.report)
	c.closeIfDone()
}
