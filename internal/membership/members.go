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
	Address func(decide.ID) (netip.AddrPort, bool)
	Member  func(netip.AddrPort) (decide.ID, bool)
	Config  decide.Config
	Keys    *Keys // nil: datagrams are not signed
	Chance  decide.Chance
	Carried []byte // what the process before this one knew, of Carry; nil: there was none
}

// Service is one member.
type Service struct {
	loop    *netio.Loop
	opts    Options
	machine *decide.Machine
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
	if len(opts.Carried) > 0 {
		if s.machine, err = s.resume(now); err != nil { // others tell it all that it needs
			log.Warn("members.carried", "error", err, "then", "it begins as after a restart")
		}
	}
	if s.machine == nil {
		s.machine = decide.New(opts.Config, opts.Self, uint32(now/time.Second), opts.Named, now, opts.Chance)
	}
	s.tick()
	return s, nil
}

// signed is a configuration whose datagrams, with what signing adds, are as long as without. Guards the bound of 256 bytes.
func signed(cfg decide.Config) decide.Config {
	cfg.Frame += overhead
	cfg.Limit -= overhead
	return cfg
}

func (s *Service) resume(now time.Duration) (*decide.Machine, error) {
	var c decide.Carried
	if err := carriedMode.Unmarshal(s.opts.Carried, &c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if c.Self != s.opts.Self {
		return nil, fmt.Errorf("members: the process before was member %d, this one is %d", c.Self, s.opts.Self)
	}
	return decide.Resume(s.opts.Config, c, uint32(now/time.Second), s.opts.Named, now, s.opts.Chance)
}

// carriedMode bounds what is read of another process.
var carriedMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil { // of constants: it can't be
		panic(err)
	}
	return m
}()

// Carry is what this process knows of the fleet, for one that takes its place.
func (s *Service) Carry() ([]byte, error) {
	b, err := cbor.Marshal(s.machine.Carry())
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return b, nil
}

// HandOn frees the address, and says nothing to anybody: another process goes on as this member.
func (s *Service) HandOn() {
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
	s.ticker = s.loop.Timers.Add(now+s.machine.Step(), s.tick)
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
	id, ok := s.opts.Member(from)
	if !ok {
		s.stats.Add("members.dropped.foreign")
		return
	}
	s.stats.Add("members.datagrams-in")
	s.handle(decide.Heard{From: id, B: b})
}

func (s *Service) handle(event any) {
	for _, a := range s.machine.Handle(s.loop.Now(), event) {
		switch a := a.(type) {
		case decide.Send:
			s.send(a)
		case decide.Changed:
			s.stats.Add("members.views")
			s.log.Info("members.view", "number", a.View.Number, "digest", fmt.Sprintf("%08x", a.View.Digest), "size", a.View.Size, "majority", a.Majority)
		case decide.Told:
			s.stats.Add("members.told." + a.State.String())
			s.log.Info("members.state", "member", uint64(a.About), "state", a.State.String(), "why", a.Why, "witnesses", a.Witnesses)
		}
	}
	s.stats.Set("members.dropped.unreadable", int64(s.machine.Dropped))
	s.stats.Set("members.dropped.crowded", int64(s.machine.Crowded))
	s.stats.Set("members.dropped.flood", s.socket.Dropped())
}

func (s *Service) send(a decide.Send) {
	to, ok := s.opts.Address(a.To)
	if !ok {
		s.stats.Add("members.unreachable")
		return
	}
	b := a.B
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

// Figures are what operators are told at the control endpoint.
type Figures struct {
	Live, Named, Suspect, Cut, Dead, Lost int
	View                                  decide.View
	Majority                              bool
	Heard, Same                           int // members heard lately, and of them those that have this view
	Doubt                                 string
}

// Figures is a snapshot.
func (s *Service) Figures() Figures {
	f := Figures{}
	f.View, f.Majority = s.machine.View()
	f.Live = f.View.Size
	f.Heard, f.Same = s.machine.Agrees()
	if why, doubts := s.machine.Doubt(); doubts {
		f.Doubt = why
	}
	for _, m := range s.machine.Snapshot(s.loop.Now()) {
		f.Named++
		switch m.State {
		case decide.Suspect:
			f.Suspect++
		case decide.Cut:
			f.Cut++
		case decide.Dead:
			f.Dead++
		case decide.Lost:
			f.Lost++
		}
	}
	return f
}

// Overview is all that a member holds, for operators.
type Overview struct {
	Self    uint64      `json:"self"`
	Addr    string      `json:"address"`
	View    OverviewSet `json:"view"`
	Doubt   string      `json:"doubt,omitempty"`
	Members []One       `json:"members"`
}

// OverviewSet is a view.
type OverviewSet struct {
	Number   uint32 `json:"number"`
	Digest   string `json:"digest"`
	Size     int    `json:"size"`
	Majority bool   `json:"majority"` // more than half of those here lately are in it
	Heard    int    `json:"heard"`    // members that were heard lately
	Same     int    `json:"same"`     // of these, those that have the same view
}

// One is one member.
type One struct {
	ID      uint64      `json:"id"`
	Address string      `json:"address"`
	State   string      `json:"state"`
	Inc     uint32      `json:"incarnation"`
	HeardMS float64     `json:"heard_ms"` // ago; -1: not since the start
	Loss    float64     `json:"loss"`
	Doubts  bool        `json:"doubts_itself,omitempty"`
	Watched bool        `json:"watched,omitempty"`
	Deaf    []decide.ID `json:"not_heard_by,omitempty"`
	Aside   []decide.ID `json:"not_heard_by_but_alive,omitempty"`
	Hear    []decide.ID `json:"heard_by,omitempty"`
}

// Overview is a snapshot.
func (s *Service) Overview() Overview {
	f := s.Figures()
	o := Overview{Self: uint64(s.opts.Self), Addr: s.Addr(), Doubt: f.Doubt, View: OverviewSet{f.View.Number, fmt.Sprintf("%08x", f.View.Digest), f.View.Size, f.Majority, f.Heard, f.Same}}
	for _, m := range s.machine.Snapshot(s.loop.Now()) {
		one := One{
			ID: uint64(m.ID), State: m.State.String(), Inc: m.Inc, HeardMS: float64(m.Heard) / float64(time.Millisecond), Loss: m.Loss,
			Doubts: m.Doubts, Watched: m.Watched, Deaf: m.Deaf, Aside: m.Aside, Hear: m.Hear,
		}
		if m.Heard < 0 {
			one.HeardMS = -1
		}
		if a, ok := s.opts.Address(m.ID); ok {
			one.Address = a.String()
		}
		o.Members = append(o.Members, one)
	}
	return o
}
