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

// Old is the process that serves and gives away. Its zero value is not ready: see NewOld.
type Old struct {
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

// NewOld returns the machine of a process that serves.
func NewOld(cfg Config, v Version) *Old { return &Old{cfg: cfg, version: v} }

// Why is why the new process was ended.
func (o *Old) Why() string { return o.why }

// Phase is where the upgrade stands.
func (o *Old) Phase() Phase { return o.phase }

// Inputs of the old process.
type (
	// Upgrade asks for an upgrade. UsualBad is the share of answers that are refusals or
	// failures here just now: the new process is held to no less and no more.
	Upgrade struct{ UsualBad float64 }
	// Stop asks for a planned stop.
	Stop struct{}
	// Accepted tells of a new connection here. Numbers rise.
	Accepted struct{ Conn ConnID }
	// Busy tells that a connection here can't be moved, Free that it can.
	Busy struct{ Conn ConnID }
	Free struct{ Conn ConnID }
	// Kept tells that a connection could not be given: a request has come meanwhile.
	Kept struct{ Conn ConnID }
	// Closed tells that a connection here has ended.
	Closed struct{ Conn ConnID }
	// Died tells that the new process is dead and that the channel was read to its end.
	Died struct{}
	// Memory tells what the new process takes.
	Memory struct{ Bytes int64 }
	// Tick tells only the time.
	Tick struct{}
)

// Messages of the new process to the old one.
type (
	// Hello says what it is. Problem is why it can't take over: a configuration that it
	// can't read, a limit that is too low.
	Hello struct {
		Version Version
		Problem string
	}
	// Ready says that it has taken what is known and could serve.
	Ready struct{}
	// Alive says that it lives, how its answers were since the last, and how many requests it
	// has taken and not answered.
	Alive struct{ Good, Bad, Open int }
	// Recorded is its record of the request of a connection.
	Recorded struct {
		Conn    ConnID
		Request Request
	}
	// Heard is any other sign of life.
	Heard struct{}
	// TheyClosed says that a connection of its has ended.
	TheyClosed struct{ Conn ConnID }
)

// Effects of the old process.
type (
	// Spawn starts the new process, with the channel and the listeners.
	Spawn struct{}
	// SendState sends what is known.
	SendState struct{}
	// StopAccepting and StartAccepting: the listeners stay open all the while.
	StopAccepting  struct{}
	StartAccepting struct{}
	// SendGo tells the new process to accept.
	SendGo struct{}
	// Give stops reading a connection and sends it with its state; a duplicate is kept. Where
	// a request has come meanwhile, Kept follows instead.
	Give struct{ Conn ConnID }
	// SendCommit tells the new process that it is the owner for good.
	SendCommit struct{}
	// Forget closes the duplicate of a connection.
	Forget struct{ Conn ConnID }
	// Kill ends the new process. Died follows.
	Kill struct{}
	// TakeBack makes a connection one's own again. Its request is recovered by Recover,
	// once the kernel has told how much of its answer was written.
	TakeBack struct {
		Conn    ConnID
		Request Request
	}
	// Report tells whoever asked how the upgrade ended; "" is well.
	Report struct{ Why string }
	// BeginStop begins the planned stop.
	BeginStop struct{}
	// Exit ends the old process: nothing is left to do.
	Exit struct{}
)

func (o *Old) enter(p Phase, now time.Duration) { o.phase, o.since = p, now }

func (o *Old) find(id ConnID) *holding {
	if i, ok := o.at(id); ok {
		return &o.conns[i]
	}
	return nil
}

// at is the place of a connection: they are in order, as their numbers only rise.
func (o *Old) at(id ConnID) (int, bool) {
	return slices.BinarySearchFunc(o.conns, id, func(h holding, id ConnID) int { return cmp.Compare(h.id, id) })
}

func (o *Old) drop(id ConnID) {
	if i, ok := o.at(id); ok {
		o.conns = slices.Delete(o.conns, i, i+1)
	}
}

// Step takes one input and returns what to do, in order.
func (o *Old) Step(now time.Duration, in any) (out []any) {
	switch in := in.(type) {
	case Upgrade:
		if o.phase != Idle || o.stop {
			return []any{Report{"another upgrade or a stop is under way"}}
		}
		o.enter(Greeting, now)
		o.heard, o.good, o.bad, o.why = now, 0, 0, ""
		o.most = o.cfg.BadShare + min(1.5*max(in.UsualBad, 0), 0.5)
		return []any{Spawn{}}
	case Stop:
		return o.told(now)
	case Accepted:
		o.conns = append(o.conns, holding{id: in.Conn})
		if o.phase == Probation || o.phase == Finishing { // accepted just before the listener was theirs
			return o.give(in.Conn)
		}
	case Busy:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			h.busy = true
		}
	case Free:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			h.busy = false
			if o.phase == Probation || o.phase == Finishing {
				return append(o.give(in.Conn), o.last()...)
			}
		}
	case Kept:
		if h := o.find(in.Conn); h != nil && h.theirs {
			h.theirs, h.busy = false, true
		}
	case Closed:
		if h := o.find(in.Conn); h != nil && !h.theirs {
			o.drop(in.Conn)
			return o.last()
		}
	case Died:
		return o.died(now)
	case Memory:
		if o.cfg.MostMemory > 0 && in.Bytes > o.cfg.MostMemory && o.unproven() {
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
func (o *Old) unproven() bool {
	return o.phase == Greeting || o.phase == Warming || o.phase == Probation
}

// message takes a message of the new process. Records count in every phase before the
// end, also while it is being ended: what it wrote last is read after its death.
func (o *Old) message(now time.Duration, in any) []any {
	o.heard = now
	switch in := in.(type) {
	case Recorded:
		if h := o.find(in.Conn); h != nil && h.theirs {
			h.request = in.Request
		}
	case TheyClosed:
		if h := o.find(in.Conn); h != nil && h.theirs {
			o.drop(in.Conn)
			return []any{Forget{in.Conn}}
		}
	case Hello:
		switch {
		case o.phase != Greeting:
		case in.Problem != "":
			return o.fail(now, in.Problem)
		case !o.version.Speaks(in.Version):
			return o.fail(now, "its version and this one don't understand each other")
		default:
			o.enter(Warming, now)
			return []any{SendState{}}
		}
	case Ready:
		if o.phase == Warming {
			return o.hand(now)
		}
	case Alive:
		if o.phase == Probation {
			o.good, o.bad = o.good+in.Good, o.bad+in.Bad
			if total := o.good + o.bad; total >= o.cfg.GoodAnswers && float64(o.bad) > o.most*float64(total) {
				return o.fail(now, "too many of its answers are errors of its own")
			}
			return o.proven(now, in.Open)
		}
	}
	return nil
}

// hand begins the transfer: every connection that is free goes over, and so does each that
// is accepted from here on.
func (o *Old) hand(now time.Duration) []any {
	o.enter(Probation, now)
	out := []any{SendGo{}}
	for i := range o.conns {
		if !o.conns[i].busy {
			out = append(out, o.give(o.conns[i].id)...)
		}
	}
	return out
}

func (o *Old) give(id ConnID) []any {
	h := o.find(id)
	if o.phase == Finishing { // nothing is taken back any more
		o.drop(id)
		return []any{Give{id}, Forget{id}}
	}
	h.theirs, h.busy, h.request = true, false, Request{}
	return []any{Give{id}}
}

// proven ends the probation once the new process has shown that it serves.
func (o *Old) proven(now time.Duration, open int) []any {
	spent := now - o.since
	if spent < o.cfg.ProveFor || o.good < o.cfg.GoodAnswers && spent < o.cfg.ProveWithin {
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
			out = append(out, Forget{h.id})
		}
	}
	o.conns = slices.DeleteFunc(o.conns, func(h holding) bool { return h.theirs })
	return append(append(out, Report{}), o.last()...)
}

// last ends the process once nothing is in flight here any more.
func (o *Old) last() []any {
	if o.phase != Finishing || len(o.conns) > 0 {
		return nil
	}
	o.phase = Gone
	return []any{Exit{}}
}

func (o *Old) tick(now time.Duration) []any {
	spent := now - o.since
	switch o.phase {
	case Greeting:
		if spent >= o.cfg.GreetWithin {
			return o.fail(now, "it did not say what it is in time")
		}
	case Warming:
		if spent >= o.cfg.WarmWithin {
			return o.fail(now, "it was not ready in time")
		}
	case Probation:
		if now-o.heard >= o.cfg.SilentFor {
			return o.fail(now, "it went silent")
		}
	}
	return nil
}

// fail ends the new process. Nothing is taken back before it is known to be dead: until
// then it may still write to what it was given.
func (o *Old) fail(now time.Duration, why string) []any {
	o.why = why
	o.enter(Returning, now)
	return []any{Kill{}}
}

// died takes everything back, whenever the new process died before it was the owner. One
// that dies later leaves what it still has: while this process lives, it serves again.
func (o *Old) died(now time.Duration) []any {
	switch o.phase {
	case Idle, Gone:
		return nil
	case Finishing:
		o.enter(Idle, now)
		return []any{StartAccepting{}, Report{"it died after it was the owner; what it had was lost"}}
	case Returning:
	default:
		o.why = "it died"
	}
	o.enter(Idle, now)
	var out []any
	for i := range o.conns {
		if h := &o.conns[i]; h.theirs {
			out = append(out, TakeBack{h.id, h.request})
			h.theirs, h.busy, h.request = false, h.request.Open, Request{}
		}
	}
	out = append(out, Report{o.why})
	if o.stop {
		out = append(out, BeginStop{})
	}
	return out
}

// told takes the wish for a planned stop: an upgrade that is not through is given up first.
func (o *Old) told(now time.Duration) []any {
	if o.stop {
		return nil
	}
	o.stop = true
	switch {
	case o.phase == Idle:
		return []any{BeginStop{}}
	case o.unproven():
		return o.fail(now, "a planned stop came first")
	}
	return nil // returning: the stop follows; finishing: the end is near anyway
}
