// Package frame reads and writes the frames of the link between two gateways.
//
// A frame is a header of 12 bytes, big-endian, and a body:
//
//	length:3  of the body, at most MaxBodySize
//	kind:1
//	stream:4  0: the link itself
//	value:4   its meaning depends on the kind
//
// Streams are opened by the side that sends a request, with odd numbers at the side that dialled and
// even ones at the other, as in RFC 9113 (HTTP/2); a number is never used again on a link. A body of
// Data may be sent only within the credit that the receiver has given for that stream, so that one
// large response starves no other. Messages are CBOR, bodies of Data are raw.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the version of the link that this program speaks, and the value of its Hello.
const Version = 1

const (
	// HeaderSize is the number of bytes before a frame's body.
	HeaderSize = 12
	// MaxBodySize bounds the body of any frame, in bytes; more comes as several frames.
	MaxBodySize = 64 << 10

	// kindEnd is how many bytes of a frame come before its stream: length and kind.
	kindEnd = 4
)

// LastData is the value of a stream's last Data from one side; other Data has value 0.
const LastData = 1

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frames, each with the meaning of its value and its body.
const (
	Hello      Kind = iota + 1 // version; a message.Hello
	Request                    // 0; a message.Request
	Data                       // LastData or 0; a part of a statement or of a response's body
	Response                   // 0; a message.Response, with Data behind it where it has a body
	Cancel                     // 0; none: the side that sent the request cancels it
	Credit                     // bytes of Data that may be sent more; none
	LoadReport                 // number of the report; a message.LoadReport
	Ping                       // number; none
	Pong                       // the Ping's number; none
	GoAway                     // 0; none: the sender wants new streams on another link
	SentKeys                   // 0; a message.SentKeys
	kindCount
)

var kindNames = [kindCount]string{
	"", "hello", "request", "data", "response", "cancel", "credit", "load report", "ping", "pong", "go away", "sent keys",
}

func (k Kind) String() string {
	if k == 0 || k >= kindCount {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// belongsToLink tells whether frames of the kind have no stream.
func (k Kind) belongsToLink() bool {
	switch k {
	case Hello, LoadReport, Ping, Pong, GoAway, SentKeys:
		return true
	}
	return false
}

// hasMessage tells whether the body of the kind's frames is a message.
func (k Kind) hasMessage() bool {
	switch k {
	case Hello, Request, Response, LoadReport, SentKeys:
		return true
	}
	return false
}

// hasNoBody tells whether the kind's frames are a header alone.
func (k Kind) hasNoBody() bool { return !k.hasMessage() && k != Data }

// Frame is one frame. Its body is a part of the buffer that it was read from.
type Frame struct {
	Kind   Kind
	Stream uint32
	Value  uint32
	Body   []byte
}

// Errors of Next, all of them wrapped with what was wrong. A link is closed on one.
var (
	ErrKind   = errors.New("site link: a frame of unknown kind")
	ErrLength = errors.New("site link: a frame that is too long")
	ErrForm   = errors.New("site link: a frame that its kind does not allow")
)

// Append writes a frame. It panics on a body over MaxBodySize, which is the caller's mistake: the
// sender cuts what is longer into several Data.
func Append(b []byte, f Frame) []byte {
	length := len(f.Body)
	if length > MaxBodySize {
		panic(fmt.Sprintf("site link: a body of %d bytes", length))
	}
	b = append(b, byte(length>>16), byte(length>>8), byte(length), byte(f.Kind))
	b = binary.BigEndian.AppendUint32(b, f.Stream)
	b = binary.BigEndian.AppendUint32(b, f.Value)
	return append(b, f.Body...)
}

// Next reads one frame; n is 0 while it is not complete. An invalid length or kind is reported from
// the header alone, before any of the body has come.
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

// check tells whether a frame has what its kind needs, and nothing more.
func (f *Frame) check(length int) error {
	switch {
	case f.Kind.belongsToLink() && f.Stream != 0:
		return f.invalid("it belongs to no stream")
	case !f.Kind.belongsToLink() && f.Stream == 0:
		return f.invalid("it needs a stream")
	case f.Kind.hasMessage() && length == 0:
		return f.invalid("it has no body")
	}
	switch f.Kind {
	case Data:
		if f.Value > LastData {
			return f.invalid("its value is 0 or 1")
		}
	case Credit:
		if f.Value == 0 {
			return f.invalid("it gives nothing")
		}
	case GoAway, Request, Response, SentKeys, Cancel:
		if f.Value != 0 {
			return f.invalid("its value is 0")
		}
	}
	if f.Kind.hasNoBody() && length > 0 {
		return f.invalid("it has a body")
	}
	return nil
}

func (f *Frame) invalid(what string) error { return fmt.Errorf("%w: %v: %s", ErrForm, f.Kind, what) }
