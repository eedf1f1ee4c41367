package membership

import "time"

// ID names a member and its address, and is the same after a restart. The caller chooses IDs of up to MaxID; small
// ones take fewer bytes in datagrams.
type ID uint64

// MaxID is the largest ID: it has 48 bits, as many as an IPv4 address with its port.
const MaxID = 1<<48 - 1

// hashKey folds the ID to 32 bits. It is the same at all members.
func (id ID) hashKey() uint32 { return uint32(id) ^ uint32(id>>32)*0x9e3779b1 }

// Config holds the settings of a member. They are the same at all members of an installation.
type Config struct {
	HeartbeatInterval   time.Duration
	RingCount           int           // monitors of each member
	Quorum              int           // monitors that must not hear a member before it is declared dead or unreachable
	MaxMissedHeartbeats int           // in a row on a path without loss, before the member is pinged
	MaxUnansweredPings  int           // before a member is reported as not heard
	SuspicionTimeout    time.Duration // for which a quorum against a member must last
	MaxViewDelay        time.Duration // for which a view change waits for other changes in progress
	BytesPerSecond      float64       // sent on average, whatever the size of the fleet
	BurstBytes          float64       // saved up while there is little to send
	FrameOverheadBytes  int           // that the sender adds to each datagram; they count against the budget
	MaxDatagramBytes    int           // without the sender's overhead
	Closed              bool          // only members that the settings name are accepted
}

// DefaultConfig returns settings for front ends of one installation within 20 ms of each other.
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

// RandomSource is a source of random numbers; *rand.Rand is one.
type RandomSource interface {
	IntN(n int) int
	Shuffle(n int, swap func(i, j int))
}
