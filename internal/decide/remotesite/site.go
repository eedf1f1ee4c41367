// Package site decides, for a gateway at one site, whether a query runs here, at another site
// or nowhere, and what is believed of the other sites. Which engine runs it is each site's own
// decision module's affair. No I/O, no clock: instants are the caller's, durations of one
// origin; what another site's clock says is never used, only how long things took here.
//
// Peers are gateways at other sites: each tells of its own share of its site's room, so that a
// site with several gateways is several peers.
package remotesite

import "time"

// Config bounds what is decided.
type Config struct {
	UnreachableAfter  time.Duration // without a word a peer is silent; too short: a pause is taken for a loss
	SlowRTT           time.Duration // round trip from which a peer is slow; it is up again below three quarters
	RampDuration      time.Duration // after a silence the ramp takes so long; at least as the engines need
	RampStart         float64       // share of what it says it takes at the ramp's start, 0 to 1
	HopSlack          time.Duration // kept of a query's time at each hop, for the answer's way through it
	SpillBelow        float64       // room here, as a share, below which work may cross
	StopSpillAbove    float64       // and above which it stays again; above SpillBelow
	MinPeerCapacity   float64       // room that a peer must have
	LocalReserve      float64       // room that is kept for this site's own clients, as a share
	ThreadsPerCore    float64       // threads a core at which a site has no room
	DigestMaxAge      time.Duration // what a peer said of its room is not believed for longer
	DigestInterval    time.Duration // how often a gateway says how much room it has
	MaxAttempts       int           // sends of one query over all sites together
	MinPriorityWeight float64       // worth that a crossing costs: less than that never crosses
	AffinityBonus     float64       // room that a peer must have more where a query's tables are warm here
	HedgeRatio        float64       // crossings of safe classes that may be run here as well, as a share of all
	SharedDedup       bool          // engines of all sites drop each other's repeats of a key
}

// Defaults are for two sites some tens of milliseconds apart.
func Defaults() Config {
	return Config{
		UnreachableAfter: 1500 * time.Millisecond, SlowRTT: 400 * time.Millisecond, RampDuration: 15 * time.Second, RampStart: 0.2,
		HopSlack: 20 * time.Millisecond, SpillBelow: 0.1, StopSpillAbove: 0.3, MinPeerCapacity: 0.1, LocalReserve: 0.05, ThreadsPerCore: 2,
		DigestMaxAge: 2 * time.Second, DigestInterval: 250 * time.Millisecond, MaxAttempts: 3, AffinityBonus: 0.1, HedgeRatio: 0.02,
	}
}

// Effect says how far a query may be repeated, as in policy.
type Idempotency uint8

// Effects; the zero value is the most cautious.
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
	TableGroup        int64         // of tables; 0: unknown
	Remaining         time.Duration // of its client's wait
	Forwarded         bool          // it came from another site: it never goes on to a third
	RejectedLocally   bool          // this site's module has just turned it away
	Attempts          int           // so far, over all sites
	MayHaveRun        bool          // one of them may have run
	SinceFirstAttempt time.Duration // since the first send anywhere that may have run
	DedupWindow       time.Duration // in which repeats of its key are dropped
	// ThereOnly is that what may have run did so where other sites' engines can't tell: its key
	// is dropped by the engines of one site, or of a part of one, alone.
	DedupNotShared bool
}

// margin is kept to the end of a key's window, beside the way.
const margin = 50 * time.Millisecond

// Again tells whether a query may be sent (again), with so long a way before it.
func MayAttempt(cfg Config, q *Query, way time.Duration) bool {
	switch {
	case q.Attempts >= cfg.MaxAttempts:
		return false
	case !q.MayHaveRun || q.Idempotency == Idempotent:
		return true
	case q.Idempotency == IdempotentWithKey && !q.DedupNotShared:
		return q.SinceFirstAttempt+way+margin < q.DedupWindow
	}
	return false
}

// Left is what a query has left at the other end of a way, and ok whether that is anything.
// Both ways come off, and the slack of this hop: the answer has to come back in time.
func RemainingAfter(cfg Config, wanted, way time.Duration) (left time.Duration, ok bool) {
	left = wanted - 2*way - cfg.HopSlack
	return left, left > 0
}

// Grant is how many sends the other site may make of a query: what is left of all, less one
// that is kept for this site where a repeat here is permitted at all.
func AttemptGrant(cfg Config, q *Query) int {
	n := cfg.MaxAttempts - q.Attempts
	if n > 1 && (q.Idempotency == Idempotent || q.Idempotency == IdempotentWithKey && cfg.SharedDedup) {
		n--
	}
	return n
}

// End is how a crossing ended.
type Failure uint8

// Ends. The zero value is the most cautious.
const (
	InDoubt  Failure = iota // it may have run: the peer is silent, gone, or says no better
	NeverRan                // the peer says on the same stream that no engine was sent it, or it was never written
)

// Next is what becomes of a query whose crossing ended without an answer.
type NextStep uint8

// The ways on.
const (
	ReportInDoubt  NextStep = iota // its client is told now that it may have run
	ReportRejected                 // its client is told now to come again
	RunLocally                     // this site's decision module has it
)

// After tells what becomes of a query whose crossing has ended without an answer, at once: a
// silent site is answered for here, before the client gives up. A peer's word that nothing ran
// is believed on the stream that the query went on only (Never); everything else is in doubt.
func AfterFailure(cfg Config, q *Query, end Failure) NextStep {
	if end == InDoubt {
		q.MayHaveRun = true
	}
	switch {
	case !MayAttempt(cfg, q, 0):
		if q.MayHaveRun && q.Idempotency != Idempotent {
			return ReportInDoubt
		}
		return ReportRejected
	case end == NeverRan && q.RejectedLocally: // neither site has room for it
		return ReportRejected
	}
	return RunLocally
}
