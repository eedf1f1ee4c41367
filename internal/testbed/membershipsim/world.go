// Package membershipsim plays the membership of front ends in virtual time: the decisions of internal/decide/membership, and
// two baselines, on one clock that jumps from event to event, over a network that loses, delays, repeats and cuts.
// The same options give the same bytes.
package membershipsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Member is one member of a fleet: internal/decide/membership, or a baseline.
type Member interface {
	// Handle takes decide.Tick, decide.DatagramReceived or decide.Leave, and returns actions of internal/decide/membership.
	Handle(now time.Duration, event decide.Event) []decide.Action
	TickInterval() time.Duration
	// State is what it holds of another.
	State(id decide.ID) (decide.State, []decide.ID, []decide.ID)
}

// Options say what to play.
type Options struct {
	Members int
	Started int // so many start at once, the rest when Events say; 0: all
	Seed    uint64
	Delay   [2]time.Duration // of a datagram, one way, evenly drawn
	Loss    float64
	Twice   float64 // share of datagrams that come twice
	Drift   float64 // clocks run apart by so much at most, as a share
	Span    time.Duration
	Make    func(id decide.ID, inc uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member
	Named   func(id decide.ID) []decide.ID // whom its settings name; nil: all
	Events  []Event
	Hear    func(now time.Duration, at decide.ID, action decide.Action) // of what members tell; nil: nobody
}

// Event is something that happens to members or to the ways between them.
type Event struct {
	At   time.Duration
	Do   Do
	Who  []decide.ID // members, or from these
	To   []decide.ID // and to these; nil: everybody
	Part float64     // loss
	For  time.Duration
}

// Do is a kind of event.
type Do uint8

// Kinds of event.
const (
	Crash   Do = iota // they die, and say nothing
	Start             // they start, or start again
	Stop              // a planned stop
	Pause             // they stand still for so long
	Sever             // nothing passes from Who to To
	Mend              // it does
	Lossy             // Part of what goes from Who to To is lost
	Slow              // what goes from Who to To takes For longer
	Jump              // their clocks go ahead by For at once
	Replace           // another process takes their place after For, with what the one before knew at the beginning of it
)

// World is what is played.
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
	CPU              time.Duration // of all decisions, by the machine's clock
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
	paused time.Duration // until then
	held   []func()      // what came meanwhile
	drift  float64
	ahead  time.Duration // by which its clock has jumped
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

// New sets a fleet up. Members have the ids from 1 on.
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

// Run plays up to a time.
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

// live begins another life of a member, and gives it its chance.
func (w *World) live(n *node) *rand.Rand {
	n.life++
	n.alive, n.paused, n.held = true, 0, nil
	return rand.New(rand.NewPCG(w.opts.Seed+uint64(n.life)<<32, uint64(n.id)+2))
}

// replace has a process go on as the member that another one was, whether that one still lives or not.
func (w *World) replace(n *node, c decide.SavedState) {
	m, err := decide.Resume(decide.DefaultConfig(), c, uint32(1+w.now/time.Second), w.All(), n.clock(w.now), w.live(n))
	if err != nil { // of a member's own words: it can't be
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
		if len(n.held) < 256 { // what a socket keeps
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
				continue // baselines know of none
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
