// Package remotesite decides, for a gateway at one site, whether a query runs here, at another site
// or nowhere, and what state the gateways at other sites are in. Which engine runs a query is
// decided by each site's own policy. It does no I/O and reads no clock: instants are the caller's,
// as durations since one origin. Clocks of other sites are never used, only how long things took
// here.
//
// Peers are gateways at other sites. Each reports its own part of its site's free capacity, so that
// a site with several gateways is several peers.
package remotesite

import "time"

// Config configures the decisions. Fractions of capacity are from 0 to 1.
type Config struct {
	UnreachableAfter  time.Duration // without a reply; too short: a pause is taken for a loss
	SlowRTT           time.Duration // round trip above which a peer is slow, until it is below three quarters
	RampDuration      time.Duration // of the recovery ramp of a peer; at least as long as engines need
	RampStart         float64       // fraction of the acceptable work that is sent at the ramp's start
	HopSlack          time.Duration // kept of a query's time at each hop, for the answer's way back
	SpillBelow        float64       // free capacity here below which queries may be forwarded
	StopSpillAbove    float64       // and above which they stay again; above SpillBelow
	MinPeerCapacity   float64       // free capacity that a peer must have
	LocalReserve      float64       // capacity that is kept for this site's own clients
	ThreadsPerCore    float64       // at which a site has no free capacity
	DigestMaxAge      time.Duration // after which a peer's digest counts for nothing
	DigestInterval    time.Duration // between digests of a gateway
	MaxAttempts       int           // of one query over all sites together
	MinPriorityWeight float64       // queries of a lower weight are never forwarded
	AffinityBonus     float64       // capacity that a peer must have more where a query's tables are warm here
	HedgeRatio        float64       // hedged requests per forwarded one, at most
	SharedDedup       bool          // engines of all sites drop each other's duplicates of a key
}

// Defaults returns a configuration for two sites some tens of milliseconds apart.
func Defaults() Config {
	return Config{
		UnreachableAfter: 1500 * time.Millisecond,
		SlowRTT:          400 * time.Millisecond,
		RampDuration:     15 * time.Second,
		RampStart:        0.2,
		HopSlack:         20 * time.Millisecond,
		SpillBelow:       0.1,
		StopSpillAbove:   0.3,
		MinPeerCapacity:  0.1,
		LocalReserve:     0.05,
		ThreadsPerCore:   2,
		DigestMaxAge:     2 * time.Second,
		DigestInterval:   250 * time.Millisecond,
		MaxAttempts:      3,
		AffinityBonus:    0.1,
		HedgeRatio:       0.02,
	}
}
