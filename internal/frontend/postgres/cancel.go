package postgres

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

// cancelRequestSize is the size of a CancelRequest's body: a process ID and a secret key.
const cancelRequestSize = 4 + 4

// cancel cancels the statement of the connection that a CancelRequest names.
func (f *Frontend) cancel(body []byte) {
	if len(body) != cancelRequestSize {
		return
	}
	c := f.connections[binary.BigEndian.Uint32(body)]
	if c == nil {
		if f.onUnknownCancel != nil {
			f.onUnknownCancel(bytes.Clone(body))
		}
		return
	}
	isAuthentic := subtle.ConstantTimeCompare(c.secretKey[:], body[4:]) == 1
	if c.inFlight.request == nil || !isAuthentic {
		return
	}
	f.counters.Inc("pgwire.cancels")
	c.cancelRequest()
}

// cancelRequest cancels the request in flight.
func (c *connection) cancelRequest() {
	r := c.inFlight.request
	c.inFlight.take()
	e := c.cancelTransaction(r)
	switch {
	case e != nil:
	case c.frontend.core.InDoubt(r):
		e = errInDoubt()
	default:
		e = errCanceledByUser()
	}
	c.frontend.core.ClientDisconnected(r)
	c.fail(e)
	c.resume()
}

// cancelTransaction cancels the statement of a transaction whose request is r; nil: there is none.
// Its engine connection is closed with the request, so all of it is rolled back, unless it was
// committing.
func (c *connection) cancelTransaction(r *core.Request) *pgproto.Error {
	tx := c.transaction
	if tx == nil || tx.request != r {
		return nil
	}
	tx.detach()
	tx.failed = true
	if tx.committing {
		c.closeTransaction()
		return newError(codeCompletionUnknown, "canceled while it committed; the transaction may have run")
	}
	c.startIdleTimer()
	return errCanceledByUser()
}
