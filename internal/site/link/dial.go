package link

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"
)

const (
	handshakeTimeout = 3 * time.Second        // limit for the TLS handshake; when dialling, connecting included
	minRedial        = 200 * time.Millisecond // delay after a success, and base of the backoff
	maxRedial        = 3 * time.Second        // upper limit of the backoff
	maxRedialShift   = 8                      // maximum doublings of minRedial
	dialInterval     = 100 * time.Millisecond // between checks for peers to dial
)

// remote is a peer with the state of dialling it.
type remote struct {
	Peer
	dialling    bool          // a dial is in progress
	failures    int           // consecutive failed dials
	nextDial    time.Duration // earliest time of the next dial
	keysChanged bool          // its link uses keys that have been replaced
}

// dials reports whether this side dials a peer. Of two gateways, the one whose name sorts first dials.
func (r *Runner) dials(p *remote) bool { return r.own.String() < p.Name.String() }

// dialMissing dials the peers that have no link or whose link uses replaced keys, now and at every
// dialInterval.
func (r *Runner) dialMissing() {
	if r.stopped {
		return
	}
	now := r.loop.Now()
	r.timers.Add(now+dialInterval, r.dialMissing)
	for _, p := range r.peers {
		isDue := !p.dialling && now >= p.nextDial
		if isDue && r.dials(p) && (p.keysChanged || !r.service.Linked(p.Name)) {
			r.dial(p)
		}
	}
}

// dial connects to a peer in a goroutine, which ends within handshakeTimeout.
func (r *Runner) dial(p *remote) {
	p.dialling = true
	r.counters.Inc("site.dialled")
	peer := p.Peer
	go func() {
		socket, verified, err := r.connect(peer)
		r.loop.Post(func() {
			p.dialling = false
			if err == nil {
				err = r.open(socket, verified, true)
			}
			r.dialled(p, err)
		})
	}()
}

// connect opens a TLS connection to a peer, whose certificate must prove its name.
func (r *Runner) connect(p Peer) (*tls.Conn, identity, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	var verified identity
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, verified, err
	}
	socket := tls.Client(raw, r.keys.clientConfig(p.Name, &verified))
	if err := socket.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, verified, err
	}
	return socket, verified, nil
}

// dialled records the result of a dial and schedules the next. The delay doubles with each
// failure in a row, up to maxRedial, and up to half of it is random, so that gateways do not dial all at
// once.
func (r *Runner) dialled(p *remote, err error) {
	if err == nil {
		p.failures = 0
		p.keysChanged = false
		p.nextDial = r.loop.Now() + minRedial
		return
	}
	p.failures++
	backoff := min(minRedial<<min(p.failures, maxRedialShift), maxRedial)
	p.nextDial = r.loop.Now() + backoff/2 + rand.N(backoff/2)
	r.linkFailed(p.Name.String(), err)
}
