// Package members carries out what internal/decide/membership decides: datagrams on the loop, signed where there are keys,
// events in the log, figures. Everything but keys is the loop's.
package membership

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	decide "gannetspur/internal/decide/membership"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"

	"github.com/fxamacker/cbor/v2"
)

// Options say who this member is and how others are reached.
type Options struct {
	Listen string
	Self   decide.ID
	Named  []decide.ID // whom the settings name
	// Address tells where a member is reached, and Member whose address one is; false: nobody's.
	AddressOf  func(decide.ID) (netip.AddrPort, bool)
	MemberAt   func(netip.AddrPort) (decide.ID, bool)
	Config     decide.Config
	Keys       *Keyring // nil: datagrams are not signed
	Random     decide.RandomSource
	SavedState []byte // what the process before this one knew, of Carry; nil: there was none
}

// Service is one member.
type Service struct {
	loop    *netio.Loop
	opts    Options
	machine *decide.Node
	socket  *netio.Datagrams
	stats   *metrics.Counters
	log     *slog.Logger
	ticker  *timerqueue.Entry
	over    bool // it has left, or another process goes on
}

// Start opens the socket and begins to be a member.
func Start(loop *netio.Loop, opts Options, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{loop: loop, opts: opts, stats: counters, log: log}
	if opts.Keys != nil {
		opts.Config = signed(opts.Config)
	}
	var err error
	if s.socket, err = loop.Datagrams(opts.Listen, s.take); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	now := loop.Now()
	if len(opts.SavedState) > 0 {
		if s.machine, err = s.resume(now); err != nil { // others tell it all that it needs
			log.Warn("members.carried", "error", err, "then", "it begins as after a restart")
		}
	}
	if s.machine == nil {
		s.machine = decide.New(opts.Config, opts.Self, uint32(now/time.Second), opts.Named, now, opts.Random)
	}
	s.tick()
	return s, nil
}

// signed is a configuration whose datagrams, with what signing adds, are as long as without. Guards the bound of 256 bytes.
func signed(cfg decide.Config) decide.Config {
	cfg.FrameOverheadBytes += overhead
	cfg.MaxDatagramBytes -= overhead
	return cfg
}

func (s *Service) resume(now time.Duration) (*decide.Node, error) {
	var c decide.SavedState
	if err := carriedMode.Unmarshal(s.opts.SavedState, &c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if c.Self != s.opts.Self {
		return nil, fmt.Errorf("members: the process before was member %d, this one is %d", c.Self, s.opts.Self)
	}
	return decide.Resume(s.opts.Config, c, uint32(now/time.Second), s.opts.Named, now, s.opts.Random)
}

// carriedMode bounds what is read of another process.
var carriedMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil { // of constants: it can't be
		panic(err)
	}
	return m
}()

// SaveState returns what this process knows of the fleet, for one that takes its place.
func (s *Service) SaveState() ([]byte, error) {
	b, err := cbor.Marshal(s.machine.SaveState())
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return b, nil
}

// HandOver frees the address, and says nothing to anybody: another process goes on as this member.
func (s *Service) HandOver() {
	if s.over {
		return
	}
	s.end()
	s.socket.Close()
	s.log.Info("members.handed-on")
}

func (s *Service) end() {
	s.over = true
	s.ticker.Stop()
}

// Addr is where datagrams come.
func (s *Service) Addr() string { return s.socket.Addr().String() }

func (s *Service) tick() {
	if s.over {
		return
	}
	now := s.loop.Now()
	s.ticker = s.loop.Timers.Add(now+s.machine.TickInterval(), s.tick)
	s.handle(decide.Tick{})
}

// take reads a datagram. Whatever can't be used is counted, and dropped.
func (s *Service) take(from netip.AddrPort, b []byte) {
	if s.over {
		return
	}
	if s.opts.Keys != nil {
		var why string
		if b, why = s.opts.Keys.open(s.loop.Now(), from, b); why != "" {
			s.stats.Add("members.dropped." + why)
			return
		}
	}
	id, ok := s.opts.MemberAt(from)
	if !ok {
		s.stats.Add("members.dropped.foreign")
		return
	}
	s.stats.Add("members.datagrams-in")
	s.handle(decide.DatagramReceived{From: id, Payload: b})
}

func (s *Service) handle(event decide.Event) {
	for _, a := range s.machine.Handle(s.loop.Now(), event) {
		switch a := a.(type) {
		case decide.Send:
			s.send(a)
		case decide.ViewChanged:
			s.stats.Add("members.views")
			s.log.Info("members.view", "number", a.View.Number, "digest", fmt.Sprintf("%08x", a.View.Digest), "size", a.View.Size, "majority", a.Majority)
		case decide.MemberReport:
			s.stats.Add("members.told." + a.State.String())
			s.log.Info("members.state", "member", uint64(a.Member), "state", a.State.String(), "why", a.Reason, "witnesses", a.Witnesses)
		}
	}
	s.stats.Set("members.dropped.unreadable", int64(s.machine.DroppedDatagrams))
	s.stats.Set("members.dropped.crowded", int64(s.machine.RejectedMembers))
	s.stats.Set("members.dropped.flood", s.socket.Dropped())
}

func (s *Service) send(a decide.Send) {
	to, ok := s.opts.AddressOf(a.To)
	if !ok {
		s.stats.Add("members.unreachable")
		return
	}
	b := a.Payload
	if s.opts.Keys != nil {
		b = s.opts.Keys.seal(s.loop.Now(), to, b)
	}
	s.stats.Add("members.datagrams-out")
	s.stats.Raise("members.bytes-out", int64(len(b)))
	if err := s.socket.Send(to, b); err != nil { // as good as lost on its way
		s.stats.Add("members.unsent")
	}
}

// Leave tells others that this member ends.
func (s *Service) Leave() {
	if s.over {
		return
	}
	s.handle(decide.Leave{})
	s.end()
	s.log.Info("members.left")
}

// Stats are what operators are told at the control endpoint.
type Stats struct {
	Live, Named, Suspect, PartlyReachable, Dead, Unreachable int
	View                                                     decide.View
	Majority                                                 bool
	HeardMembers, SameView                                   int // members heard lately, and of them those that have this view
	SelfSuspicion                                            string
}

// Stats is a snapshot.
func (s *Service) Stats() Stats {
	f := Stats{}
	f.View, f.Majority = s.machine.View()
	f.Live = f.View.Size
	f.HeardMembers, f.SameView = s.machine.ViewAgreement()
	if why, doubts := s.machine.SelfSuspicion(); doubts {
		f.SelfSuspicion = why
	}
	for _, m := range s.machine.Snapshot(s.loop.Now()) {
		f.Named++
		switch m.State {
		case decide.Suspect:
			f.Suspect++
		case decide.PartlyReachable:
			f.PartlyReachable++
		case decide.Dead:
			f.Dead++
		case decide.Unreachable:
			f.Unreachable++
		}
	}
	return f
}

// Overview is all that a member holds, for operators.
type Overview struct {
	Self          uint64           `json:"self"`
	Addr          string           `json:"address"`
	View          ViewOverview     `json:"view"`
	SelfSuspicion string           `json:"doubt,omitempty"`
	Members       []MemberOverview `json:"members"`
}

// ViewOverview is a view.
type ViewOverview struct {
	Number       uint32 `json:"number"`
	Digest       string `json:"digest"`
	Size         int    `json:"size"`
	Majority     bool   `json:"majority"` // more than half of those here lately are in it
	HeardMembers int    `json:"heard"`    // members that were heard lately
	SameView     int    `json:"same"`     // of these, those that have the same view
}

// MemberOverview is one member.
type MemberOverview struct {
	ID                 uint64      `json:"id"`
	Address            string      `json:"address"`
	State              string      `json:"state"`
	Incarnation        uint32      `json:"incarnation"`
	HeardMS            float64     `json:"heard_ms"` // ago; -1: not since the start
	LossRate           float64     `json:"loss"`
	SuspectsItself     bool        `json:"doubts_itself,omitempty"`
	Monitored          bool        `json:"watched,omitempty"`
	NotHeardBy         []decide.ID `json:"not_heard_by,omitempty"`
	NotHeardButAliveBy []decide.ID `json:"not_heard_by_but_alive,omitempty"`
	HeardBy            []decide.ID `json:"heard_by,omitempty"`
}

// Overview is a snapshot.
func (s *Service) Overview() Overview {
	f := s.Stats()
	o := Overview{Self: uint64(s.opts.Self), Addr: s.Addr(), SelfSuspicion: f.SelfSuspicion, View: ViewOverview{f.View.Number, fmt.Sprintf("%08x", f.View.Digest), f.View.Size, f.Majority, f.HeardMembers, f.SameView}}
	for _, m := range s.machine.Snapshot(s.loop.Now()) {
		one := MemberOverview{
			ID: uint64(m.ID), State: m.State.String(), Incarnation: m.Incarnation, HeardMS: float64(m.SinceHeard) / float64(time.Millisecond), LossRate: m.LossRate,
			SuspectsItself: m.SuspectsItself, Monitored: m.Monitored, NotHeardBy: m.NotHeardBy, NotHeardButAliveBy: m.NotHeardButAliveBy, HeardBy: m.HeardBy,
		}
		if m.SinceHeard < 0 {
			one.HeardMS = -1
		}
		if a, ok := s.opts.AddressOf(m.ID); ok {
			one.Address = a.String()
		}
		o.Members = append(o.Members, one)
	}
	return o
}
