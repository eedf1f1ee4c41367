// Package forwarding sends requests to other sites and serves those of other sites here. It carries out what
// internal/decide/remotesite decides. The sockets of its links belong to internal/site/link, so that it runs in virtual time as
// well. All of it belongs to the goroutine of its core.
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

// Name is a gateway at another site.
type Name struct{ Site, Gateway string }

func (n Name) String() string { return n.Site + "/" + n.Gateway }

// Options say how the sites are.
type Options struct {
	Name     Name
	Start    uint64 // tells this life of the gateway from its others
	Config   decide.Config
	Settings policy.Settings
	Peers    []Name // that it knows from the start; SetPeers names others
	Codec    Codec
	Pack     bool // bodies are packed where that pays
	Held     int  // bytes of unfinished bodies that a link holds; 0: mux.DefaultMaxHeldBytes
	// Choose, where given, replaces decide.Chooser: the testbed compares strategies.
	Choose func(now time.Duration, q *decide.Query, room float64, peers []*decide.Peer) decide.Choice
}

// Bounds of what is kept.
const (
	keyRetention = 10 * time.Minute
	maxKeys      = 64 << 10
	maxEvents    = 64
	// ticksPerReport is how often a tick comes for each word: keys go out and silences are seen.
	ticksPerReport = 5
	maxPings       = 8
	// staleTicks is after how many ticks, once or twice that, a query that is not whole is turned away.
	staleTicks = 40 * ticksPerReport
	// redialIntervals is after how many SilentAfter without a reply a link is given up for another:
	// what the system sends again for it comes ever seldomer.
	redialIntervals = 4
)

var _ core.RemoteSites = (*Service)(nil)

// Service is the other sites, as one gateway knows them. It is a core.RemoteSites.
type Service struct {
	core   *core.Core
	clock  core.Clock
	timers *timerqueue.Queue
	opts   Options
	cfg    decide.Config
	stats  *metrics.Counters
	log    *slog.Logger

	classes    map[string]policy.Class
	names      []string // of classes
	cores      map[string]float64
	peers      []*peer
	views      []*decide.Peer // of peers, in the same order
	meter      *decide.CapacityMeter
	chooser    decide.Chooser
	hedge      decide.Hedger
	keys       *decide.KeyHistory
	unsentKeys []message.SentKey // not told yet; Ago is when, µs of the clock
	packer     Packer
	forwarded  map[*core.Request]*forwardedRequest
	ticks      int
	reports    uint32
	draining   bool
	leaving    bool
	events     []Event
}

// New returns the service of a core. It begins to tick; SetSites is the caller's.
func New(c *core.Core, timers *timerqueue.Queue, opts Options, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{
		core: c, clock: c, timers: timers, opts: opts, cfg: opts.Config, stats: counters, log: log,
		classes: map[string]policy.Class{}, cores: map[string]float64{}, forwarded: map[*core.Request]*forwardedRequest{},
		meter: decide.NewCapacityMeter(opts.Config, opts.Settings.Gateways), keys: decide.NewKeyHistory(keyRetention, maxKeys),
	}
	for _, class := range opts.Settings.Classes {
		s.classes[class.Name] = class
		s.names = append(s.names, class.Name)
	}
	for _, k := range opts.Settings.Kinds {
		s.cores[k.Name] = k.Cores
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

// UpdateEngine takes an engine of this site.
func (s *Service) UpdateEngine(e core.Engine) {
	cores := s.cores[e.Kind]
	if cores <= 0 {
		cores = 1
	}
	st := decide.Engine{Cores: cores, Live: e.State == policy.EngineLive}
	if rules := s.opts.Settings.Rules; e.StartKnown {
		st.WarmUpUntil, st.WarmUpPeriod, st.WarmUpMinCapacity = e.Started+rules.WarmUpPeriod, rules.WarmUpPeriod, rules.WarmUpMinCapacity
	}
	s.meter.UpdateEngine(e.ID, st)
}

func (s *Service) threads(class string) float64 { return max(s.classes[class].Threads, 1) }

// AttemptStarted counts an attempt at an engine of this site, and remembers the key that it has.
func (s *Service) AttemptStarted(a *core.Attempt) {
	r := a.Request
	s.meter.AttemptStarted(s.threads(r.Class))
	if r.IdempotencyKey != "" && s.keys.Record(a.SentAt, r.IdempotencyKey, a.SentAt, decide.ThisSite) && len(s.peers) > 0 {
		s.unsentKeys = append(s.unsentKeys, message.SentKey{Key: r.IdempotencyKey, AgoUS: int64(a.SentAt / time.Microsecond)})
	}
}

// AttemptEnded takes the end of one.
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

// Drain has this site accept nothing new of others (site is "", or its own name), or sends nothing new to another site or
// gateway. It reports whether there is such a site.
func (s *Service) Drain(site string) bool { return s.setDraining(site, true) }

// Undrain takes Drain back.
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

// Leave says on all links that this process takes nothing new, and that it goes.
func (s *Service) Leave() {
	s.draining = true
	s.sendLoadReports()
	s.leaving = true
	for _, p := range s.peers {
		for _, l := range p.links {
			if l.greeted {
				l.leave()
			}
		}
	}
}

// Linked tells whether there is a link to a peer that neither side has left.
func (s *Service) Linked(n Name) bool {
	p := s.peer(n)
	return p != nil && slices.ContainsFunc(p.links, (*Link).isOpen)
}

// Idle tells whether nothing is on its way to another site or from one.
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
