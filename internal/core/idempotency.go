package core

import (
	"time"

	"gannetspur/policy"
)

const (
	// keyWindowMargin is the shortest time between the write of a retry and the end of its idempotency
	// key's deduplication window. It lets the retry reach the engine within the window.
	keyWindowMargin = 50 * time.Millisecond
	// clientRetryDelay is the assumed longest delay between the RetryAfter hint of a rejection and
	// the client's retry.
	clientRetryDelay = time.Second
)

// InDoubt reports whether an open request may have run and is not idempotent. A request with an
// idempotency key counts as not idempotent here.
func (c *Core) InDoubt(r *Request) bool {
	if c.classes[r.Class].Idempotency == policy.Idempotent {
		return false
	}
	return r.mayHaveRunElsewhere() || c.isForwarded(r) || r.MayHaveRunHere()
}

// keyedWriteDeadline returns the time from which on a request with an idempotency key may not be
// written again. It is 0, for no limit, if no attempt may have run or the class has no idempotency
// keys. The policy checks the window too, when it chooses a retry. It does not know how long the
// retry then waits for a connection, and the window may end during that wait.
func (c *Core) keyedWriteDeadline(r *Request) time.Duration {
	class := c.classes[r.Class]
	if class.Idempotency != policy.IdempotentWithKey {
		return 0
	}
	deadline := time.Duration(0)
	for _, attempt := range c.AttemptsThatMayHaveRun(r) {
		end := max(attempt.WindowEnd(class.DedupWindow)-keyWindowMargin, 1) // at least 1, because 0 means no limit
		if deadline == 0 || end < deadline {
			deadline = end
		}
	}
	return deadline
}

// safeToRetry reports whether a client that follows the RetryAfter hint can safely retry a request
// that may have run.
func (c *Core) safeToRetry(r *Request, retryAfter time.Duration) bool {
	class := c.classes[r.Class]
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.IdempotentWithKey:
		writeDeadline := c.keyedWriteDeadline(r)
		retryInWindow := writeDeadline == 0 || c.clock.Now()+retryAfter+clientRetryDelay < writeDeadline
		return class.DedupScope == policy.DedupAll && retryInWindow
	}
	return false
}
