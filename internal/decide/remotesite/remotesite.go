// Package remotesite decides whether a gateway runs a query at its own site, forwards it to another
// site or rejects it, and tracks the state of the gateways at other sites. Which engine runs a query
// is left to the policy of the site that runs it.
//
// A peer is a gateway at another site. Each peer reports, in its Digest, only its own share of its
// site's free capacity, so a site with several gateways appears as several peers.
//
// The package does no I/O and reads no clock. Callers pass the current time as a duration since an
// origin that they choose. Clocks of other sites are never used: only durations measured at this
// gateway count.
package remotesite

import "time"

// Config configures the decisions. Capacities are fractions of a site's capacity, from 0 to 1.
type Config struct {
	// UnreachableAfter is the time without a reply after which a peer is unreachable. If it is too
	// short, a pause of the peer is mistaken for an outage.
	UnreachableAfter time.Duration
	// SlowRTT is the smoothed round-trip time above which a peer is slow. It stays slow until the
	// round-trip time is below three quarters of SlowRTT.
	SlowRTT time.Duration
	// RampDuration is how long a peer that has become reachable gets a reduced share of the work that
	// it accepts. It should be at least as long as the warm-up of its engines. 0 means no ramp.
	RampDuration time.Duration
	// RampStart is the fraction of the acceptable work that a peer is sent at the start of the ramp.
	RampStart float64
	// HopSlack is subtracted from a query's remaining time at each hop, in addition to the network
	// delay, so that the answer is back in time.
	HopSlack time.Duration
	// SpillBelow is the free capacity of this site below which it starts to forward queries.
	SpillBelow float64
	// StopSpillAbove is the free capacity of this site above which it stops forwarding queries. It is
	// larger than SpillBelow.
	StopSpillAbove float64
	// MinPeerCapacity is the free capacity that a peer needs to be sent a query.
	MinPeerCapacity float64
	// LocalReserve is the capacity that is reserved for this site's own clients.
	LocalReserve float64
	// ThreadsPerCore is the number of engine threads in use per core at which a site has no free
	// capacity.
	ThreadsPerCore float64
	// DigestMaxAge is the age from which a peer's digest is ignored.
	DigestMaxAge time.Duration
	// DigestInterval is the time between two digests of a gateway.
	DigestInterval time.Duration
	// MaxAttempts bounds the attempts at one query, counted over all sites.
	MaxAttempts int
	// MinPriorityWeight is the priority weight below which queries are never forwarded; 0 excludes none.
	MinPriorityWeight float64
	// AffinityBonus is added to the offered capacity of a peer where the tables of the query's data
	// set are warm, that is, held in memory by the engines. If they are warm at this site, a peer needs
	// this much more free capacity instead.
	AffinityBonus float64
	// HedgeRatio bounds the hedged requests, as a fraction of the recently forwarded queries. A single
	// recent one is allowed in addition.
	HedgeRatio float64
	// SharedDedup says that the engines of all sites recognize each other's duplicates of an
	// idempotency key.
	SharedDedup bool
}

// Defaults returns a configuration for two sites with a round-trip time of some tens of
// milliseconds.
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
