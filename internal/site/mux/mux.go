// Package mux is one end of the link between two gateways, without its sockets: bytes in,
// bytes out, what they mean, and the credit that keeps one large answer from starving the
// others. It has no clock and no goroutine, so that it runs on a TLS connection and in
// virtual time alike. The link is specified in docs/site-link.md.
package mux

import (
	"errors"
	"fmt"
	"slices"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// Config bounds an end.
type Config struct {
	Dialled bool // this side dialled: its streams have odd numbers
	Greet   message.Greet
	Window  int // bytes of Data that may come on a stream before this side gives more; 0: Window
	Streams int // that the other side may have open at once; 0: Streams
	Held    int // bytes of unfinished bodies that are held for the other side; 0: Held
}

// Usual bounds.
const (
	Window  = 64 << 10
	Streams = 16 << 10
	Held    = 32 << 20
	// piece is how much of one body goes out before the next stream has its turn.
	piece = 16 << 10
)

// Handler hears of what comes. It may call the link from within.
type Handler interface {
	// Greeted is the first call.
	Greeted(g message.Greet) error
	// Asked tells of a query with its whole statement. Answer or AbortAsked follows, unless
	// Cancelled comes first.
	Asked(stream uint32, a message.Ask, statement []byte)
	// Answered is the end of a stream that Ask opened.
	Answered(stream uint32, a message.Answer, body []byte)
	// Cancelled tells that the other side gave up a stream that it had opened.
	Cancelled(stream uint32)
	Digest(d message.Digest)
	Keys(k message.Keys)
	// Ponged tells that a ping of that number has come back.
	Ponged(number uint32)
	// Leaves tells that the other side wants new streams on another link.
	Leaves()
	// Ready tells that there is something to Pull, where there was nothing. It is not called from
	// within Pull: ask Waiting behind it.
	Ready()
}

// Errors of the other side, all of them wrapped with what was wrong. The link is closed on one.
var (
	ErrOrder   = errors.New("site link: out of order")
	ErrCredit  = errors.New("site link: more than there was credit for")
	ErrVersion = errors.New("site link: another version")
)

// Link is one end.
type Link struct {
	cfg     Config
	h       Handler
	control []byte // frames that wait to go out, ahead of all bodies
	streams map[uint32]*stream
	ring    []*stream // those with Data to send, in turn
	greeted bool
	pulling bool // Ready is not called from within Pull: what it would pull goes out first
	left    bool
	next    uint32 // stream to open
	seen    uint32 // the latest that the other side opened
	theirs  int    // of its streams that are open
	held    int    // bytes of bodies that have come in part, or may without more credit
	short   []*stream
	first   *stream // goes on past the bound, so that one always ends
	// Late counts what came for streams that this side had given up.
	Late int
}

type stream struct {
	id     uint32
	mine   bool
	credit int // that the other side has given
	out    []byte
	ringed bool // in Link.ring
	last   bool // nothing more comes from this side behind out
	// What comes in:
	ask    *message.Ask
	answer *message.Answer
	in     []byte
	wanted int // of in, as the head said
	given  int // credit that is with the other side
	booked int // of Link.held
	short  bool
	old    bool // it was not whole the last time that Stale was called
}

// New returns an end whose greeting waits to be pulled.
func New(cfg Config, h Handler) (*Link, error) {
	if cfg.Window <= 0 {
		cfg.Window = Window
	}
	if cfg.Streams <= 0 {
		cfg.Streams = Streams
	}
	if cfg.Held <= 0 {
		cfg.Held = Held
	}
	l := &Link{cfg: cfg, h: h, streams: map[uint32]*stream{}, next: 2}
	if cfg.Dialled {
		l.next = 1
	}
	enc, err := message.Append(nil, &cfg.Greet)
	if err != nil {
		return nil, err
	}
	l.control = frame.Append(nil, frame.Frame{Kind: frame.Greet, Value: frame.Version, Body: enc})
	return l, nil
}

// Open is the number of open streams.
func (l *Link) Open() int { return len(l.streams) }

// Held is how many bytes of bodies have come in part, or may come as it stands.
func (l *Link) Held() int { return l.held }

// Left tells whether the other side wants new streams on another link.
func (l *Link) Left() bool { return l.left }

func (l *Link) put(f frame.Frame) {
	first := !l.pulling && !l.Waiting()
	l.control = frame.Append(l.control, f)
	if first {
		l.h.Ready()
	}
}

func (l *Link) say(k frame.Kind, stream uint32, h any) error {
	enc, err := message.Append(nil, h)
	if err == nil && len(enc) > frame.MostBody {
		err = fmt.Errorf("site link: a head of %d bytes", len(enc))
	}
	if err != nil {
		return err
	}
	l.put(frame.Frame{Kind: k, Stream: stream, Body: enc})
	return nil
}

// Waiting tells whether there is something to Pull.
func (l *Link) Waiting() bool { return len(l.control) > 0 || len(l.ring) > 0 }

// Pull appends about so many bytes to go out: first all that is no body, then bodies within
// their credit, a piece of each stream in turn.
func (l *Link) Pull(b []byte, about int) []byte {
	l.pulling = true
	defer func() { l.pulling = false }()
	b = append(b, l.control...)
	about -= len(l.control)
	if l.control = l.control[:0]; cap(l.control) > 1<<20 {
		l.control = nil
	}
	for about > 0 && len(l.ring) > 0 {
		s := l.ring[0]
		l.ring = l.ring[1:]
		n := min(len(s.out), s.credit, piece)
		f := frame.Frame{Kind: frame.Data, Stream: s.id, Body: s.out[:n]}
		s.out, s.credit = s.out[n:], s.credit-n
		if s.ringed = false; len(s.out) == 0 {
			f.Value, s.last = 1, true
		}
		b = frame.Append(b, f)
		about -= frame.HeadLen + n
		switch {
		case len(s.out) > 0:
			l.wants(s)
		case !s.mine:
			l.close(s)
		}
	}
	if len(l.ring) == 0 {
		l.ring = nil
	}
	return b
}

// wants has a stream take its turn, if it may send.
func (l *Link) wants(s *stream) {
	if s.ringed || len(s.out) == 0 || s.credit <= 0 {
		return
	}
	first := !l.pulling && !l.Waiting()
	s.ringed = true
	l.ring = append(l.ring, s)
	if first {
		l.h.Ready()
	}
}

// unring takes a stream out of the turn.
func (l *Link) unring(s *stream) {
	if !s.ringed {
		return
	}
	s.ringed = false
	for i, o := range l.ring {
		if o == s {
			l.ring = append(l.ring[:i:i], l.ring[i+1:]...)
			return
		}
	}
}

func (l *Link) close(s *stream) {
	if l.streams[s.id] != s {
		return
	}
	delete(l.streams, s.id)
	if !s.mine {
		l.theirs--
	}
	l.unring(s)
	s.out = nil
	l.drop(s)
}

// drop frees what has come of a body.
func (l *Link) drop(s *stream) {
	l.held -= s.booked
	if s.booked, s.in = 0, nil; l.first == s {
		l.first = nil
	}
	l.feed()
}

func (l *Link) book(s *stream, n int) {
	s.booked += n
	l.held += n
}

// Ask opens a stream with a query. ok is false where the link takes none: it has not been greeted, or
// all numbers are used.
func (l *Link) Ask(a message.Ask, statement []byte) (id uint32, ok bool, err error) {
	if !l.greeted || l.next >= 1<<31 {
		return 0, false, nil
	}
	a.Size = len(statement)
	s := &stream{id: l.next, mine: true, credit: l.cfg.Window, out: statement, given: l.cfg.Window}
	if err := l.say(frame.Ask, s.id, &a); err != nil {
		return 0, false, err
	}
	l.next += 2
	l.streams[s.id] = s
	l.wants(s)
	return s.id, true, nil
}

// Cancel gives up a stream that Ask opened. What still comes for it is counted and passed by.
func (l *Link) Cancel(id uint32) {
	if s := l.streams[id]; s != nil && s.mine {
		l.close(s)
		l.put(frame.Frame{Kind: frame.Cancel, Stream: id})
	}
}

// Answer ends a stream that the other side opened. One that is no more is passed by.
func (l *Link) Answer(id uint32, a message.Answer, body []byte) error {
	s := l.streams[id]
	if s == nil || s.mine {
		return nil
	}
	a.Size = len(body)
	if err := l.say(frame.Answer, id, &a); err != nil {
		return err
	}
	if s.out = body; len(body) == 0 {
		l.close(s)
		return nil
	}
	l.wants(s)
	return nil
}

// Stale turns away what the other side has begun to ask and not gone on with since Stale was
// called last. Guards against queries that never become whole.
func (l *Link) Stale() error {
	var all []uint32
	for id, s := range l.streams {
		if s.mine || s.ask == nil {
			continue
		}
		if s.old {
			all = append(all, id)
		}
		s.old = true
	}
	slices.Sort(all)
	for _, id := range all {
		if err := l.Answer(id, message.Answer{Verdict: 1}, nil); err != nil {
			return err
		}
	}
	return nil
}

// Ping asks for a Pong of the number.
func (l *Link) Ping(number uint32) { l.put(frame.Frame{Kind: frame.Ping, Value: number}) }

// Digest and Keys say what they say.
func (l *Link) Digest(number uint32, d message.Digest) error {
	enc, err := message.Append(nil, &d)
	if err != nil {
		return err
	}
	l.put(frame.Frame{Kind: frame.Digest, Value: number, Body: enc})
	return nil
}

// Keys tells of keys that were sent to engines.
func (l *Link) Keys(k message.Keys) error { return l.say(frame.Keys, 0, &k) }

// Leave says that this side wants new streams on another link.
func (l *Link) Leave() { l.put(frame.Frame{Kind: frame.Leave}) }

// Input takes what has come, and returns how much of it was whole frames: the rest is to be
// given again with what follows it.
func (l *Link) Input(b []byte) (n int, err error) {
	for {
		f, size, err := frame.Next(b[n:])
		if err != nil {
			return n, err
		}
		if size == 0 {
			return n, nil
		}
		n += size
		if err := l.frame(f); err != nil {
			return n, err
		}
	}
}

func (l *Link) frame(f frame.Frame) error {
	if !l.greeted {
		return l.greet(f)
	}
	switch f.Kind {
	case frame.Greet:
		return fmt.Errorf("%w: a second greeting", ErrOrder)
	case frame.Ask:
		return l.asked(f)
	case frame.Answer:
		return l.answered(f)
	case frame.Data:
		return l.data(f)
	case frame.Cancel:
		if l.mine(f.Stream) {
			return fmt.Errorf("%w: it cancels what this side asked", ErrOrder)
		}
		if s := l.streams[f.Stream]; s != nil {
			whole := s.ask == nil
			if l.close(s); whole {
				l.h.Cancelled(f.Stream)
			}
		}
	case frame.Credit:
		if s := l.streams[f.Stream]; s != nil {
			if s.credit += int(f.Value); s.credit > message.MostBody+l.cfg.Window {
				return fmt.Errorf("%w: credit of %d bytes", ErrCredit, s.credit)
			}
			l.wants(s)
		}
	case frame.Digest:
		var d message.Digest
		if err := message.Read(f.Body, &d); err != nil {
			return err
		}
		l.h.Digest(d)
	case frame.Keys:
		var k message.Keys
		if err := message.Read(f.Body, &k); err != nil {
			return err
		}
		l.h.Keys(k)
	case frame.Ping:
		if len(l.control) < 1<<20 { // one that pings and does not read gets no more
			l.put(frame.Frame{Kind: frame.Pong, Value: f.Value})
		}
	case frame.Pong:
		l.h.Ponged(f.Value)
	case frame.Leave:
		l.left = true
		l.h.Leaves()
	}
	return nil
}

func (l *Link) greet(f frame.Frame) error {
	switch {
	case f.Kind != frame.Greet:
		return fmt.Errorf("%w: %v before a greeting", ErrOrder, f.Kind)
	case f.Value != frame.Version:
		return fmt.Errorf("%w: %d, and this side speaks %d", ErrVersion, f.Value, frame.Version)
	}
	var g message.Greet
	if err := message.Read(f.Body, &g); err != nil {
		return err
	}
	l.greeted = true
	return l.h.Greeted(g)
}

// mine tells whether a stream's number is of those that this side opens.
func (l *Link) mine(id uint32) bool { return id%2 == l.next%2 }

func (l *Link) asked(f frame.Frame) error {
	var a message.Ask
	if err := message.Read(f.Body, &a); err != nil {
		return err
	}
	if l.mine(f.Stream) || f.Stream <= l.seen {
		return fmt.Errorf("%w: stream %d is opened", ErrOrder, f.Stream)
	}
	l.seen = f.Stream
	s := &stream{id: f.Stream, credit: l.cfg.Window, ask: &a, wanted: a.Size, given: l.cfg.Window}
	l.streams[s.id] = s
	l.theirs++
	if n := min(a.Size, l.cfg.Window); l.theirs <= l.cfg.Streams && l.held+n <= l.cfg.Held {
		l.book(s, n)
		return nil
	}
	return l.Answer(s.id, message.Answer{Verdict: 1}, nil) // nothing of it has run
}

func (l *Link) answered(f frame.Frame) error {
	var a message.Answer
	if err := message.Read(f.Body, &a); err != nil {
		return err
	}
	s := l.streams[f.Stream]
	switch {
	case !l.mine(f.Stream) || f.Stream >= l.next:
		return fmt.Errorf("%w: an answer on stream %d", ErrOrder, f.Stream)
	case s == nil:
		l.Late++
		return nil
	case s.answer != nil:
		return fmt.Errorf("%w: a second answer on stream %d", ErrOrder, f.Stream)
	}
	s.answer, s.wanted = &a, a.Size
	l.book(s, min(a.Size, l.cfg.Window))
	l.unring(s) // what of the statement was not sent is not wanted any more
	s.out = nil
	if a.Size == 0 {
		l.end(s)
	}
	return nil
}

func (l *Link) data(f frame.Frame) error {
	s := l.streams[f.Stream]
	if s == nil {
		switch {
		case l.mine(f.Stream) && f.Stream >= l.next, !l.mine(f.Stream) && f.Stream > l.seen:
			return fmt.Errorf("%w: data on stream %d", ErrOrder, f.Stream)
		}
		l.Late++
		return nil
	}
	if s.mine && s.answer == nil || !s.mine && s.ask == nil {
		return fmt.Errorf("%w: data on stream %d", ErrOrder, f.Stream)
	}
	n := len(f.Body)
	last := f.Value == 1
	switch {
	case n > s.given:
		return fmt.Errorf("%w: %d bytes on stream %d", ErrCredit, n, f.Stream)
	case len(s.in)+n > s.wanted || last != (len(s.in)+n == s.wanted):
		return fmt.Errorf("%w: %d bytes in place of %d on stream %d", ErrOrder, len(s.in)+n, s.wanted, f.Stream)
	}
	s.given, s.old = s.given-n, false
	s.in = append(s.in, f.Body...)
	if last {
		l.end(s)
		return nil
	}
	l.give(s)
	return nil
}

// give gives a stream credit for more, a window at a time, while there is room. One stream
// goes on all the same: it ends, and another has its turn.
func (l *Link) give(s *stream) {
	rest := s.wanted - len(s.in) - s.given
	if s.given > l.cfg.Window/2 || rest <= 0 || s.short {
		return
	}
	n := min(l.cfg.Window, rest)
	if l.held+n > l.cfg.Held && l.first != s {
		if l.first != nil {
			s.short = true
			l.short = append(l.short, s)
			return
		}
		l.first = s
	}
	l.book(s, n)
	s.given += n
	l.put(frame.Frame{Kind: frame.Credit, Stream: s.id, Value: uint32(n)})
}

// feed gives credit to those that had to wait for room.
func (l *Link) feed() {
	for len(l.short) > 0 {
		s := l.short[0]
		if l.streams[s.id] == s && l.first != nil && l.held+l.cfg.Window > l.cfg.Held {
			return
		}
		l.short = l.short[1:]
		if s.short = false; l.streams[s.id] == s {
			l.give(s)
		}
	}
}

// end hands over what is whole.
func (l *Link) end(s *stream) {
	body := s.in
	if s.mine {
		a := *s.answer
		l.close(s)
		l.h.Answered(s.id, a, body)
		return
	}
	a := *s.ask
	s.ask = nil
	l.drop(s)
	l.h.Asked(s.id, a, body)
}
