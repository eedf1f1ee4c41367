package remotesite

import "time"

// Idempotency says whether a query may be executed again, with the values of policy.Idempotency.
type Idempotency uint8

// Kinds of idempotency. The zero value is the most cautious.
const (
	NotIdempotent Idempotency = iota
	IdempotentWithKey
	Idempotent
)

// Query is what is known of one query.
type Query struct {
	Class             string
	Idempotency       Idempotency
	Work              float64       // expected, in seconds of one core; 0: unknown
	PriorityWeight    float64       // of an answer in time
	DataSet           int64         // 0: unknown
	Remaining         time.Duration // until its client gives up
	Forwarded         bool          // it came from another site, and is never forwarded to a third
	RejectedLocally   bool          // this site's policy has just rejected it
	Attempts          int           // so far, over all sites
	MayHaveRun        bool          // one of the attempts may have run
	SinceFirstAttempt time.Duration // since the first attempt anywhere that may have run
	DedupWindow       time.Duration // in which engines drop duplicates of its key
	// DedupNotShared says that what may have run did so where other engines can't tell: duplicates
	// of its key are dropped by the engines of one site, or of a part of one, alone.
	DedupNotShared bool
}

// dedupMargin is kept to the end of a key's dedup window, beside the delay.
const dedupMargin = 50 * time.Millisecond

// MayAttempt tells whether a query may be attempted (again), after a delay to where that happens.
func MayAttempt(cfg Config, q *Query, delay time.Duration) bool {
	switch {
	case q.Attempts >= cfg.MaxAttempts:
		return false
	case !q.MayHaveRun || q.Idempotency == Idempotent:
		return true
	case q.Idempotency == IdempotentWithKey && !q.DedupNotShared:
		return q.SinceFirstAttempt+delay+dedupMargin < q.DedupWindow
	}
	return false
}

// RemainingAfter returns what remains of a query's time at a peer, and whether that is anything.
// The delay counts both ways, with the slack of this hop: the answer has to come back in time.
func RemainingAfter(cfg Config, remaining, oneWayDelay time.Duration) (there time.Duration, ok bool) {
	there = remaining - 2*oneWayDelay - cfg.HopSlack
	return there, there > 0
}

// AttemptGrant returns how many attempts at a query the other site may make: all that are left, but
// for one that is kept for this site where a retry here is permitted at all.
func AttemptGrant(cfg Config, q *Query) int {
	n := cfg.MaxAttempts - q.Attempts
	retriable := q.Idempotency == Idempotent || q.Idempotency == IdempotentWithKey && cfg.SharedDedup
	if n > 1 && retriable {
		n--
	}
	return n
}

// Failure says how the forwarding of a query failed.
type Failure uint8

// Failures. The zero value is the most cautious.
const (
	InDoubt  Failure = iota // it may have run: the peer is unreachable, has left, or says no better
	NeverRan                // the peer says on the same stream that no engine was sent it, or it was never written
)

// NextStep is what becomes of a query whose forwarding has failed.
type NextStep uint8

// Next steps.
const (
	ReportInDoubt  NextStep = iota // its client is told that it may have run
	ReportRejected                 // its client is told to retry later
	RunLocally                     // this site's policy has it
)

// AfterFailure returns what becomes of a query whose forwarding has failed, at once: this site
// answers for one that is unreachable, before the client gives up. A peer's word that nothing ran
// is believed only on the stream that carried the query (NeverRan); all else is in doubt.
func AfterFailure(cfg Config, q *Query, failure Failure) NextStep {
	if failure == InDoubt {
		q.MayHaveRun = true
	}
	switch {
	case !MayAttempt(cfg, q, 0):
		if q.MayHaveRun && q.Idempotency != Idempotent {
			return ReportInDoubt
		}
		return ReportRejected
	case failure == NeverRan && q.RejectedLocally: // neither site has capacity for it
		return ReportRejected
	}
	return RunLocally
}
