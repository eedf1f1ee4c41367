package postgres

import (
	"slices"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
)

var _ core.StreamingClient = (*connection)(nil)

// connection is the server side of one client connection.
type connection struct {
	frontend  *Frontend
	socket    *netio.Conn
	processID uint32 // identifies the connection in a CancelRequest, together with secretKey
	secretKey [4]byte
	user      string

	lifecycle
	login   login
	session session
	extendedQuery
	// inSimpleQuery is set while a Query is processed: an error is followed by ReadyForQuery
	// immediately, without waiting for a Sync.
	inSimpleQuery bool
	transaction   *transaction // nil if none is open
	inFlight      inFlightRequest
	memory        clientMemory
	served        bool // a statement was served

	out        messageWriter
	stallTimer *timerqueue.Timer // closes the connection if a message stays incomplete
}

// lifecycle is the state of a connection between accept and close.
type lifecycle struct {
	started            bool // the startup, including the login, is complete
	closing            bool // its last message is being written
	ended              bool // no more messages are read or written
	closeWhenQuiescent bool // close as soon as no request and no transaction is open
}

// extendedQuery is the state of the extended query protocol.
type extendedQuery struct {
	statements map[string]*statement // by name
	portals    map[string]*portal    // by name
	skipToSync bool                  // after an error, messages up to the next Sync are ignored
	// describePending is set while the answer to a portal's Describe is deferred until the next
	// message arrives: if that is an Execute of the portal, its result contains the description.
	describePending bool
	describedPortal string // name of the portal to describe
}

// inFlightRequest is the request whose answer a connection waits for. No message is read until then.
type inFlightRequest struct {
	request  *core.Request     // nil if none is in flight
	onAnswer func(core.Answer) // receives the final answer; nil if the request is a transaction's
	// orphan describes the first request in the input, if a process that died had already read it. It is nil
	// otherwise, and once that request or the rest of the input was handled.
	orphan *core.Orphan
}

// take clears the request and returns its answer callback, which may be nil.
func (r *inFlightRequest) take() (onAnswer func(core.Answer)) {
	onAnswer = r.onAnswer
	r.request = nil
	r.onAnswer = nil
	return onAnswer
}

// quiescent reports whether neither a request nor a transaction is open.
func (c *connection) quiescent() bool { return c.inFlight.request == nil && c.transaction == nil }

// Data processes messages until one has to wait for an answer.
func (c *connection) Data(_ *netio.Conn, in *netio.Buffer) {
	if orphan := c.inFlight.orphan; orphan != nil && orphan.PartlyAnswered {
		c.fatal(errPartlyAnswered(orphan)) // handling the message again would repeat a part of its answer
		return
	}
	paused, err := c.readMessages(in)
	if err != nil {
		c.frontend.counters.Inc("pgwire.malformed")
		c.fatal(asProtocolError(err))
		return
	}
	c.stallTimer.Stop()
	if c.mayRead() && in.Len() > 0 && !c.socket.OutputFull(maxPendingWrite) {
		c.startStallTimer()
	}
	c.socket.LimitReadAhead(c.inFlight.request != nil)
	if !paused {
		c.inFlight.orphan = nil
	}
	c.flush()
}

// mayRead reports whether the next message may be read.
func (c *connection) mayRead() bool { return c.inFlight.request == nil && !c.ended }

// readMessages processes the complete messages in the buffer, while no request is in flight. It pauses while the
// client does not read its answers, and after a turn's work.
func (c *connection) readMessages(in *netio.Buffer) (paused bool, err error) {
	var turn netio.Turn
	for c.mayRead() {
		if turn.Over() {
			c.socket.ScheduleData()
			return true, nil
		}
		if c.socket.OutputFull(maxPendingWrite) {
			c.socket.WhenWritten(c.socket.ScheduleData)
			return true, nil
		}
		read := c.readStartup
		if c.started {
			read = c.readMessage
		}
		before := in.Len()
		more, err := read(in)
		turn.Spend(before - in.Len())
		if err != nil || !more {
			return false, err
		}
	}
	return false, nil
}

// startStallTimer starts a timer that closes the connection if the rest of a message does not arrive in time.
func (c *connection) startStallTimer() {
	f := c.frontend
	c.stallTimer = f.loop.Timers.Add(f.loop.Now()+stallTimeout, func() {
		f.counters.Inc("pgwire.stalled")
		c.fatal(newError(codeProtocolViolation, "timed out waiting for the rest of a message"))
	})
}

// readMessage reads and handles one message. more reports whether the next one may be read.
func (c *connection) readMessage(in *netio.Buffer) (more bool, err error) {
	b := in.Bytes()
	if len(b) > 0 && !slices.Contains(clientMessageTypes, b[0]) {
		return false, errUnknownMessageType
	}
	kind, body, n, err := pgproto.ReadMessage(b, maxMessageSize)
	if err != nil || n == 0 {
		return false, err
	}
	if c.socket.HasJournal() {
		c.flush() // before this message is consumed: written bytes count as the answer to all consumed messages
	}
	if c.describePending {
		wait := c.resolveDescribe(kind, body)
		if wait { // this message is read again once the description has been sent
			return false, nil
		}
	}
	in.Consume(n)
	c.handleMessage(kind, body)
	return true, nil
}

// handleMessage handles Terminate and Sync, and dispatches all others unless they are skipped after an
// error.
func (c *connection) handleMessage(kind byte, body []byte) {
	switch {
	case kind == pgproto.MessageTerminate:
		c.flush() // answers to earlier messages of the client
		c.ended = true
		c.socket.Close()
	case kind == pgproto.MessageSync:
		c.sync()
	case c.skipToSync:
	default:
		if e := c.dispatch(kind, body); e != nil {
			c.fail(e)
		}
	}
}

// dispatch calls the handler of a message. The caller sends the returned error to the client.
func (c *connection) dispatch(kind byte, body []byte) *pgproto.Error {
	switch kind {
	case pgproto.MessageParse:
		return c.handleParse(body)
	case pgproto.MessageBind:
		return c.handleBind(body)
	case pgproto.MessageDescribe:
		return c.handleDescribe(body)
	case pgproto.MessageExecute:
		return c.handleExecute(body)
	case pgproto.MessageClose:
		return c.handleClose(body)
	case pgproto.MessageQuery:
		return c.handleQuery(body)
	case pgproto.MessageFunctionCall: // no Sync follows it, as none follows a Query
		c.inSimpleQuery = true
		return newError(codeFeatureNotSupported, "function calls are not supported")
	case pgproto.MessagePassword:
		return newError(codeProtocolViolation, "no password was asked for")
	}
	return nil // Flush needs no action because answers are always written. Copy data after a rejected COPY is ignored.
}

// sync ends a batch of extended queries. If no transaction is open, the batch counts as a transaction
// of its own, so its portals are closed.
func (c *connection) sync() {
	c.skipToSync = false
	if c.transaction == nil {
		c.dropPortals()
	}
	c.readyForQuery()
}

// readyForQuery ends the answer to a batch or a Query. If the frontend is draining, or the connection
// is to be closed as soon as it is quiescent, it is closed here unless a transaction is open.
func (c *connection) readyForQuery() {
	c.out.readyForQuery(c.transactionStatus())
	if c.transaction == nil && (c.frontend.draining || c.closeWhenQuiescent) {
		c.fatal(errShutdown())
	}
}

// endSimpleQuery ends the answer to a Query.
func (c *connection) endSimpleQuery() {
	c.inSimpleQuery = false
	c.releaseQuery()
	c.readyForQuery()
}

// fail answers a message with its one ErrorResponse. Messages up to the next Sync are then skipped,
// except after a Query, which has no Sync.
func (c *connection) fail(e *pgproto.Error) {
	c.frontend.counters.Inc("pgwire.errors." + e.Code)
	c.out.errorResponse(e)
	switch {
	case c.transaction == nil:
	case c.transaction.implicit: // roll back all statements of the Query
		c.abandonTransaction()
		c.closeTransaction()
	default:
		c.transaction.failed = true
	}
	if c.inSimpleQuery {
		c.endSimpleQuery()
		return
	}
	c.skipToSync = true
}

// fatal sends an error of severity FATAL and closes the connection. It does nothing if the connection
// has ended.
func (c *connection) fatal(e *pgproto.Error) {
	if c.ended {
		return
	}
	e.Severity = severityFatal
	c.closing = true
	c.out.errorResponse(e)
	c.flush()
	c.ended = true
	c.socket.Close()
}

// HasServed reports whether a statement of the client was served.
func (c *connection) HasServed() bool { return c.served }

// CloseForMemory tells the client that there is no memory for its messages, and closes the connection. It returns
// false, and does nothing, if a statement waits for its answer.
func (c *connection) CloseForMemory() bool {
	if c.ended || c.inFlight.request != nil {
		return false
	}
	c.frontend.counters.Inc("pgwire.closed-for-memory")
	c.fatal(newError(codeOutOfMemory, "closed because there is no memory for the rest of a message"))
	return true
}

// flush writes the buffered messages to the socket, unless they are held back.
func (c *connection) flush() {
	if c.holdsPartialAnswer() {
		return
	}
	if len(c.out.buffer) > 0 && !c.ended {
		c.socket.Write(c.out.buffer)
	}
	c.out.buffer = c.out.buffer[:0]
	if cap(c.out.buffer) > maxKeptOutputBuffer {
		c.out.buffer = nil
	}
}

// holdsPartialAnswer reports whether the buffered messages are a part of an answer that is held back until the
// rest follows. This is so while another process records the connection, as that process could not continue a
// partial answer, and up to the number of bytes that a connection may have pending.
func (c *connection) holdsPartialAnswer() bool {
	inFlight := c.inFlight.request != nil && !c.closing
	return inFlight && len(c.out.buffer) <= maxPendingWrite && c.socket.HasJournal()
}

// resume continues with messages that arrived while a request was in flight.
func (c *connection) resume() {
	c.flush()
	c.socket.LimitReadAhead(false)
	if !c.ended {
		c.socket.ScheduleData()
	}
}

// Closed handles the end of the socket and tells the core that the client has disconnected. Messages
// that were received but not processed are dropped.
func (c *connection) Closed(_ *netio.Conn, _ error) {
	c.frontend.removeConnection(c)
	c.abandonTransaction()
	c.transaction = nil
	if r := c.inFlight.request; r != nil {
		c.inFlight.take()
		c.frontend.core.ClientDisconnected(r)
	}
}
