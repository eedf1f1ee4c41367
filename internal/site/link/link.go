package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/frame"
	"gannetspur/internal/timerqueue"

	"golang.org/x/sys/unix"
)

// Bounds of links.
const (
	handshakeWithin = 3 * time.Second
	writeWithin     = 10 * time.Second // for what was pulled at once
	pullAbout       = 128 << 10        // bytes that are pulled at once
	pulled          = 2                // times that, which may wait for the socket
	readSize        = 64 << 10
	redialLeast     = 200 * time.Millisecond
	redialMost      = 3 * time.Second
	look            = 100 * time.Millisecond // how often it is seen whether a peer has to be dialled
	// mostHandshakes are under way at once; who else connects waits.
	mostHandshakes = 16
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

// Runner keeps a link to each peer. Of two gateways the one dials whose name comes first.
type Runner struct {
	loop    Loop
	timers  *timerqueue.Queue
	service *forwarding.Service
	keys    *Keys
	own     forwarding.Name
	peers   []*remote
	stats   *metrics.Counters
	log     *slog.Logger
	ln      net.Listener
	conns   map[*conn]bool
	stopped bool
}

// remote is a peer as the runner sees it.
type remote struct {
	Peer
	dialling bool
	failed   int           // dials in a row
	next     time.Duration // not before
	anew     bool          // the link that there is was made with keys that were replaced
}

// New returns a runner. Start begins.
func New(loop Loop, timers *timerqueue.Queue, service *forwarding.Service, keys *Keys, own forwarding.Name, peers []Peer, counters *metrics.Counters, log *slog.Logger) *Runner {
	r := &Runner{loop: loop, timers: timers, service: service, keys: keys, own: own, stats: counters, log: log, conns: map[*conn]bool{}}
	r.SetPeers(peers)
	return r
}

// SetPeers names the peers, to the service as well; see crossing.Service.SetPeers.
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
		if i := slices.IndexFunc(before, func(o *remote) bool { return o.Name == p.Name }); i >= 0 {
			one = before[i] // a dial may be under way
		}
		one.Peer = p
		r.peers = append(r.peers, one)
	}
}

// Start accepts at an address (none where it is "") and begins to dial. Another process may
// accept at the same address, as a new version does that takes over: the system divides what comes.
func (r *Runner) Start(listen string) error {
	if listen != "" {
		lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
				return e
			}
			return err
		}}
		ln, err := lc.Listen(context.Background(), "tcp", listen)
		if err != nil {
			return fmt.Errorf("listen for other sites: %w", err)
		}
		r.ln = ln
		go r.accept(ln)
	}
	r.look()
	return nil
}

// Addr is where it accepts; "": nowhere.
func (r *Runner) Addr() string {
	if r.ln == nil {
		return ""
	}
	return r.ln.Addr().String()
}

// GoAway accepts and dials no more, and says on all links that nothing new is taken on them.
// They stay open for what is.
func (r *Runner) GoAway() {
	r.stopped = true
	if r.ln != nil {
		_ = r.ln.Close() // what was accepted goes on
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
		if r.keys.IsRevoked(c.proven.leaf) {
			c.Close(ErrRevoked)
		} else if !c.dialled {
			c.link.Renew() // the other side dials
		}
	}
	for _, p := range r.peers { // once the new link is up, the old one is left
		p.next, p.anew = 0, true
	}
	return nil
}

// dials tells whether this side dials a peer.
func (r *Runner) dials(n forwarding.Name) bool { return r.own.String() < n.String() }

// look dials those peers that there is no link to.
func (r *Runner) look() {
	if r.stopped {
		return
	}
	now := r.loop.Now()
	r.timers.Add(now+look, r.look)
	for _, p := range r.peers {
		if r.dials(p.Name) && !p.dialling && now >= p.next && (p.anew || !r.service.Linked(p.Name)) {
			r.dial(p)
		}
	}
}

func (r *Runner) dial(p *remote) {
	p.dialling = true
	r.stats.Add("site.dialled")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeWithin)
		defer cancel()
		var got proven
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Addr)
		var c *tls.Conn
		if err == nil {
			c = tls.Client(raw, r.keys.config(p.Name, false, &got))
			if err = c.HandshakeContext(ctx); err != nil {
				_ = raw.Close()
			}
		}
		r.loop.Post(func() {
			p.dialling = false
			if err == nil {
				err = r.up(c, got, true)
			}
			if err == nil {
				p.failed, p.anew = 0, false
				p.next = r.loop.Now() + redialLeast
				return
			}
			p.failed++
			wait := min(redialLeast<<min(p.failed, 8), redialMost)
			p.next = r.loop.Now() + wait/2 + rand.N(wait/2) // not all at once
			r.failed(p.Name.String(), err)
		})
	}()
}

func (r *Runner) failed(peer string, err error) {
	r.stats.Add("site.link-failed")
	r.log.Warn("site.link-failed", "peer", peer, "error", err)
}

func (r *Runner) accept(ln net.Listener) {
	room := make(chan struct{}, mostHandshakes)
	for {
		room <- struct{}{}
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor, say
			<-room
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), handshakeWithin)
			defer cancel()
			var got proven
			c := tls.Server(raw, r.keys.config(forwarding.Name{}, true, &got))
			if err := c.HandshakeContext(ctx); err != nil {
				_ = raw.Close()
				<-room
				r.loop.Post(func() { r.failed(raw.RemoteAddr().String(), err) })
				return
			}
			done := make(chan struct{})
			r.loop.Post(func() {
				defer close(done)
				if err := r.up(c, got, false); err != nil {
					r.failed(got.name.String(), err)
				}
			})
			<-done
			<-room
		}()
	}
}

// up makes a link of a connection whose peer has proven who it is.
func (r *Runner) up(c *tls.Conn, got proven, dialled bool) error {
	k := &conn{runner: r, tls: c, proven: got, dialled: dialled, out: make(chan []byte, pulled), taken: make(chan struct{}, 1)}
	link, err := r.service.Connect(k, got.name, dialled)
	if err != nil {
		_ = c.Close()
		return err
	}
	k.link = link
	r.conns[k] = true
	r.stats.Add("site.links")
	// A certificate ends, and so does what it has proven.
	k.ends = r.timers.Add(r.loop.Now()+time.Until(got.leaf.NotAfter), func() { k.Close(fmt.Errorf("%w: its certificate has ended", ErrKeys)) })
	go k.read()
	go k.write()
	k.Ready()
	return nil
}

// conn is the connection of a link. It is a crossing.Transport.
type conn struct {
	runner  *Runner
	tls     *tls.Conn
	proven  proven
	dialled bool
	link    *forwarding.Link
	ends    *timerqueue.Entry

	// For the loop's goroutine:
	busy  int // buffers that wait for the socket
	held  []byte
	over  bool
	spare [][]byte

	out   chan []byte   // to the writer
	taken chan struct{} // what was read was taken
	once  sync.Once
}

// Ready pulls what the socket may take.
func (c *conn) Ready() {
	for !c.over && c.busy < pulled && c.link != nil && c.link.Waiting() {
		var b []byte
		if n := len(c.spare); n > 0 {
			b, c.spare = c.spare[n-1][:0], c.spare[:n-1]
		}
		c.busy++
		c.out <- c.link.Pull(b, pullAbout)
	}
}

// Close ends the link.
func (c *conn) Close(why error) {
	if c.over {
		return
	}
	c.over = true
	c.ends.Stop()
	delete(c.runner.conns, c)
	close(c.out)
	go c.shut()
	r := c.runner
	r.stats.Add("site.links-ended")
	if why != nil && !errors.Is(why, io.EOF) {
		r.log.Warn("site.link-ended", "peer", c.proven.name.String(), "error", why)
	}
	r.loop.Post(c.link.Closed)
}

func (c *conn) shut() { c.once.Do(func() { _ = c.tls.NetConn().Close() }) }

// read hands over what comes, one piece at a time: what the loop has not taken is not read.
func (c *conn) read() {
	b := make([]byte, readSize)
	for {
		n, err := c.tls.Read(b)
		if n > 0 {
			c.runner.loop.Post(func() {
				c.input(b[:n])
				c.taken <- struct{}{}
			})
			<-c.taken
		}
		if err != nil {
			c.runner.loop.Post(func() { c.Close(err) })
			return
		}
	}
}

// input takes what was read. What is no whole frame yet is kept, at most one frame's worth.
func (c *conn) input(b []byte) {
	if c.over {
		return
	}
	if len(c.held) > 0 {
		c.held = append(c.held, b...)
		b = c.held
	}
	n, err := c.link.Input(b)
	if err != nil {
		c.Close(err)
		return
	}
	rest := b[n:]
	if len(rest) > frame.HeaderSize+frame.MaxBodySize { // Input would have read it
		c.Close(fmt.Errorf("%w: %d bytes", frame.ErrLength, len(rest)))
		return
	}
	c.held = append(c.held[:0], rest...)
}

func (c *conn) write() {
	for b := range c.out {
		_ = c.tls.SetWriteDeadline(time.Now().Add(writeWithin))
		_, err := c.tls.Write(b)
		c.runner.loop.Post(func() {
			if err != nil {
				c.Close(err)
				return
			}
			c.busy--
			c.spare = append(c.spare, b)
			c.Ready()
		})
		if err != nil {
			c.shut()
			for range c.out { // until Close has closed it
			}
			return
		}
	}
}
