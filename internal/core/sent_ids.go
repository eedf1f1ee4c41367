package core

import (
	"time"

	"gannetspur/internal/decide/sentkeys"
	"gannetspur/policy"
)

const (
	// sentIDRetention is how long the id of a request that may not run twice is remembered: the longest time that a
	// client may wait.
	sentIDRetention = 10 * time.Minute
	// maxSentIDs bounds the ids that are remembered, at some 100 bytes each.
	maxSentIDs = 16 << 10
)

// SentIDExchange exchanges ids and idempotency keys of requests that may have run with other processes of the same
// front end.
type SentIDExchange interface {
	SentAnnouncer
	// Receive passes on what the others have announced since the last call.
	Receive(receiver SentIDReceiver)
}

// SentAnnouncer tells other processes, or later ones, of what this process sends.
type SentAnnouncer interface {
	// Announce tells them of an id, before the request is sent.
	Announce(id string)
	// Withdraw tells them that the request of an announced id never ran.
	Withdraw(id string)
	// AnnounceKey tells them of an attempt that may have run, before it is sent, or of one that ran nothing.
	AnnounceKey(change sentkeys.Change)
}

// SentIDReceiver is told of what other processes have sent. A Core is one.
type SentIDReceiver interface {
	// RecordSentID remembers the id of a request that another process has sent at a time of this core's clock.
	RecordSentID(id string, at time.Duration)
	// ForgetSentID forgets an id, because its request never ran.
	ForgetSentID(id string)
	ApplySentKey(change sentkeys.Change)
}

// SetSentIDExchange sets the exchange with other processes; nil means that there is none.
func (c *Core) SetSentIDExchange(e SentIDExchange) { c.sentIDExchange = e }

// MayHaveRun reports whether a request of this id, of a class that allows no repeat, may have run. The request may be
// over, its client may have left, and another process of this front end may have sent it.
func (c *Core) MayHaveRun(id string) bool {
	c.receiveSent()
	return c.sentIDs.Contains(c.clock.Now(), id)
}

// receiveSent learns what other processes have sent.
func (c *Core) receiveSent() {
	if c.sentIDExchange != nil {
		c.sentIDExchange.Receive(c)
	}
}

// RecordSentID remembers the id of a request that another process has sent and that must not run again. at is the time of
// the send on this core's clock.
func (c *Core) RecordSentID(id string, at time.Duration) { c.recordSentID(id, at) }

// recordSentID remembers an id, and reports whether it is new.
func (c *Core) recordSentID(id string, at time.Duration) (isNew bool) {
	isNew = c.sentIDs.Record(at, id)
	c.countEvicted("sent-ids.evicted", c.sentIDs.TakeEvicted())
	return isNew
}

// countEvicted counts what was forgotten early for want of room.
func (c *Core) countEvicted(counter string, evicted int64) {
	if evicted > 0 {
		c.counters.AddN(counter, evicted)
	}
}

// ForgetSentID forgets the id of a request that another process has sent, because it never ran.
func (c *Core) ForgetSentID(id string) { c.sentIDs.Remove(id) }

// AnnounceSent announces all ids and idempotency keys that are remembered.
func (c *Core) AnnounceSent(to SentAnnouncer) {
	for _, id := range c.sentIDs.IDs() {
		to.Announce(id)
	}
	for _, change := range c.SentKeys() {
		to.AnnounceKey(change)
	}
}

// recordSent remembers the id of a request that is about to be sent, if its class allows no repeat.
func (c *Core) recordSent(r *Request) {
	if !r.UniqueID || c.classes[r.Class].Idempotency != policy.NotIdempotent {
		return
	}
	isNew := c.recordSentID(r.ID, c.clock.Now()) // a retry was announced before
	if isNew && c.sentIDExchange != nil {
		c.sentIDExchange.Announce(r.ID)
	}
}

// forgetIfNeverRan forgets the id of a request that is over and never ran.
func (c *Core) forgetIfNeverRan(r *Request) {
	if !r.UniqueID || len(r.PriorAttempts) > 0 || r.MayHaveRunHere() || len(r.attempts) == 0 {
		return
	}
	wasAnnounced := c.sentIDs.Contains(c.clock.Now(), r.ID)
	c.sentIDs.Remove(r.ID)
	if c.sentIDExchange != nil && wasAnnounced {
		c.sentIDExchange.Withdraw(r.ID)
	}
}
