package postgres

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"
	"gannetspur/internal/pgproto"
)

// maxCancelConnectTime bounds the connect of a CancelRequest, which is of no use much later.
const maxCancelConnectTime = time.Second

// Cancel cancels an attempt, and reports whether it is over. Where it was written, the engine is told on a
// connection of its own, and the attempt's connection is not used again: the CancelRequest could arrive
// late and end whatever ran there next.
func (b *Backend) Cancel(a *core.Attempt) bool {
	w, waiting := a.BackendState.(*waiter)
	if waiting {
		w.leave()
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
	if !c.query.written { // the connection is still being opened, for whoever comes next
		b.dispatch(c.engine.ID)
		return true
	}
	c.close(core.OutcomeCancelled)
	c.requestCancel()
	return true
}

// canAwaitEnd reports whether the answer, or the end of the connection, will show that the statement is over.
func (c *connection) canAwaitEnd() bool {
	return c.query.written && c.socket != nil && !c.retired && c.startup.cancelKey != nil
}

// requestCancel has the engine cancel what runs on the connection.
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

// cancelConnection handles a connection for a CancelRequest, which has no answer.
type cancelConnection struct{}

// Data drops what comes.
func (cancelConnection) Data(_ *netio.Conn, in *netio.Buffer) { in.Consume(in.Len()) }

// Closed does nothing.
func (cancelConnection) Closed(*netio.Conn, error) {}
