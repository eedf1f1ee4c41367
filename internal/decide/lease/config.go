package lease

import "time"

// ID names a front end, as in internal/decide/membership.
type ID uint64

// EngineID names one start of one engine. An engine that restarts is another one, with no leases.
type EngineID uint64

// FullCapacity is all that an engine can serve. Quotas are in units of it, as an engine's capacity grows while it warms
// up and all members know how.
const FullCapacity = 1024

// Config holds the settings of a member. They are the same at all members; messages of members with another list of
// members are dropped.
type Config struct {
	Members          []ID          // all that the settings name, alive or not
	VoterCount       int           // of an engine; more than half of them must vote for its leader
	Term             time.Duration // of a vote, by the voter's clock
	MaxClockDrift    float64       // clocks run fast or slow by at most this fraction
	UnleasedCapacity int           // of FullCapacity: never leased, each member always has an equal quota of it
	MaxEngines       int           // that are tracked; more are rejected and counted
}

// DefaultConfig returns settings for up to some hundreds of front ends.
func DefaultConfig(members []ID) Config {
	return Config{
		Members:          members,
		VoterCount:       5,
		Term:             4 * time.Second,
		MaxClockDrift:    0.01,
		UnleasedCapacity: FullCapacity / 4,
		MaxEngines:       1024,
	}
}

// guaranteed is how long one who relies on a span of another's clock may count on it, from before it asked: what is
// left where the other clock runs as fast as may be, and its own as slowly.
func (c Config) guaranteed(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// RandomSource is a source of random numbers; *rand.Rand is one.
type RandomSource interface{ Uint32() uint32 }
