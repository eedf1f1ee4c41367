// Package simulation plays sites in virtual time: the same core, decision module, site decisions and
// link protocol as the gateway's, without sockets, on one clock that jumps from event to
// event. Engines are those of internal/testbed/enginemodel. The same options give the same bytes.
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

// Ways in which sites work together.
const (
	Alone   = "alone"   // each for itself
	Ours    = "room"    // as internal/decide/remotesite decides
	Random  = "random"  // what is turned away goes to any other site, whatever that says of its room
	Nearest = "nearest" // or to the nearest one
)

// Event is something that happens to a site.
type Event struct {
	At   time.Duration
	Do   string // see the kinds below
	Site int    // from 0
	Part float64
}

// Kinds of event.
const (
	Lose   = "lose"   // a part of a site's engines die; the roster tells a second later
	Return = "return" // all that died come back, cold
	Chill  = "chill"  // all engines of a site start anew, cold
	Load   = "load"   // arrivals at a site are Part times the usual from now on
	Cut    = "cut"    // links of a site break, and can't be made until Mend
	Mute   = "mute"   // nothing passes on links of a site, until Mend
	OneWay = "oneway" // nothing passes on links to a site, until Mend
	Mend   = "mend"
	Kill   = "kill"  // a gateway of a site dies, in the middle of answers; another starts in its place
	Drain  = "drain" // a site's gateways say that they take nothing new
	Back   = "back"  // and that they do
)

// Options say what to play.
type Options struct {
	Site      config.Site // settings of a gateway; its number of gateways is set here
	Config    decide.Config
	Way       string
	Sites     int
	Gateways  int // of a site
	Engines   int // of a site
	Engine    enginemodel.Config
	Neighbour int // sites on each side, on a ring, that a site is linked to; 0: all
	Rate      float64
	Shape     func(site int, at time.Duration) float64 // of the rate, over time; nil: steady
	Loads     float64
	Reports   float64
	Writes    float64
	Estimates bool          // clients tell what they expect a request to need
	ToldAfter time.Duration // the roster tells of what happens to an engine so much later
	Elsewhere float64       // share of a load's further tries that go to a gateway of another site
	Delay     time.Duration // of the links between sites, one way
	Stall     float64       // share of what is sent there that comes StallFor later
	StallFor  time.Duration
	Bandwidth float64 // bytes a second
	Pack      bool
	Skew      time.Duration // each site's clock is so much ahead of the one before
	Warm      time.Duration // at the start, which does not count
	Span      time.Duration
	Events    []Event // from the end of Warm
	Seed      uint64
	Cost      func(began time.Time) // hears of each decision's real time; nil: nobody
	Log       io.Writer             // of the gateways; nil: none

	script func(w *World) // plans what a test wants to happen, in place of arrivals
}

// World is what is played.
type World struct {
	opts   Options
	now    time.Duration
	queue  *timerqueue.Queue
	rng    *rand.Rand
	sites  []*site
	wans   []*wan
	ledger ledger
	res    *Result
	err    error
}

type site struct {
	n        int
	gateways []*gateway
	engines  []*engine
	load     float64 // of the usual
	marks    int
	rng      *rand.Rand // of what its clients ask: the same whatever becomes of it
}

// gateway is one gateway: core and site service as the program has them.
type gateway struct {
	w       *World
	site    *site
	n       int
	lives   int
	core    *core.Core
	timers  *timerqueue.Queue // of its own: they end with it
	wake    *timerqueue.Timer
	service *forwarding.Service
	stats   *metrics.Counters
	dead    bool
}

// Now is the gateway's clock, which is ahead of the world's.
func (g *gateway) Now() time.Duration { return g.w.now + g.skew() }

func (g *gateway) skew() time.Duration { return time.Duration(g.site.n) * g.w.opts.Skew }

func (w *World) after(d time.Duration, f func()) *timerqueue.Timer {
	return w.queue.Add(w.now+max(d, 0), f)
}

// origin is when a world begins: instants near 0 mean "never" to some.
const origin = 1000 * time.Hour

// Play plays and tells what it was worth.
func Play(opts Options) (*Result, error) {
	if opts.Sites < 1 || opts.Gateways < 1 || opts.Engines < 1 || opts.Rate <= 0 || opts.Span <= 0 {
		return nil, errors.New("fleet: sites, gateways, engines, rate and span must be above 0")
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
			w.arrive(s)
		}
	}
	for _, e := range opts.Events {
		w.queue.Add(origin+opts.Warm+e.At, func() { w.event(e) })
	}
	end := origin + opts.Warm + opts.Span
	for w.err == nil {
		at, ok := w.queue.Next()
		if !ok || at > end+drainFor {
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

// restartFor is how long an engine is away that starts anew.
const restartFor = 3 * time.Second

// drainFor is how long a world goes on behind its last arrival: as the longest client waits.
const drainFor = 30 * time.Second

func siteName(n int) string { return fmt.Sprintf("site-%02d", n) }

func (g *gateway) name() forwarding.Name {
	return forwarding.Name{Site: siteName(g.site.n), Gateway: fmt.Sprintf("gateway-%d", g.n)}
}

// start begins a life of the gateway.
func (g *gateway) start() error {
	w := g.w
	g.lives++
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
	seed := w.opts.Seed<<16 + uint64(g.site.n)<<8 + uint64(g.n) + uint64(g.lives)<<40
	var err error
	if g.core, err = core.New(set, seed, g, g.timers, g.stats, log); err != nil {
		return err
	}
	g.core.SetBackend(&backend{g: g, life: g.lives})
	o := forwarding.Options{Name: g.name(), Start: uint64(g.lives), Config: w.cfg(), Settings: set, Codec: codec{}, Pack: w.opts.Pack}
	for i := range w.opts.Sites { // those that come later are peers too
		if w.opts.Way != Alone && i != g.site.n && w.near(i, g.site.n) {
			o.Peers = append(o.Peers, forwarding.Name{Site: siteName(i), Gateway: g.name().Gateway})
		}
	}
	switch w.opts.Way {
	case Random:
		o.Choose = g.spill(func(all []int, _ []*decide.Peer) int { return all[w.rng.IntN(len(all))] })
	case Nearest:
		o.Choose = g.spill(func(all []int, peers []*decide.Peer) int {
			return slices.MinFunc(all, func(a, b int) int { return int(peers[a].RTT() - peers[b].RTT()) })
		})
	}
	if g.service, err = forwarding.New(g.core, g.timers, o, g.stats, log); err != nil {
		return err
	}
	g.core.SetRemoteSites(&timed{g.service, w.opts.Cost})
	var all []core.Engine
	for _, e := range g.site.engines {
		if e.listed {
			all = append(all, e.entry(policy.EngineLive, g))
		}
	}
	g.do(func() { g.core.UpdateEndpoints(policy.ListFull, all) })
	return nil
}

// near tells whether two sites are linked.
func (w *World) near(a, b int) bool {
	if w.opts.Neighbour <= 0 {
		return true
	}
	d := (a - b + w.opts.Sites) % w.opts.Sites
	return min(d, w.opts.Sites-d) <= w.opts.Neighbour
}

// do runs something of a gateway's, and then what its timers have due.
func (g *gateway) do(f func()) {
	if g.dead {
		return
	}
	f()
	g.arm()
}

// arm has the world wake the gateway for its next timer.
func (g *gateway) arm() {
	at, ok := g.timers.Next()
	if !ok || g.dead {
		return
	}
	g.wake.Stop()
	life := g.lives
	g.wake = g.w.queue.Add(max(at-g.skew(), g.w.now), func() {
		if g.lives == life && !g.dead {
			g.timers.RunDue(g.Now())
			g.arm()
		}
	})
}

// spill sends what was turned away to one of those that something could be sent to, whatever they
// say of their room.
func (g *gateway) spill(pick func(all []int, peers []*decide.Peer) int) func(time.Duration, *decide.Query, float64, []*decide.Peer) decide.Choice {
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

// cfg is what all gateways decide by.
func (w *World) cfg() decide.Config {
	cfg := w.opts.Config
	cfg.MaxAttempts = max(w.opts.Site.Policy.Limits.MaxAttempts, 1)
	return cfg
}

// timed hears how long decisions take.
type timed struct {
	core.RemoteSites
	cost func(began time.Time)
}

func (t *timed) ForwardOnArrival(r *core.Request) bool {
	if t.cost != nil {
		defer t.cost(time.Now())
	}
	return t.RemoteSites.ForwardOnArrival(r)
}

func (t *timed) ForwardRejected(r *core.Request) bool {
	if t.cost != nil {
		defer t.cost(time.Now())
	}
	return t.RemoteSites.ForwardRejected(r)
}

// event has something happen.
func (w *World) event(e Event) {
	s := w.sites[e.Site]
	switch e.Do {
	case Lose:
		n := int(float64(len(s.engines))*e.Part + 0.5)
		for _, one := range s.engines[:n] {
			one.die()
		}
	case Return:
		for _, one := range s.engines {
			one.start()
		}
	case Chill:
		for _, one := range s.engines {
			one.die()
		}
		w.after(restartFor, func() {
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
		g.die()
		w.after(500*time.Millisecond, func() { w.fail(g.start()) })
	case Drain, Back:
		for _, g := range s.gateways {
			g.do(func() { setDraining(g.service, e.Do != Back) })
		}
	default:
		w.fail(fmt.Errorf("fleet: there is no event %q", e.Do))
	}
}

func (w *World) fail(err error) {
	if err != nil && w.err == nil {
		w.err = err
	}
}

// die ends a gateway without a word: its links break, its clients have no answer from it.
func (g *gateway) die() {
	g.dead = true
	g.wake.Stop()
	for _, e := range g.site.engines {
		e.forget(g)
	}
	for _, l := range g.w.wans {
		l.broken(g)
	}
	g.w.res.orphans(g)
}

// setDraining drains a gateway's own site, or takes that back.
func setDraining(service *forwarding.Service, draining bool) { //nolint:revive // the scenario's event says which
	if draining {
		service.Drain("")
		return
	}
	service.Undrain("")
}
