package postgres

import (
	"slices"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
)

var _ core.StreamingClient = (*connection)(nil)

// connection is one client's connection.
type connection struct {
	frontend  *Frontend
	socket    *netio.Conn
	processID uint32 // with secretKey, what a CancelRequest names
	secretKey [4]byte
	user      string

	lifecycle
	login   login
	session session
	extendedQuery
	// inSimpleQuery is set while a Query is answered: an error ends in ReadyForQuery at once.
	inSimpleQuery bool
	transaction   *transaction // nil: none is open
	inFlight      inFlightRequest

	out        messageWriter
	stallTimer *timerqueue.Timer // ends a connection that stops in the middle of a message
}

// lifecycle is how far a connection is.
type lifecycle struct {
	started            bool // its startup is complete
	closing            bool // its last message is being written
	ended              bool
	closeWhenQuiescent bool // nothing may be open on it then
}

// extendedQuery is the state of the extended query protocol.
type extendedQuery struct {
	statements map[string]*statement // by name
	portals    map[string]*portal    // by name
	skipToSync bool                  // after an error
	// describePending is set where a portal's description waits for the next message: an Execute
	// brings it along.
	describePending bool
	describedPortal string
}

// inFlightRequest is the request that a connection waits for. No message is read meanwhile.
type inFlightRequest struct {
	request  *core.Request // nil: there is none
	onAnswer func(core.Answer)
	// orphan is set where the first message was read by a process that died: what is known of its
	// request.
	orphan *core.Orphan
}

// take forgets the request. It returns what waits for its answer, or nil.
func (r *inFlightRequest) take() (onAnswer func(core.Answer)) {
	onAnswer = r.onAnswer
	r.request = nil
	r.onAnswer = nil
	return onAnswer
}

// quiescent reports whether neither a request nor a transaction is open.
func (c *connection) quiescent() bool { return c.inFlight.request == nil && c.transaction == nil }

// Data reads messages until one waits for its answer.
func (c *connection) Data(_ *netio.Conn, in *netio.Buffer) {
	if err := c.readMessages(in); err != nil {
		c.frontend.counters.Inc("pgwire.malformed")
		c.fatal(asProtocolError(err))
		return
	}
	c.stallTimer.Stop()
	if c.mayRead() && in.Len() > 0 && c.socket.Pending() <= maxPendingWrite {
		c.startStallTimer()
	}
	c.socket.LimitReadAhead(c.inFlight.request != nil)
	c.inFlight.orphan = nil
	c.flush()
}

// mayRead reports whether the next message may be read.
func (c *connection) mayRead() bool { return c.inFlight.request == nil && !c.ended }

func (c *connection) readMessages(in *netio.Buffer) error {
	for c.mayRead() {
		if c.socket.Pending() > maxPendingWrite {
			c.socket.WhenWritten(c.socket.ScheduleData)
			return nil
		}
		read := c.readStartup
		if c.started {
			read = c.readMessage
		}
		more, err := read(in)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (c *connection) startStallTimer() {
	f := c.frontend
	c.stallTimer = f.loop.Timers.Add(f.loop.Now()+stallTimeout, func() {
		f.counters.Inc("pgwire.stalled")
		c.fatal(newError(codeProtocolViolation, "a message stopped in the middle"))
	})
}

// readMessage reads one message and acts on it. It reports whether another may follow.
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
		c.flush() // before this message is consumed: what is written stands for those before it alone
	}
	if c.describePending {
		wait := c.settleDescribe(kind, body)
		if wait { // this message is read again after the description
			return false, nil
		}
	}
	in.Consume(n)
	c.handleMessage(kind, body)
	return true, nil
}

func (c *connection) handleMessage(kind byte, body []byte) {
	switch {
	case kind == pgproto.MessageTerminate:
		c.flush() // answers to what the client sent ahead of it
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
	return nil // Flush: all is written anyway. Copy data after a rejected COPY is ignored.
}

// sync ends a batch of extended queries, which stands for a transaction of its own where none is
// open: its portals end with it.
func (c *connection) sync() {
	c.skipToSync = false
	if c.transaction == nil {
		c.dropPortals()
	}
	c.readyForQuery()
}

// readyForQuery ends the answer to a batch or a Query. A connection that is to close once nothing
// is open on it closes here.
func (c *connection) readyForQuery() {
	c.out.readyForQuery(c.transactionStatus())
	if c.transaction == nil && (c.frontend.draining || c.closeWhenQuiescent) {
		c.fatal(errShutdown())
	}
}

// endSimpleQuery ends the answer to a Query.
func (c *connection) endSimpleQuery() {
	c.inSimpleQuery = false
	c.readyForQuery()
}

// fail answers a message with its one ErrorResponse. What follows is skipped up to the next Sync;
// behind a Query nothing is.
func (c *connection) fail(e *pgproto.Error) {
	c.frontend.counters.Inc("pgwire.errors." + e.Code)
	c.out.errorResponse(e)
	switch {
	case c.transaction == nil:
	case c.transaction.implicit: // nothing of its message stays
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

// fatal ends the connection with an error as its last message.
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

// flush writes the messages that wait in out.
func (c *connection) flush() {
	if len(c.out.buffer) > 0 && !c.ended {
		c.socket.Write(c.out.buffer)
	}
	c.out.buffer = c.out.buffer[:0]
	if cap(c.out.buffer) > maxKeptOutputBuffer {
		c.out.buffer = nil
	}
}

// resume reads what the client sent ahead.
func (c *connection) resume() {
	c.flush()
	c.socket.LimitReadAhead(false)
	if !c.ended {
		c.socket.ScheduleData()
	}
}

// Closed tells the core that the client has disconnected. What it sent ahead and was not read is
// dropped with the connection.
func (c *connection) Closed(_ *netio.Conn, _ error) {
	c.frontend.removeConnection(c)
	c.abandonTransaction()
	c.transaction = nil
	if r := c.inFlight.request; r != nil {
		c.inFlight.take()
		c.frontend.core.ClientDisconnected(r)
	}
}
