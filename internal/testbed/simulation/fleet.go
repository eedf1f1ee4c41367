// Package simulation is a discrete-event simulation of sites in virtual time. It runs the gateway's
// core, decision module, site decisions and link protocol without sockets, on one clock that jumps
// from event to event. Engines are those of internal/testbed/enginemodel. The same options give
// byte-for-byte the same results.
package simulation

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/metrics"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Ways in which sites cooperate, as experiment files write them.
const (
	Alone   = "alone"   // sites do not forward requests
	Ours    = "room"    // as internal/decide/remotesite decides
	Random  = "random"  // rejected requests go to a random other site, whatever capacity it reports
	Nearest = "nearest" // rejected requests go to the site with the shortest round-trip time
)

// Event is one scheduled event at a site.
type Event struct {
	At   time.Duration // since the end of the warm-up
	Do   string        // see the kinds below
	Site int           // from 0
	Part float64       // of Lose: fraction of the engines; of Load: multiple of the usual rate
}

// Kinds of event.
const (
	Lose   = "lose"   // the fraction Part of a site's engines crash; the endpoint list follows after ToldAfter
	Return = "return" // all crashed engines of a site restart, cold
	Chill  = "chill"  // all engines of a site restart, cold
	Load   = "load"   // the arrival rate at a site is Part times the usual one from now on
	Cut    = "cut"    // links of a site break and cannot be opened until Mend
	Mute   = "mute"   // links of a site deliver nothing in either direction until Mend
	OneWay = "oneway" // links deliver nothing to a site until Mend
	Mend   = "mend"   // ends Cut, Mute and OneWay; data held by Mute and OneWay is delivered
	Kill   = "kill"   // a gateway of a site crashes, also during answers; another starts in its place
	Drain  = "drain"  // a site's gateways stop accepting requests from other sites
	Back   = "back"   // they accept them again
)

// Options configure a simulation.
type Options struct {
	Site      config.Site // settings of a gateway; its number of gateways is set here
	Config    decide.Config
	Way       string // how sites cooperate: Alone, Ours, Random or Nearest
	Sites     int
	Gateways  int // number of gateways at each site
	Engines   int // number of engines at each site
	Engine    enginemodel.Config
	Neighbour int                                      // number of sites on each side, on a ring, that a site is linked to; 0: all
	Rate      float64                                  // arrivals per second at each site
	Shape     func(site int, at time.Duration) float64 // factor of the arrival rate over time; nil: 1
	Loads     float64                                  // fraction of requests that are loads, 0 to 1
	Reports   float64                                  // fraction of requests that are reports, 0 to 1
	Writes    float64                                  // fraction of requests that are writes, 0 to 1
	Estimates bool                                     // clients send an estimate of a request's work
	ToldAfter time.Duration                            // delay from a change of an engine to the gateways' endpoint lists
	Elsewhere float64                                  // probability that a retry of a load picks a site at random
	Delay     time.Duration                            // one-way latency of the links between sites
	Stall     float64                                  // probability that a message is delayed by StallFor, 0 to 1
	StallFor  time.Duration                            // additional delay of a stalled message
	Bandwidth float64                                  // of a link, bytes per second; 0: unlimited
	Pack      bool                                     // compress message bodies
	Skew      time.Duration                            // clock offset of each site against the previous one
	Warm      time.Duration                            // warm-up, which is not measured
	Span      time.Duration                            // measured time after the warm-up
	Events    []Event                                  // scheduled events; nil: none
	Seed      uint64                                   // seeds all random draws
	Cost      func(began time.Time)                    // called at the end of each decision with its real start time; nil: not called
	Log       io.Writer                                // log of the gateways; nil: discarded

	script func(w *World) // lets a test schedule its own requests in place of random arrivals
}

// World is the state of a simulation.
type World struct {
	opts   Options
	now    time.Duration     // virtual time, which starts at origin
	queue  *timerqueue.Queue // scheduled events
	rng    *rand.Rand        // random draws of the network, of retries and of the way Random
	sites  []*site
	wans   []*wan // links between gateways of different sites
	ledger ledger
	res    *Result
	err    error // first error, which ends the simulation; nil: none
}

// site is one site with its gateways, engines and arrivals.
type site struct {
	n        int // number of the site, from 0
	gateways []*gateway
	engines  []*engine
	load     float64    // factor of the usual arrival rate
	requests int        // number of requests so far
	rng      *rand.Rand // draws its clients' requests, independently of their outcomes
}

// gateway is one gateway, with the same core and site service as in the program.
type gateway struct {
	w          *World
	site       *site
	n          int // number of the gateway at its site, from 0
	generation int // number of starts, the present one included
	core       *core.Core
	timers     *timerqueue.Queue // its own timers, discarded when it crashes
	wake       *timerqueue.Timer // the scheduled wakeup for the next of its timers
	service    *forwarding.Service
	stats      *metrics.Counters
	dead       bool // it has crashed and not restarted yet
}

// Now returns the gateway's clock, which is ahead of the simulation's by the site's offset.
func (g *gateway) Now() time.Duration { return g.w.now + g.skew() }

// skew returns the offset of the site's clock.
func (g *gateway) skew() time.Duration { return time.Duration(g.site.n) * g.w.opts.Skew }

// after schedules f after the delay d in virtual time.
func (w *World) after(d time.Duration, f func()) *timerqueue.Timer {
	return w.queue.Add(w.now+max(d, 0), f)
}

// origin is the virtual start time. It is far from 0, because some code takes times near 0 to mean
// "never".
const origin = 1000 * time.Hour

// Play runs a simulation and returns its result.
func Play(opts Options) (*Result, error) {
	if opts.Sites < 1 || opts.Gateways < 1 || opts.Engines < 1 || opts.Rate <= 0 || opts.Span <= 0 {
		return nil, errors.New("simulation: sites, gateways, engines, rate and span must be greater than 0")
	}
	w := &World{
		opts: opts, now: origin, queue: timerqueue.New(), rng: rand.New(rand.NewPCG(opts.Seed, 0x666c656574)),
		ledger: newLedger(),
	}
	w.res = newResult(&opts)
	for i := range opts.Sites {
		s := &site{n: i, load: 1, rng: rand.New(rand.NewPCG(opts.Seed, 0x636c69656e74+uint64(i)))}
		w.sites = append(w.sites, s)
		for j := range opts.Engines {
			s.engines = append(s.engines, newEngine(w, s, j))
		}
		for j := range opts.Gateways {
			g := &gateway{w: w, site: s, n: j}
			s.gateways = append(s.gateways, g)
			if err := g.start(); err != nil {
				return nil, err
			}
		}
	}
	if opts.Way != Alone {
		w.connect()
	}
	if opts.script != nil {
		opts.script(w)
	} else {
		for _, s := range w.sites {
			w.scheduleArrival(s)
		}
	}
	for _, e := range opts.Events {
		w.queue.Add(origin+opts.Warm+e.At, func() { w.event(e) })
	}
	end := origin + opts.Warm + opts.Span
	for w.err == nil {
		at, ok := w.queue.Next()
		if !ok || at > end+drainTime {
			break
		}
		w.now = max(w.now, at)
		w.queue.RunDue(w.now)
	}
	if w.err != nil {
		return nil, w.err
	}
	w.finish()
	return w.res, nil
}

// restartTime is the downtime of an engine that restarts.
const restartTime = 3 * time.Second

// drainTime is how long the simulation continues after its last arrival: as long as the most patient
// client waits.
const drainTime = 30 * time.Second

// siteName returns the name of the site with number n.
func siteName(n int) string { return fmt.Sprintf("site-%02d", n) }

// name returns the gateway's name in the protocol between sites.
func (g *gateway) name() forwarding.Name {
	return forwarding.Name{Site: siteName(g.site.n), Gateway: fmt.Sprintf("gateway-%d", g.n)}
}

// start starts the gateway, or restarts it after a crash.
func (g *gateway) start() error {
	w := g.w
	g.generation++
	g.dead = false
	g.timers = timerqueue.New()
	g.stats = metrics.New()
	out := io.Discard
	if w.opts.Log != nil {
		out = w.opts.Log
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String("at", fmt.Sprintf("%.3f", (w.now-origin).Seconds()))
		}
		return a
	}})).With("gateway", g.name().String())
	set := w.opts.Site.Policy
	set.Gateways = w.opts.Gateways
	seed := w.opts.Seed<<16 + uint64(g.site.n)<<8 + uint64(g.n) + uint64(g.generation)<<40
	var err error
	if g.core, err = core.New(set, seed, g, g.timers, g.stats, log); err != nil {
		return err
	}
	g.core.SetBackend(&backend{g: g, generation: g.generation})
	o := forwarding.Options{Name: g.name(), Start: uint64(g.generation), Config: w.cfg(), Settings: set, Codec: codec{}, Pack: w.opts.Pack}
	for i := range w.opts.Sites { // sites that are set up later are peers too
		if w.opts.Way != Alone && i != g.site.n && w.linked(i, g.site.n) {
			o.Peers = append(o.Peers, forwarding.Name{Site: siteName(i), Gateway: g.name().Gateway})
		}
	}
	switch w.opts.Way {
	case Random:
		o.Choose = g.forwardRejectedTo(func(all []int, _ []*decide.Peer) int { return all[w.rng.IntN(len(all))] })
	case Nearest:
		o.Choose = g.forwardRejectedTo(func(all []int, peers []*decide.Peer) int {
			return slices.MinFunc(all, func(a, b int) int { return int(peers[a].RTT() - peers[b].RTT()) })
		})
	}
	if g.service, err = forwarding.New(g.core, g.timers, o, g.stats, log); err != nil {
		return err
	}
	g.core.SetRemoteSites(&timedSites{g.service, w.opts.Cost})
	var all []core.Engine
	for _, e := range g.site.engines {
		if e.listed {
			all = append(all, e.entry(policy.EngineLive, g))
		}
	}
	g.do(func() { g.core.UpdateEndpoints(policy.ListFull, all) })
	return nil
}

// linked reports whether two sites are linked.
func (w *World) linked(a, b int) bool {
	if w.opts.Neighbour <= 0 {
		return true
	}
	d := (a - b + w.opts.Sites) % w.opts.Sites
	return min(d, w.opts.Sites-d) <= w.opts.Neighbour
}

// do runs f on the gateway and schedules the gateway's next timer. A crashed gateway does nothing.
func (g *gateway) do(f func()) {
	if g.dead {
		return
	}
	f()
	g.scheduleTimer()
}

// scheduleTimer schedules a wakeup of the gateway for its next timer.
func (g *gateway) scheduleTimer() {
	at, ok := g.timers.Next()
	if !ok || g.dead {
		return
	}
	g.wake.Stop()
	generation := g.generation
	g.wake = g.w.queue.Add(max(at-g.skew(), g.w.now), func() {
		if g.generation == generation && !g.dead {
			g.timers.RunDue(g.Now())
			g.scheduleTimer()
		}
	})
}

// forwardRejectedTo returns a decision that forwards locally rejected requests to one of the reachable peers,
// whatever capacity they report.
func (g *gateway) forwardRejectedTo(pick func(all []int, peers []*decide.Peer) int) func(time.Duration, *decide.Query, float64, []*decide.Peer) decide.Choice {
	return func(now time.Duration, q *decide.Query, _ float64, peers []*decide.Peer) decide.Choice {
		var all []int
		for i, p := range peers {
			if s := p.State(g.w.opts.Config, now); s == decide.Up || s == decide.Slow || s == decide.RampingUp {
				all = append(all, i)
			}
		}
		if !q.RejectedLocally || q.Forwarded || len(all) == 0 || !decide.MayAttempt(g.w.cfg(), q, 0) {
			return decide.Choice{}
		}
		return decide.Choice{Destination: decide.Remote, Peer: pick(all, peers)}
	}
}

// cfg returns the decision settings of all gateways.
func (w *World) cfg() decide.Config {
	cfg := w.opts.Config
	cfg.MaxAttempts = max(w.opts.Site.Policy.Limits.MaxAttempts, 1)
	return cfg
}

// timedSites reports the start time of each decision, so that its duration can be measured.
type timedSites struct {
	core.RemoteSites
	cost func(began time.Time)
}

// ForwardOnArrival measures the decision on an arriving request.
func (t *timedSites) ForwardOnArrival(r *core.Request) bool {
	if t.cost != nil {
		defer t.cost(time.Now())
	}
	return t.RemoteSites.ForwardOnArrival(r)
}

// ForwardRejected measures the decision on a request that the own site rejected.
func (t *timedSites) ForwardRejected(r *core.Request) bool {
	if t.cost != nil {
		defer t.cost(time.Now())
	}
	return t.RemoteSites.ForwardRejected(r)
}

// event carries out an event.
func (w *World) event(e Event) {
	s := w.sites[e.Site]
	switch e.Do {
	case Lose:
		n := int(float64(len(s.engines))*e.Part + 0.5)
		for _, one := range s.engines[:n] {
			one.crash()
		}
	case Return:
		for _, one := range s.engines {
			one.start()
		}
	case Chill:
		for _, one := range s.engines {
			one.crash()
		}
		w.after(restartTime, func() {
			for _, one := range s.engines {
				one.start()
			}
		})
	case Load:
		s.load = e.Part
	case Cut, Mute, OneWay, Mend:
		for _, l := range w.wans {
			if l.ends[0].site == s || l.ends[1].site == s {
				l.fault(e.Do, s)
			}
		}
	case Kill:
		g := s.gateways[0]
		g.crash()
		w.after(500*time.Millisecond, func() { w.fail(g.start()) })
	case Drain, Back:
		for _, g := range s.gateways {
			g.do(func() { setDraining(g.service, e.Do != Back) })
		}
	default:
		w.fail(fmt.Errorf("simulation: unknown event %q", e.Do))
	}
}

// fail ends the simulation with its first error; nil is ignored.
func (w *World) fail(err error) {
	if err != nil && w.err == nil {
		w.err = err
	}
}

// crash crashes a gateway: its links break, and its clients get no answer.
func (g *gateway) crash() {
	g.dead = true
	g.wake.Stop()
	for _, e := range g.site.engines {
		e.cancelFrom(g)
	}
	for _, l := range g.w.wans {
		l.broken(g)
	}
	g.w.res.failPending(g)
}

// setDraining drains a gateway's own site, or ends the drain.
func setDraining(service *forwarding.Service, draining bool) { //nolint:revive // the scenario's event says which
	if draining {
		service.Drain("")
		return
	}
	service.Undrain("")
}
