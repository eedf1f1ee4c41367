package postgres

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// execution is a statement that an engine is to run or to describe.
type execution struct {
	statement *statement
	message   *pgproto.Statement
	key       string         // of a class that needs one
	values    *sqltext.Binds // nil: it has none
	onResult  func(*pgproto.Result)
}

// execute puts one request to the core, or a statement to the engine of the open transaction. The
// answer may come before execute returns.
func (c *connection) execute(e execution) {
	if c.transaction != nil && !e.message.DescribeOnly {
		c.executeInTransaction(e.message, e.onResult)
		return
	}
	class, shaped := c.chooseClass(e)
	if err := c.authorize(class.Name); err != nil {
		c.fail(err)
		return
	}
	e.message.Settings = c.session.settings
	e.message.User = c.user
	e.message.TaintsSession = e.statement.taintsSession
	orphan := c.inFlight.orphan
	c.inFlight.orphan = nil
	r := c.newRequest(class, e, receivedAt(orphan, c.frontend.core.Now()))
	c.estimate(r, e, shaped)
	c.inFlight.request = r
	c.inFlight.onAnswer = func(a core.Answer) {
		if res, ok := resultOf(a); ok {
			e.onResult(res)
			return
		}
		c.fail(answerError(a))
	}
	c.frontend.core.AcceptOrphan(r, orphan)
}

// receivedAt is when a request was received: by the process that died, where that is known.
func receivedAt(orphan *core.Orphan, now time.Duration) time.Duration {
	if orphan != nil && orphan.ReceivedAt > 0 {
		return orphan.ReceivedAt
	}
	return now
}

// resultOf returns the result of an answer; ok: the request was served.
func resultOf(a core.Answer) (res *pgproto.Result, ok bool) {
	res, ok = a.Result.(*pgproto.Result)
	return res, ok && a.Verdict == core.Served
}

// chooseClass returns the class of an execution, and what its shape says of it where the class came
// from the shape.
func (c *connection) chooseClass(e execution) (policy.Class, *queryshape.Execution) {
	f := c.frontend
	s := e.statement
	if e.message.DescribeOnly {
		class, ok := f.core.Class(f.opts.DefaultClass)
		if ok && class.Idempotency == policy.Idempotent {
			return class, nil // a description runs nothing, whatever its statement would do
		}
		return s.class, nil
	}
	if f.opts.Shapes != nil && s.shape != nil && s.classByShape {
		if class, shaped, ok := f.opts.Shapes.Classify(s.shape, e.values); ok {
			return class, shaped
		}
	}
	return s.class, nil
}

func (c *connection) newRequest(class policy.Class, e execution, receivedAt time.Duration) *core.Request {
	r := &core.Request{
		ID:        c.requestID(),
		Class:     class.Name,
		Statement: e.message,
		Deadline:  receivedAt + c.session.timeoutOf(class),
		Client:    c,
	}
	if class.Idempotency == policy.IdempotentWithKey {
		r.IdempotencyKey = e.key
	}
	if class.Ordered {
		r.SerialKey = e.key
	}
	return r
}

// requestID is the ID of all requests of a connection.
func (c *connection) requestID() string { return fmt.Sprintf("pg%d", c.processID) }

// estimate sets a request's data set and its estimated cost.
func (c *connection) estimate(r *core.Request, e execution, shaped *queryshape.Execution) {
	shapes := c.frontend.opts.Shapes
	s := e.statement
	if shapes == nil || s.shape == nil {
		r.DataSet, _ = sqltext.TableGroup(s.query)
		return
	}
	r.DataSet, _ = s.shape.DataSet()
	if shaped != nil {
		shapes.ApplyEstimate(r, shaped)
	} else if !e.message.DescribeOnly {
		shapes.EstimateRequest(r, s.shape, e.values)
	}
}

// Answer takes the core's final answer.
func (c *connection) Answer(r *core.Request, a core.Answer) {
	if tx := c.transaction; tx != nil && tx.request == r {
		c.endStreaming(a)
		return
	}
	onAnswer := c.inFlight.take()
	if c.ended || onAnswer == nil {
		return
	}
	onAnswer(a)
	c.resume()
}
