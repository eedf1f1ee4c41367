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
	front  *Frontend
	socket *netio.Conn

	request  *core.Request // accepted and not answered
	orphan   *core.Orphan  // of the request that comes first, where a process that died had it
	arrivals arrivals      // of what is in its buffer

	requestTimer *timerqueue.Entry // ends a connection whose request is not complete in time
	lastActivity time.Duration     // when a part of a request came, or its latest response went

	partialRequest  bool // a request has come in part
	served          bool // it has made a valid request
	pipelined       bool // bytes have come behind its latest request
	nextPagePending bool // its latest response named a further page

	closeAfterResponse bool
	ended              bool // nothing more is read
}

// Data reads requests until one waits for its answer.
func (c *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	c.arrivals.record(in.Taken()+int64(in.Len()), c.front.core.Now())
	if c.readRequests(in) {
		c.noteRest(in)
	}
}

// readRequests handles requests of the buffer until one is open, and reports false where it is to
// be read no further for now.
func (c *conn) readRequests(in *netio.Buffer) bool {
	for c.request == nil && !c.ended {
		if c.socket.Pending() > maxUnsentBytes {
			c.socket.WhenWritten(c.socket.ScheduleData)
			return false
		}
		req, size, err := http1.ParseRequest(in.Bytes())
		if err == nil && size > 0 && size < in.Len() && !http1.StartsRequest(in.Bytes()[size:]) {
			err = wrongLength()
		}
		if err != nil {
			c.reject(err)
			return false
		}
		if size == 0 {
			break
		}
		c.requestTimer.Stop()
		c.requestTimer = nil
		c.closeAfterResponse = req.Close
		c.nextPagePending = false
		c.lastActivity = c.front.loop.Now()
		in.Consume(size) // first, for an answer may be given at once; the request's bytes stay where they are
		c.pipelined = in.Len() > 0
		c.handle(req, c.arrivals.timeOf(in.Taken()))
	}
	return true
}

// noteRest takes note of what is left in the buffer: a part of a request, or what comes behind the
// open one.
func (c *conn) noteRest(in *netio.Buffer) {
	c.orphan = nil
	c.pipelined = in.Len() > 0
	c.partialRequest = c.request == nil && c.pipelined
	if c.partialRequest {
		c.lastActivity = c.front.loop.Now()
	}
	if c.request == nil { // the last byte of what is left is yet to come, and its time alone counts
		c.arrivals = c.arrivals[:0]
	}
	switch {
	case c.ended:
		in.Consume(in.Len())
	case c.request != nil && in.Len() > 0 && !http1.StartsRequest(in.Bytes()):
		c.abandonRequest()
		c.reject(wrongLength())
	case c.request == nil && c.requestTimer == nil && (in.Len() > 0 || !c.served):
		c.startRequestTimer()
	}
	c.socket.LimitReadAhead(c.request != nil)
}

// Closed notifies the core that the client has stopped waiting.
func (c *conn) Closed(_ *netio.Conn, _ error) {
	c.forget()
	c.abandonRequest()
}

// forget removes a connection that this process has no more.
func (c *conn) forget() {
	c.ended = true
	c.requestTimer.Stop()
	delete(c.front.connections, c)
}

// end closes the connection once what was written has been sent. Nothing that comes is read any more.
func (c *conn) end() {
	c.ended = true
	c.requestTimer.Stop()
	c.socket.Close()
}

// Disconnected tells whether the client has disconnected, which Closed may be yet to report.
func (c *conn) Disconnected() bool { return c.socket.Disconnected() }

// abandonRequest cancels an open request, as its client waits no more.
func (c *conn) abandonRequest() {
	r := c.request
	if r == nil {
		return
	}
	c.request = nil
	delete(c.front.openRequests, r.ID)
	c.front.core.ClientDisconnected(r)
}
