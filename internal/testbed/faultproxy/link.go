// Package link is a loopback relay that does to a connection what networks do: delay with
// jitter, a bandwidth, silence, a cut, a reset, a half-close, garbage, lost replies. What
// it does and when follows a schedule and a seed, so that a run can be played again.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Kind is what a fault does.
type Kind string

// Kinds of fault. Those that name a direction act on bytes from the server to the client
// (replies) or on both.
const (
	Silence        Kind = "silence"    // both ways: bytes are taken and kept until it ends
	HeldRequests   Kind = "one-way"    // requests are taken and kept until it ends, replies pass
	DroppedReplies Kind = "lost"       // replies are taken and thrown away; requests arrive
	Garbage        Kind = "garbage"    // one byte of each piece of the replies is changed
	Cut            Kind = "cut"        // both connections are closed, and new ones are refused
	Reset          Kind = "reset"      // both are reset (RST), once at its start
	HalfClose      Kind = "half-close" // the way to the server is closed, replies go on
)

// Kinds are all of them.
var Kinds = []Kind{Silence, HeldRequests, DroppedReplies, Garbage, Cut, Reset, HalfClose}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	From time.Duration // since the start of the link
	For  time.Duration // 0: to the end; Reset and HalfClose happen once
}

// Options say what kind of link it is.
type Options struct {
	Delay     time.Duration // one way
	Jitter    time.Duration // added, even chances from 0 to this; order is kept
	Bandwidth int           // bytes a second each way; 0: no bound
	Stall     float64       // share of pieces that come StallFor later, and all behind them
	StallFor  time.Duration
	Faults    []Fault
	Seed      uint64
}

// piece bounds what is passed on at once.
const piece = 16 << 10

// queued bounds what is on its way in one direction, so that a slow link pushes back.
const queued = 64

// Link is a relay that listens.
type Link struct {
	opts  Options
	to    string
	ln    net.Listener
	start time.Time

	mu     sync.Mutex
	pairs  map[*pair]bool
	rng    *rand.Rand
	change chan struct{} // closed and made anew when a fault begins or ends
	timers []*time.Timer
	closed bool
}

// Listen opens a relay to an address, both on loopback.
func Listen(to string, opts Options) (*Link, error) {
	for i, f := range opts.Faults {
		if !slices.Contains(Kinds, f.Kind) {
			return nil, fmt.Errorf("link: fault %d: there is no kind %q", i, f.Kind)
		}
	}
	if host, _, err := net.SplitHostPort(to); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, fmt.Errorf("link: %q is no loopback address", to)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &Link{
		opts: opts, to: to, ln: ln, start: time.Now(), pairs: map[*pair]bool{}, change: make(chan struct{}),
		rng: rand.New(rand.NewPCG(opts.Seed, 0x6c696e6b)),
	}
	for _, f := range opts.Faults {
		l.plan(f, f.From)
	}
	go l.accept()
	return l, nil
}

// plan has a fault begin and end. The caller holds the lock, or nobody else has the link yet.
func (l *Link) plan(f Fault, in time.Duration) {
	l.timers = append(l.timers, time.AfterFunc(in, func() { l.begin(f) }))
	if f.For > 0 {
		l.timers = append(l.timers, time.AfterFunc(in+f.For, l.changed))
	}
}

// Add has a fault begin now, for as long as it says.
func (l *Link) Add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.From = time.Since(l.start)
	l.opts.Faults = append(l.opts.Faults, f)
	l.plan(f, 0)
}

// Addr is where clients connect.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Close ends the relay and all that goes through it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, t := range l.timers {
		t.Stop()
	}
	l.mu.Unlock()
	_ = l.ln.Close()
	l.each(func(p *pair) { p.close(false) })
}

func (l *Link) each(do func(*pair)) {
	l.mu.Lock()
	all := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		do(p)
	}
}

// on tells whether a fault is under way.
func (l *Link) on(k Kind) bool {
	at := time.Since(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.opts.Faults {
		if f.Kind == k && at >= f.From && (f.For <= 0 || at < f.From+f.For) {
			return true
		}
	}
	return false
}

func (l *Link) begin(f Fault) {
	switch f.Kind {
	case Cut:
		l.each(func(p *pair) { p.close(false) })
	case Reset:
		l.each(func(p *pair) { p.close(true) })
	case HalfClose:
		l.each(func(p *pair) { _ = p.server.CloseWrite() }) // one that is closed is closed
	}
	l.changed()
}

// changed wakes what waits for a fault to end.
func (l *Link) changed() {
	l.mu.Lock()
	close(l.change)
	l.change = make(chan struct{})
	l.mu.Unlock()
}

// waiter is closed at the next change.
func (l *Link) waiter() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		client := c.(*net.TCPConn) // of a TCP listener
		if l.on(Cut) {
			reset(client)
			continue
		}
		s, err := net.DialTimeout("tcp", l.to, 2*time.Second)
		if err != nil {
			reset(client)
			continue
		}
		p := &pair{link: l, client: client, server: s.(*net.TCPConn), done: make(chan struct{})}
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			p.close(false)
			return
		}
		l.pairs[p] = true
		l.mu.Unlock()
		go p.pass(p.client, p.server, false)
		go p.pass(p.server, p.client, true)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // else it would be closed in good order
	_ = c.Close()
}

// pair is one connection through the link.
type pair struct {
	link           *Link
	client, server *net.TCPConn
	once           sync.Once
	done           chan struct{}
}

func (p *pair) close(hard bool) {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.client, p.server} {
			if hard {
				reset(c)
			} else {
				_ = c.Close()
			}
		}
		p.link.mu.Lock()
		delete(p.link.pairs, p)
		p.link.mu.Unlock()
	})
}

// moving is a piece on its way; end marks that the sender has closed its side.
type moving struct {
	b   []byte
	due time.Time
	end bool
}

// pass carries one direction: a reader stamps pieces with the moment at which they are
// due, a writer waits for it.
func (p *pair) pass(from, to *net.TCPConn, replies bool) {
	l := p.link
	way := make(chan moving, queued)
	go func() {
		defer close(way)
		var last time.Time
		for {
			b := make([]byte, piece)
			n, err := from.Read(b)
			if n > 0 {
				if replies && l.on(DroppedReplies) {
					continue
				}
				due := time.Now().Add(l.opts.Delay + l.jitter() + l.stall())
				if due.Before(last) { // a connection keeps its order
					due = last
				}
				last = due
				if replies && l.on(Garbage) {
					b[l.draw(n)] ^= 0x55
				}
				select {
				case way <- moving{b: b[:n], due: due}:
				case <-p.done:
					return
				}
			}
			if errors.Is(err, io.EOF) {
				select {
				case way <- moving{end: true, due: time.Now().Add(l.opts.Delay)}:
				case <-p.done:
				}
				return
			}
			if err != nil {
				p.close(true)
				return
			}
		}
	}()
	for m := range way {
		if !p.until(m.due, !replies) {
			return
		}
		if m.end {
			_ = to.CloseWrite() // one that is closed is closed
			continue
		}
		if _, err := to.Write(m.b); err != nil {
			p.close(true)
			return
		}
		if l.opts.Bandwidth > 0 && !p.until(time.Now().Add(time.Duration(float64(len(m.b))/float64(l.opts.Bandwidth)*float64(time.Second))), !replies) {
			return
		}
	}
}

// until waits for a moment and for the end of a silence, or of requests alone.
func (p *pair) until(at time.Time, request bool) bool {
	if d := time.Until(at); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.done:
			return false
		}
	}
	for {
		change := p.link.waiter()
		if !p.link.on(Silence) && !(request && p.link.on(HeldRequests)) {
			return true
		}
		select {
		case <-change:
		case <-p.done:
			return false
		}
	}
}

func (l *Link) jitter() time.Duration {
	if l.opts.Jitter <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Int64N(int64(l.opts.Jitter)))
}

// stall is how much later a piece comes that the network has lost and sent again.
func (l *Link) stall() time.Duration {
	if l.opts.Stall <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng.Float64() < l.opts.Stall {
		return l.opts.StallFor
	}
	return 0
}

func (l *Link) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}
