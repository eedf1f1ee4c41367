package lease

import "time"

// MemberID identifies a front end, by the same number as in internal/decide/membership.
type MemberID uint64

// EngineID identifies an engine from one start to the next. An engine that restarts has a new ID and no leases.
type EngineID uint64

// FullCapacity is the quota that stands for the whole current capacity of an engine. Quotas are fractions of that
// capacity, out of FullCapacity, rather than numbers of requests: the capacity grows during the engine's slow start in a
// way that all members know.
const FullCapacity = 1024

// Config holds the settings of a member. All members must have the same ones; messages of members with a different
// member list are dropped.
type Config struct {
	Members          []MemberID    // all configured members, alive or not
	VoterCount       int           // voters per engine; more than half of them must vote for its leader
	Term             time.Duration // how long a vote is valid, by the voter's clock
	MaxClockDrift    float64       // largest fraction by which a clock may run fast or slow
	UnleasedCapacity int           // capacity out of FullCapacity that is never leased; each member always has an equal part of it
	MaxEngines       int           // limit of tracked engines; more are rejected and counted in Node.RejectedEngines
}

// DefaultConfig returns the settings for an installation of up to a few hundred front ends.
func DefaultConfig(members []MemberID) Config {
	return Config{
		Members:          members,
		VoterCount:       5,
		Term:             4 * time.Second,
		MaxClockDrift:    0.01,
		UnleasedCapacity: FullCapacity / 4,
		MaxEngines:       1024,
	}
}

// guaranteedSpan returns how long, by its own clock, a member may rely on something that another member has granted for
// a span of the other's clock. The span counts from before the member sent the request. This is the worst case: the
// other clock runs as fast as MaxClockDrift allows, and the member's own as slowly.
func (c Config) guaranteedSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// RandomSource is a source of random numbers, such as *rand.Rand.
type RandomSource interface{ Uint32() uint32 }
