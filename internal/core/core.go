// Package core takes requests through their life: take in, admit, route, send,
// relay, book. It knows no wire: fronts, engine links and the roster meet it
// through the interfaces of this file. Decisions are the policy module's.
//
// A Core belongs to one goroutine, which also owns the Gateway in it.
package core

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Clock tells module time, which never goes back.
type Clock interface{ Now() time.Duration }

// Client is where a request came from. It is given exactly one answer, unless
// Core.ClientDisconnected was called first.
type Client interface{ Answer(r *Request, a Answer) }

// DisconnectDetector is a Client that tells whether it has left ahead of Core.ClientDisconnected, which may wait for its turn.
type DisconnectDetector interface{ Disconnected() bool }

// Links carries attempts to engines.
type Links interface {
	// Send begins an attempt; Core.EndAttempt ends it.
	Send(a *Attempt)
	// Cancel gives an attempt up that has not ended, and tells whether it is over. One that MustAwaitEngine is not
	// where its engine may run it still; Core.EndAttempt follows once it can't.
	Cancel(a *Attempt) bool
	// SetPriority sets the priority of an attempt that is out.
	SetPriority(a *Attempt, priority int)
	// UpdateEngine tells of an engine's entry or of a change to it.
	UpdateEngine(e Engine)
}

// LoadReporter asks engines for their load. Links that can do so are one.
type LoadReporter interface {
	// RequestLoadReport asks an engine; Core.EndHealthCheck ends it, once.
	RequestLoadReport(engine string)
}

// Engine is an entry of the roster with what the decisions don't need.
type Engine struct {
	policy.Engine
	Addr string // where it listens
}

// Request is one query or load, from its last byte to its one final answer.
type Request struct {
	ID             string // the client's, passed on unchanged
	Class          string
	IdempotencyKey string    // idempotency key; "": none
	SerialKey      string    // requests of one key that a front end takes run one at a time, in turn; "": no such key
	Statement      Statement // passed on to the links unread
	DataSet        int64     // group of tables
	Deadline       time.Duration
	Work           time.Duration // estimate; 0: none
	MemoryMB       float64       // estimate; 0: none
	ClientRetry    bool
	Client         Client
	CostContext    CostContext // of the CostObserver; nil: its cost is not observed
	// PriorSentAt is when another process, which has died, or another site first sent the request
	// to an engine; 0: none did. It may have run since.
	PriorSentAt time.Duration
	// FromOtherSite is that it came from another site: it goes to no third one.
	FromOtherSite bool
	// Streaming is that it goes on behind its first answer, as a transaction does: its attempt stays
	// out, its Client is a Streamer too, and Continue gives the engine what comes next.
	Streaming bool
	// MaxSends bounds the sends of it over all sites, of which PriorSends were made elsewhere; 0:
	// the module's own bound alone.
	MaxSends, PriorSends int

	query       uint64
	tries       []*Attempt
	out         int
	answered    bool
	grant       float64
	priority    int
	engineError error // the latest

	admitted bool              // the module has it
	base     int               // tries of an earlier life in the module
	away     *timerqueue.Entry // it is at another site, until then at the latest
	crossed  time.Duration     // since then
	turned   *Answer           // the module's, while it is at another site as well
}

// Attempt is one send of a request to one engine.
type Attempt struct {
	Request   *Request
	Engine    string        // by id: a new engine may have a gone one's address
	Timeout   time.Duration // from Sent
	SentAt    time.Duration
	MemoryMB  float64 // to grant; 0: the engine's own choice
	Priority  int
	LinkState LinkState // of the links that have it; nil once it has ended

	n        int
	ended    bool
	neverRan bool          // its end proves it
	wrote    bool          // its link was about to write it whole
	told     bool          // other sites' service has heard of it
	began    bool          // a part of its answer has come, and it goes on
	notAfter time.Duration // it may not be written later; 0: no such limit
	timer    *timerqueue.Entry
}

// Ended tells whether the attempt is over.
func (a *Attempt) Ended() bool { return a.ended }

// CostObserver hears what requests have cost at their engines, once for each attempt that was
// served, or given up as its time was over.
type CostObserver interface {
	AttemptServed(r *Request, rep Report, elapsed time.Duration)
	AttemptTimedOut(r *Request, elapsed time.Duration)
	// RequestDone tells that nothing more will be heard of a request: its Note is free.
	RequestDone(r *Request)
}

// Report is what came with the end of an attempt.
type Report struct {
	Result      Result // the complete response, for frontends of the same wire protocol
	Work        time.Duration
	MemoryMB    float64
	LoadReport  policy.LoadReport
	EngineError error // for frontends of the same wire protocol; nil: there was none
}

// Orphan is what is known of a request that a process which has died left behind, beside its
// bytes.
type Orphan struct {
	ReceivedAt  time.Duration // when its last byte came, or a little later
	FirstSentAt time.Duration // when it first went to an engine; 0: never
	MustFail    bool          // it may not go out any more: Settle, not Take
}

// Core is the front end without its wires.
type Core struct {
	gateway *policy.Gateway
	clock   Clock
	timers  *timerqueue.Queue
	links   Links
	learner CostObserver                  // nil: nobody
	sending func(*Request, time.Duration) // hears of first sends before they are made; may be nil
	stats   *metrics.Counters
	sites   RemoteSites // nil: there is no other
	stand   *adminstate.Table
	changed func() // hears that a ban was called or called back here; may be nil
	figures map[string]*ClassFigures
	written int64 // attempts written whole
	log     *slog.Logger
	round   time.Duration
	classes map[string]policy.Class
	engines map[string]Engine // that the roster names and that are not gone

	last     uint64 // query given out last
	requests map[uint64]*Request
	unended  int // requests without a final answer
	events   []policy.Event
	actions  []policy.Action
	busy     bool
	over     []*Request // to be forgotten once no event waits
	stopped  bool       // nothing is sent any more
}

// New returns a core for the settings. SetLinks must follow before any event.
func New(set policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue, counters *metrics.Counters, l *slog.Logger) (*Core, error) {
	g, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		gateway: g, clock: clock, timers: timers, stats: counters, log: l, round: set.CallInterval,
		classes: map[string]policy.Class{}, engines: map[string]Engine{}, requests: map[uint64]*Request{},
		stand: adminstate.New(), figures: map[string]*ClassFigures{},
	}
	for _, class := range set.Classes {
		c.classes[class.Name] = class
		c.figures[class.Name] = &ClassFigures{Class: class.Name}
	}
	return c, nil
}

// SetLinks names where attempts go.
func (c *Core) SetLinks(l Links) { c.links = l }

// SetCostObserver names who hears what requests have cost.
func (c *Core) SetCostObserver(l CostObserver) { c.learner = l }

// OnFirstSend names who hears of each request's first send, with its time, before it is made:
// whoever must be able to tell later that it may have run.
func (c *Core) OnFirstSend(f func(r *Request, at time.Duration)) { c.sending = f }

// Snapshot is what the core knows beside its requests, to be handed to another of the same
// settings.
type Snapshot struct {
	Engines   []Engine // as the roster told them
	Learned   policy.Snapshot
	Overrides adminstate.Overrides `cbor:"Bans"`
}

// Snapshot is a copy of what the core knows.
func (c *Core) Snapshot() Snapshot {
	k := Snapshot{Learned: c.gateway.Snapshot(), Overrides: c.Overrides()}
	for _, e := range c.engines {
		k.Engines = append(k.Engines, e)
	}
	slices.SortFunc(k.Engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return k
}

// Restore takes what another core knows, in place of the roster so far. No request may have
// been taken yet.
func (c *Core) Restore(k Snapshot) {
	c.MergeOverrides(k.Overrides)
	c.gateway.Restore(c.clock.Now(), k.Learned)
	c.UpdateEndpoints(policy.ListFull, k.Engines)
}

// Class looks a class up by name.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// LongestDeadline is the longest time that a client of any class waits.
func (c *Core) LongestDeadline() (most time.Duration) {
	for _, class := range c.classes {
		most = max(most, class.Timeout)
	}
	return most
}

// Now is module time.
func (c *Core) Now() time.Duration { return c.clock.Now() }

// Unanswered is the number of requests that are owed an answer.
func (c *Core) Unanswered() int { return c.unended }

// Roster tells of the engine list, or of a change to it.
func (c *Core) UpdateEndpoints(mode policy.ListMode, engines []Engine) {
	c.stats.Add("roster.events")
	ev := policy.EngineList{Mode: mode}
	before := c.engines
	if mode == policy.ListFull || mode == policy.ListCached {
		c.engines = map[string]Engine{}
		c.stand.Clear()
	}
	for _, e := range engines {
		ev.Engines = append(ev.Engines, c.hear(e).Engine)
		if c.engines[e.ID] = e; e.State == policy.EngineDeparted {
			delete(c.engines, e.ID)
		}
	}
	// Guards against keeping connections to engines that a whole list no longer names.
	for id, e := range before {
		if _, ok := c.engines[id]; !ok && e.State != policy.EngineDeparted {
			e.State = policy.EngineDeparted
			c.engine(e)
		}
	}
	c.tell(ev)
}

// hear merges what the operators say into an entry of the roster, and tells of it before the
// module may name it in a send.
func (c *Core) hear(e Engine) Engine {
	e.Engine = c.stand.Update(e.Engine)
	c.engine(e)
	return e
}

// engine tells of an entry of the roster.
func (c *Core) engine(e Engine) {
	c.links.UpdateEngine(e)
	if c.sites != nil {
		c.sites.UpdateEngine(e)
	}
}

// tell hands an event to the module and carries out what it says. Events that
// come up meanwhile wait their turn: a Gateway is not called from within a call.
func (c *Core) tell(ev policy.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.events) > 0 {
		ev, c.events = c.events[0], c.events[1:]
		c.actions = c.gateway.Handle(c.clock.Now(), ev, c.actions[:0])
		for _, a := range c.actions {
			c.route(a)
		}
	}
	c.events = c.events[:0]
	c.busy = false
	for _, r := range c.over {
		c.forget(r)
	}
	c.over = c.over[:0]
}
