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

// Peer is a gateway at another site and the address where it listens.
type Peer struct {
	Name forwarding.Name
	Addr string // host:port; unused if the peer dials
}

// Loop is the event loop whose goroutine owns the service.
type Loop interface {
	// Post runs f on the loop's goroutine.
	Post(f func())
	// Now returns the time of the loop's clock.
	Now() time.Duration
}

// Runner maintains a link to each peer. After Start, SetPeers, Reload and GoAway must be called on the loop's
// goroutine.
type Runner struct {
	loop     Loop
	timers   *timerqueue.Queue
	service  *forwarding.Service
	counters *metrics.Counters
	log      *slog.Logger

	keys     *Keys
	own      forwarding.Name
	peers    []*remote
	listener net.Listener   // nil: it does not listen
	conns    map[*conn]bool // open connections
	stopped  bool           // GoAway was called
}

// New returns a runner for the gateway named own. It is inactive until Start is called.
func New(loop Loop, timers *timerqueue.Queue, service *forwarding.Service, keys *Keys, own forwarding.Name, peers []Peer, counters *metrics.Counters, log *slog.Logger) *Runner {
	r := &Runner{
		loop: loop, timers: timers, service: service, counters: counters, log: log,
		keys: keys, own: own, conns: map[*conn]bool{},
	}
	r.SetPeers(peers)
	return r
}

// SetPeers sets the peers of the runner and of the service; see forwarding.Service.SetPeers.
func (r *Runner) SetPeers(peers []Peer) {
	names := make([]forwarding.Name, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	r.service.SetPeers(names)
	previous := r.peers
	r.peers = nil
	for _, p := range peers {
		updated := &remote{}
		i := slices.IndexFunc(previous, func(known *remote) bool { return known.Name == p.Name })
		if i >= 0 {
			updated = previous[i] // keep the state of a dial in progress
		}
		updated.Peer = p
		r.peers = append(r.peers, updated)
	}
}

// Start listens on an address, unless it is "", and starts to dial. Another process may listen on the same
// address, for example a new version that takes over; the kernel then distributes the connections.
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

// Addr returns the address on which the runner listens, or "" if it does not listen.
func (r *Runner) Addr() string {
	if r.listener == nil {
		return ""
	}
	return r.listener.Addr().String()
}

// GoAway stops listening and dialling, and tells all peers that their links accept no new requests. The
// links stay open for open requests.
func (r *Runner) GoAway() {
	r.stopped = true
	if r.listener != nil {
		_ = r.listener.Close() // accepted connections stay open
	}
	r.service.Leave()
}

// Reload reads the keys again. It closes links whose peer's certificate is revoked and replaces the others
// by links with the new keys. Open requests continue on the old links. If the keys are invalid, it returns
// an error and changes nothing.
func (r *Runner) Reload() error {
	if err := r.keys.Reload(); err != nil {
		return err
	}
	for c := range r.conns {
		if r.keys.IsRevoked(c.peer.certificate) {
			c.Close(ErrRevoked)
		} else if !c.dialled {
			c.link.Renew() // the peer dials the new link
		}
	}
	for _, p := range r.peers { // the service closes the old link once the new one is established
		p.nextDial = 0
		p.keysChanged = true
	}
	return nil
}

// open starts a link on a connection whose peer has been verified.
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
	// The link must not outlive the certificate that proved the peer's identity.
	validFor := time.Until(peer.certificate.NotAfter)
	c.expiry = r.timers.Add(r.loop.Now()+validFor, func() { c.Close(fmt.Errorf("%w: the peer's certificate has expired", ErrKeys)) })
	go c.read()
	go c.write()
	c.Ready()
	return nil
}

// linkFailed counts and logs a link that could not be established. peer is a name or an address.
func (r *Runner) linkFailed(peer string, err error) {
	r.counters.Inc("site.link-failed")
	r.log.Warn("site.link-failed", "peer", peer, "error", err)
}
