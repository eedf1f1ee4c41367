// Package handover decides how a running process hands its listener, its client connections and
// its state over to a newer process (a live upgrade), and how it takes them back if the upgrade
// fails. It consists of two state machines that do no I/O and read no clock: Source runs in the
// process that serves and hands over, Target in the process that takes over. Both take events
// (messages of the other process, changes of connections, ticks) and return effects, which their
// caller carries out in order.
//
// The protocol relies on three properties of the system:
//
//   - The source is the parent of the target: it can kill the target, and the kernel reports the
//     target's exit. So the source never has to infer from missing messages that the target is
//     dead. Transferred connections are reclaimed only after the target is known to be dead and
//     all that it wrote to the channel has been read.
//   - The source never closes the channel while both processes live, so the end of the channel
//     proves to the target that the source is dead.
//   - A descriptor sent over a unix socket is in the kernel once sendmsg returns, and is received
//     even if its sender dies immediately afterwards (unix(7), SCM_RIGHTS).
//
// For these reasons transfers need no acknowledgement: a connection belongs to the target from
// the moment the source has sent it, and never to both processes. A connection with a request in
// flight is transferred only after the request has been answered. Until the source makes the target
// the permanent owner (commits the ownership), the source keeps accepting connections and transfers
// each new one at once, so that it holds a duplicate descriptor of every connection of the target.
package handover

import "time"

// Phase is the state of an upgrade as the source sees it.
type Phase uint8

// Phases of the source.
const (
	Idle          Phase = iota // no upgrade is in progress
	AwaitingHello              // the target was started and has not sent its hello
	WarmingUp                  // the target applies the state and has not reported that it is ready
	Probation                  // the target serves; every connection can still be reclaimed
	Finishing                  // the target is the permanent owner; the source completes its requests in flight
	RollingBack                // the target is being killed; connections are reclaimed once it is dead
	Exited                     // the source has no connections left and exits
)

// phaseNames are the names of the phases in logs and progress reports, which operators' tools
// read. They differ from the names of the constants.
var phaseNames = [...]string{"idle", "greeting", "warming", "probation", "finishing", "returning", "gone"}

// String returns the name of the phase for logs and progress reports.
func (p Phase) String() string { return phaseNames[p] }

// Config holds the limits of an upgrade. Each duration counts from the start of its phase, except
// HeartbeatTimeout, which counts from the target's latest message. The target's failure rate is
// judged only once it has given MinSuccesses responses, successful or not.
type Config struct {
	HelloTimeout       time.Duration // until the target's hello; if too short, upgrades fail on a slow disk
	WarmUpTimeout      time.Duration // until the target has applied the state and is ready
	MinProbation       time.Duration // the target serves at least this long before ownership is committed
	MaxProbation       time.Duration // end of a probation with fewer than MinSuccesses successes; above MinProbation
	HeartbeatTimeout   time.Duration // a target that sends no message for this long during its probation is killed
	MinSuccesses       int           // successes that end the probation before MaxProbation
	MaxFailureFraction float64       // fraction of the target's responses that may be failures, 0 to 1, plus an allowance for the source's usual rate
	MaxMemory          int64         // resident memory of the target in bytes; 0: no limit
}

// DefaultConfig returns limits for a machine that can run both processes side by side without
// overload.
func DefaultConfig() Config {
	return Config{
		HelloTimeout: 5 * time.Second, WarmUpTimeout: 10 * time.Second, MinProbation: 3 * time.Second, MaxProbation: 15 * time.Second,
		HeartbeatTimeout: time.Second, MinSuccesses: 20, MaxFailureFraction: 0.1,
	}
}

// Version is the version of the upgrade protocol, which includes the encoding of state and
// messages.
type Version struct{ Major, Minor int }

// CompatibleWith reports whether processes of the two versions can take over from each other: the
// major versions are the same and the minor versions differ by at most one.
func (v Version) CompatibleWith(other Version) bool {
	return v.Major == other.Major && v.Minor-other.Minor <= 1 && other.Minor-v.Minor <= 1
}

// ConnID identifies a client connection in both processes. The source assigns the IDs in
// ascending order.
type ConnID uint32
