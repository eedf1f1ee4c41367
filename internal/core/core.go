// Package core manages the lifecycle of requests: accept, admit, send, record the outcome, answer.
// It is independent of wire protocols. Frontends, backends and service discovery use it through the
// types and interfaces of this package. Package policy makes the decisions; this package carries
// them out.
//
// A Core is not safe for concurrent use: everything that calls it, and everything that it calls,
// runs on the goroutine of one event loop. It starts no goroutine and takes no lock.
package core

import (
	"log/slog"
	"time"

	"gannetspur/internal/decide/enginestart"
	"gannetspur/internal/decide/sentids"
	"gannetspur/internal/decide/sentkeys"
	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Clock is a monotonic clock. Now returns the time since a fixed instant.
type Clock interface{ Now() time.Duration }

// Core holds the open requests and the policy that routes them.
type Core struct {
	clock    Clock
	timers   *timerqueue.Queue
	counters *metrics.Counters
	log      *slog.Logger

	backend   Backend
	sites     RemoteSites // nil if there is no other site
	observers observers

	policy    policyLoop
	requests  requestTable
	endpoints endpointList
	starts    *enginestart.Tracker
	stats     stats

	sentIDs        *sentids.History  // of requests that must not run again
	sentKeys       *sentkeys.History // of requests whose repeats only some engines drop
	sentIDExchange SentIDExchange    // nil if no other process serves this front end

	classes map[string]policy.Class // by name
	// callInterval is the period of the event loop. A request that is not served counts as late from
	// this long before its deadline on.
	callInterval time.Duration
	shutdown     bool // set by Shutdown: no request is sent any more
}

// observers are notified of what happens in a core. Each may be nil.
type observers struct {
	cost             CostObserver
	attemptsChanged  func(r *Request)
	sentKey          func(sentkeys.Change)
	overridesChanged func()
}

// CostObserver is notified of what requests with a CostContext cost their engines, once for each
// attempt that was served or timed out. Streaming attempts are not reported.
type CostObserver interface {
	// AttemptServed reports a complete response and the time since the attempt was sent.
	AttemptServed(r *Request, report Report, elapsed time.Duration)
	// AttemptTimedOut reports an attempt that was given up after the elapsed time.
	AttemptTimedOut(r *Request, elapsed time.Duration)
	// RequestDone is the last call for a request: its CostContext may be reused.
	RequestDone(r *Request)
}

// New returns a core with the given settings. The seed initializes the policy's random numbers.
// SetBackend must be called before the core receives any event. New returns an error if the policy
// rejects the settings.
func New(settings policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue, counters *metrics.Counters, log *slog.Logger) (*Core, error) {
	gateway, err := policy.New(settings, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		clock: clock, timers: timers, counters: counters, log: log,
		policy: policyLoop{gateway: gateway}, requests: newRequestTable(),
		endpoints: newEndpointList(), starts: enginestart.New(settings.Rules.WarmUpPeriod),
		stats: newStats(settings.Classes), sentIDs: sentids.New(sentIDRetention, maxSentIDs),
		sentKeys: sentkeys.New(maxSentKeys),
		classes:  map[string]policy.Class{}, callInterval: settings.CallInterval,
	}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
	}
	return c, nil
}

// SetBackend sets the backend that carries attempts to engines.
func (c *Core) SetBackend(b Backend) { c.backend = b }

// SetRemoteSites sets the component that forwards requests to other sites.
func (c *Core) SetRemoteSites(s RemoteSites) { c.sites = s }

// SetCostObserver sets the observer of request costs.
func (c *Core) SetCostObserver(o CostObserver) { c.observers.cost = o }

// OnAttemptsChanged sets a function that is called with a request whenever AttemptsThatMayHaveRun changes for
// it: right before each send to an engine or to another site, so that the caller can record that the request
// may have run, and once a send is known to have run nothing.
func (c *Core) OnAttemptsChanged(f func(r *Request)) { c.observers.attemptsChanged = f }

// OnOverridesChanged sets a function that is called whenever DisableEngine or EnableEngine changed
// an override, before that call returns.
func (c *Core) OnOverridesChanged(f func()) { c.observers.overridesChanged = f }

// Class returns the request class with the given name, and whether the settings have it.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// LongestTimeout returns the longest client timeout of all classes.
func (c *Core) LongestTimeout() (longest time.Duration) {
	for _, class := range c.classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// Now returns the time of the core's clock.
func (c *Core) Now() time.Duration { return c.clock.Now() }

// Unanswered returns the number of accepted requests that have no final answer yet.
func (c *Core) Unanswered() int { return c.requests.unanswered }
