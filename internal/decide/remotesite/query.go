package remotesite

import "time"

// Idempotency says whether a query may be executed more than once. Its values are those of
// policy.Idempotency.
type Idempotency uint8

// Kinds of idempotency. The zero value is the most cautious one.
const (
	NotIdempotent     Idempotency = iota // a second execution may change the result
	IdempotentWithKey                    // engines drop duplicates of its idempotency key for a time
	Idempotent                           // any number of executions has the effect of one
)

// Query describes a query to the decisions.
type Query struct {
	Class             string        // class of the query, such as "lookup"
	Idempotency       Idempotency   // whether it may be executed more than once
	Work              float64       // expected work in core-seconds; 0 means unknown
	PriorityWeight    float64       // value of answering it in time, relative to other queries
	DataSet           int64         // id of the data set that it uses; 0 means unknown
	Remaining         time.Duration // time until its client gives up
	Forwarded         bool          // it came from another site; it is never forwarded a second time
	RejectedLocally   bool          // this site's policy has just rejected it
	Attempts          int           // attempts so far, at all sites
	MayHaveRun        bool          // one of the attempts may have been executed
	SinceFirstAttempt time.Duration // time since the first attempt at any site that may have been executed
	DedupWindow       time.Duration // how long engines drop duplicates of its idempotency key
	// DedupNotShared says that an earlier attempt may have run where the other engines can't see it:
	// duplicates of its key are dropped only by the engines of one site, or by some of them.
	DedupNotShared bool
}

// dedupMargin is subtracted from the end of a dedup window, in addition to the network delay.
const dedupMargin = 50 * time.Millisecond

// MayAttempt reports whether the first or a further attempt at a query is permitted. delay is the time
// that the query takes to reach the place of the attempt.
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

// RemainingAfter returns how much of a query's remaining time a peer has for it; ok is false if none
// is left. The delay is subtracted twice and Config.HopSlack once, since the answer has to be back
// in time.
func RemainingAfter(cfg Config, remaining, oneWayDelay time.Duration) (atPeer time.Duration, ok bool) {
	atPeer = remaining - 2*oneWayDelay - cfg.HopSlack
	return atPeer, atPeer > 0
}

// AttemptGrant returns how many attempts at a forwarded query the other site may make: all that are
// left, less one that is kept for a retry at this site if the query may be retried here.
func AttemptGrant(cfg Config, q *Query) int {
	attempts := cfg.MaxAttempts - q.Attempts
	retriable := q.Idempotency == Idempotent || q.Idempotency == IdempotentWithKey && cfg.SharedDedup
	if attempts > 1 && retriable {
		attempts--
	}
	return attempts
}

// Failure says how the forwarding of a query failed.
type Failure uint8

// Kinds of failures. The zero value is the most cautious one.
const (
	// InDoubt means that the query may have run: the peer is unreachable, has left, or did not say
	// that the query never ran.
	InDoubt Failure = iota
	// NeverRan means that the query was never written to the peer, or that the peer reports on the
	// stream of the query that it was sent to no engine.
	NeverRan
)

// NextStep is what a gateway does with a query whose forwarding has failed.
type NextStep uint8

// Next steps.
const (
	ReportInDoubt  NextStep = iota // tell the client that the query may have run
	ReportRejected                 // tell the client to retry later
	RunLocally                     // pass the query to this site's policy
)

// AfterFailure returns the next step for a query whose forwarding has failed, and sets q.MayHaveRun
// if the failure leaves that in doubt. The step is taken at once: when a peer is unreachable, this
// site answers the client before the client gives up. A peer's report that the query never ran counts
// as NeverRan only on the stream that carried the query; every other failure is InDoubt.
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
	case failure == NeverRan && q.RejectedLocally: // neither site has capacity for the query
		return ReportRejected
	}
	return RunLocally
}
