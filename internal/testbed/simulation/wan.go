package simulation

import (
	"errors"
	"fmt"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/site/forwarding"
)

// mark identifies a request. It stands for the statement and for the rows of its answer.
type mark string

// SQL returns the mark.
func (m mark) SQL() string { return string(m) }

// Size returns the length of the mark in bytes.
func (m mark) Size() int { return len(m) }

// codec is a forwarding codec that encodes marks in place of statements and rows. An answer is padded with zero bytes to the
// size of its rows. It encodes no error details.
type codec struct{}

// rowBytes is the size of an answer's rows in bytes, by the kind of request.
var rowBytes = map[byte]int{'q': 400, 'r': 20_000, 'k': 50, 'w': 50}

// The following methods implement forwarding.Codec.
func (codec) Form() string                                   { return "marks" }
func (codec) Statement(s core.Statement) ([]byte, error)     { return []byte(s.SQL()), nil }
func (codec) ReadStatement(b []byte) (core.Statement, error) { return mark(b), nil }
func (codec) Detail(error) []byte                            { return nil }
func (codec) ReadDetail([]byte) (detail, err error) {
	return nil, errors.New("marks carry no error details")
}
func (codec) Result(r core.Result) ([]byte, error) {
	text := string(r.(mark))
	b := make([]byte, max(rowBytes[text[0]], len(text)+1))
	copy(b, text)
	return b, nil
}
func (codec) ReadResult(b []byte) (core.Result, error) {
	for i, c := range b {
		if c == 0 {
			return mark(b[:i]), nil
		}
	}
	return nil, errors.New("the answer has no zero byte after its mark")
}

// wan is the wide-area link between two gateways of two sites.
type wan struct {
	w     *World
	ends  [2]*gateway // by side
	ports [2]*port    // by side; nil: not connected
	cut   bool        // it cannot be connected
	mute  [2]bool     // by end: data to that end is held
}

// port is one end of a connection.
type port struct {
	wan     *wan
	side    int              // index of its gateway in wan.ends
	link    *forwarding.Link // the gateway's state of the connection
	sending bool             // a transmission is scheduled or under way
	closed  bool
	last    time.Duration // arrival time of the latest message
	partial []byte        // received data that is not a complete message yet
	held    [][]byte      // messages held by a fault
}

// connect creates all wide-area links and opens their connections.
func (w *World) connect() {
	for i, a := range w.sites {
		for _, b := range w.sites[i+1:] {
			if !w.linked(a.n, b.n) {
				continue
			}
			for n := range a.gateways {
				l := &wan{w: w, ends: [2]*gateway{a.gateways[n], b.gateways[n]}}
				w.wans = append(w.wans, l)
				l.dial()
			}
		}
	}
}

// redial is the delay before a broken connection is opened again, in addition to the latency.
const redial = 300 * time.Millisecond

// dial opens a connection after redial and three one-way latencies, as TLS 1.3 needs.
func (l *wan) dial() {
	l.w.after(redial+3*l.w.opts.Delay, func() {
		if l.ports[0] != nil {
			return
		}
		if l.cut || l.mute[0] || l.mute[1] || l.ends[0].dead || l.ends[1].dead {
			l.dial()
			return
		}
		for side, g := range l.ends {
			p := &port{wan: l, side: side}
			var err error
			g.do(func() { p.link, err = g.service.Connect(p, l.ends[1-side].name(), side == 0) })
			if err != nil {
				l.w.fail(err)
				return
			}
			l.ports[side] = p
		}
		for _, p := range l.ports {
			p.Ready()
		}
	})
}

// Ready sends the data that waits at the link.
func (p *port) Ready() {
	if p.sending || p.closed || p.link == nil || p.wan.ports[p.side] != p {
		return
	}
	p.sending = true
	w := p.wan.w
	w.after(0, func() { // after the caller has returned
		p.sending = false
		if p.closed {
			return
		}
		b := p.link.Pull(nil, 32<<10)
		if len(b) == 0 {
			return
		}
		w.res.Bytes += int64(len(b))
		w.res.Messages++
		var tx time.Duration
		if w.opts.Bandwidth > 0 {
			tx = time.Duration(float64(len(b)) / w.opts.Bandwidth * float64(time.Second))
		}
		at := w.now + tx + w.opts.Delay
		if w.opts.Stall > 0 && w.rng.Float64() < w.opts.Stall {
			at += w.opts.StallFor
		}
		p.last = max(p.last, at) // a connection delivers in order
		other := p.wan.ports[1-p.side]
		w.queue.Add(p.last, func() { other.deliver(b) })
		p.sending = true
		w.after(tx, func() {
			if p.sending = false; p.link.Waiting() {
				p.Ready()
			}
		})
	})
}

// deliver delivers a message, or holds it while a fault lasts.
func (p *port) deliver(b []byte) {
	switch {
	case p.closed:
	case p.wan.mute[p.side] || len(p.held) > 0:
		p.held = append(p.held, b)
	default:
		p.input(b)
	}
}

// input passes received data to the link.
func (p *port) input(b []byte) {
	g := p.wan.ends[p.side]
	if g.dead || p.closed {
		return
	}
	p.partial = append(p.partial, b...)
	g.do(func() {
		n, err := p.link.Input(p.partial)
		if err != nil {
			p.wan.w.fail(fmt.Errorf("simulation: %w", err)) // no peer here sends invalid input
			return
		}
		p.partial = append(p.partial[:0], p.partial[n:]...)
	})
}

// Close ends the connection at both ends.
func (p *port) Close(error) { p.wan.close() }

// close closes both ends of the connection and schedules a new one.
func (l *wan) close() {
	ports := l.ports
	l.ports = [2]*port{}
	for side, p := range ports {
		if p == nil || p.closed {
			continue
		}
		p.closed = true
		g := l.ends[side]
		l.w.after(0, func() { g.do(p.link.Closed) })
	}
	if ports[0] != nil {
		l.dial()
	}
}

// broken closes the connection of a gateway that has crashed.
func (l *wan) broken(g *gateway) {
	if l.ends[0] == g || l.ends[1] == g {
		l.close()
	}
}

// fault begins or ends a fault of the link.
func (l *wan) fault(kind string, s *site) {
	switch kind {
	case Cut:
		l.cut = true
		l.close()
	case Mute:
		l.mute = [2]bool{true, true}
	case OneWay:
		for side, g := range l.ends {
			l.mute[side] = l.mute[side] || g.site == s
		}
	case Mend:
		l.cut, l.mute = false, [2]bool{}
		for _, p := range l.ports {
			if p == nil {
				continue
			}
			parked := p.held
			p.held = nil
			for _, b := range parked {
				p.input(b)
			}
		}
	}
}
