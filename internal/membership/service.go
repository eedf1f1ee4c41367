// Package membership runs a member as internal/decide/membership decides: it passes datagrams to and from the network,
// signs them where there are keys, and turns actions into log events and counters. Except for a Keyring all of it
// belongs to the goroutine of the loop.
package membership

import (
	"errors"
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
	Listen     string
	Self       decide.ID
	Named      []decide.ID                                  // members that the settings name
	AddressOf  func(decide.ID) (netip.AddrPort, bool)       // of a member; false: it has none
	MemberAt   func(netip.AddrPort) (id decide.ID, ok bool) // the member at an address; false: nobody
	Config     decide.Config
	Keys       *Keyring // nil: datagrams are not signed
	Random     decide.RandomSource
	SavedState []byte // of the process before this one, by SaveState; nil: there was none
}

// Service is one member.
type Service struct {
	loop     *netio.Loop
	options  Options
	node     *decide.Node
	socket   *netio.DatagramSocket
	counters *metrics.Counters
	log      *slog.Logger
	ticker   *timerqueue.Entry
	stopped  bool // it has left, or another process is the member
}

// Start opens the socket and joins the other members.
func Start(loop *netio.Loop, options Options, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	if options.Keys != nil {
		options.Config = configWithSignatures(options.Config)
	}
	s := &Service{loop: loop, options: options, counters: counters, log: log}
	var err error
	if s.socket, err = loop.ListenDatagrams(options.Listen, s.receive); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	now := loop.Now()
	if len(options.SavedState) > 0 {
		if s.node, err = s.resume(now); err != nil {
			log.Warn("members.carried", "error", err, "then", "it begins as after a restart")
		}
	}
	if s.node == nil {
		s.node = decide.New(options.Config, options.Self, incarnationAt(now), options.Named, now, options.Random)
	}
	s.tick()
	return s, nil
}

// incarnationAt is the incarnation of a process that starts now: the Unix second.
func incarnationAt(now time.Duration) uint32 { return uint32(now / time.Second) }

// configWithSignatures returns settings under which datagrams with their signatures are no longer than without.
func configWithSignatures(config decide.Config) decide.Config {
	config.FrameOverheadBytes += signedOverhead
	config.MaxDatagramBytes -= signedOverhead
	return config
}

// savedStateDecoding bounds what is read of another process.
var savedStateDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil { // impossible with constant options
		panic(err)
	}
	return mode
}()

func (s *Service) resume(now time.Duration) (*decide.Node, error) {
	var saved decide.SavedState
	if err := savedStateDecoding.Unmarshal(s.options.SavedState, &saved); err != nil {
		return nil, fmt.Errorf("membership: decode saved state: %w", err)
	}
	if saved.Self != s.options.Self {
		return nil, fmt.Errorf("membership: saved state of member %d, this is member %d", saved.Self, s.options.Self)
	}
	return decide.Resume(s.options.Config, saved, incarnationAt(now), s.options.Named, now, s.options.Random)
}

// SaveState returns what this process knows of the fleet, for the process that replaces it.
func (s *Service) SaveState() ([]byte, error) {
	b, err := cbor.Marshal(s.node.SaveState())
	if err != nil {
		return nil, fmt.Errorf("membership: encode state: %w", err)
	}
	return b, nil
}

// HandOver releases the address without notifying anybody: another process goes on as this member.
func (s *Service) HandOver() {
	if s.stopped {
		return
	}
	s.stop()
	s.socket.Close()
	s.log.Info("members.handed-on")
}

// Leave announces to others that this member ends.
func (s *Service) Leave() {
	if s.stopped {
		return
	}
	s.handle(decide.Leave{})
	s.stop()
	s.log.Info("members.left")
}

func (s *Service) stop() {
	s.stopped = true
	s.ticker.Stop()
}

// Addr is the address that datagrams are received at.
func (s *Service) Addr() string { return s.socket.Addr().String() }

func (s *Service) tick() {
	if s.stopped {
		return
	}
	s.ticker = s.loop.Timers.Add(s.loop.Now()+s.node.TickInterval(), s.tick)
	s.handle(decide.Tick{})
}

// receive passes on a datagram of a member. Others are counted and dropped.
func (s *Service) receive(from netip.AddrPort, datagram []byte) {
	if s.stopped {
		return
	}
	payload := datagram
	if s.options.Keys != nil {
		var err error
		if payload, err = s.options.Keys.open(s.loop.Now(), from, datagram); err != nil {
			s.countRejection(err)
			return
		}
	}
	id, ok := s.options.MemberAt(from)
	if !ok {
		s.counters.Add("members.dropped.foreign")
		return
	}
	s.counters.Add("members.datagrams-in")
	s.handle(decide.DatagramReceived{From: id, Payload: payload})
}

func (s *Service) countRejection(err error) {
	var reason rejection
	if errors.As(err, &reason) {
		s.counters.Add("members.dropped." + string(reason))
	}
}

func (s *Service) handle(event decide.Event) {
	for _, action := range s.node.Handle(s.loop.Now(), event) {
		switch action := action.(type) {
		case decide.Send:
			s.send(action)
		case decide.ViewChanged:
			s.counters.Add("members.views")
			s.log.Info("members.view", "number", action.View.Number, "digest", formatDigest(action.View), "size", action.View.Size, "majority", action.Majority)
		case decide.MemberReport:
			s.counters.Add("members.reports." + action.State.String())
			s.log.Info("members.state", "member", uint64(action.Member), "state", action.State.String(), "why", action.Reason.String(), "witnesses", action.Witnesses)
		}
	}
	s.counters.Set("members.dropped.unreadable", int64(s.node.DroppedDatagrams))
	s.counters.Set("members.dropped.crowded", int64(s.node.RejectedMembers))
	s.counters.Set("members.dropped.flood", s.socket.Dropped())
}

func (s *Service) send(action decide.Send) {
	to, ok := s.options.AddressOf(action.To)
	if !ok {
		s.counters.Add("members.unreachable")
		return
	}
	datagram := action.Payload
	if s.options.Keys != nil {
		datagram = s.options.Keys.seal(s.loop.Now(), to, datagram)
	}
	s.counters.Add("members.datagrams-out")
	s.counters.AddN("members.bytes-out", int64(len(datagram)))
	if err := s.socket.Send(to, datagram); err != nil { // the same as one lost in transit
		s.counters.Add("members.unsent")
	}
}

func formatDigest(view decide.View) string { return fmt.Sprintf("%08x", view.Digest) }
