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

// execution is one run or description of a statement at an engine.
type execution struct {
	statement *statement
	message   *pgproto.Statement
	key       string                // key of the execution; empty if its class needs none
	values    *sqltext.Binds        // bound values; nil if there are none
	onResult  func(*pgproto.Result) // called on success
}

// execute submits one request to the core, or sends a statement to the engine of the open transaction.
// The answer may arrive before execute returns.
func (c *connection) execute(e execution) {
	if c.transaction != nil && !e.message.DescribeOnly {
		c.executeInTransaction(e.message, e.onResult)
		return
	}
	class, shapeExecution := c.chooseClass(e)
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
	c.estimate(r, e, shapeExecution)
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

// receivedAt returns when a request was received. For an orphan it is the time at which the process
// that died received it, if known.
func receivedAt(orphan *core.Orphan, now time.Duration) time.Duration {
	if orphan != nil && orphan.ReceivedAt > 0 {
		return orphan.ReceivedAt
	}
	return now
}

// resultOf returns the result of an answer. ok is false if the request was not served.
func resultOf(a core.Answer) (res *pgproto.Result, ok bool) {
	res, ok = a.Result.(*pgproto.Result)
	return res, ok && a.Verdict == core.Served
}

// chooseClass returns the class of an execution. If the query shape determined the class, it also
// returns the shape's data on the execution, else nil.
func (c *connection) chooseClass(e execution) (policy.Class, *queryshape.Execution) {
	f := c.frontend
	s := e.statement
	if e.message.DescribeOnly {
		class, ok := f.core.Class(f.opts.DefaultClass)
		if ok && class.Idempotency == policy.Idempotent {
			return class, nil // describing runs nothing, so it is idempotent for any statement
		}
		return s.class, nil
	}
	if f.opts.Shapes != nil && s.shape != nil && s.classByShape {
		if class, shapeExecution, ok := f.opts.Shapes.Classify(s.shape, e.values); ok {
			return class, shapeExecution
		}
	}
	return s.class, nil
}

// newRequest returns the request to the core for an execution that was received at receivedAt, on the
// core's clock.
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

// requestID returns the ID that all requests of the connection share.
func (c *connection) requestID() string { return fmt.Sprintf("pg%d", c.processID) }

// estimate sets the data set of a request and, if query shapes are on, its estimated cost.
func (c *connection) estimate(r *core.Request, e execution, shapeExecution *queryshape.Execution) {
	shapes := c.frontend.opts.Shapes
	s := e.statement
	if shapes == nil || s.shape == nil {
		r.DataSet, _ = sqltext.TableGroup(s.query)
		return
	}
	r.DataSet, _ = s.shape.DataSet()
	if shapeExecution != nil {
		shapes.ApplyEstimate(r, shapeExecution)
	} else if !e.message.DescribeOnly {
		shapes.EstimateRequest(r, s.shape, e.values)
	}
}

// Answer handles the core's final answer to a request.
func (c *connection) Answer(r *core.Request, a core.Answer) {
	if tx := c.transaction; tx != nil && tx.request == r {
		c.endStreaming(a)
		return
	}
	onAnswer := c.inFlight.take()
	if c.ended || onAnswer == nil {
		return
	}
	c.served = c.served || a.Verdict == core.Served
	onAnswer(a)
	c.resume()
}
