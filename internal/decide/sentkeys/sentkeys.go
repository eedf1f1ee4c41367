// Package sentkeys remembers to which engines requests with an idempotency key were sent. A client that has left, or whose
// process has died, may send such a request anew; it must go to engines that drop the repeat.
package sentkeys

import (
	"slices"
	"time"

	"gannetspur/policy"
)

// Key is the idempotency key of a request of a class.
type Key struct{ Class, Token string }

// Change is an attempt that may have run, or one that is known to have run nothing.
type Change struct {
	Key      Key
	Attempt  policy.PriorAttempt
	NeverRan bool // the attempt was recorded before, and ran nothing
}

// History holds the attempts of each key, each until the end of its window. It makes no I/O and reads no clock.
type History struct {
	maxAttempts int
	attempts    map[Key][]policy.PriorAttempt
	order       []Change // in the order in which they were recorded, including removed ones
	evicted     int64    // attempts that were forgotten early, because there were more than maxAttempts
}

// New returns a history of at most maxAttempts attempts.
func New(maxAttempts int) *History {
	return &History{maxAttempts: max(maxAttempts, 1), attempts: map[Key][]policy.PriorAttempt{}}
}

// Apply records an attempt, or removes it if it ran nothing. It reports whether that changed the history.
func (h *History) Apply(now time.Duration, c Change) (changed bool) {
	c.Attempt.EarlierRequest = false // it is told by who asks
	known := slices.Contains(h.attempts[c.Key], c.Attempt)
	if known != c.NeverRan {
		return false
	}
	if c.NeverRan {
		h.remove(c)
		return true
	}
	if isOver(now, c.Attempt) {
		return false
	}
	h.attempts[c.Key] = append(h.attempts[c.Key], c.Attempt)
	h.order = append(h.order, c)
	h.expire(now)
	return true
}

// Attempts returns the attempts of a key whose windows are not over.
func (h *History) Attempts(now time.Duration, key Key) (attempts []policy.PriorAttempt) {
	for _, a := range h.attempts[key] {
		if !isOver(now, a) {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// Changes returns the changes that give another history the attempts of this one, the oldest first.
func (h *History) Changes(now time.Duration) (changes []Change) {
	for _, c := range h.order {
		if slices.Contains(h.attempts[c.Key], c.Attempt) && !isOver(now, c.Attempt) {
			changes = append(changes, c)
		}
	}
	return changes
}

// TakeEvicted returns how many attempts were forgotten before the end of their windows, since the last call.
func (h *History) TakeEvicted() int64 {
	evicted := h.evicted
	h.evicted = 0
	return evicted
}

// isOver reports whether engines no longer drop a repeat of the attempt.
func isOver(now time.Duration, a policy.PriorAttempt) bool { return now >= a.WindowEnd(a.Window) }

// remove removes an attempt, and its key with the last one.
func (h *History) remove(c Change) {
	rest := slices.DeleteFunc(h.attempts[c.Key], func(a policy.PriorAttempt) bool { return a == c.Attempt })
	h.attempts[c.Key] = rest
	if len(rest) == 0 {
		delete(h.attempts, c.Key)
	}
}

// expire drops the oldest attempts while they were removed, are over or too many.
func (h *History) expire(now time.Duration) {
	for len(h.order) > 0 {
		oldest := h.order[0]
		isKnown := slices.Contains(h.attempts[oldest.Key], oldest.Attempt)
		isLive := isKnown && !isOver(now, oldest.Attempt)
		if isLive && len(h.order) <= h.maxAttempts {
			return
		}
		if isLive {
			h.evicted++
		}
		h.remove(oldest)
		h.order = h.order[1:]
	}
}
