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

// Transport is a link's socket, or what stands in for one.
type Transport interface {
	// Ready tells that there is something to Pull, where there was nothing.
	Ready()
	// Close ends it. Link.Closed follows, later.
	Close(why error)
}

// Link is one link to a peer whose name is proven.
type Link struct {
	service       *Service
	peer          *peer
	mux           *mux.Link
	transport     Transport
	since         time.Duration
	dialled       bool
	greeted       bool
	closed        bool
	closingAt     time.Duration // this side wants new streams elsewhere since; 0: it does not
	peerClosingAt time.Duration // the other side does
	packs         bool          // the other side reads packed bodies
	forwarded     map[uint32]*forwardedRequest
	served        map[uint32]*servedRequest
	pings         [maxPings]ping
	pinged        uint32
}

type ping struct {
	number uint32
	at     time.Duration
}

// ErrPeer is a peer that isn't one of the settings', or isn't who it says it is.
var ErrPeer = errors.New("site link: the other side is no peer")

// closingPeriod is how long a link that was left stays open at least.
const closingPeriod = 2 * time.Second

// ErrSilent ends a link on which no reply has come for long.
var ErrSilent = errors.New("site link: silent")

// Connect takes a link to a peer whose name was proven, from its first byte.
func (s *Service) Connect(t Transport, name Name, dialled bool) (*Link, error) {
	p := s.peer(name)
	if p == nil {
		return nil, fmt.Errorf("%w: %s is not among the settings' peers", ErrPeer, name)
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

// Input takes what has come; see mux.Link.Input. The transport ends the link on an error.
func (l *Link) Input(b []byte) (int, error) {
	late := l.mux.LateFrames
	n, err := l.mux.Input(b)
	for range l.mux.LateFrames - late {
		l.service.stats.Inc("site.late")
	}
	return n, err
}

// Pull appends what is to go out; see mux.Link.Pull.
func (l *Link) Pull(b []byte, about int) []byte { return l.mux.Pull(b, about) }

// Waiting tells whether there is something to Pull.
func (l *Link) Waiting() bool { return l.mux.HasOutput() }

// Idle tells whether nothing is open on it.
func (l *Link) Idle() bool { return len(l.forwarded)+len(l.served) == 0 }

// OutputReady passes on that there is something to Pull.
func (l *Link) OutputReady() { l.transport.Ready() }

// isOpen tells whether neither side has left the link.
func (l *Link) isOpen() bool {
	return l.greeted && !l.closed && l.closingAt == 0 && l.peerClosingAt == 0
}

// Renew has the peer dial another link for what comes next: this one was made with keys that
// were replaced.
func (l *Link) Renew() {
	if l.greeted {
		l.leave()
	}
}

func (l *Link) leave() {
	if l.closingAt == 0 {
		l.closingAt = max(l.service.clock.Now(), 1)
		l.mux.GoAway()
	}
}

// done tells whether the link is of no use any more: left, with nothing open for a while that
// covers what may be on its way.
func (l *Link) done(now time.Duration) bool {
	left := max(l.closingAt, l.peerClosingAt)
	return left > 0 && now-left > closingPeriod && l.Idle() && !l.service.leaving
}

// Closed tells that the link is no more. What is at the other side is in doubt; what is here
// for it has no client any more.
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
		l.service.core.ClientDisconnected(f.r)
	}
	l.service.checkPeer(l.peer, l.service.clock.Now())
}

// returnForwarded ends all that is at the other side, in doubt.
func (l *Link) returnForwarded(why string) {
	for _, id := range sorted(l.forwarded) {
		if c := l.forwarded[id]; c != nil {
			l.service.stats.Inc("site.taken-back." + why)
			l.service.end(c, decide.InDoubt, core.Answer{}, 0)
		}
	}
}

func sorted[V any](m map[uint32]V) []uint32 {
	ids := make([]uint32, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HandleHello checks who the other side says that it is.
func (l *Link) HandleHello(g message.Hello) error {
	if n := (Name{g.Site, g.Gateway}); n != l.peer.name {
		return fmt.Errorf("%w: it says that it is %s, and has proven to be %s", ErrPeer, n, l.peer.name)
	}
	if form := l.service.opts.Codec.Form(); g.Format != form {
		return fmt.Errorf("%w: it speaks %s, and this side %s", ErrPeer, g.Format, form)
	}
	l.greeted, l.packs = true, g.AcceptsZstd && l.service.packer.enc != nil
	l.peer.SetConnected(true)
	l.service.log.Info("site.linked", "peer", l.peer.name.String(), "start", g.Incarnation)
	if l.service.leaving {
		l.leave()
	}
	for _, old := range l.peer.links {
		if old != l && old.greeted && old.dialled && l.dialled { // this one is in its place
			old.leave()
		}
	}
	l.ping(l.service.clock.Now())
	return nil
}

func (l *Link) recordReply(rtt time.Duration) {
	l.peer.RecordReply(l.service.cfg, l.service.clock.Now(), rtt)
}

func (l *Link) ping(now time.Duration) {
	l.pinged++
	l.pings[l.pinged%maxPings] = ping{l.pinged, now}
	l.mux.Ping(l.pinged)
}

// HandlePong measures a round trip. A number that is not out, or was already, measures nothing.
func (l *Link) HandlePong(number uint32) {
	p := &l.pings[number%maxPings]
	if p.number != number || p.at == 0 {
		return
	}
	rtt := l.service.clock.Now() - p.at
	p.at = 0
	l.recordReply(max(rtt, 1))
}

func (l *Link) sendLoadReport(number uint32, d message.LoadReport) {
	if err := l.mux.SendLoadReport(number, d); err != nil {
		l.transport.Close(err)
	}
}

func (l *Link) sendKeys(k message.SentKeys) {
	if err := l.mux.SendKeys(k); err != nil {
		l.transport.Close(err)
	}
}

// HandleLoadReport takes what the peer says of itself.
func (l *Link) HandleLoadReport(d message.LoadReport) {
	l.peer.RecordDigest(l.service.cfg, l.service.clock.Now(), decide.Digest{FreeCapacity: d.FreeCapacity, AcceptableWork: d.WorkSeconds, Draining: d.Draining})
}

// HandleSentKeys takes that keys were sent to engines at the peer's site, the way here included.
func (l *Link) HandleSentKeys(k message.SentKeys) {
	now := l.service.clock.Now()
	for _, one := range k.Keys {
		l.service.keys.Record(now, one.Key, now-time.Duration(one.AgoUS)*time.Microsecond-l.peer.OneWayDelay(), decide.OtherSite)
	}
}

// HandleGoAway takes that the other side wants new streams on another link, which the side that dials
// makes. Where it closes this one and there is no other, it has left.
func (l *Link) HandleGoAway() { l.peerClosingAt = max(l.service.clock.Now(), 1) }
