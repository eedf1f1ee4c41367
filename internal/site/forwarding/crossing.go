// Package crossing takes requests to other sites and serves those of other sites here. It
// carries out what internal/decide/remotesite decides, over links whose sockets are others' affair
// (internal/site/link), so that it runs in virtual time as well. It belongs to the goroutine
// of its core.
package forwarding

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/metrics"
	"gannetspur/internal/site/message"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Codec turns the statements and results of a wire into bytes and back. What it reads comes
// from another gateway: it checks all that an engine or a client would rely on.
type Codec interface {
	Form() string
	Statement(statement core.Statement) ([]byte, error)
	ReadStatement(b []byte) (core.Statement, error)
	Result(result core.Result) ([]byte, error)
	ReadResult(b []byte) (core.Result, error)
	Detail(detail error) []byte // nil: there is nothing to tell
	ReadDetail(b []byte) (detail, err error)
}

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
	// Choose, where given, is asked in place of decide.Chooser: the laboratory compares ways.
	Choose func(now time.Duration, q *decide.Query, room float64, peers []*decide.Peer) decide.Choice
}

// Bounds of what is kept.
const (
	keysFor    = 10 * time.Minute
	keysMost   = 64 << 10
	eventsMost = 64
	// ticksAWord is how often a tick comes for each word: keys go out and silences are seen.
	ticksAWord = 5
	pingsOut   = 8
	// staleTicks is after how many ticks, once or twice that, a query that is not whole is turned away.
	staleTicks = 40 * ticksAWord
	// redialAfter is after how many SilentAfter without a reply a link is given up for another:
	// what the system sends again for it comes ever seldomer.
	redialAfter = 4
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

	classes  map[string]policy.Class
	names    []string // of classes
	cores    map[string]float64
	peers    []*peer
	views    []*decide.Peer // of peers, in the same order
	meter    *decide.CapacityMeter
	chooser  decide.Chooser
	hedge    decide.Hedger
	keys     *decide.KeyHistory
	fresh    []message.SentKey // not told yet; Ago is when, µs of the clock
	packer   Packer
	away     map[*core.Request]*crossed
	ticked   int
	words    uint32
	draining bool
	leaving  bool
	events   []Event
}

// peer is a gateway at another site.
type peer struct {
	decide.Peer
	name  Name
	links []*Link // the newest last
	off   bool    // the settings name it no more
	asked float64 // work that it asked for of late, s
}

// Event is a change of what is believed of a peer.
type Event struct {
	At       time.Duration // module time
	Peer     Name
	From, To string
	Why      string
}

// New returns the service of a core. It begins to tick; SetSites is the caller's.
func New(c *core.Core, timers *timerqueue.Queue, opts Options, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{
		core: c, clock: c, timers: timers, opts: opts, cfg: opts.Config, stats: counters, log: log,
		classes: map[string]policy.Class{}, cores: map[string]float64{}, away: map[*core.Request]*crossed{},
		meter: decide.NewCapacityMeter(opts.Config, opts.Settings.Gateways), keys: decide.NewKeyHistory(keysFor, keysMost),
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

// SetPeers names the gateways at other sites. Links to those that are named no more end, with what
// is open on them; a peer that is named again is taken up where it was.
func (s *Service) SetPeers(names []Name) {
	for _, p := range s.peers { // places stay: what is warm where is known by them
		if p.off = !slices.Contains(names, p.name); p.off {
			for _, l := range slices.Clone(p.links) {
				l.t.Close(ErrPeer)
			}
		}
	}
	for _, n := range names {
		if !slices.ContainsFunc(s.peers, func(p *peer) bool { return p.name == n }) {
			p := &peer{name: n}
			s.peers = append(s.peers, p)
			s.views = append(s.views, &p.Peer)
		}
	}
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
		s.fresh = append(s.fresh, message.SentKey{Key: r.IdempotencyKey, AgoUS: int64(a.SentAt / time.Microsecond)})
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

// query is what the decisions need of a request.
func (s *Service) query(r *core.Request, turned bool) decide.Query {
	class, now := s.classes[r.Class], s.clock.Now()
	q := decide.Query{
		Class: r.Class, Idempotency: decide.Idempotency(class.Idempotency), Work: r.Work.Seconds(), PriorityWeight: class.PriorityWeight, DataSet: r.DataSet, Remaining: r.Deadline - now,
		Forwarded: r.FromOtherSite, RejectedLocally: turned, Attempts: r.SendCount(), DedupWindow: class.DedupWindow,
		DedupNotShared: class.Idempotency == policy.IdempotentWithKey && (class.DedupScope != policy.DedupAll || !s.cfg.SharedDedup),
	}
	if q.Work <= 0 {
		if q.Work = s.meter.TypicalWork(r.Class); q.Work <= 0 {
			q.Work = class.LatencyObjective.Seconds() / 3 * max(class.Threads, 1)
		}
	}
	if first := r.FirstSentAt(); first > 0 {
		q.MayHaveRun, q.SinceFirstAttempt = true, now-first
	}
	return q
}

// ForwardOnArrival takes a request that has just come to another site, or settles it, where
// that is decided.
func (s *Service) ForwardOnArrival(r *core.Request) bool {
	s.meter.RecordArrival(s.clock.Now(), r.Class)
	if r.MaxSends == 0 {
		r.MaxSends = s.cfg.MaxAttempts
	}
	if s.tooLate(r) {
		return true
	}
	return s.forward(r, false)
}

// ForwardRejected takes a request that was rejected here to another site, where that is decided.
func (s *Service) ForwardRejected(r *core.Request) bool {
	s.meter.RecordRejection(s.clock.Now(), r.Class)
	return s.forward(r, true)
}

func (s *Service) forward(r *core.Request, rejected bool) bool {
	if r.FromOtherSite || r.Streaming || r.SerialKey != "" || len(s.peers) == 0 { // the turns of a key are this gateway's to keep
		return false
	}
	now := s.clock.Now()
	q := s.query(r, rejected)
	choose := s.opts.Choose
	if choose == nil {
		choose = func(now time.Duration, q *decide.Query, room float64, peers []*decide.Peer) decide.Choice {
			return s.chooser.Choose(s.cfg, now, q, room, peers)
		}
	}
	choice := choose(now, &q, s.meter.FreeCapacityFor(now, &q), s.views)
	return choice.Destination == decide.Remote && s.send(r, &q, s.peers[choice.Peer])
}

// tooLate settles a request whose key may have run, once its window is over, or where no engine
// of this site would drop its repeat. Guards against a client that turns to another gateway
// with the same key.
func (s *Service) tooLate(r *core.Request) bool {
	if r.IdempotencyKey == "" {
		return false
	}
	first, origin, known := s.keys.FirstSend(s.clock.Now(), r.IdempotencyKey)
	if known {
		s.core.RecordRemoteSend(r, first)
	}
	if r.PriorSentAt == 0 {
		return false
	}
	q := s.query(r, false)
	q.Attempts = 0
	q.DedupNotShared = q.DedupNotShared && origin == decide.OtherSite
	if decide.MayAttempt(s.cfg, &q, 0) {
		return false
	}
	s.stats.Add("site.key-over")
	s.core.CompleteForwarded(r, core.Answer{Verdict: core.Failed, Sent: true})
	return true
}

// Drain has this site take nothing new of others (site is ""), or sends nothing new to one. off
// takes it back. It tells whether there is such a site.
func (s *Service) Drain(site string, off bool) bool {
	if site == "" || site == s.opts.Name.Site {
		s.draining = !off
		s.word()
		return true
	}
	found := false
	for _, p := range s.peers {
		if !p.off && (p.name.Site == site || p.name.String() == site) {
			p.SetDrained(!off)
			found = true
		}
	}
	return found
}

// Leave says on all links that this process takes nothing new, and that it goes.
func (s *Service) Leave() {
	s.draining = true
	s.word()
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
	return p != nil && slices.ContainsFunc(p.links, (*Link).fresh)
}

// Idle tells whether nothing is on its way to another site or from one.
func (s *Service) Idle() bool {
	for _, p := range s.peers {
		for _, l := range p.links {
			if len(l.mine)+len(l.theirs) > 0 {
				return false
			}
		}
	}
	return true
}

// tick sees silences, tells of keys, and says now and then how much room there is.
func (s *Service) tick() {
	now := s.clock.Now()
	s.timers.Add(now+s.cfg.DigestInterval/ticksAWord, s.tick)
	for _, p := range s.peers {
		s.watch(p, now)
		for _, l := range slices.Clone(p.links) {
			switch {
			case p.SinceReply(now) > redialAfter*s.cfg.UnreachableAfter && now-l.since > redialAfter*s.cfg.UnreachableAfter:
				l.t.Close(ErrSilent)
			case l.done(now):
				l.t.Close(nil)
			}
		}
	}
	s.tellKeys(now)
	if s.ticked++; s.ticked%ticksAWord == 0 {
		s.word()
	}
	if s.ticked%staleTicks == 0 {
		for _, p := range s.peers {
			for _, l := range p.links {
				if err := l.mux.RejectStale(); err != nil {
					l.t.Close(err)
				}
			}
		}
	}
}

// watch takes back what is at a peer that has fallen silent.
func (s *Service) watch(p *peer, now time.Duration) {
	c, changed := p.StateChange(s.cfg, now)
	if !changed {
		return
	}
	s.event(Event{At: now, Peer: p.name, From: c.From.String(), To: c.To.String(), Why: c.Reason.String()})
	if c.To == decide.Unreachable {
		for _, l := range slices.Clone(p.links) {
			l.takeBack("silent")
		}
	}
}

func (s *Service) event(e Event) {
	s.stats.Add("site.state." + e.To)
	s.log.Info("site.state", "peer", e.Peer.String(), "from", e.From, "to", e.To, "why", e.Why)
	if s.events = append(s.events, e); len(s.events) > eventsMost {
		s.events = slices.Delete(s.events, 0, 1)
	}
}

// word tells all peers how much room there is, and asks how long the way is.
func (s *Service) word() {
	if s.leaving { // a new version may speak for this gateway by now
		return
	}
	now := s.clock.Now()
	var to []*Link
	var asked []float64
	for _, p := range s.peers {
		if l := p.link(); l != nil {
			to, asked = append(to, l), append(asked, p.asked)
			p.asked /= 2
		}
	}
	if len(to) == 0 {
		return
	}
	s.words++
	d := s.meter.Digest(now, s.names)
	for i, takes := range decide.DivideWork(d.AcceptableWork, asked) {
		if s.draining {
			takes = 0
		}
		to[i].digest(s.words, message.LoadReport{FreeCapacity: d.FreeCapacity, WorkSeconds: takes, Draining: s.draining})
		to[i].ping(now)
	}
}

// tellKeys tells all peers of the keys that were sent since it was last called.
func (s *Service) tellKeys(now time.Duration) {
	for len(s.fresh) > 0 {
		n := min(len(s.fresh), message.MaxKeys)
		all := make([]message.SentKey, n)
		for i, k := range s.fresh[:n] {
			all[i] = message.SentKey{Key: k.Key, AgoUS: max(int64(now/time.Microsecond)-k.AgoUS, 0)}
		}
		s.fresh = s.fresh[n:]
		for _, p := range s.peers {
			if l := p.link(); l != nil {
				l.tell(message.SentKeys{Keys: all})
			}
		}
	}
	s.fresh = nil
}

// link is where new streams to a peer are opened: the newest that neither side has left, else one
// that was left just now, as its successor is on its way; nil: none.
func (p *peer) link() (left *Link) {
	for _, l := range slices.Backward(p.links) {
		switch {
		case l.fresh():
			return l
		case left == nil && l.greeted && l.s.clock.Now()-max(l.leftAt, l.theyLeft) < leftFor/2:
			left = l
		}
	}
	return left
}

func (s *Service) peer(n Name) *peer {
	for _, p := range s.peers {
		if p.name == n && !p.off {
			return p
		}
	}
	return nil
}

// Status is how a peer stands.
type Status struct {
	Peer     string             `json:"peer"`
	State    string             `json:"state"`
	Drained  bool               `json:"drained_here,omitempty"`
	HeardMS  float64            `json:"heard_ms_ago"` // below 0: never
	RTTMS    float64            `json:"rtt_ms"`
	Links    int                `json:"links"`
	There    int                `json:"requests_there"`
	Theirs   int                `json:"requests_from_there"`
	Room     map[string]float64 `json:"room"`
	Credit   float64            `json:"credit_s"`
	Distrust float64            `json:"distrust"`
}

// Overview is how the sites stand, as this gateway sees them.
type Overview struct {
	Name     string             `json:"name"`
	Draining bool               `json:"draining"`
	Room     map[string]float64 `json:"room"` // of this site
	Cores    float64            `json:"cores"`
	Peers    []Status           `json:"peers"`
	Log      []string           `json:"events"`
}

// Overview tells how the sites stand.
func (s *Service) Overview() Overview {
	now := s.clock.Now()
	o := Overview{Name: s.opts.Name.String(), Draining: s.draining, Room: map[string]float64{}, Cores: s.meter.AvailableCores(now)}
	for _, name := range s.names {
		o.Room[name] = s.meter.FreeCapacity(now, name)
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, p := range s.peers {
		if p.off {
			continue
		}
		st := Status{
			Peer: p.name.String(), State: p.State(s.cfg, now).String(), Drained: p.IsDrained(), HeardMS: ms(p.SinceReply(now)), RTTMS: ms(p.RTT()),
			Links: len(p.links), Room: map[string]float64{}, Credit: p.Credit(), Distrust: p.Distrust(now),
		}
		for _, l := range p.links {
			st.There += len(l.mine)
			st.Theirs += len(l.theirs)
		}
		for _, name := range s.names {
			st.Room[name] = p.FreeCapacity(name)
		}
		o.Peers = append(o.Peers, st)
	}
	slices.SortFunc(o.Peers, func(a, b Status) int { return strings.Compare(a.Peer, b.Peer) })
	for _, e := range s.events {
		o.Log = append(o.Log, fmt.Sprintf("%.1f s ago: %s: %s, was %s: %s", (now-e.At).Seconds(), e.Peer, e.To, e.From, e.Why))
	}
	return o
}
