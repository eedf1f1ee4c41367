// Package forwarding sends requests to other sites and serves requests from other sites. It carries out
// the decisions of internal/decide/remotesite. The sockets belong to internal/site/link, so that this
// package also runs in virtual time. All of it must be used from the goroutine of its core.
package forwarding

import (
	"log/slog"
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/metrics"
	"gannetspur/internal/site/message"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Name identifies a gateway by its site and its name there.
type Name struct{ Site, Gateway string }

// String returns SITE/GATEWAY.
func (n Name) String() string { return n.Site + "/" + n.Gateway }

// Options configures a Service.
type Options struct {
	Name     Name   // name of this gateway
	Start    uint64 // number drawn when the gateway starts; it distinguishes restarts
	Config   decide.Config
	Settings policy.Settings
	Peers    []Name // initial gateways at other sites; SetPeers replaces them
	Codec    Codec
	Pack     bool // compress bodies where that saves enough
	Held     int  // maximum bytes of incomplete bodies per link; 0: mux.DefaultMaxHeldBytes
	// Choose replaces decide.Chooser if it is not nil, and turns off the capacity check for requests from
	// other sites. The testbed uses it to compare strategies. freeCapacity is the free capacity of this site.
	Choose func(now time.Duration, q *decide.Query, freeCapacity float64, peers []*decide.Peer) decide.Choice
}

// Limits of stored state, and intervals.
const (
	keyRetention = 10 * time.Minute // how long idempotency keys are remembered
	maxKeys      = 64 << 10         // maximum number of idempotency keys that are remembered
	maxEvents    = 64               // maximum number of peers' state changes in the overview
	// ticksPerReport is the number of ticks per load report: keys are sent and silent peers are detected
	// more often than load is reported.
	ticksPerReport = 5
	maxPings       = 8 // maximum number of pings per link that wait for their pong
	// staleTicks is the number of ticks between checks for incomplete requests. A request without progress
	// is rejected after one to two such intervals.
	staleTicks = 40 * ticksPerReport
	// redialIntervals is the number of Config.UnreachableAfter periods without a reply after which a link
	// is closed and dialled again: TCP retransmits at ever longer intervals, so that an old connection
	// recovers late.
	redialIntervals = 4
)

var _ core.RemoteSites = (*Service)(nil)

// Service forwards requests to other sites and serves theirs. It implements core.RemoteSites.
type Service struct {
	core     *core.Core
	clock    core.Clock
	timers   *timerqueue.Queue
	opts     Options
	cfg      decide.Config
	counters *metrics.Counters
	log      *slog.Logger

	classes      map[string]policy.Class
	classNames   []string           // names of the classes, in the order of the settings
	coresByKind  map[string]float64 // CPU cores of an engine, by engine kind
	peers        []*peer            // removed ones included, so that indexes stay valid
	peerStates   []*decide.Peer     // decision states of peers, in the same order
	meter        *decide.CapacityMeter
	chooser      decide.Chooser
	hedge        decide.Hedger
	keys         *decide.KeyHistory // idempotency keys sent to engines of any site
	unsentKeys   []message.SentKey  // not sent to the peers yet; AgoUS holds the send time in µs of the clock
	packer       Packer
	forwarded    map[*core.Request]*forwardedRequest // open forwarded requests, by request
	ticks        int                                 // number of ticks since the start
	reports      uint32                              // number of the latest load report
	draining     bool                                // accepts no new requests from other sites
	shuttingDown bool                                // GoAway was sent on all links
	events       []Event                             // latest maxEvents, oldest first
}

// New returns the service of a core and starts its timer. The caller must register the service with the
// core by SetSites.
func New(c *core.Core, timers *timerqueue.Queue, opts Options, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{
		core: c, clock: c, timers: timers, opts: opts, cfg: opts.Config, counters: counters, log: log,
		classes: map[string]policy.Class{}, coresByKind: map[string]float64{}, forwarded: map[*core.Request]*forwardedRequest{},
		meter: decide.NewCapacityMeter(opts.Config, opts.Settings.Gateways), keys: decide.NewKeyHistory(keyRetention, maxKeys),
	}
	for _, class := range opts.Settings.Classes {
		s.classes[class.Name] = class
		s.classNames = append(s.classNames, class.Name)
	}
	for _, k := range opts.Settings.Kinds {
		s.coresByKind[k.Name] = k.Cores
	}
	s.SetPeers(opts.Peers)
	if opts.Pack {
		var err error
		if s.packer, err = NewPacker(); err != nil {
			return nil, err
		}
	}
	s.tick()
	return s, nil
}

// UpdateEngine updates the capacity of an engine of this site.
func (s *Service) UpdateEngine(e core.Engine) {
	cores := s.coresByKind[e.Kind]
	if cores <= 0 {
		cores = 1
	}
	st := decide.Engine{Cores: cores, Live: e.State == policy.EngineLive}
	if rules := s.opts.Settings.Rules; e.StartKnown {
		st.WarmUpUntil, st.WarmUpPeriod, st.WarmUpMinCapacity = e.Started+rules.WarmUpPeriod, rules.WarmUpPeriod, rules.WarmUpMinCapacity
	}
	s.meter.UpdateEngine(e.ID, st)
}

// threads returns the number of threads that a request of a class uses, at least 1.
func (s *Service) threads(class string) float64 { return max(s.classes[class].Threads, 1) }

// SharesDeduplication reports whether the engines of all sites drop each other's repeats of an idempotency key.
func (s *Service) SharesDeduplication() bool { return s.cfg.SharedDedup }

// AttemptStarted records an attempt at an engine of this site and its idempotency key, if it has one.
func (s *Service) AttemptStarted(a *core.Attempt) {
	r := a.Request
	s.meter.AttemptStarted(s.threads(r.Class))
	if r.IdempotencyKey != "" && s.keys.Record(a.SentAt, r.IdempotencyKey, a.SentAt, decide.ThisSite) && len(s.peers) > 0 {
		s.unsentKeys = append(s.unsentKeys, message.SentKey{Key: r.IdempotencyKey, AgoUS: int64(a.SentAt / time.Microsecond)})
	}
}

// AttemptEnded records the end of an attempt at an engine of this site. If it never ran
// and no other attempt of its request at this site may have run, its idempotency key is retracted.
func (s *Service) AttemptEnded(a *core.Attempt, end core.Outcome, rep core.Report) {
	r := a.Request
	s.meter.AttemptEnded(s.threads(r.Class))
	now := s.clock.Now()
	if end == core.OutcomeServed {
		work := rep.Work
		if work <= 0 {
			work = r.Work
		}
		s.meter.RecordLatency(r.Class, now-a.SentAt, work.Seconds())
	}
	if rep.LoadReport.Reported {
		s.meter.RecordUtilization(now, rep.LoadReport.CPUUtilization)
	}
	if a.NeverRan() && r.IdempotencyKey != "" && !r.MayHaveRunHere() {
		s.keys.Retract(r.IdempotencyKey, a.SentAt)
	}
}

// Drain stops this site from accepting new requests from others, if site is "" or its own name.
// Otherwise it stops forwarding new requests to that site, or to that gateway if site is SITE/GATEWAY.
// It returns false if there is no such site.
func (s *Service) Drain(site string) bool { return s.setDraining(site, true) }

// Undrain reverses Drain.
func (s *Service) Undrain(site string) bool { return s.setDraining(site, false) }

func (s *Service) setDraining(site string, draining bool) bool {
	if site == "" || site == s.opts.Name.Site {
		s.draining = draining
		s.sendLoadReports()
		return true
	}
	found := false
	for _, p := range s.peers {
		if !p.removed && (p.name.Site == site || p.name.String() == site) {
			p.SetDrained(draining)
			found = true
		}
	}
	return found
}

// Leave announces on all links that this process shuts down and accepts no new requests. Links stay
// open for their open requests.
func (s *Service) Leave() {
	s.draining = true
	s.sendLoadReports()
	s.shuttingDown = true
	for _, p := range s.peers {
		for _, l := range p.links {
			if l.greeted {
				l.goAway()
			}
		}
	}
}

// Linked reports whether there is a link to a peer on which neither side has sent GoAway.
func (s *Service) Linked(n Name) bool {
	p := s.peer(n)
	return p != nil && slices.ContainsFunc(p.links, (*Link).isOpen)
}

// Idle reports whether no request is open in either direction.
func (s *Service) Idle() bool {
	for _, p := range s.peers {
		for _, l := range p.links {
			if len(l.forwarded)+len(l.served) > 0 {
				return false
			}
		}
	}
	return true
}
