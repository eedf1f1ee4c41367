package core

import (
	"time"

	"gannetspur/policy"
)

const (
	// keyWindowMargin is how long before the end of an idempotency key's window the last retry is
	// written, so that it arrives within it.
	keyWindowMargin = 50 * time.Millisecond
	// clientRetryDelay is how much later than the hint a rejected client may try again.
	clientRetryDelay = time.Second
)

// InDoubt tells whether an open request may have run and is not safe to repeat.
func (c *Core) InDoubt(r *Request) bool {
	if c.classes[r.Class].Idempotency == policy.Idempotent {
		return false
	}
	return r.PriorSentAt > 0 || c.isForwarded(r) || r.MayHaveRunHere()
}

// lastKeyedWrite is the latest time at which a request with an idempotency key may be written
// again; 0 where nothing of it may have run. The policy keeps the window too, but not the time that
// a connection takes to come up: a retry must not wait it out.
func (c *Core) lastKeyedWrite(r *Request) time.Duration {
	class := c.classes[r.Class]
	first := r.FirstSentAt()
	if class.Idempotency != policy.IdempotentWithKey || first == 0 && !r.MayHaveRunHere() {
		return 0
	}
	return max(first+class.DedupWindow-keyWindowMargin, 1)
}

// safeToRetry tells whether a request that may have run can be tried again without harm, by a
// client that heeds the RetryAfter hint.
func (c *Core) safeToRetry(r *Request, retryAfter time.Duration) bool {
	class := c.classes[r.Class]
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.IdempotentWithKey:
		last := c.lastKeyedWrite(r)
		retryInWindow := last == 0 || c.clock.Now()+retryAfter+clientRetryDelay < last
		return class.DedupScope == policy.DedupAll && retryInWindow
	}
	return false
}
