package postgres

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// maxCancelConnectTime is the maximum time to connect for a CancelRequest, which would be useless much later.
const maxCancelConnectTime = time.Second

// Cancel cancels an attempt. It returns true if the attempt is over, and false if the attempt will end with the
// engine's response or the end of the connection. If the statement was already written, Cancel sends a CancelRequest
// on a separate connection, and the attempt's connection is not reused: the CancelRequest could arrive late and
// cancel the next statement there.
func (b *Backend) Cancel(a *core.Attempt) bool {
	w, waiting := a.BackendState.(*waiter)
	if waiting {
		w.dequeue()
		return true
	}
	c, ok := a.BackendState.(*connection)
	switch {
	case !ok || c.query.attempt != a:
		return true
	case c.query.cancelled:
		return false
	case a.MustAwaitEngine() && c.canAwaitEnd():
		c.query.cancelled = true
		c.retired = true
		c.requestCancel()
		return false
	}
	c.clearQuery()
	if !c.query.written { // the connection is still starting up, and the next attempt can use it
		b.dispatch(c.engine.ID)
		return true
	}
	c.close(core.OutcomeCancelled)
	c.requestCancel()
	return true
}

// canAwaitEnd reports whether the response, or the end of the connection, will show that the statement has ended.
func (c *connection) canAwaitEnd() bool {
	return c.query.written && c.socket != nil && !c.retired && c.startup.cancelKey != nil
}

// requestCancel asks the engine to cancel the statement that runs on the connection, if its cancel
// key is known.
func (c *connection) requestCancel() {
	b := c.backend
	b.counters.Inc("links.cancelled")
	key := c.startup.cancelKey
	if key == nil {
		return
	}
	timeout := min(b.options.ConnectTimeout, maxCancelConnectTime)
	b.loop.Dial(c.engine.Addr, timeout, maxBufferBytes, cancelConnection{}, func(socket *netio.Conn, err error) {
		if err == nil {
			socket.Write(pgproto.AppendStartup(nil, pgproto.CancelRequest, key))
			socket.Close()
		}
	})
}

// cancelConnection handles the connection of a CancelRequest, to which engines send no response.
type cancelConnection struct{}

// Data discards all received data.
func (cancelConnection) Data(_ *netio.Conn, in *netio.Buffer) { in.Consume(in.Len()) }

// Closed does nothing.
func (cancelConnection) Closed(*netio.Conn, error) {}
