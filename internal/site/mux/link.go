// Package mux implements the protocol of the link between two gateways without its sockets: it turns
// received bytes into calls of a Handler, multiplexes requests and responses into output bytes, and
// limits each stream by credit, so that one large response does not starve the others. It has no clock
// and no goroutines, so that it runs on a TLS connection as well as in virtual time. The protocol is
// specified in docs/site-link.md.
package mux

import (
	"errors"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// Defaults of Config, the sizes in bytes.
const (
	DefaultWindow       = 64 << 10
	DefaultMaxStreams   = 16 << 10
	DefaultMaxHeldBytes = 32 << 20
)

// Config sets the role and the limits of one end of a link.
type Config struct {
	Dialled    bool          // this side dialled: its streams have odd numbers
	Hello      message.Hello // message that this side sends first
	Window     int           // bytes of Data that may arrive on a stream before this side grants more credit; 0: DefaultWindow
	MaxStreams int           // streams that the peer may have open at once; 0: DefaultMaxStreams
	// MaxHeldBytes limits the bytes of incomplete bodies from the peer, granted credit included. The first
	// window of a response, and one stream at a time, may exceed it. 0: DefaultMaxHeldBytes.
	MaxHeldBytes int
}

// Handler receives the messages of a link. Its methods may call the link.
type Handler interface {
	// HandleHello is the first call; an error closes the link.
	HandleHello(m message.Hello) error
	// HandleRequest receives a request with its complete statement. The handler must call Link.Respond
	// later, unless HandleCancel comes first.
	HandleRequest(stream uint32, m message.Request, statement []byte)
	// HandleResponse receives the response on a stream that Link.Request opened, with its complete body.
	// The stream is closed.
	HandleResponse(stream uint32, m message.Response, body []byte)
	// HandleCancel reports that the peer cancelled a request that HandleRequest received.
	HandleCancel(stream uint32)
	// HandleLoadReport receives a load report of the peer.
	HandleLoadReport(m message.LoadReport)
	// HandleSentKeys receives idempotency keys that the peer sent to engines.
	HandleSentKeys(m message.SentKeys)
	// HandlePong reports that the peer answered the ping of that number.
	HandlePong(number uint32)
	// HandleGoAway reports that the peer wants new streams on another link.
	HandleGoAway()
	// OutputReady reports that there is output to Pull after there was none. It is not called from within
	// Pull; call HasOutput after Pull instead.
	OutputReady()
}

// Protocol errors of the peer, which Link.Input wraps with details. The link is closed on any of them.
var (
	ErrOrder   = errors.New("site link: unexpected frame")
	ErrCredit  = errors.New("site link: credit exceeded")
	ErrVersion = errors.New("site link: unsupported version")
)

// Link is one end of the link between two gateways.
type Link struct {
	config  Config
	handler Handler

	greeted       bool // the peer's Hello was received
	peerGoingAway bool // the peer's GoAway was received

	streams        map[uint32]*stream // open streams of both sides
	nextStream     uint32             // number of the next stream that this side opens
	lastPeerStream uint32             // number of the latest stream that the peer opened; 0: none
	peerStreams    int                // number of open streams that the peer opened

	output output
	budget receiveBudget

	// LateFrames counts the frames that arrived for closed streams, such as those that this side cancelled.
	LateFrames int
}

// stream is one request with its response.
type stream struct {
	id    uint32
	local bool // this side opened it

	// Sending:
	unsent     []byte // rest of the body that is not sent yet
	sendCredit int    // bytes that the peer still allows to be sent
	queued     bool   // it is in output.queue

	// Receiving:
	request  *message.Request  // request whose statement is not complete; nil: none
	response *message.Response // response whose body is not complete; nil: none
	received []byte            // part of the body that has arrived
	bodySize int               // announced size of the body in bytes
	window   int               // bytes that the peer may still send without more credit
	reserved int               // bytes of receiveBudget.held that belong to this stream
	starved  bool              // it is in receiveBudget.starved
	stalled  bool              // no Data has arrived since the latest RejectStale
}

// New returns one end of a link, whose Hello is ready to be pulled.
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

// OpenStreams returns the number of open streams of both sides.
func (l *Link) OpenStreams() int { return len(l.streams) }

// HeldBytes returns the bytes of incomplete bodies that were received or are covered by granted credit.
func (l *Link) HeldBytes() int { return l.budget.held }

// PeerGoingAway reports whether the peer wants new streams on another link.
func (l *Link) PeerGoingAway() bool { return l.peerGoingAway }

// isLocal reports whether a stream number belongs to the streams that this side opens.
func (l *Link) isLocal(id uint32) bool { return id%2 == l.nextStream%2 }

// wasOpened reports whether a stream number has been used by the side that it belongs to.
func (l *Link) wasOpened(id uint32) bool {
	if l.isLocal(id) {
		return id < l.nextStream
	}
	return id <= l.lastPeerStream
}

// close removes a stream, with its unsent and received data. It does nothing if the stream is closed.
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
