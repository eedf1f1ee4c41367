package link

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/timerqueue"
)

// Peer is a gateway at another site, and where it listens.
type Peer struct {
	Name forwarding.Name
	Addr string
}

// Loop is the goroutine that the service belongs to.
type Loop interface {
	Post(f func())
	Now() time.Duration
}

// Runner keeps a link to each peer.
type Runner struct {
	loop     Loop
	timers   *timerqueue.Queue
	service  *forwarding.Service
	counters *metrics.Counters
	log      *slog.Logger

	keys     *Keys
	own      forwarding.Name
	peers    []*remote
	listener net.Listener // nil: none
	conns    map[*conn]bool
	stopped  bool
}

// New returns a runner. Start begins.
func New(loop Loop, timers *timerqueue.Queue, service *forwarding.Service, keys *Keys, own forwarding.Name, peers []Peer, counters *metrics.Counters, log *slog.Logger) *Runner {
	r := &Runner{
		loop: loop, timers: timers, service: service, counters: counters, log: log,
		keys: keys, own: own, conns: map[*conn]bool{},
	}
	r.SetPeers(peers)
	return r
}

// SetPeers sets the peers, also of the service; see forwarding.Service.SetPeers.
func (r *Runner) SetPeers(peers []Peer) {
	names := make([]forwarding.Name, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	r.service.SetPeers(names)
	before := r.peers
	r.peers = nil
	for _, p := range peers {
		one := &remote{}
		i := slices.IndexFunc(before, func(known *remote) bool { return known.Name == p.Name })
		if i >= 0 {
			one = before[i] // a dial may be under way
		}
		one.Peer = p
		r.peers = append(r.peers, one)
	}
}

// Start accepts at an address, or nowhere where it is "", and begins to dial. Another process may
// accept at the same address, as a new version does that takes over: the kernel divides the
// connections.
func (r *Runner) Start(addr string) error {
	if addr != "" {
		ln, err := listen(addr)
		if err != nil {
			return err
		}
		r.listener = ln
		go r.accept(ln)
	}
	r.dialMissing()
	return nil
}

// Addr is the address where it accepts; "": nowhere.
func (r *Runner) Addr() string {
	if r.listener == nil {
		return ""
	}
	return r.listener.Addr().String()
}

// GoAway accepts and dials no more, and reports on all links that nothing new is taken on them.
// They stay open for what is.
func (r *Runner) GoAway() {
	r.stopped = true
	if r.listener != nil {
		_ = r.listener.Close() // what was accepted goes on
	}
	r.service.Leave()
}

// Reload reads the keys again. Links whose peer's certificate is revoked end; the others are
// renewed with the new keys, while what is open on the old ones goes on there.
func (r *Runner) Reload() error {
	if err := r.keys.Reload(); err != nil {
		return err
	}
	for c := range r.conns {
		if r.keys.IsRevoked(c.peer.certificate) {
			c.Close(ErrRevoked)
		} else if !c.dialled {
			c.link.Renew() // the peer dials
		}
	}
	for _, p := range r.peers { // the old link goes away once the new one is up
		p.nextDial = 0
		p.keysChanged = true
	}
	return nil
}

// open makes a link of a connection whose peer has proven who it is.
func (r *Runner) open(socket *tls.Conn, peer identity, dialled bool) error {
	c := newConn(r, socket, peer, dialled)
	link, err := r.service.Connect(c, peer.name, dialled)
	if err != nil {
		_ = socket.Close()
		return err
	}
	c.link = link
	r.conns[c] = true
	r.counters.Inc("site.links")
	// What a certificate has proven ends with it.
	validFor := time.Until(peer.certificate.NotAfter)
	c.expiry = r.timers.Add(r.loop.Now()+validFor, func() { c.Close(fmt.Errorf("%w: its certificate has ended", ErrKeys)) })
	go c.read()
	go c.write()
	c.Ready()
	return nil
}

func (r *Runner) linkFailed(peer string, err error) {
	r.counters.Inc("site.link-failed")
	r.log.Warn("site.link-failed", "peer", peer, "error", err)
}
