package httpapi

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
)

var (
	_ core.Client             = (*conn)(nil)
	_ core.DisconnectDetector = (*conn)(nil)
)

// conn is one client connection.
type conn struct {
	frontend *Frontend
	socket   *netio.Conn

	request  *core.Request // accepted and not answered yet; nil: none
	orphan   *core.Orphan  // state of the first request if a process that died had received it; nil: none
	parser   http1.Parser  // of the first request in the buffer
	arrivals arrivals      // receive times of the bytes in the buffer

	requestTimer *timerqueue.Timer // closes the connection if its request is not complete in time; nil: not running
	lastActivity time.Duration     // time of the latest received part of a request or sent response; initially of the accept

	partialRequest  bool // the buffer holds an incomplete request
	served          bool // the client has made a valid request
	pipelined       bool // the buffer holds bytes that follow the latest request
	nextPagePending bool // the latest response named a further page

	closeAfterResponse bool // the next response is the last one on this connection
	ended              bool // closing: nothing more is read or answered
}

// Data handles the requests in the buffer until one of them waits for its answer.
func (c *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	c.arrivals.record(in.Taken()+int64(in.Len()), c.frontend.core.Now())
	if c.readRequests(in) {
		c.handleRemainder(in)
	}
}

// readRequests handles requests from the buffer until one is waiting for its answer. It returns false if
// the rest of the buffer must not be examined now: the client does not read its responses, a request
// was invalid, or other connections have their turn.
func (c *conn) readRequests(in *netio.Buffer) bool {
	var turn netio.Turn
	for c.request == nil && !c.ended {
		if turn.Over() {
			c.socket.ScheduleData()
			return false
		}
		if c.socket.OutputFull(maxUnsentBytes) {
			c.socket.WhenWritten(c.socket.ScheduleData)
			return false
		}
		req, size, err := c.parser.Parse(in.Bytes())
		if err == nil && size > 0 && size < in.Len() && !http1.StartsRequest(in.Bytes()[size:]) {
			err = contentLengthError()
		}
		if err != nil {
			c.reject(err)
			return false
		}
		if size == 0 {
			break
		}
		turn.Spend(size)
		c.requestTimer.Stop()
		c.requestTimer = nil
		c.closeAfterResponse = req.Close
		c.nextPagePending = false
		c.lastActivity = c.frontend.loop.Now()
		in.Consume(size) // before handle, which may answer at once; req.Body stays valid
		c.pipelined = in.Len() > 0
		c.handle(req, c.arrivals.consumeTo(in.Taken()))
	}
	return true
}

// handleRemainder examines what is left in the buffer: the beginning of a request, or bytes that
// follow the request that is waiting for its answer.
func (c *conn) handleRemainder(in *netio.Buffer) {
	c.orphan = nil
	c.pipelined = in.Len() > 0
	c.partialRequest = c.request == nil && c.pipelined
	if c.partialRequest {
		c.lastActivity = c.frontend.loop.Now()
	}
	if c.request == nil { // only the time of a request's last byte counts, and that byte has not arrived
		c.arrivals = c.arrivals[:0]
	}
	switch {
	case c.ended:
		in.Consume(in.Len())
	case c.request != nil && in.Len() > 0 && !http1.StartsRequest(in.Bytes()):
		c.abandonRequest()
		c.reject(contentLengthError())
	case c.request == nil && c.requestTimer == nil && (in.Len() > 0 || !c.served):
		c.startRequestTimer()
	}
	c.socket.LimitReadAhead(c.request != nil)
}

// Closed handles the end of the connection: it cancels the request that is waiting for its answer.
func (c *conn) Closed(_ *netio.Conn, _ error) {
	c.unregister()
	c.abandonRequest()
}

// unregister removes a connection that has closed or moved to another process.
func (c *conn) unregister() {
	c.ended = true
	c.requestTimer.Stop()
	delete(c.frontend.connections, c)
}

// end closes the connection once all written bytes have been sent. Further input is discarded.
func (c *conn) end() {
	c.ended = true
	c.requestTimer.Stop()
	c.socket.Close()
}

// HasServed reports whether the client has made a valid request.
func (c *conn) HasServed() bool { return c.served }

// CloseForMemory tells the client that there is no memory for its request, and closes the connection. It returns
// false, and does nothing, if a request waits for its answer.
func (c *conn) CloseForMemory() bool {
	if c.ended || c.request != nil {
		return false
	}
	c.frontend.counters.Inc("rest.closed-for-memory")
	c.evict()
	return true
}

// Disconnected reports whether the client has disconnected, possibly before Closed is called.
func (c *conn) Disconnected() bool { return c.socket.Disconnected() }

// abandonRequest cancels the request that is waiting for its answer, if any, because its client no
// longer waits for it.
func (c *conn) abandonRequest() {
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	delete(c.frontend.openRequests, r.ID)
	c.frontend.core.ClientDisconnected(r)
}
