// Package core takes requests through their life: accept, admit, send, record the outcome,
// answer. It knows no wire protocol: frontends, links to engines and the endpoint list meet it
// through the interfaces of this package. The decisions are those of package policy.
//
// A Core belongs to one goroutine, and so do all that it calls and all that call it. It starts
// no goroutine and takes no lock.
package core

import (
	"log/slog"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Clock tells the time since a fixed instant, which never goes back.
type Clock interface{ Now() time.Duration }

// Core owns the open requests and the policy that decides on them.
type Core struct {
	clock    Clock
	timers   *timerqueue.Queue
	counters *metrics.Counters
	log      *slog.Logger

	links     Links
	sites     RemoteSites // nil: there is no other site
	observers observers

	policy    policyLoop
	requests  requestTable
	endpoints endpointList
	figures   figures

	classes      map[string]policy.Class
	callInterval time.Duration // of the event loop: an answer this much before a deadline counts as late
	shutdown     bool          // nothing is sent any more
}

// observers hear of what happens in a core. Each may be nil.
type observers struct {
	cost             CostObserver
	firstSend        func(r *Request, at time.Duration)
	overridesChanged func()
}

// CostObserver hears what requests have cost at their engines, once for each attempt that was
// served or that timed out.
type CostObserver interface {
	AttemptServed(r *Request, rep Report, elapsed time.Duration)
	AttemptTimedOut(r *Request, elapsed time.Duration)
	// RequestDone tells that nothing more will be heard of a request: its CostContext is free.
	RequestDone(r *Request)
}

// New returns a core for the settings. SetLinks must follow before any event.
func New(set policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue, counters *metrics.Counters, log *slog.Logger) (*Core, error) {
	gateway, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		clock: clock, timers: timers, counters: counters, log: log,
		policy: policyLoop{gateway: gateway}, requests: newRequestTable(),
		endpoints: newEndpointList(), figures: newFigures(set.Classes),
		classes: map[string]policy.Class{}, callInterval: set.CallInterval,
	}
	for _, class := range set.Classes {
		c.classes[class.Name] = class
	}
	return c, nil
}

// SetLinks sets where attempts go.
func (c *Core) SetLinks(l Links) { c.links = l }

// SetRemoteSites sets who forwards requests to other sites.
func (c *Core) SetRemoteSites(s RemoteSites) { c.sites = s }

// SetCostObserver sets who hears what requests have cost.
func (c *Core) SetCostObserver(o CostObserver) { c.observers.cost = o }

// OnFirstSend sets who hears of each request's first send, with its time, before it is made:
// whoever must be able to tell later that the request may have run.
func (c *Core) OnFirstSend(f func(r *Request, at time.Duration)) { c.observers.firstSend = f }

// OnOverridesChanged sets who hears of each operator's call that changed something, before it is
// answered.
func (c *Core) OnOverridesChanged(f func()) { c.observers.overridesChanged = f }

// Class looks a class up by name.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// LongestDeadline is the longest time that a client of any class waits.
func (c *Core) LongestDeadline() (longest time.Duration) {
	for _, class := range c.classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// Now is the time of the core's clock.
func (c *Core) Now() time.Duration { return c.clock.Now() }

// Unanswered is the number of requests that are owed an answer.
func (c *Core) Unanswered() int { return c.requests.unanswered }
