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
	// State returns the member's opinion of another member.
	State(id decide.ID) (decide.State, []decide.ID, []decide.ID)
}

// Options configure a simulation.
type Options struct {
	Members int // number of members
	Started int // number of members that start at the beginning, the rest by Events; 0: all
	Seed    uint64
	Delay   [2]time.Duration // minimum and maximum one-way latency, uniformly distributed
	Loss    float64          // share of lost datagrams, 0 to 1
	Twice   float64          // share of duplicated datagrams, 0 to 1
	Drift   float64          // maximum clock drift, as a fraction
	Span    time.Duration
	Make    func(id decide.ID, inc uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member
	Named   func(id decide.ID) []decide.ID // members that a member knows at its start; nil: all
	Events  []Event
	Hear    func(now time.Duration, at decide.ID, action decide.Action) // receives all actions but datagrams; nil: discarded
}

// Event is one scheduled event of members or of the network paths between them.
type Event struct {
	At   time.Duration
	Do   Do
	Who  []decide.ID // affected members, or senders
	To   []decide.ID // receivers; nil: all
	Part float64     // of Lossy: share of lost datagrams
	For  time.Duration
}

// Do is a kind of event.
type Do uint8

// Kinds of event.
const (
	Crash   Do = iota // crash without notice
	Start             // start or restart
	Stop              // graceful stop
	Pause             // pause for For
	Sever             // datagrams from Who to To are lost
	Mend              // path faults from Who to To end
	Lossy             // share Part of the datagrams from Who to To is lost
	Slow              // latency from Who to To rises by For
	Jump              // clocks jump ahead by For
	Replace           // after For, a new process continues with the state saved at the beginning
)

// World is the state of a simulation.
type World struct {
	opts  Options
	now   time.Duration
	queue queue
	order uint64
	rng   *rand.Rand
	nodes map[decide.ID]*node
	ways  map[[2]decide.ID]way

	Bytes, Datagrams map[decide.ID]int
	Kinds            [16]int
	CPU              time.Duration // real time of all decisions
	Decisions        int
}

type way struct {
	severed bool
	loss    float64
	slow    time.Duration
}

type node struct {
	id     decide.ID
	m      Member
	life   int
	alive  bool
	paused time.Duration // end of the pause
	held   []func()      // datagrams received during the pause
	drift  float64
	ahead  time.Duration // sum of its clock jumps
}

type item struct {
	at    time.Duration
	order uint64
	do    func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = item{}
	*q = old[:len(old)-1]
	return it
}

// New sets up a simulation. Member ids start at 1.
func New(opts Options) *World {
	w := &World{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), nodes: map[decide.ID]*node{}, ways: map[[2]decide.ID]way{},
		Bytes: map[decide.ID]int{}, Datagrams: map[decide.ID]int{},
	}
	for id := decide.ID(1); int(id) <= opts.Members; id++ {
		w.nodes[id] = &node{id: id, drift: 1 + opts.Drift*(2*w.rng.Float64()-1)}
		if opts.Started == 0 || int(id) <= opts.Started {
			at := time.Duration(w.rng.Int64N(int64(200 * time.Millisecond)))
			w.at(at, func() { w.start(id) })
		}
	}
	for _, e := range opts.Events {
		w.at(e.At, func() { w.do(e) })
	}
	return w
}

func (w *World) at(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, item{at, w.order, do})
}

// Run advances the simulation to the given time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		it := heap.Pop(&w.queue).(item)
		w.now = it.at
		it.do()
	}
	w.now = until
}

// Now is the time that is played.
func (w *World) Now() time.Duration { return w.now }

// Member is a member that lives, or nil.
func (w *World) Member(id decide.ID) Member {
	if n := w.nodes[id]; n != nil && n.alive {
		return n.m
	}
	return nil
}

// All are the ids of all members, from 1 on.
func (w *World) All() (ids []decide.ID) {
	for id := decide.ID(1); int(id) <= w.opts.Members; id++ {
		ids = append(ids, id)
	}
	return ids
}

// Living are those that live.
func (w *World) Living() (ids []decide.ID) {
	for _, id := range w.All() {
		if w.nodes[id].alive {
			ids = append(ids, id)
		}
	}
	return ids
}

// clock is a member's own: it runs apart from others, and starts anywhere.
func (n *node) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now)*n.drift) + time.Duration(n.id)*time.Hour + n.ahead
}

func (w *World) start(id decide.ID) {
	n := w.nodes[id]
	if n.alive {
		return
	}
	rng := w.live(n)
	named := w.All()
	if w.opts.Named != nil {
		named = w.opts.Named(id)
	}
	n.m = w.opts.Make(id, uint32(1+w.now/time.Second), named, n.clock(w.now), rng)
	w.tick(n, n.life)
}

// live marks a member as started and returns the random source of this start.
func (w *World) live(n *node) *rand.Rand {
	n.life++
	n.alive, n.paused, n.held = true, 0, nil
	return rand.New(rand.NewPCG(w.opts.Seed+uint64(n.life)<<32, uint64(n.id)+2))
}

// replace continues a member in a new process from saved state, whether or not the old process still runs.
func (w *World) replace(n *node, c decide.SavedState) {
	m, err := decide.Resume(decide.DefaultConfig(), c, uint32(1+w.now/time.Second), w.All(), n.clock(w.now), w.live(n))
	if err != nil { // cannot fail: the member saved this state itself
		panic(err)
	}
	n.m = m
	w.tick(n, n.life)
}

func (w *World) tick(n *node, life int) {
	if !n.alive || n.life != life {
		return
	}
	if w.now < n.paused {
		w.at(n.paused, func() { w.tick(n, life) })
		return
	}
	w.handle(n, decide.Tick{})
	w.at(w.now+time.Duration(float64(n.m.TickInterval())/n.drift), func() { w.tick(n, life) })
}

func (w *World) handle(n *node, event decide.Event) {
	began := time.Now()
	out := n.m.Handle(n.clock(w.now), event)
	w.CPU += time.Since(began)
	w.Decisions++
	for _, a := range out {
		if s, ok := a.(decide.Send); ok {
			w.send(n.id, s)
		} else if w.opts.Hear != nil {
			w.opts.Hear(w.now, n.id, a)
		}
	}
}

func (w *World) send(from decide.ID, s decide.Send) {
	w.Bytes[from] += len(s.Payload)
	w.Datagrams[from]++
	w.Kinds[s.Payload[0]&15] += len(s.Payload)
	by := w.ways[[2]decide.ID{from, s.To}]
	copies := 1
	if w.rng.Float64() < w.opts.Twice {
		copies = 2
	}
	for range copies {
		lost := w.rng.Float64() < max(w.opts.Loss, by.loss)
		took := w.opts.Delay[0] + time.Duration(w.rng.Int64N(int64(w.opts.Delay[1]-w.opts.Delay[0])+1)) + by.slow
		to := w.nodes[s.To]
		if lost || by.severed || to == nil {
			continue
		}
		w.at(w.now+took, func() { w.deliver(to, to.life, decide.DatagramReceived{From: from, Payload: s.Payload}) })
	}
}

func (w *World) deliver(n *node, life int, event decide.Event) {
	if !n.alive || n.life != life {
		return
	}
	if w.now < n.paused {
		if len(n.held) < 256 { // limit of a socket's receive queue
			n.held = append(n.held, func() { w.deliver(n, life, event) })
		}
		return
	}
	w.handle(n, event)
}

func (w *World) do(e Event) {
	to := e.To
	if to == nil {
		to = w.All()
	}
	each := func(change func(*way)) {
		for _, a := range e.Who {
			for _, b := range to {
				k := [2]decide.ID{a, b}
				v := w.ways[k]
				change(&v)
				w.ways[k] = v
			}
		}
	}
	switch e.Do {
	case Sever:
		each(func(v *way) { v.severed = true })
	case Mend:
		each(func(v *way) { *v = way{} })
	case Lossy:
		each(func(v *way) { v.loss = e.Part })
	case Slow:
		each(func(v *way) { v.slow = e.For })
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
			m, ok := n.m.(*decide.Node)
			if !ok {
				continue // the baselines do not support replacement
			}
			c := m.SaveState()
			w.at(w.now+e.For, func() { w.replace(n, c) })
		case e.Do == Jump:
			n.ahead += e.For
		case e.Do == Stop:
			w.handle(n, decide.Leave{})
			n.alive = false
		case e.Do == Pause:
			n.paused = w.now + e.For
			life := n.life
			w.at(n.paused, func() {
				held := n.held
				n.held = nil
				if n.life == life {
					for _, f := range held {
						f()
					}
				}
			})
		}
	}
}
