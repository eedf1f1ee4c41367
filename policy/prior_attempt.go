package policy

import (
	"slices"
	"time"
)

// PriorAttempt is a send of a query that may have been executed and that this gateway's policy did not
// decide on: another process sent it, which may have had other settings, or another site.
type PriorAttempt struct {
	SentAt    time.Duration // on this gateway's clock
	Placement Placement     // unknown for an attempt at another site
	OtherSite bool          // sent to an engine of another site
	// EarlierRequest is set if it is an attempt of an earlier request of the client with the same idempotency
	// key. It restricts where the query goes, but the query itself has not run by it.
	EarlierRequest bool
	// Scope and Window are those of the query's class in the settings of the sender. Where they differ from
	// this gateway's, the stricter ones hold.
	Scope  DedupScope
	Window time.Duration
}

// GroupKnown reports whether it is known which engines drop a repeat of the attempt.
func (a PriorAttempt) GroupKnown() bool {
	return a.OtherSite || a.Scope == DedupAll || a.Placement.Engine != ""
}

// DropsRepeatAt reports whether a repeat of the attempt is dropped at the given place, by the settings of
// the sender and by a scope of this gateway's settings.
func (a PriorAttempt) DropsRepeatAt(scope DedupScope, place Placement) bool {
	if a.OtherSite || a.Placement.Engine == "" {
		return a.Scope == DedupAll && scope == DedupAll
	}
	return sharesDeduplication(a.Scope, a.Placement, place) && sharesDeduplication(scope, a.Placement, place)
}

// WindowEnd returns the instant until which a repeat of the attempt is dropped, by the settings of the
// sender and by a window of this gateway's settings.
func (a PriorAttempt) WindowEnd(window time.Duration) time.Duration {
	return a.SentAt + min(a.Window, window)
}

// isRepeatDroppedEverywhere reports whether a repeat of the query with its key is dropped at all engines. Of
// the windows only those of prior attempts count: clients know when they sent their own requests.
func (q *query) isRepeatDroppedEverywhere(now time.Duration) bool {
	if q.class.DedupScope != DedupAll || q.priorAttemptsForbidRetry(now) {
		return false
	}
	return !slices.ContainsFunc(q.priorAttempts, func(a PriorAttempt) bool { return a.Scope != DedupAll })
}

// mayHaveRunElsewhere reports whether a prior attempt of the query itself may have been executed.
func (q *query) mayHaveRunElsewhere() bool {
	return slices.ContainsFunc(q.priorAttempts, func(a PriorAttempt) bool { return !a.EarlierRequest })
}

// priorAttemptsPermit reports whether the prior attempts of the query permit another one at the engine.
func (q *query) priorAttemptsPermit(e *engine) bool {
	if q.class.Idempotency != IdempotentWithKey {
		return true // decided by priorAttemptsForbidRetry
	}
	return !slices.ContainsFunc(q.priorAttempts, func(a PriorAttempt) bool {
		return !a.DropsRepeatAt(q.class.DedupScope, e.placement())
	})
}

// priorAttemptsForbidRetry reports whether the prior attempts of the query forbid another one now, at any
// engine.
func (q *query) priorAttemptsForbidRetry(now time.Duration) bool {
	switch q.class.Idempotency {
	case NotIdempotent:
		return len(q.priorAttempts) > 0
	case IdempotentWithKey:
		return slices.ContainsFunc(q.priorAttempts, func(a PriorAttempt) bool {
			return now >= a.WindowEnd(q.class.DedupWindow)
		})
	case Idempotent:
	}
	return false
}
