// Package frame encodes and decodes the frames of the link between two gateways.
//
// A frame is a header of 12 bytes, big-endian, and a body:
//
//	length:3  size of the body in bytes, at most MaxBodySize
//	kind:1    see Kind
//	stream:4  number of the stream; 0: the link itself
//	value:4   meaning depends on the kind
//
// The side that sends a request opens a stream for it. Streams have odd numbers at the side that dialled
// and even numbers at the other, as in RFC 9113 (HTTP/2); a number is never reused on a link. Data may be
// sent only within the credit that the receiver granted for the stream, so that one large response
// does not starve the others. Messages are encoded as CBOR, bodies of Data are raw bytes.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the version of the link protocol that this program implements, and the value of its Hello
// frame.
const Version = 1

const (
	// HeaderSize is the size in bytes of a frame's header.
	HeaderSize = 12
	// MaxBodySize is the largest body of a frame, in bytes; longer data is split into several frames.
	MaxBodySize = 64 << 10

	// kindEnd is the offset in a header after the length and the kind, where the stream begins.
	kindEnd = 4
)

// LastData is the value of the last Data frame that a side sends on a stream; other Data frames have
// value 0.
const LastData = 1

// Kind is the kind of a frame; 0 is invalid.
type Kind uint8

// Kinds of frames. Each comment gives the meaning of the value, then the body.
const (
	Hello      Kind = iota + 1 // protocol version; a message.Hello
	Request                    // 0; a message.Request
	Data                       // LastData or 0; a part of a statement or of a response's body
	Response                   // 0; a message.Response, followed by Data if it has a body
	Cancel                     // 0; none. The side that sent the request cancels it
	Credit                     // additional bytes of Data that may be sent; none
	LoadReport                 // report number; a message.LoadReport
	Ping                       // ping number; none
	Pong                       // number of the answered ping; none
	GoAway                     // 0; none. The sender wants new streams on another link
	SentKeys                   // 0; a message.SentKeys
	kindCount
)

var kindNames = [kindCount]string{
	"", "hello", "request", "data", "response", "cancel", "credit", "load report", "ping", "pong", "go away", "sent keys",
}

// String returns the name of the kind, or its number if it is unknown.
func (k Kind) String() string {
	if k == 0 || k >= kindCount {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// belongsToLink reports whether frames of the kind have no stream.
func (k Kind) belongsToLink() bool {
	switch k {
	case Hello, LoadReport, Ping, Pong, GoAway, SentKeys:
		return true
	}
	return false
}

// hasMessage reports whether the body of frames of the kind is a message.
func (k Kind) hasMessage() bool {
	switch k {
	case Hello, Request, Response, LoadReport, SentKeys:
		return true
	}
	return false
}

// hasNoBody reports whether frames of the kind consist of a header only.
func (k Kind) hasNoBody() bool { return !k.hasMessage() && k != Data }

// Frame is one frame. The body of a decoded frame is a slice of the buffer that it was read from.
type Frame struct {
	Kind   Kind
	Stream uint32
	Value  uint32
	Body   []byte
}

// Errors of Next, which wraps them with details. A link is closed on any of them.
var (
	ErrKind   = errors.New("site link: unknown frame kind")
	ErrLength = errors.New("site link: frame too long")
	ErrForm   = errors.New("site link: malformed frame")
)

// Append appends an encoded frame to b. It panics if the body exceeds MaxBodySize, which is a programming
// error: the sender splits longer bodies into several Data frames.
func Append(b []byte, f Frame) []byte {
	length := len(f.Body)
	if length > MaxBodySize {
		panic(fmt.Sprintf("site link: frame body of %d bytes exceeds the limit of %d", length, MaxBodySize))
	}
	b = append(b, byte(length>>16), byte(length>>8), byte(length), byte(f.Kind))
	b = binary.BigEndian.AppendUint32(b, f.Stream)
	b = binary.BigEndian.AppendUint32(b, f.Value)
	return append(b, f.Body...)
}

// Next decodes the first frame of b and returns its size n in bytes; n is 0 if the frame is not complete.
// It reports an invalid length or kind from the header alone, before any of the body has arrived.
func Next(b []byte) (f Frame, n int, err error) {
	if len(b) < kindEnd {
		return f, 0, nil
	}
	length := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	f.Kind = Kind(b[3])
	switch {
	case f.Kind == 0 || f.Kind >= kindCount:
		return f, 0, fmt.Errorf("%w: %d", ErrKind, b[3])
	case length > MaxBodySize:
		return f, 0, fmt.Errorf("%w: %v of %d bytes", ErrLength, f.Kind, length)
	}
	if len(b) < HeaderSize {
		return f, 0, nil
	}
	f.Stream = binary.BigEndian.Uint32(b[4:])
	f.Value = binary.BigEndian.Uint32(b[8:])
	if err := f.check(length); err != nil {
		return f, 0, err
	}
	if len(b) < HeaderSize+length {
		return f, 0, nil
	}
	f.Body = b[HeaderSize : HeaderSize+length]
	return f, HeaderSize + length, nil
}

// check validates the stream, value and body length of a frame against its kind.
func (f *Frame) check(length int) error {
	switch {
	case f.Kind.belongsToLink() && f.Stream != 0:
		return f.invalid("must not have a stream")
	case !f.Kind.belongsToLink() && f.Stream == 0:
		return f.invalid("needs a stream")
	case f.Kind.hasMessage() && length == 0:
		return f.invalid("needs a body")
	}
	switch f.Kind {
	case Data:
		if f.Value > LastData {
			return f.invalid("value must be 0 or 1")
		}
	case Credit:
		if f.Value == 0 {
			return f.invalid("value must not be 0")
		}
	case GoAway, Request, Response, SentKeys, Cancel:
		if f.Value != 0 {
			return f.invalid("value must be 0")
		}
	}
	if f.Kind.hasNoBody() && length > 0 {
		return f.invalid("must not have a body")
	}
	return nil
}

// invalid returns an ErrForm with the kind and the violated rule.
func (f *Frame) invalid(rule string) error { return fmt.Errorf("%w: %v: %s", ErrForm, f.Kind, rule) }
