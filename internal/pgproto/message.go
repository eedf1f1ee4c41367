// Package pgproto encodes and decodes messages of the PostgreSQL wire protocol, version 3.0, for
// clients and servers. It is stateless.
package pgproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Codes of the first message of a connection: the protocol version, or a special request.
const (
	Version       = 3 << 16
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSENCRequest = 80877104
)

// Codes of Authentication messages, which have the type 'R'.
const (
	AuthOK           = 0
	AuthSASL         = 10
	AuthSASLContinue = 11
	AuthSASLFinal    = 12
)

// MaxStartupBytes is the maximum size in bytes of the first message of a connection.
const MaxStartupBytes = 10000

// Sizes in bytes of the header fields of a message. The length field includes its own size.
const (
	kindSize   = 1
	lengthSize = 4
	codeSize   = 4
)

// ErrMalformed is returned for a message that violates the protocol.
var ErrMalformed = errors.New("malformed message")

// ReadStartup decodes the first message of a connection: its code and the body after it. size is the
// size of the message in bytes, or 0 if b does not contain the whole message yet.
func ReadStartup(b []byte) (code uint32, body []byte, size int, err error) {
	if len(b) < lengthSize {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b))
	if length < lengthSize+codeSize || length > MaxStartupBytes {
		return 0, nil, 0, fmt.Errorf("%w: invalid startup message length: %d bytes", ErrMalformed, length)
	}
	if len(b) < length {
		return 0, nil, 0, nil
	}
	return binary.BigEndian.Uint32(b[lengthSize:]), b[lengthSize+codeSize : length], length, nil
}

// ReadMessage decodes a message: its type and its body. The length field may be at most maxLength.
// size is the size of the message in bytes, or 0 if b does not contain the whole message yet.
func ReadMessage(b []byte, maxLength int) (kind byte, body []byte, size int, err error) {
	const headerSize = kindSize + lengthSize
	if len(b) < headerSize {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b[kindSize:]))
	if length < lengthSize || length > maxLength {
		return 0, nil, 0, fmt.Errorf("%w: invalid length: %d bytes", ErrMalformed, length)
	}
	size = kindSize + length
	if len(b) < size {
		return 0, nil, 0, nil
	}
	return b[0], b[headerSize:size], size, nil
}

// AppendMessage appends a message whose body is the concatenation of the given parts.
func AppendMessage(b []byte, kind byte, body ...[]byte) []byte {
	length := lengthSize
	for _, part := range body {
		length += len(part)
	}
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(length))
	for _, part := range body {
		b = append(b, part...)
	}
	return b
}

// AppendStartup appends the first message of a connection.
func AppendStartup(b []byte, code uint32, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(lengthSize+codeSize+len(body)))
	b = binary.BigEndian.AppendUint32(b, code)
	return append(b, body...)
}

// CString returns the encoding of a string in messages, which ends with a zero byte.
func CString(s string) []byte { return append([]byte(s), 0) }

// Int32 returns the encoding of a number in messages, as four bytes in big-endian order.
func Int32(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }
