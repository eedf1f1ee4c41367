package handover

import (
	"cmp"
	"slices"
	"time"
)

// holding is what the old process has of a connection.
type holding struct {
	id      ConnID
	theirs  bool // it was sent; a duplicate of its descriptor is kept
	busy    bool // mine: a request is in flight, or a part of a message was read or is to be written
	request Request
}

// Source is the process that serves and gives away. Its zero value is not ready: see NewOld.
type Source struct {
	cfg     Config
	version Version
	phase   Phase
	since   time.Duration // of the phase
	heard   time.Duration // of the new process
	good    int
	bad     int
	most    float64 // share of its answers that may be bad
	why     string  // of a return
	stop    bool    // a planned stop waits for the end of the upgrade
	conns   []holding
}

// NewSource returns the machine of a process that serves.
func NewSource(cfg Config, v Version) *Source { return &Source{cfg: cfg, version: v} }

// Why is why the new process was ended.
func (o *Source) Why() string { return o.why }

// Phase is where the upgrade stands.
func (o *Source) Phase() Phase { return o.phase }

// Inputs of the old process.
type (
	// UpgradeRequested asks for an upgrade. UsualBad is the share of answers that are refusals or
	// failures here just now: the new process is held to no less and no more.
	UpgradeRequested struct{ UsualBadShare float64 }
	// StopRequested asks for a planned stop.
	StopRequested struct{}
	// ConnectionAccepted tells of a new connection here. Numbers rise.
	ConnectionAccepted struct{ Conn ConnID }
	// ConnectionBusy tells that a connection here can't be moved, Free that it can.
	ConnectionBusy struct{ Conn ConnID }
	ConnectionIdle struct{ Conn ConnID }
	// TransferCancelled tells that a connection could not be given: a request has come meanwhile.
	TransferCancelled struct{ Conn ConnID }
	// ConnectionClosed tells that a connection here has ended.
	ConnectionClosed struct{ Conn ConnID }
	// TargetExited tells that the new process is dead and that the channel was read to its end.
	TargetExited struct{}
	// TargetMemory tells what the new process takes.
	TargetMemory struct{ Bytes int64 }
	// Tick tells only the time.
	Tick struct{}
)

// Messages of the new process to the old one.
type (
	// TargetHello says what it is. Problem is why it can't take over: a configuration that it
	// can't read, a limit that is too low.
	TargetHello struct {
		Version Version
		Problem string
	}
	// TargetReady says that it has taken what is known and could serve.
	TargetReady struct{}
	// TargetHeartbeat says that it lives, how its answers were since the last, and how many requests it
	// has taken and not answered.
	TargetHeartbeat struct{ Good, Bad, InFlight int }
	// RequestRecorded is its record of the request of a connection.
	RequestRecorded struct {
		Conn    ConnID
		Request Request
	}
	// TargetActive is any other sign of life.
	TargetActive struct{}
	// TargetClosedConnection says that a connection of its has ended.
	TargetClosedConnection struct{ Conn ConnID }
)

// Effects of the old process.
type (
	// StartTarget starts the new process, with the channel and the listeners.
	StartTarget struct{}
	// SendState sends what is known.
	SendState struct{}
	// StopAccepting and StartAccepting: the listeners stay open all the while.
	StopAccepting  struct{}
	StartAccepting struct{}
	// SendServe tells the new process to accept.
	SendServe struct{}
	// TransferConnection stops reading a connection and sends it with its state; a duplicate is kept. Where
	// a request has come meanwhile, Kept follows instead.
	TransferConnection struct{ Conn ConnID }
	// SendCommit tells the new process that it is the owner for good.
	SendCommit struct{}
	// ReleaseDuplicate closes the duplicate of a connection.
	ReleaseDuplicate struct{ Conn ConnID }
	// KillTarget ends the new process. Died follows.
	KillTarget struct{}
	// ReclaimConnection makes a connection one's own again. Its request is recovered by Recover,
	// once the kernel has told how much of its answer was written.
	ReclaimConnection struct {
		Conn    ConnID
		Request Request
	}
	// ReportOutcome tells whoever asked how the upgrade ended; "" is well.
	ReportOutcome struct{ Why string }
	// BeginShutdown begins the planned stop.
	BeginShutdown struct{}
	// Exit ends the old process: nothing is left to do.
	Exit struct{}
)

func (o *Source) enter(p Phase, now time.Duration) { o.phase, o.since = p, now }

func (o *Source) find(id ConnID) *holding {
	if i, ok := o.at(id); ok {
		return &o.conns[i]
	}
	return nil
}

// at is the place of a connection: they are in order, as their numbers only rise.
func (o *Source) at(id ConnID) (int, bool) {
	return slices.BinarySearchFunc(o.conns, id, func(h holding, id ConnID) int { return cmp.Compare(h.id, id) })
}

func (o *Source) drop(id ConnID) {
	if i, ok := o.at(id); ok {
		o.conns = slices.Delete(o.conns, i, i+1)
	}
}

// Step takes one input and returns what to do, in order.
func (o *Source) Step(now time.Duration, in any) (out []any) {
	switch in := in.(type) {
	case UpgradeRequested:
		if o.phase != Idle || o.stop {
			return []any{ReportOutcome{"another upgrade or a stop is under way"}}
		}
		o.enter(Greeting, now)
		o.heard, o.good, o.bad, o.why = now, 0, 0, ""
		o.most = o.cfg.MaxBadShare + min(1.5*max(in.UsualBadShare, 0), 0.5)
		return []any{StartTarget{}}
	case StopRequested:
		return o.told(now)
	case ConnectionAccepted:
		o.conns = append(o.conns, holding{id: in.Conn})
		if o.phase == Probation || o.phase == Finishing { // accepted just before the listener was theirs
			return o.give(in.Conn)
		}
	case ConnectionBusy:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			h.busy = true
		}
	case ConnectionIdle:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			h.busy = false
			if o.phase == Probation || o.phase == Finishing {
				return append(o.give(in.Conn), o.last()...)
			}
		}
	case TransferCancelled:
		if h := o.find(in.Conn); h != nil && h.theirs {
			h.theirs, h.busy = false, true
		}
	case ConnectionClosed:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			o.drop(in.Conn)
			return o.last()
		}
	case TargetExited:
		return o.died(now)
	case TargetMemory:
		if o.cfg.MaxMemory > 0 && in.Bytes > o.cfg.MaxMemory && o.unproven() {
			return o.fail(now, "it takes too much memory")
		}
	case Tick:
		return o.tick(now)
	default:
		return o.message(now, in)
	}
	return nil
}

// unproven tells whether the new process lives and can still be ended.
func (o *Source) unproven() bool {
	return o.phase == Greeting || o.phase == Warming || o.phase == Probation
}

// message takes a message of the new process. Records count in every phase before the
// end, also while it is being ended: what it wrote last is read after its death.
func (o *Source) message(now time.Duration, in any) []any {
	o.heard = now
	switch in := in.(type) {
	case RequestRecorded:
		if h := o.find(in.Conn); h != nil && h.theirs {
			h.request = in.Request
		}
	case TargetClosedConnection:
		if h := o.find(in.Conn); h != nil && h.theirs {
			o.drop(in.Conn)
			return []any{ReleaseDuplicate{in.Conn}}
		}
	case TargetHello:
		switch {
		case o.phase != Greeting:
		case in.Problem != "":
			return o.fail(now, in.Problem)
		case !o.version.CompatibleWith(in.Version):
			return o.fail(now, "its version and this one don't understand each other")
		default:
			o.enter(Warming, now)
			return []any{SendState{}}
		}
	case TargetReady:
		if o.phase == Warming {
			return o.hand(now)
		}
	case TargetHeartbeat:
		if o.phase == Probation {
			o.good, o.bad = o.good+in.Good, o.bad+in.Bad
			if total := o.good + o.bad; total >= o.cfg.MinGoodAnswers && float64(o.bad) > o.most*float64(total) {
				return o.fail(now, "too many of its answers are errors of its own")
			}
			return o.proven(now, in.InFlight)
		}
	}
	return nil
}

// hand begins the transfer: every connection that is free goes over, and so does each that
// is accepted from here on.
func (o *Source) hand(now time.Duration) []any {
	o.enter(Probation, now)
	out := []any{SendServe{}}
	for i := range o.conns {
		if !o.conns[i].busy {
			out = append(out, o.give(o.conns[i].id)...)
		}
	}
	return out
}

func (o *Source) give(id ConnID) []any {
	h := o.find(id)
	if o.phase == Finishing { // nothing is taken back any more
		o.drop(id)
		return []any{TransferConnection{id}, ReleaseDuplicate{id}}
	}
	h.theirs, h.busy, h.request = true, false, Request{}
	return []any{TransferConnection{id}}
}

// proven ends the probation once the new process has shown that it serves.
func (o *Source) proven(now time.Duration, open int) []any {
	spent := now - o.since
	if spent < o.cfg.MinProbation || o.good < o.cfg.MinGoodAnswers && spent < o.cfg.MaxProbation {
		return nil
	}
	if o.good == 0 && o.bad > 0 {
		return o.fail(now, "none of its answers was good")
	}
	if o.good == 0 && open > 0 {
		return o.fail(now, "it takes requests and answers none")
	}
	o.enter(Finishing, now)
	out := []any{StopAccepting{}, SendCommit{}}
	for _, h := range o.conns {
		if h.theirs {
			out = append(out, ReleaseDuplicate{h.id})
		}
	}
	o.conns = slices.DeleteFunc(o.conns, func(h holding) bool { return h.theirs })
	return append(append(out, ReportOutcome{}), o.last()...)
}

// last ends the process once nothing is in flight here any more.
func (o *Source) last() []any {
	if o.phase != Finishing || len(o.conns) > 0 {
		return nil
	}
	o.phase = Exited
	return []any{Exit{}}
}

func (o *Source) tick(now time.Duration) []any {
	spent := now - o.since
	switch o.phase {
	case Greeting:
		if spent >= o.cfg.GreetTimeout {
			return o.fail(now, "it did not say what it is in time")
		}
	case Warming:
		if spent >= o.cfg.WarmTimeout {
			return o.fail(now, "it was not ready in time")
		}
	case Probation:
		if now-o.heard >= o.cfg.HeartbeatTimeout {
			return o.fail(now, "it went silent")
		}
	}
	return nil
}

// fail ends the new process. Nothing is taken back before it is known to be dead: until
// then it may still write to what it was given.
func (o *Source) fail(now time.Duration, why string) []any {
	o.why = why
	o.enter(Returning, now)
	return []any{KillTarget{}}
}

// died takes everything back, whenever the new process died before it was the owner. One
// that dies later leaves what it still has: while this process lives, it serves again.
func (o *Source) died(now time.Duration) []any {
	switch o.phase {
	case Idle, Exited:
		return nil
	case Finishing:
		o.enter(Idle, now)
		return []any{StartAccepting{}, ReportOutcome{"it died after it was the owner; what it had was lost"}}
	case Returning:
	default:
		o.why = "it died"
	}
	o.enter(Idle, now)
	var out []any
	for i := range o.conns {
		if h := &o.conns[i]; h.theirs {
			out = append(out, ReclaimConnection{h.id, h.request})
			h.theirs, h.busy, h.request = false, h.request.InFlight, Request{}
		}
	}
	out = append(out, ReportOutcome{o.why})
	if o.stop {
		out = append(out, BeginShutdown{})
	}
	return out
}

// told takes the wish for a planned stop: an upgrade that is not through is given up first.
func (o *Source) told(now time.Duration) []any {
	if o.stop {
		return nil
	}
	o.stop = true
	switch {
	case o.phase == Idle:
		return []any{BeginShutdown{}}
	case o.unproven():
		return o.fail(now, "a planned stop came first")
	}
	return nil // returning: the stop follows; finishing: the end is near anyway
}
