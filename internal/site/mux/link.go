// Package mux is one end of the link between two gateways, without its sockets: bytes in,
// bytes out, what they mean, and the credit that keeps one large response from starving the
// others. It has no clock and no goroutine, so that it runs on a TLS connection and in
// virtual time alike. The link is specified in docs/site-link.md.
package mux

import (
	"errors"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// Defaults of a Config.
const (
	DefaultWindow       = 64 << 10
	DefaultMaxStreams   = 16 << 10
	DefaultMaxHeldBytes = 32 << 20
)

// Config bounds an end.
type Config struct {
	Dialled      bool // this side dialled: its streams have odd numbers
	Hello        message.Hello
	Window       int // bytes of Data that may come on a stream before this side gives credit for more; 0: DefaultWindow
	MaxStreams   int // that the peer may have open at once; 0: DefaultMaxStreams
	MaxHeldBytes int // of unfinished bodies that are held for the peer; 0: DefaultMaxHeldBytes
}

// Handler receives what comes over a link. It may call the link from within its methods.
type Handler interface {
	// HandleHello is the first call.
	HandleHello(m message.Hello) error
	// HandleRequest receives a request with its complete statement. Link.Respond follows, unless
	// HandleCancel comes first.
	HandleRequest(stream uint32, m message.Request, statement []byte)
	// HandleResponse receives the end of a stream that Link.Request opened.
	HandleResponse(stream uint32, m message.Response, body []byte)
	// HandleCancel reports that the peer cancelled a stream that it had opened.
	HandleCancel(stream uint32)
	HandleLoadReport(m message.LoadReport)
	HandleSentKeys(m message.SentKeys)
	// HandlePong reports that a ping of that number has come back.
	HandlePong(number uint32)
	// HandleGoAway reports that the peer wants new streams on another link.
	HandleGoAway()
	// OutputReady reports that there is something to Pull, where there was nothing. It is not
	// called from within Pull: call HasOutput behind it.
	OutputReady()
}

// Errors of the peer, all of them wrapped with what was wrong. The link is closed on one.
var (
	ErrOrder   = errors.New("site link: out of order")
	ErrCredit  = errors.New("site link: more than there was credit for")
	ErrVersion = errors.New("site link: another version")
)

// Link is one end of a link.
type Link struct {
	config  Config
	handler Handler

	greeted       bool // the peer's Hello has come
	peerGoingAway bool

	streams        map[uint32]*stream
	nextStream     uint32 // that this side opens
	lastPeerStream uint32 // the latest that the peer opened
	peerStreams    int    // that the peer opened and that are open

	output output
	budget receiveBudget

	// LateFrames counts what came for streams that this side had cancelled.
	LateFrames int
}

// stream is one request with its response.
type stream struct {
	id    uint32
	local bool // this side opened it

	// What goes out:
	unsent     []byte // rest of the body
	sendCredit int    // bytes that the peer has given credit for
	queued     bool   // in output.queue

	// What comes in:
	request  *message.Request  // its statement is not complete
	response *message.Response // its body is not complete
	received []byte
	bodySize int // of received, once it is complete
	window   int // bytes that the peer has credit for
	reserved int // of receiveBudget.held
	starved  bool
	stalled  bool // it was not complete at the latest RejectStale
}

// New returns an end whose Hello waits to be pulled.
func New(config Config, handler Handler) (*Link, error) {
	if config.Window <= 0 {
		config.Window = DefaultWindow
	}
	if config.MaxStreams <= 0 {
		config.MaxStreams = DefaultMaxStreams
	}
	if config.MaxHeldBytes <= 0 {
		config.MaxHeldBytes = DefaultMaxHeldBytes
	}
	l := &Link{config: config, handler: handler, streams: map[uint32]*stream{}, nextStream: 2}
	if config.Dialled {
		l.nextStream = 1
	}
	encoded, err := message.Append(nil, &config.Hello)
	if err != nil {
		return nil, err
	}
	l.output.control = frame.Append(nil, frame.Frame{Kind: frame.Hello, Value: frame.Version, Body: encoded})
	return l, nil
}

// OpenStreams is the number of open streams.
func (l *Link) OpenStreams() int { return len(l.streams) }

// HeldBytes is how many bytes of bodies have come in part, or may come without more credit.
func (l *Link) HeldBytes() int { return l.budget.held }

// PeerGoingAway tells whether the peer wants new streams on another link.
func (l *Link) PeerGoingAway() bool { return l.peerGoingAway }

// isLocal tells whether a stream's number is of those that this side opens.
func (l *Link) isLocal(id uint32) bool { return id%2 == l.nextStream%2 }

// wasOpened tells whether a stream's number has been used by the side that it belongs to.
func (l *Link) wasOpened(id uint32) bool {
	if l.isLocal(id) {
		return id < l.nextStream
	}
	return id <= l.lastPeerStream
}

func (l *Link) close(s *stream) {
	if l.streams[s.id] != s {
		return
	}
	delete(l.streams, s.id)
	if !s.local {
		l.peerStreams--
	}
	l.dropUnsent(s)
	l.releaseReceived(s)
}
