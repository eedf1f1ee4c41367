package core

import (
	"slices"

	"gannetspur/internal/decide/sentkeys"
	"gannetspur/policy"
)

// maxSentKeys bounds the attempts that are remembered by their idempotency key, at some 300 bytes each.
const maxSentKeys = 16 << 10

// OnSentKey sets a function that is called with each change of the remembered idempotency keys that this core has made,
// before the request is sent. Nil unsets it.
func (c *Core) OnSentKey(f func(sentkeys.Change)) { c.observers.sentKey = f }

// ApplySentKey applies a change of the remembered idempotency keys that another process has made.
func (c *Core) ApplySentKey(change sentkeys.Change) { c.applySentKey(change) }

// applySentKey applies a change of the remembered idempotency keys, and reports whether it changed them.
func (c *Core) applySentKey(change sentkeys.Change) (changed bool) {
	changed = c.sentKeys.Apply(c.clock.Now(), change)
	c.countEvicted("sent-keys.evicted", c.sentKeys.TakeEvicted())
	return changed
}

// SentKeys returns the changes that make another core remember the same idempotency keys.
func (c *Core) SentKeys() []sentkeys.Change { return c.sentKeys.Changes(c.clock.Now()) }

// keyOf returns the idempotency key of a request. ok is false if its class has none.
func (c *Core) keyOf(r *Request) (key sentkeys.Key, ok bool) {
	ok = r.IdempotencyKey != "" && c.classes[r.Class].Idempotency == policy.IdempotentWithKey
	return sentkeys.Key{Class: r.Class, Token: r.IdempotencyKey}, ok
}

// RememberedKey returns the idempotency key by which attempts of a request are remembered. ok is false if it has none, or
// if all engines drop its repeats.
func (c *Core) RememberedKey(r *Request) (key sentkeys.Key, ok bool) {
	key, ok = c.keyOf(r)
	isDroppedEverywhere := c.classes[r.Class].DedupScope == policy.DedupAll && (c.sites == nil || c.sites.SharesDeduplication())
	return key, ok && !isDroppedEverywhere
}

// changeSentKey remembers an attempt of a request by its idempotency key, or forgets one that ran nothing.
func (c *Core) changeSentKey(r *Request, attempt policy.PriorAttempt, neverRan bool) {
	key, ok := c.RememberedKey(r)
	if !ok {
		return
	}
	change := sentkeys.Change{Key: key, Attempt: attempt, NeverRan: neverRan}
	if !c.applySentKey(change) {
		return
	}
	if c.observers.sentKey != nil {
		c.observers.sentKey(change)
	}
	if c.sentIDExchange != nil {
		c.sentIDExchange.AnnounceKey(change)
	}
}

// recallSentKeys adds to a new request the attempts of earlier requests with its idempotency key: its client may have left
// and come again, also from another process of this front end.
func (c *Core) recallSentKeys(r *Request) {
	key, ok := c.keyOf(r)
	if !ok {
		return
	}
	c.receiveSent()
	for _, attempt := range c.sentKeys.Attempts(c.clock.Now(), key) {
		if slices.Contains(r.PriorAttempts, attempt) {
			continue // an orphan's own
		}
		attempt.EarlierRequest = true
		c.recordPriorAttempt(r, attempt)
	}
}

// rememberPriorAttempts remembers the attempts of an orphan by its idempotency key.
func (c *Core) rememberPriorAttempts(r *Request) {
	for _, attempt := range r.PriorAttempts {
		c.changeSentKey(r, attempt, false)
	}
}
