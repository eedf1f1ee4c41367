package link

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"
)

const (
	handshakeTimeout = 3 * time.Second
	minRedial        = 200 * time.Millisecond
	maxRedial        = 3 * time.Second
	maxRedialShift   = 8                      // doublings of minRedial
	dialInterval     = 100 * time.Millisecond // between looks at which peers have to be dialled
)

// remote is a peer as the runner sees it.
type remote struct {
	Peer
	dialling    bool
	failures    int           // dials in a row that failed
	nextDial    time.Duration // not before
	keysChanged bool          // its link was made with keys that were replaced since
}

// dials tells whether this side dials a peer: of two gateways the one whose name comes first.
func (r *Runner) dials(p *remote) bool { return r.own.String() < p.Name.String() }

// dialMissing dials those peers that there is no link to, now and at each dialInterval.
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
		socket, proven, err := r.connect(peer)
		r.loop.Post(func() {
			p.dialling = false
			if err == nil {
				err = r.open(socket, proven, true)
			}
			r.dialled(p, err)
		})
	}()
}

// connect makes a connection to a peer that proves who it is.
func (r *Runner) connect(p Peer) (*tls.Conn, identity, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	var proven identity
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, proven, err
	}
	socket := tls.Client(raw, r.keys.clientConfig(p.Name, &proven))
	if err := socket.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, proven, err
	}
	return socket, proven, nil
}

// dialled schedules the next dial of a peer. Its random part keeps peers from dialling all at once.
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
