// Package membership runs the member that internal/decide/membership implements: it passes datagrams to and from the
// network, signs them if keys are configured, and turns actions into log events and counters. Everything except a
// Keyring must be used on the goroutine of the event loop only.
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

// Options are the settings of a member and how to reach the others.
type Options struct {
	// Listen is the UDP address to receive datagrams at.
	Listen string
	// Self is the ID of this member.
	Self decide.ID
	// ConfiguredMembers are the members that the settings name.
	ConfiguredMembers []decide.ID
	// AddressOf returns the address of a member, and false if it has none.
	AddressOf func(decide.ID) (netip.AddrPort, bool)
	// MemberAt returns the member at an address, and false if there is none.
	MemberAt func(netip.AddrPort) (id decide.ID, ok bool)
	// Config holds the protocol settings, without the overhead of signatures.
	Config decide.Config
	// Keys signs and verifies datagrams. Nil: datagrams are not signed.
	Keys *Keyring
	// Random is the source of random numbers. It must not be nil.
	Random decide.RandomSource
	// SavedState is what SaveState returned in the previous process. Empty: start without it.
	SavedState []byte
}

// Service is a running member.
type Service struct {
	loop     *netio.Loop
	options  Options
	node     *decide.Node
	socket   *netio.DatagramSocket
	counters *metrics.Counters
	log      *slog.Logger
	ticker   *timerqueue.Timer
	stopped  bool // whether it has left or another process has taken over the member
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
			log.Warn("members.carried", "error", err, "then", "starting without the saved state")
		}
	}
	if s.node == nil {
		s.node = decide.New(options.Config, options.Self, incarnationAt(now), options.ConfiguredMembers, now, options.Random)
	}
	s.tick()
	return s, nil
}

// incarnationAt returns the incarnation of a process that starts now, the Unix time in seconds.
func incarnationAt(now time.Duration) uint32 { return uint32(now / time.Second) }

// configWithSignatures returns settings with which signed datagrams are no longer than unsigned ones would be.
func configWithSignatures(config decide.Config) decide.Config {
	config.FrameOverheadBytes += signedOverhead
	config.MaxDatagramBytes -= signedOverhead
	return config
}

// savedStateDecoding limits the size of what is decoded from another process.
var savedStateDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil { // impossible with constant options
		panic(err)
	}
	return mode
}()

// resume returns a member that continues from the saved state in the options.
func (s *Service) resume(now time.Duration) (*decide.Node, error) {
	var saved decide.SavedState
	if err := savedStateDecoding.Unmarshal(s.options.SavedState, &saved); err != nil {
		return nil, fmt.Errorf("membership: decode saved state: %w", err)
	}
	if saved.Self != s.options.Self {
		return nil, fmt.Errorf("membership: saved state belongs to member %d, not to this member %d", saved.Self, s.options.Self)
	}
	return decide.Resume(s.options.Config, saved, incarnationAt(now), s.options.ConfiguredMembers, now, s.options.Random)
}

// SaveState returns the encoded state for the process that replaces this one.
func (s *Service) SaveState() ([]byte, error) {
	b, err := cbor.Marshal(s.node.SaveState())
	if err != nil {
		return nil, fmt.Errorf("membership: encode saved state: %w", err)
	}
	return b, nil
}

// HandOver closes the socket without notifying other members, as another process continues as this member.
func (s *Service) HandOver() {
	if s.stopped {
		return
	}
	s.stop()
	s.socket.Close()
	s.log.Info("members.handed-on")
}

// Leave announces the shutdown of this member to others.
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

// Addr returns the address at which datagrams are received.
func (s *Service) Addr() string { return s.socket.Addr().String() }

// tick handles a Tick and schedules the next one.
func (s *Service) tick() {
	if s.stopped {
		return
	}
	s.ticker = s.loop.Timers.Add(s.loop.Now()+s.node.TickInterval(), s.tick)
	s.handle(decide.Tick{})
}

// receive verifies a datagram and passes it to the node. Datagrams that fail the check, or that do not come from a
// member, are counted and dropped.
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
		s.counters.Inc("members.dropped.foreign")
		return
	}
	s.counters.Inc("members.datagrams-in")
	s.handle(decide.DatagramReceived{From: id, Payload: payload})
}

// countRejection counts a datagram that the keyring rejected.
func (s *Service) countRejection(err error) {
	var reason rejection
	if errors.As(err, &reason) {
		s.counters.Inc("members.dropped." + string(reason))
	}
}

// handle passes an event to the node and carries out the resulting actions.
func (s *Service) handle(event decide.Event) {
	for _, action := range s.node.Handle(s.loop.Now(), event) {
		switch action := action.(type) {
		case decide.Send:
			s.send(action)
		case decide.ViewChanged:
			s.counters.Inc("members.views")
			s.log.Info("members.view", "number", action.View.Number, "digest", formatDigest(action.View), "size", action.View.Size, "majority", action.Majority)
		case decide.MemberReport:
			s.counters.Inc("members.reports." + action.State.String())
			s.log.Info("members.state", "member", uint64(action.Member), "state", action.State.String(), "why", action.Reason.String(), "witnesses", action.Witnesses)
		}
	}
	s.counters.Set("members.dropped.unreadable", int64(s.node.DroppedDatagrams))
	s.counters.Set("members.dropped.crowded", int64(s.node.RejectedMembers))
	s.counters.Set("members.dropped.flood", s.socket.Dropped())
}

// send sends a datagram, signed if there are keys.
func (s *Service) send(action decide.Send) {
	to, ok := s.options.AddressOf(action.To)
	if !ok {
		s.counters.Inc("members.unreachable")
		return
	}
	datagram := action.Payload
	if s.options.Keys != nil {
		datagram = s.options.Keys.seal(s.loop.Now(), to, datagram)
	}
	s.counters.Inc("members.datagrams-out")
	s.counters.AddN("members.bytes-out", int64(len(datagram)))
	if err := s.socket.Send(to, datagram); err != nil { // equivalent to a datagram lost in transit
		s.counters.Inc("members.unsent")
	}
}

// formatDigest returns the digest of a view as eight hexadecimal digits.
func formatDigest(view decide.View) string { return fmt.Sprintf("%08x", view.Digest) }
