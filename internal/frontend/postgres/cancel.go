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

// handleCancelRequest cancels the request in flight on the connection that the body of a CancelRequest
// names by its process ID. It does nothing if the body is malformed, the secret key is wrong or no
// request is in flight. It passes the body to onUnknownCancel if the process ID is unknown.
func (f *Frontend) handleCancelRequest(body []byte) {
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
	keyMatches := subtle.ConstantTimeCompare(c.secretKey[:], body[4:]) == 1
	if c.inFlight.request == nil || !keyMatches {
		return
	}
	f.counters.Inc("pgwire.cancels")
	c.cancelInFlight()
}

// cancelInFlight cancels the request in flight and answers it with an error.
func (c *connection) cancelInFlight() {
	r := c.inFlight.request
	c.inFlight.take()
	if c.cancelRollback(r) {
		return
	}
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

// cancelRollback completes the ROLLBACK of the open transaction if r is its request and a ROLLBACK is in flight, and
// reports whether it did. Ending the request closes the engine connection, which also rolls back.
func (c *connection) cancelRollback(r *core.Request) bool {
	tx := c.transaction
	if tx == nil || tx.request != r || !tx.rollingBack {
		return false
	}
	onAnswer := tx.onAnswer
	tx.detach()
	c.frontend.core.ClientDisconnected(r)
	onAnswer(core.Answer{Verdict: core.Failed})
	c.resume()
	return true
}

// cancelTransaction cancels the open transaction if r is its request, and returns the error to send to
// the client. It returns nil if r does not belong to a transaction. The engine connection is closed when
// the caller ends the request, which rolls back the whole transaction; until the client ends it, the
// transaction counts as failed. If it was committing, its outcome is unknown, and it ends at once.
func (c *connection) cancelTransaction(r *core.Request) *pgproto.Error {
	tx := c.transaction
	if tx == nil || tx.request != r {
		return nil
	}
	tx.detach()
	tx.failed = true
	if tx.committing {
		c.closeTransaction()
		return newError(codeStatementCompletionUnknown, "canceled during COMMIT; the transaction may have been committed")
	}
	c.startIdleTimer()
	return errCanceledByUser()
}
