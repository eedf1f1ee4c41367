// Package frame reads and writes the frames of the link between two gateways.
//
// A frame is 12 bytes of head, big-endian, and a body:
//
//	length:3  of the body, at most MostBody
//	kind:1
//	stream:4  0: the link itself
//	value:4   what it says depends on the kind
//
// Streams are opened by whoever asks, with odd numbers at the side that dialled and even ones at
// the other, as in RFC 9113 (HTTP/2); a number is never used again on a link. A body of
// Data may be sent only within the credit that the receiver has given for that stream, so
// that one large answer starves nobody. Heads are CBOR, bodies of Data are raw.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is what this program speaks. Greet tells it in its value.
const Version = 1

// Bounds.
const (
	HeaderSize  = 12
	MaxBodySize = 64 << 10 // of any frame; more comes as several
)

// Kind is the kind of a frame.
type Kind uint8

// Kinds. What value says stands behind each.
const (
	Hello      Kind = iota + 1 // version; the body is CBOR: who speaks
	Request                    // 0; the body is CBOR: a query without its statement
	Data                       // 1 where it is the stream's last from this side; the body is raw
	Response                   // 0; the body is CBOR: how it ended; Data follows where there are rows
	Cancel                     // 0; the asker gives the stream up
	Credit                     // bytes of Data that may be sent more
	LoadReport                 // number of the digest; the body is CBOR: room by class
	Ping                       // number; Pong has the same
	Pong                       //
	GoAway                     // 0; whoever sends it wants new streams on another link
	SentKeys                   // 0; the body is CBOR: keys that were sent to engines
	kinds
)

var names = [kinds]string{"", "greet", "ask", "data", "answer", "cancel", "credit", "digest", "ping", "pong", "leave", "keys"}

func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return names[k]
}

// Frame is one frame. Its body lies in the buffer that was read.
type Frame struct {
	Kind   Kind
	Stream uint32
	Value  uint32
	Body   []byte
}

// Errors, all of them wrapped with what was wrong. A link that gives one is closed.
var (
	ErrKind   = errors.New("site link: a frame of unknown kind")
	ErrLength = errors.New("site link: a frame that is too long")
	ErrForm   = errors.New("site link: a frame that its kind does not allow")
)

// Append writes a frame. A body over MostBody is the caller's mistake and panics: what is
// longer is cut into several Data by whoever sends it.
func Append(b []byte, f Frame) []byte {
	if len(f.Body) > MaxBodySize {
		panic(fmt.Sprintf("site link: a body of %d bytes", len(f.Body)))
	}
	b = append(b, byte(len(f.Body)>>16), byte(len(f.Body)>>8), byte(len(f.Body)), byte(f.Kind))
	b = binary.BigEndian.AppendUint32(b, f.Stream)
	b = binary.BigEndian.AppendUint32(b, f.Value)
	return append(b, f.Body...)
}

// Next reads one frame; n is 0 while it is not whole. A length or kind that can't be is told
// from the head alone: no body is awaited for it.
func Next(b []byte) (f Frame, n int, err error) {
	if len(b) < 4 {
		return f, 0, nil
	}
	length := int(b[0])<<16 | int(b[1])<<8 | int(b[2])
	f.Kind = Kind(b[3])
	switch {
	case f.Kind == 0 || f.Kind >= kinds:
		return f, 0, fmt.Errorf("%w: %d", ErrKind, b[3])
	case length > MaxBodySize:
		return f, 0, fmt.Errorf("%w: %v of %d bytes", ErrLength, f.Kind, length)
	}
	if len(b) < HeaderSize {
		return f, 0, nil
	}
	f.Stream, f.Value = binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:])
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
	bad := func(what string) error { return fmt.Errorf("%w: %v: %s", ErrForm, f.Kind, what) }
	link := f.Kind == Hello || f.Kind == LoadReport || f.Kind == Ping || f.Kind == Pong || f.Kind == GoAway || f.Kind == SentKeys
	switch {
	case link && f.Stream != 0:
		return bad("it belongs to no stream")
	case !link && f.Stream == 0:
		return bad("it needs a stream")
	}
	switch f.Kind {
	case Hello, Request, Response, LoadReport, SentKeys:
		if length == 0 {
			return bad("it has no body")
		}
	}
	switch f.Kind {
	case Data:
		if f.Value > 1 {
			return bad("its value is 0 or 1")
		}
	case Credit:
		if f.Value == 0 {
			return bad("it gives nothing")
		}
	case GoAway, Request, Response, SentKeys, Cancel:
		if f.Value != 0 {
			return bad("its value is 0")
		}
	}
	if length > 0 && (f.Kind == Cancel || f.Kind == Credit || f.Kind == Ping || f.Kind == Pong || f.Kind == GoAway) {
		return bad("it has a body")
	}
	return nil
}
