package forwarding

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/site/message"
	"gannetspur/internal/site/mux"
)

// Transport moves a link's bytes: a TLS connection, or a simulated one in the testbed.
type Transport interface {
	// Ready reports that the link has output to Pull after it had none.
	Ready()
	// Close closes the transport; why is nil for an orderly close. Link.Closed is called later.
	Close(why error)
}

// Link is one link to a peer whose certificate was verified.
type Link struct {
	service       *Service
	peer          *peer
	mux           *mux.Link
	transport     Transport
	since         time.Duration // when the link was opened, on the core's clock
	dialled       bool          // this side opened the connection
	greeted       bool          // the peer's Hello was accepted
	closed        bool
	closingAt     time.Duration                // when this side sent GoAway; 0: it has not
	peerClosingAt time.Duration                // when the peer sent GoAway; 0: it has not
	compress      bool                         // bodies may be compressed: both sides support zstd
	forwarded     map[uint32]*forwardedRequest // open requests forwarded to the peer, by stream
	served        map[uint32]*servedRequest    // open requests from the peer, by stream
	pings         [maxPings]ping               // latest pings, at index number%maxPings
	lastPing      uint32                       // number of the latest ping
}

// ping is a ping that was sent.
type ping struct {
	number uint32
	at     time.Duration // when it was sent; 0: its pong has arrived
}

// ErrPeer reports a peer that is not configured, or whose Hello contradicts its certificate or this
// side's encoding.
var ErrPeer = errors.New("site link: not a valid peer")

// closingPeriod is the minimum time that a link stays open after a GoAway, so that frames still in
// transit arrive.
const closingPeriod = 2 * time.Second

// ErrSilent is the reason for closing a link whose peer has not replied for redialIntervals times the
// configured UnreachableAfter.
var ErrSilent = errors.New("site link: no reply from the peer")

// Connect starts a link to a peer on a new connection whose certificate proved the peer's name.
func (s *Service) Connect(t Transport, name Name, dialled bool) (*Link, error) {
	p := s.peer(name)
	if p == nil {
		return nil, fmt.Errorf("%w: %s is not a configured peer", ErrPeer, name)
	}
	l := &Link{service: s, peer: p, transport: t, since: s.clock.Now(), dialled: dialled, forwarded: map[uint32]*forwardedRequest{}, served: map[uint32]*servedRequest{}}
	var err error
	l.mux, err = mux.New(mux.Config{Dialled: dialled, MaxHeldBytes: s.opts.Held, Hello: message.Hello{
		Site: s.opts.Name.Site, Gateway: s.opts.Name.Gateway, Incarnation: s.opts.Start, Format: s.opts.Codec.Form(), AcceptsZstd: s.packer.dec != nil,
	}}, l)
	if err != nil {
		return nil, err
	}
	p.links = append(p.links, l)
	return l, nil
}

// Input processes received bytes and returns how many were consumed; see mux.Link.Input. The transport
// must close the link on an error.
func (l *Link) Input(b []byte) (int, error) {
	late := l.mux.LateFrames
	n, err := l.mux.Input(b)
	for range l.mux.LateFrames - late {
		l.service.counters.Inc("site.late")
	}
	return n, err
}

// Pull appends about that many bytes of output to b; see mux.Link.Pull.
func (l *Link) Pull(b []byte, about int) []byte { return l.mux.Pull(b, about) }

// Waiting reports whether there is output to Pull.
func (l *Link) Waiting() bool { return l.mux.HasOutput() }

// Idle reports whether the link has no open requests in either direction.
func (l *Link) Idle() bool { return len(l.forwarded)+len(l.served) == 0 }

// OutputReady implements mux.Handler.
func (l *Link) OutputReady() { l.transport.Ready() }

// isOpen reports whether the link is established and neither side has sent GoAway.
func (l *Link) isOpen() bool {
	return l.greeted && !l.closed && l.closingAt == 0 && l.peerClosingAt == 0
}

// Renew asks the peer to open a new link for further requests, because this one was established with
// keys that have been replaced.
func (l *Link) Renew() {
	if l.greeted {
		l.goAway()
	}
}

// goAway sends GoAway once, so that the peer opens new streams on another link.
func (l *Link) goAway() {
	if l.closingAt == 0 {
		l.closingAt = max(l.service.clock.Now(), 1)
		l.mux.GoAway()
	}
}

// canClose reports whether the link is no longer needed: a side sent GoAway more than closingPeriod ago,
// which covers frames still in transit, and no request is open. A gateway that shuts down keeps its
// links.
func (l *Link) canClose(now time.Duration) bool {
	goAwayAt := max(l.closingAt, l.peerClosingAt)
	return goAwayAt > 0 && now-goAwayAt > closingPeriod && l.Idle() && !l.service.shuttingDown
}

// Closed handles the end of the connection. The outcome of requests at the peer is in doubt, and requests
// served for the peer no longer have a client.
func (l *Link) Closed() {
	if l.closed {
		return
	}
	l.closed = true
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *Link) bool { return o == l })
	if l.peer.SetConnected(len(l.peer.links) > 0); l.peerClosingAt > 0 && len(l.peer.links) == 0 {
		l.peer.RecordDeparture()
	}
	l.returnForwarded("broken")
	for _, id := range sorted(l.served) {
		f := l.served[id]
		delete(l.served, id)
		l.service.core.ClientDisconnected(f.request)
	}
	l.service.checkPeer(l.peer, l.service.clock.Now())
}

// returnForwarded ends all requests that were forwarded over the link, with their outcome in doubt. reason
// is the last part of a counter's name.
func (l *Link) returnForwarded(reason string) {
	for _, id := range sorted(l.forwarded) {
		if f := l.forwarded[id]; f != nil {
			l.service.counters.Inc("site.taken-back." + reason)
			l.service.handleFailure(f, decide.InDoubt, core.Answer{}, 0)
		}
	}
}

// sorted returns the streams of a map in ascending order, so that runs are reproducible.
func sorted[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HandleHello checks the peer's name and encoding, and replaces older links that this side dialled.
func (l *Link) HandleHello(m message.Hello) error {
	if name := (Name{m.Site, m.Gateway}); name != l.peer.name {
		return fmt.Errorf("%w: its hello names %s, its certificate %s", ErrPeer, name, l.peer.name)
	}
	if format := l.service.opts.Codec.Form(); m.Format != format {
		return fmt.Errorf("%w: it uses format %s, this side %s", ErrPeer, m.Format, format)
	}
	l.greeted, l.compress = true, m.AcceptsZstd && l.service.packer.enc != nil
	l.peer.SetConnected(true)
	l.service.log.Info("site.linked", "peer", l.peer.name.String(), "start", m.Incarnation)
	if l.service.shuttingDown {
		l.goAway()
	}
	for _, old := range l.peer.links {
		if old != l && old.greeted && old.dialled && l.dialled { // the new link replaces it
			old.goAway()
		}
	}
	l.ping(l.service.clock.Now())
	return nil
}

// recordReply records that the peer has replied; rtt is 0 if no round trip was measured.
func (l *Link) recordReply(rtt time.Duration) {
	l.peer.RecordReply(l.service.cfg, l.service.clock.Now(), rtt)
}

// ping sends a ping and records the time.
func (l *Link) ping(now time.Duration) {
	l.lastPing++
	l.pings[l.lastPing%maxPings] = ping{l.lastPing, now}
	l.mux.Ping(l.lastPing)
}

// HandlePong measures a round trip. It ignores pongs whose ping is unknown or was already answered.
func (l *Link) HandlePong(number uint32) {
	p := &l.pings[number%maxPings]
	if p.number != number || p.at == 0 {
		return
	}
	rtt := l.service.clock.Now() - p.at
	p.at = 0
	l.recordReply(max(rtt, 1))
}

// sendLoadReport sends a load report, and closes the link if the report cannot be encoded.
func (l *Link) sendLoadReport(number uint32, m message.LoadReport) {
	if err := l.mux.SendLoadReport(number, m); err != nil {
		l.transport.Close(err)
	}
}

// sendKeys sends idempotency keys, and closes the link if they cannot be encoded.
func (l *Link) sendKeys(m message.SentKeys) {
	if err := l.mux.SendKeys(m); err != nil {
		l.transport.Close(err)
	}
}

// HandleLoadReport records the peer's load report.
func (l *Link) HandleLoadReport(m message.LoadReport) {
	l.peer.RecordDigest(l.service.cfg, l.service.clock.Now(), decide.Digest{FreeCapacity: m.FreeCapacity, AcceptableWork: m.WorkSeconds, Draining: m.Draining})
}

// HandleSentKeys records idempotency keys that were sent to engines at the peer's site. The send times
// account for the one-way delay of the link.
func (l *Link) HandleSentKeys(m message.SentKeys) {
	now := l.service.clock.Now()
	for _, key := range m.Keys {
		l.service.keys.Record(now, key.Key, now-time.Duration(key.AgoUS)*time.Microsecond-l.peer.OneWayDelay(), decide.OtherSite)
	}
}

// HandleGoAway records that the peer wants new streams on another link, which the dialling side opens.
// If the peer then closes this link and there is no other, it has shut down.
func (l *Link) HandleGoAway() { l.peerClosingAt = max(l.service.clock.Now(), 1) }
