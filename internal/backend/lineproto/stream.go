package lineproto

import (
	"gannetspur/internal/core"
	"gannetspur/internal/timerqueue"
)

// Statement is the text of an SQL statement.
type Statement string

// SQL returns the text.
func (s Statement) SQL() string { return string(s) }

// stream is one attempt on a connection.
type stream struct {
	attempt          *core.Attempt
	connection       *connection
	written          bool              // the request was written to the socket
	cancelRetryTimer *timerqueue.Timer // repeats an unconfirmed cancellation; nil: not cancelling
	result           pageSet           // pages received so far
	report           core.Report       // for the core at the end of the attempt
}

// Owner returns the stream's attempt.
func (s *stream) Owner() *core.Attempt { return s.attempt }

// cancelling reports whether the attempt was cancelled and its engine has not confirmed that yet.
func (s *stream) cancelling() bool { return s.cancelRetryTimer != nil }

// writeRequest writes the request once the socket has accepted everything before it. A request that is
// queued in the connection for an engine that does not read could not be withdrawn, and would start
// there long after its client has left.
func (s *stream) writeRequest() {
	c := s.connection
	if c.socket == nil {
		return // disconnected is about to end the stream
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
	if !s.written { // the connection has closed, so the statement has never run
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

// finish removes the stream from the connection and ends its attempt.
func (c *connection) finish(s *stream, outcome core.Outcome) {
	delete(c.streams, s.attempt.Request.ID)
	c.lastUsed = c.backend.core.Now()
	if outcome == core.OutcomeServed {
		s.report.Result = s.result.pages
	}
	c.backend.core.EndAttempt(s.attempt, outcome, s.report)
	c.closeIfDone()
}
