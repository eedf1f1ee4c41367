// Package membershipsim is a discrete-event simulation of the membership of front ends in virtual time. It runs
// internal/decide/membership and two baselines on a simulated network with loss, delay, duplication and partitions. The
// same options give byte-for-byte the same results.
package membershipsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Member is one member of a fleet: internal/decide/membership, or a baseline.
type Member interface {
	// Handle processes decide.Tick, decide.DatagramReceived or decide.Leave, and returns the resulting actions.
	Handle(now time.Duration, event decide.Event) []decide.Action
	// TickInterval returns the time between two ticks.
	TickInterval() time.Duration
	// State returns the state of another member in this member's opinion, then the members that report not hearing it and
	// those that report hearing it. The baselines return nil for both lists.
	State(id decide.ID) (decide.State, []decide.ID, []decide.ID)
}

// Options configure a simulation.
type Options struct {
	Members    int              // number of members
	Started    int              // number of members that start at the beginning, the rest by Events; 0: all
	Seed       uint64           // seeds all random draws
	Delay      [2]time.Duration // minimum and maximum one-way latency, uniformly distributed
	Loss       float64          // share of lost datagrams, 0 to 1
	Duplicated float64          // share of duplicated datagrams, 0 to 1
	Drift      float64          // maximum clock drift, as a fraction
	Span       time.Duration    // not used here; Run takes the end time
	// NewMember creates a member that starts at its clock's time now. inc is its incarnation, named the members it knows.
	NewMember    func(id decide.ID, inc uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member
	KnownAtStart func(id decide.ID) []decide.ID                              // members that a member knows at its start; nil: all
	Events       []Event                                                     // scheduled events; nil: none
	OnAction     func(now time.Duration, at decide.ID, action decide.Action) // receives all actions but datagrams; nil: discarded
}

// Event is one scheduled event of members or of the network paths between them.
type Event struct {
	At   time.Duration // since the start of the simulation
	Do   Do            // what happens
	Who  []decide.ID   // affected members, or senders
	To   []decide.ID   // receivers; nil: all
	Loss float64       // of Lossy: share of lost datagrams, 0 to 1
	For  time.Duration // of Pause, Slow, Jump and Replace: duration, latency, clock jump or delay, as described for the kind
}

// Do is a kind of event.
type Do uint8

// Kinds of event.
const (
	Crash   Do = iota // crash without notice
	Start             // start or restart
	Stop              // graceful stop
	Pause             // no processing for the time For; received datagrams are held
	Sever             // datagrams from Who to To are lost
	Mend              // path faults from Who to To end
	Lossy             // the share Loss of the datagrams from Who to To is lost
	Slow              // latency from Who to To rises by For
	Jump              // clocks jump ahead by For
	Replace           // after For, a new process continues with the state saved at the beginning
)

// World is the state of a simulation.
type World struct {
	opts     Options
	now      time.Duration // virtual time since the start
	queue    eventQueue
	sequence uint64     // sequence number of the latest queued event
	rng      *rand.Rand // draws of clocks, start times and the network
	nodes    map[decide.ID]*node
	paths    map[[2]decide.ID]path

	Bytes, Datagrams map[decide.ID]int // sent by each member
	Kinds            [16]int           // bytes sent by kind of datagram: the low four bits of its first byte
	CPU              time.Duration     // real time of all decisions
	Decisions        int               // number of events that members processed
}

// path holds the faults of the one-way path from one member to another. Its zero value has none.
type path struct {
	severed    bool          // all datagrams are lost
	loss       float64       // share of lost datagrams, 0 to 1
	extraDelay time.Duration // added to the latency
}

// node is one member and the state of its process.
type node struct {
	id          decide.ID
	member      Member
	generation  int           // number of processes started so far
	alive       bool          // its latest process is running
	paused      time.Duration // end of the pause
	held        []func()      // datagrams received during the pause
	drift       float64       // speed of its clock; 1: exact
	clockOffset time.Duration // sum of its clock jumps
}

// queuedEvent is a function to run at a time. Events of the same time run in the order in which they were scheduled.
type queuedEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap (container/heap) of events by time.
type eventQueue []queuedEvent

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = queuedEvent{}
	*q = old[:len(old)-1]
	return last
}

// New sets up a simulation. Member ids start at 1. Members start at random times within the first 200 ms.
func New(opts Options) *World {
	w := &World{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), nodes: map[decide.ID]*node{}, paths: map[[2]decide.ID]path{},
		Bytes: map[decide.ID]int{}, Datagrams: map[decide.ID]int{},
	}
	for id := decide.ID(1); int(id) <= opts.Members; id++ {
		w.nodes[id] = &node{id: id, drift: 1 + opts.Drift*(2*w.rng.Float64()-1)}
		if opts.Started == 0 || int(id) <= opts.Started {
			at := time.Duration(w.rng.Int64N(int64(200 * time.Millisecond)))
			w.schedule(at, func() { w.start(id) })
		}
	}
	for _, e := range opts.Events {
		w.schedule(e.At, func() { w.apply(e) })
	}
	return w
}

// schedule runs a function at a time.
func (w *World) schedule(at time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, queuedEvent{at, w.sequence, run})
}

// Run advances the simulation to the given time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(queuedEvent)
		w.now = next.at
		next.run()
	}
	w.now = until
}

// Now returns the virtual time since the start.
func (w *World) Now() time.Duration { return w.now }

// Member returns a running member; nil: it is not running.
func (w *World) Member(id decide.ID) Member {
	if n := w.nodes[id]; n != nil && n.alive {
		return n.member
	}
	return nil
}

// All returns the ids of all members in ascending order, whether or not they are running.
func (w *World) All() (ids []decide.ID) {
	for id := decide.ID(1); int(id) <= w.opts.Members; id++ {
		ids = append(ids, id)
	}
	return ids
}

// Running returns the ids of the running members in ascending order.
func (w *World) Running() (ids []decide.ID) {
	for _, id := range w.All() {
		if w.nodes[id].alive {
			ids = append(ids, id)
		}
	}
	return ids
}

// clock returns the time of the member's own clock, which drifts and has an offset that differs between members.
func (n *node) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now)*n.drift) + time.Duration(n.id)*time.Hour + n.clockOffset
}

// start starts a member in a new process, unless it is running.
func (w *World) start(id decide.ID) {
	n := w.nodes[id]
	if n.alive {
		return
	}
	rng := w.markStarted(n)
	named := w.All()
	if w.opts.KnownAtStart != nil {
		named = w.opts.KnownAtStart(id)
	}
	n.member = w.opts.NewMember(id, uint32(1+w.now/time.Second), named, n.clock(w.now), rng)
	w.tick(n, n.generation)
}

// live marks a member as started and returns the random source of this start.
func (w *World) markStarted(n *node) *rand.Rand {
	n.generation++
	n.alive, n.paused, n.held = true, 0, nil
	return rand.New(rand.NewPCG(w.opts.Seed+uint64(n.generation)<<32, uint64(n.id)+2))
}

// replace continues a member in a new process from saved state, whether or not the old process still runs.
func (w *World) replace(n *node, saved decide.SavedState) {
	m, err := decide.Resume(decide.DefaultConfig(), saved, uint32(1+w.now/time.Second), w.All(), n.clock(w.now), w.markStarted(n))
	if err != nil { // cannot fail: the member saved this state itself
		panic(err)
	}
	n.member = m
	w.tick(n, n.generation)
}

// tick processes a tick of a process and schedules the next one. After a pause, the tick happens at the end of the pause. An
// earlier generation's ticks end.
func (w *World) tick(n *node, generation int) {
	if !n.alive || n.generation != generation {
		return
	}
	if w.now < n.paused {
		w.schedule(n.paused, func() { w.tick(n, generation) })
		return
	}
	w.handle(n, decide.Tick{})
	w.schedule(w.now+time.Duration(float64(n.member.TickInterval())/n.drift), func() { w.tick(n, generation) })
}

// handle passes an event to a member and carries out the resulting actions.
func (w *World) handle(n *node, event decide.Event) {
	began := time.Now()
	out := n.member.Handle(n.clock(w.now), event)
	w.CPU += time.Since(began)
	w.Decisions++
	for _, a := range out {
		if s, ok := a.(decide.Send); ok {
			w.send(n.id, s)
		} else if w.opts.OnAction != nil {
			w.opts.OnAction(w.now, n.id, a)
		}
	}
}

// send counts a datagram and schedules its delivery, with the faults of the network and of the path.
func (w *World) send(from decide.ID, s decide.Send) {
	w.Bytes[from] += len(s.Payload)
	w.Datagrams[from]++
	w.Kinds[s.Payload[0]&15] += len(s.Payload)
	p := w.paths[[2]decide.ID{from, s.To}]
	copies := 1
	if w.rng.Float64() < w.opts.Duplicated {
		copies = 2
	}
	for range copies {
		lost := w.rng.Float64() < max(w.opts.Loss, p.loss)
		latency := w.opts.Delay[0] + time.Duration(w.rng.Int64N(int64(w.opts.Delay[1]-w.opts.Delay[0])+1)) + p.extraDelay
		to := w.nodes[s.To]
		if lost || p.severed || to == nil {
			continue
		}
		w.schedule(w.now+latency, func() { w.deliver(to, to.generation, decide.DatagramReceived{From: from, Payload: s.Payload}) })
	}
}

// deliver passes a datagram to the process that it was sent to, or holds it until the end of a pause. It is lost if that
// process has ended.
func (w *World) deliver(n *node, generation int, event decide.Event) {
	if !n.alive || n.generation != generation {
		return
	}
	if w.now < n.paused {
		if len(n.held) < 256 { // limit of a socket's receive queue
			n.held = append(n.held, func() { w.deliver(n, generation, event) })
		}
		return
	}
	w.handle(n, event)
}

// apply carries out an event.
func (w *World) apply(e Event) {
	to := e.To
	if to == nil {
		to = w.All()
	}
	changePaths := func(change func(*path)) {
		for _, a := range e.Who {
			for _, b := range to {
				k := [2]decide.ID{a, b}
				p := w.paths[k]
				change(&p)
				w.paths[k] = p
			}
		}
	}
	switch e.Do {
	case Sever:
		changePaths(func(p *path) { p.severed = true })
	case Mend:
		changePaths(func(p *path) { *p = path{} })
	case Lossy:
		changePaths(func(p *path) { p.loss = e.Loss })
	case Slow:
		changePaths(func(p *path) { p.extraDelay = e.For })
	}
	for _, id := range e.Who {
		n := w.nodes[id]
		switch {
		case n == nil:
		case e.Do == Start:
			w.start(id)
		case !n.alive:
		case e.Do == Crash:
			n.alive = false
		case e.Do == Replace:
			m, ok := n.member.(*decide.Node)
			if !ok {
				continue // the baselines do not support replacement
			}
			saved := m.SaveState()
			w.schedule(w.now+e.For, func() { w.replace(n, saved) })
		case e.Do == Jump:
			n.clockOffset += e.For
		case e.Do == Stop:
			w.handle(n, decide.Leave{})
			n.alive = false
		case e.Do == Pause:
			n.paused = w.now + e.For
			generation := n.generation
			w.schedule(n.paused, func() {
				held := n.held
				n.held = nil
				if n.generation == generation {
					for _, f := range held {
						f()
					}
				}
			})
		}
	}
}
