package handover

import "time"

// Target is the process that takes over. Its zero value is not ready: see NewNew.
type Target struct {
	version Version
	taking  bool // it takes what is known
	warm    bool // and has taken it
	going   bool // it serves what it is given
	owner   bool // for good
	orphan  bool // the old process is dead
}

// NewTarget returns the machine of a process that was started to take over.
func NewTarget(v Version) *Target { return &Target{version: v} }

// Owner tells whether the process is the owner for good.
func (n *Target) Owner() bool { return n.owner }

// Serving tells whether the process serves what it is given.
func (n *Target) Serving() bool { return n.going }

// Inputs of the new process.
type (
	// TargetStarted tells that the process runs and has read its configuration; Problem is why
	// it can't serve.
	TargetStarted struct{ Problem string }
	// StateReceived is what the old process knows; Warm tells that it was taken.
	StateReceived struct{}
	StateApplied  struct{}
	// ServeRequested tells it to serve what it is given from here on.
	ServeRequested struct{}
	// ConnectionReceived is a connection with its state.
	ConnectionReceived struct{ Conn ConnID }
	// OwnershipCommitted tells it that it is the owner for good.
	OwnershipCommitted struct{}
	// SourceExited tells that the channel is at its end: the old process is dead.
	SourceExited struct{}
)

// Effects of the new process, beside Report, StartAccepting and Exit.
type (
	// SendHello, SendReady and SendAlive are its messages.
	SendHello struct {
		Version Version
		Problem string
	}
	SendReady struct{}
	// ApplyState begins to take what is known. Warm follows.
	ApplyState struct{}
	// AdoptConnection makes a connection its own.
	AdoptConnection struct{ Conn ConnID }
	// StopRecording ends the records of requests: nobody would take anything back.
	StopRecording struct{}
)

// Step takes one input and returns what to do, in order.
func (n *Target) Step(_ time.Duration, in any) []any {
	switch in := in.(type) {
	case TargetStarted:
		if in.Problem != "" {
			return []any{SendHello{n.version, in.Problem}, Exit{}}
		}
		return []any{SendHello{n.version, ""}}
	case StateReceived:
		if !n.taking {
			n.taking = true
			return []any{ApplyState{}}
		}
	case StateApplied:
		n.warm = true
		if n.orphan {
			return n.own()
		}
		return []any{SendReady{}}
	case ServeRequested:
		n.going = n.going || n.warm
	case ConnectionReceived:
		return []any{AdoptConnection(in)}
	case OwnershipCommitted:
		if n.going && !n.owner {
			return n.own()
		}
	case SourceExited:
		n.orphan = true
		if !n.owner && (n.warm || !n.taking) {
			return n.own() // without the state it serves as a process does that was just started
		}
	}
	return nil
}

// own makes the process the owner: it was told so, or the old one died and what was given is
// its own.
func (n *Target) own() []any {
	n.owner, n.going = true, true
	return []any{StopRecording{}, StartAccepting{}}
}
