package membership

import "time"

// ID identifies a member by its address and stays the same across restarts. The caller chooses IDs of at most MaxID;
// small IDs take fewer bytes in datagrams.
type ID uint64

// MaxID is the largest ID. It has 48 bits, the size of an IPv4 address with a port.
const MaxID = 1<<48 - 1

// hashKey folds the ID to 32 bits. All members compute the same value.
func (id ID) hashKey() uint32 { return uint32(id) ^ uint32(id>>32)*0x9e3779b1 }

// Config holds the settings of a member. All members of an installation must use the same values.
type Config struct {
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval time.Duration
	// RingCount is the number of rings. Each ring is an order of all members, and each member is monitored by its
	// successor on each ring.
	RingCount int
	// Quorum is the number of members that must report a member as not heard before it is declared dead or
	// unreachable. Fewer suffice where fewer members are able to report.
	Quorum int
	// MaxMissedHeartbeats is the number of consecutive heartbeats that may be missed on a path without loss before the
	// member is pinged. Paths with loss allow more.
	MaxMissedHeartbeats int
	// MaxUnansweredPings is the number of pings that may go unanswered on a path without loss before the member is
	// reported as not heard.
	MaxUnansweredPings int
	// SuspicionTimeout is how long Quorum members must report a member as not heard before it is declared failed. The
	// time is shorter if more members report it.
	SuspicionTimeout time.Duration
	// MaxViewDelay is the longest time that a view change waits for other changes in progress. It is also the time for
	// which a member that has entered or left the view is not declared failed, and its reports do not count against
	// other members.
	MaxViewDelay time.Duration
	// BytesPerSecond limits the average rate at which a member sends, whatever the size of the fleet.
	BytesPerSecond float64
	// BurstBytes is the most unused budget that a member accumulates while it sends little.
	BurstBytes float64
	// FrameOverheadBytes is the number of bytes that the caller adds to each datagram. They count against the budget.
	FrameOverheadBytes int
	// MaxDatagramBytes is the largest datagram, without the caller's overhead.
	MaxDatagramBytes int
	// ConfiguredMembersOnly restricts the membership to the members that the settings name. False also accepts members
	// discovered from records.
	ConfiguredMembersOnly bool
}

// DefaultConfig returns settings for an installation whose front ends are within 20 ms of each other.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:   500 * time.Millisecond,
		RingCount:           4,
		Quorum:              3,
		MaxMissedHeartbeats: 2,
		MaxUnansweredPings:  3,
		SuspicionTimeout:    time.Second,
		MaxViewDelay:        4 * time.Second,
		BytesPerSecond:      400,
		BurstBytes:          6000,
		MaxDatagramBytes:    256,
	}
}

// RandomSource is a source of random numbers. *rand.Rand implements it.
type RandomSource interface {
	IntN(n int) int
	Shuffle(n int, swap func(i, j int))
}
