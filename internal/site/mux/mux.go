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
	Dialled      bool // this side dialled: its streams have odd numbers
	Hello        message.Hello
	Window       int // bytes of Data that may come on a stream before this side gives more; 0: Window
	MaxStreams   int // that the other side may have open at once; 0: Streams
	MaxHeldBytes int // bytes of unfinished bodies that are held for the other side; 0: Held
}

// Usual bounds.
const (
	DefaultWindow       = 64 << 10
	DefaultMaxStreams   = 16 << 10
	DefaultMaxHeldBytes = 32 << 20
	// piece is how much of one body goes out before the next stream has its turn.
	piece = 16 << 10
)

// Handler hears of what comes. It may call the link from within.
type Handler interface {
	// HandleHello is the first call.
	HandleHello(g message.Hello) error
	// HandleRequest tells of a query with its whole statement. Answer or AbortAsked follows, unless
	// Cancelled comes first.
	HandleRequest(stream uint32, a message.Request, statement []byte)
	// HandleResponse is the end of a stream that Ask opened.
	HandleResponse(stream uint32, a message.Response, body []byte)
	// HandleCancel tells that the other side gave up a stream that it had opened.
	HandleCancel(stream uint32)
	HandleLoadReport(d message.LoadReport)
	HandleSentKeys(k message.SentKeys)
	// HandlePong tells that a ping of that number has come back.
	HandlePong(number uint32)
	// HandleGoAway tells that the other side wants new streams on another link.
	HandleGoAway()
	// OutputReady tells that there is something to Pull, where there was nothing. It is not called from
	// within Pull: ask Waiting behind it.
	OutputReady()
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
	// LateFrames counts what came for streams that this side had given up.
	LateFrames int
}

type stream struct {
	id     uint32
	mine   bool
	credit int // that the other side has given
	out    []byte
	ringed bool // in Link.ring
	last   bool // nothing more comes from this side behind out
	// What comes in:
	ask    *message.Request
	answer *message.Response
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
		cfg.Window = DefaultWindow
	}
	if cfg.MaxStreams <= 0 {
		cfg.MaxStreams = DefaultMaxStreams
	}
	if cfg.MaxHeldBytes <= 0 {
		cfg.MaxHeldBytes = DefaultMaxHeldBytes
	}
	l := &Link{cfg: cfg, h: h, streams: map[uint32]*stream{}, next: 2}
	if cfg.Dialled {
		l.next = 1
	}
	enc, err := message.Append(nil, &cfg.Hello)
	if err != nil {
		return nil, err
	}
	l.control = frame.Append(nil, frame.Frame{Kind: frame.Hello, Value: frame.Version, Body: enc})
	return l, nil
}

// OpenStreams is the number of open streams.
func (l *Link) OpenStreams() int { return len(l.streams) }

// HeldBytes is how many bytes of bodies have come in part, or may come as it stands.
func (l *Link) HeldBytes() int { return l.held }

// PeerGoingAway tells whether the other side wants new streams on another link.
func (l *Link) PeerGoingAway() bool { return l.left }

func (l *Link) put(f frame.Frame) {
	first := !l.pulling && !l.HasOutput()
	l.control = frame.Append(l.control, f)
	if first {
		l.h.OutputReady()
	}
}

func (l *Link) say(k frame.Kind, stream uint32, h any) error {
	enc, err := message.Append(nil, h)
	if err == nil && len(enc) > frame.MaxBodySize {
		err = fmt.Errorf("site link: a head of %d bytes", len(enc))
	}
	if err != nil {
		return err
	}
	l.put(frame.Frame{Kind: k, Stream: stream, Body: enc})
	return nil
}

// HasOutput tells whether there is something to Pull.
func (l *Link) HasOutput() bool { return len(l.control) > 0 || len(l.ring) > 0 }

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
		about -= frame.HeaderSize + n
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
	first := !l.pulling && !l.HasOutput()
	s.ringed = true
	l.ring = append(l.ring, s)
	if first {
		l.h.OutputReady()
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

// Request opens a stream with a query. ok is false where the link takes none: it has not been greeted, or
// all numbers are used.
func (l *Link) Request(a message.Request, statement []byte) (id uint32, ok bool, err error) {
	if !l.greeted || l.next >= 1<<31 {
		return 0, false, nil
	}
	a.Size = len(statement)
	s := &stream{id: l.next, mine: true, credit: l.cfg.Window, out: statement, given: l.cfg.Window}
	if err := l.say(frame.Request, s.id, &a); err != nil {
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

// Respond ends a stream that the other side opened. One that is no more is passed by.
func (l *Link) Respond(id uint32, a message.Response, body []byte) error {
	s := l.streams[id]
	if s == nil || s.mine {
		return nil
	}
	a.Size = len(body)
	if err := l.say(frame.Response, id, &a); err != nil {
		return err
	}
	if s.out = body; len(body) == 0 {
		l.close(s)
		return nil
	}
	l.wants(s)
	return nil
}

// RejectStale turns away what the other side has begun to ask and not gone on with since RejectStale was
// called last. Guards against queries that never become whole.
func (l *Link) RejectStale() error {
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
		if err := l.Respond(id, message.Response{Verdict: 1}, nil); err != nil {
			return err
		}
	}
	return nil
}

// Ping asks for a Pong of the number.
func (l *Link) Ping(number uint32) { l.put(frame.Frame{Kind: frame.Ping, Value: number}) }

// SendLoadReport and Keys say what they say.
func (l *Link) SendLoadReport(number uint32, d message.LoadReport) error {
	enc, err := message.Append(nil, &d)
	if err != nil {
		return err
	}
	l.put(frame.Frame{Kind: frame.LoadReport, Value: number, Body: enc})
	return nil
}

// SendKeys tells of keys that were sent to engines.
func (l *Link) SendKeys(k message.SentKeys) error { return l.say(frame.SentKeys, 0, &k) }

// GoAway says that this side wants new streams on another link.
func (l *Link) GoAway() { l.put(frame.Frame{Kind: frame.GoAway}) }

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
	case frame.Hello:
		return fmt.Errorf("%w: a second greeting", ErrOrder)
	case frame.Request:
		return l.asked(f)
	case frame.Response:
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
				l.h.HandleCancel(f.Stream)
			}
		}
	case frame.Credit:
		if s := l.streams[f.Stream]; s != nil {
			if s.credit += int(f.Value); s.credit > message.MaxBodySize+l.cfg.Window {
				return fmt.Errorf("%w: credit of %d bytes", ErrCredit, s.credit)
			}
			l.wants(s)
		}
	case frame.LoadReport:
		var d message.LoadReport
		if err := message.Decode(f.Body, &d); err != nil {
			return err
		}
		l.h.HandleLoadReport(d)
	case frame.SentKeys:
		var k message.SentKeys
		if err := message.Decode(f.Body, &k); err != nil {
			return err
		}
		l.h.HandleSentKeys(k)
	case frame.Ping:
		if len(l.control) < 1<<20 { // one that pings and does not read gets no more
			l.put(frame.Frame{Kind: frame.Pong, Value: f.Value})
		}
	case frame.Pong:
		l.h.HandlePong(f.Value)
	case frame.GoAway:
		l.left = true
		l.h.HandleGoAway()
	}
	return nil
}

func (l *Link) greet(f frame.Frame) error {
	switch {
	case f.Kind != frame.Hello:
		return fmt.Errorf("%w: %v before a greeting", ErrOrder, f.Kind)
	case f.Value != frame.Version:
		return fmt.Errorf("%w: %d, and this side speaks %d", ErrVersion, f.Value, frame.Version)
	}
	var g message.Hello
	if err := message.Decode(f.Body, &g); err != nil {
		return err
	}
	l.greeted = true
	return l.h.HandleHello(g)
}

// mine tells whether a stream's number is of those that this side opens.
func (l *Link) mine(id uint32) bool { return id%2 == l.next%2 }

func (l *Link) asked(f frame.Frame) error {
	var a message.Request
	if err := message.Decode(f.Body, &a); err != nil {
		return err
	}
	if l.mine(f.Stream) || f.Stream <= l.seen {
		return fmt.Errorf("%w: stream %d is opened", ErrOrder, f.Stream)
	}
	l.seen = f.Stream
	s := &stream{id: f.Stream, credit: l.cfg.Window, ask: &a, wanted: a.Size, given: l.cfg.Window}
	l.streams[s.id] = s
	l.theirs++
	if n := min(a.Size, l.cfg.Window); l.theirs <= l.cfg.MaxStreams && l.held+n <= l.cfg.MaxHeldBytes {
		l.book(s, n)
		return nil
	}
	return l.Respond(s.id, message.Response{Verdict: 1}, nil) // nothing of it has run
}

func (l *Link) answered(f frame.Frame) error {
	var a message.Response
	if err := message.Decode(f.Body, &a); err != nil {
		return err
	}
	s := l.streams[f.Stream]
	switch {
	case !l.mine(f.Stream) || f.Stream >= l.next:
		return fmt.Errorf("%w: an answer on stream %d", ErrOrder, f.Stream)
	case s == nil:
		l.LateFrames++
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
		l.LateFrames++
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
	if l.held+n > l.cfg.MaxHeldBytes && l.first != s {
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
		if l.streams[s.id] == s && l.first != nil && l.held+l.cfg.Window > l.cfg.MaxHeldBytes {
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
		l.h.HandleResponse(s.id, a, body)
		return
	}
	a := *s.ask
	s.ask = nil
	l.drop(s)
	l.h.HandleRequest(s.id, a, body)
}
