// Package handover decides how one process of ringwood gives its listener, its client
// connections and its work to a newer one, and how it takes them back where that fails.
// It is two state machines without I/O: Old and New take inputs (messages of the other,
// news of connections, ticks) and return effects for their caller to carry out in order.
//
// Three facts of the system carry the protocol:
//
//   - The old process is the parent of the new one. It can end it and be told by the
//     kernel that it has ended, so silence is never mistaken for death: what was given away
//     is taken back only after the new process is known to be dead and all that it had
//     written to the channel has been read.
//   - The old process never closes the channel while it lives and the new one does too.
//     So the end of the channel proves to the new process that the old one is dead.
//   - A descriptor sent over a unix socket is in the kernel once it is sent, and is
//     received also if its sender dies at once (unix(7), SCM_RIGHTS).
//
// So no acknowledgement is needed: a connection belongs to the new process from the moment
// the old one has sent it, and never to both. Requests in flight stay where they are until
// they are answered; their connection is moved then. Until the new process is the owner for
// good the old one goes on accepting and hands each connection over at once, so that there
// is none that it does not hold a duplicate of.
package handover

import "time"

// Phase is where an upgrade stands, as the old process sees it.
type Phase uint8

// Phases of the old process.
const (
	Idle      Phase = iota // no upgrade
	Greeting               // the new process was started, and has not said what it is
	Warming                // it takes what is known, and has not said that it is ready
	Probation              // it serves; everything can still be taken back
	Finishing              // it is the owner for good; what is in flight here ends here
	Returning              // it is being ended; nothing is taken back before it is dead
	Exited                 // nothing is left here
)

var phaseNames = [...]string{"idle", "greeting", "warming", "probation", "finishing", "returning", "gone"}

func (p Phase) String() string { return phaseNames[p] }

// Config bounds an upgrade. All times count from the start of their phase.
type Config struct {
	GreetTimeout     time.Duration // for the new process to say what it is; too short: a slow disk ends upgrades
	WarmTimeout      time.Duration // to take what is known and be ready
	MinProbation     time.Duration // it serves at least so long before it is the owner for good
	MaxProbation     time.Duration // and without any work at most so long; above ProveFor
	HeartbeatTimeout time.Duration // it is heard of at least so often, or ended
	MinGoodAnswers   int           // it gives at least so many good answers, where there is work
	MaxBadShare      float64       // of its answers that may be errors of its own, 0 to 1
	MaxMemory        int64         // bytes that it may take; 0: no bound
}

// DefaultConfig are for a machine that runs both side by side without strain.
func DefaultConfig() Config {
	return Config{
		GreetTimeout: 5 * time.Second, WarmTimeout: 10 * time.Second, MinProbation: 3 * time.Second, MaxProbation: 15 * time.Second,
		HeartbeatTimeout: time.Second, MinGoodAnswers: 20, MaxBadShare: 0.1,
	}
}

// Version is what two processes must agree on: how state and messages are written.
type Version struct{ Major, Minor int }

// CompatibleWith tells whether two versions understand each other: the same major one, and minor
// ones at most one apart.
func (v Version) CompatibleWith(o Version) bool {
	return v.Major == o.Major && v.Minor-o.Minor <= 1 && o.Minor-v.Minor <= 1
}

// ConnID names a connection for both processes.
type ConnID uint32

// Idempotency says how far a request may be repeated, as in policy.
type Idempotency uint8

// The effects; the zero value is the most cautious.
const (
	NotIdempotent Idempotency = iota
	IdempotentWithKey
	Idempotent
)

// Request is the new process's record of a request that it took, which it sends before it
// does the next thing with it: before it is sent to an engine, and before its answer is
// written.
type Request struct {
	InFlight         bool
	Idempotency      Idempotency
	Sent             bool          // it goes to an engine: it may have run
	FirstSend        time.Duration // of it anywhere, on the clock that both processes share
	KeyWindow        time.Duration // in which engines drop a repeat, of Keyed
	Deadline         time.Duration // when its client gives up
	ResponseLength   int           // length of the answer that is being written; 0: none yet
	ResponseRecorded bool          // the record holds that answer
}

// Recovery is what becomes of a request whose process died.
type Recovery uint8

// Recoveries.
const (
	NothingToRecover       Recovery = iota // there is none, or it is answered
	Resend                                 // it goes to an engine (again), with its key and the time of its first send
	ReportInDoubt                          // it may have run and may not be repeated: its client is told so at once
	ReportDeadlineExceeded                 // its time is over
	CloseConnection                        // a part of its answer was written: the connection ends, so that its client can tell
	WriteRemainder                         // its answer is known: what was not written of it is written
)

// margin is kept to the end of a key's window, for the way to the engine.
const margin = 50 * time.Millisecond

// Recover decides over a request of a process that died. written is how much of the answer
// the kernel was given on this connection since the record of Answering, which the kernel
// tells of a socket whoever wrote to it (tcp(7), TCP_INFO).
func Recover(r Request, written int, now time.Duration) Recovery {
	switch {
	case !r.InFlight:
		return NothingToRecover
	case r.ResponseLength > 0 && written >= r.ResponseLength:
		return NothingToRecover
	case r.ResponseLength > 0 && r.ResponseRecorded:
		return WriteRemainder
	case written > 0:
		return CloseConnection
	case now >= r.Deadline:
		return ReportDeadlineExceeded
	case !r.Sent || r.Idempotency == Idempotent:
		return Resend
	case r.Idempotency == IdempotentWithKey && now < r.FirstSend+r.KeyWindow-margin:
		return Resend
	}
	return ReportInDoubt
}
