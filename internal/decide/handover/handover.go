// Package handover decides how a running process hands its listener, its client connections and
// its state over to a newer one (a live upgrade), and how it takes them back if that fails. It
// consists of two state machines without I/O: Source runs in the process that serves and hands
// over, Target in the one that takes over. Both take events (messages of the other process,
// changes of connections, ticks) and return effects for their caller to carry out in order.
//
// Three facts of the system carry the protocol:
//
//   - The source is the parent of the target. It can kill it and the kernel reports its exit, so
//     silence is never mistaken for death: connections that were transferred are reclaimed only
//     after the target is known to be dead and all that it wrote to the channel has been read.
//   - The source never closes the channel while both processes live. So the end of the channel
//     proves to the target that the source is dead.
//   - A descriptor sent over a unix socket is in the kernel once sendmsg returns, and is received
//     even if its sender dies at once (unix(7), SCM_RIGHTS).
//
// So no acknowledgement is needed: a connection belongs to the target from the moment the source
// has sent it, and never to both. Requests in flight stay where they are until they are
// answered; their connection is transferred then. Until the target is the owner for good the
// source goes on accepting and transfers each new connection at once, so that it holds a
// duplicate of every connection that the target has.
package handover

import "time"

// Phase is the state of an upgrade as the source sees it.
type Phase uint8

// Phases of the source.
const (
	Idle      Phase = iota // no upgrade is in progress
	Greeting               // the target was started and has not sent its hello
	Warming                // the target applies the state and has not said that it is ready
	Probation              // the target serves; everything can still be reclaimed
	Finishing              // the target is the owner for good; requests in flight here are completed
	Returning              // the target is being killed; nothing is reclaimed before it is dead
	Exited                 // nothing is left here
)

var phaseNames = [...]string{"idle", "greeting", "warming", "probation", "finishing", "returning", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// Config bounds an upgrade. All times count from the start of their phase.
type Config struct {
	GreetTimeout     time.Duration // until the target's hello; if too short, a slow disk ends upgrades
	WarmTimeout      time.Duration // until the target has applied the state and is ready
	MinProbation     time.Duration // the target serves at least so long before it is the owner for good
	MaxProbation     time.Duration // upper bound of the probation when there is little work; above MinProbation
	HeartbeatTimeout time.Duration // a target that is silent for so long is killed
	MinSuccesses     int           // good answers that the target must give, where there is work
	MaxFailureRate   float64       // share of its answers that may be errors, 0 to 1
	MaxMemory        int64         // resident memory of the target in bytes; 0: no bound
}

// DefaultConfig is for a machine that runs both processes side by side without strain.
func DefaultConfig() Config {
	return Config{
		GreetTimeout: 5 * time.Second, WarmTimeout: 10 * time.Second, MinProbation: 3 * time.Second, MaxProbation: 15 * time.Second,
		HeartbeatTimeout: time.Second, MinSuccesses: 20, MaxFailureRate: 0.1,
	}
}

// Version is the version of the protocol: how state and messages are encoded.
type Version struct{ Major, Minor int }

// CompatibleWith reports whether two versions understand each other: they have the same major
// version, and minor versions at most one apart.
func (v Version) CompatibleWith(other Version) bool {
	return v.Major == other.Major && v.Minor-other.Minor <= 1 && other.Minor-v.Minor <= 1
}

// ConnID identifies a connection in both processes.
type ConnID uint32
