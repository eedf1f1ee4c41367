package handover

import "time"

// New is the process that takes over. Its zero value is not ready: see NewNew.
type New struct {
	version Version
	taking  bool // it takes what is known
	warm    bool // and has taken it
	going   bool // it serves what it is given
	owner   bool // for good
	orphan  bool // the old process is dead
}

// NewNew returns the machine of a process that was started to take over.
func NewNew(v Version) *New { return &New{version: v} }

// Owner tells whether the process is the owner for good.
func (n *New) Owner() bool { return n.owner }

// Serving tells whether the process serves what it is given.
func (n *New) Serving() bool { return n.going }

// Inputs of the new process.
type (
	// Started tells that the process runs and has read its configuration; Problem is why
	// it can't serve.
	Started struct{ Problem string }
	// State is what the old process knows; Warm tells that it was taken.
	State struct{}
	Warm  struct{}
	// Go tells it to serve what it is given from here on.
	Go struct{}
	// Given is a connection with its state.
	Given struct{ Conn ConnID }
	// Commit tells it that it is the owner for good.
	Commit struct{}
	// Ended tells that the channel is at its end: the old process is dead.
	Ended struct{}
)

// Effects of the new process, beside Report, StartAccepting and Exit.
type (
	// SendHello, SendReady and SendAlive are its messages.
	SendHello struct {
		Version Version
		Problem string
	}
	SendReady struct{}
	// TakeState begins to take what is known. Warm follows.
	TakeState struct{}
	// Adopt makes a connection its own.
	Adopt struct{ Conn ConnID }
	// StopRecording ends the records of requests: nobody would take anything back.
	StopRecording struct{}
)

// Step takes one input and returns what to do, in order.
func (n *New) Step(_ time.Duration, in any) []any {
	switch in := in.(type) {
	case Started:
		if in.Problem != "" {
			return []any{SendHello{n.version, in.Problem}, Exit{}}
		}
		return []any{SendHello{n.version, ""}}
	case State:
		if !n.taking {
			n.taking = true
			return []any{TakeState{}}
		}
	case Warm:
		n.warm = true
		if n.orphan {
			return n.own()
		}
		return []any{SendReady{}}
	case Go:
		n.going = n.going || n.warm
	case Given:
		return []any{Adopt(in)}
	case Commit:
		if n.going && !n.owner {
			return n.own()
		}
	case Ended:
		n.orphan = true
		if !n.owner && (n.warm || !n.taking) {
			return n.own() // without the state it serves as a process does that was just started
		}
	}
	return nil
}

// own makes the process the owner: it was told so, or the old one died and what was given is
// its own.
func (n *New) own() []any {
	n.owner, n.going = true, true
	return []any{StopRecording{}, StartAccepting{}}
}
