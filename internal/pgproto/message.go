// Package pgproto frames and reads the messages of the PostgreSQL wire protocol,
// version 3.0, for both of its sides. It holds no state.
package pgproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Codes in place of a version in the first message of a connection.
const (
	Version       = 3 << 16
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSENCRequest = 80877104
)

// Codes of Authentication messages ('R').
const (
	AuthOK           = 0
	AuthSASL         = 10
	AuthSASLContinue = 11
	AuthSASLFinal    = 12
)

// MaxStartup bounds the first message of a connection, in bytes.
const MaxStartup = 10000

// Sizes of the fields that frame a message, in bytes. A message's length counts itself.
const (
	kindSize   = 1
	lengthSize = 4
	codeSize   = 4
)

// ErrMalformed is returned for a message that can't be read.
var ErrMalformed = errors.New("malformed message")

// ReadStartup reads a connection's first message: its code and what follows. size is that of the
// message in bytes, and 0 while it is not complete.
func ReadStartup(b []byte) (code uint32, body []byte, size int, err error) {
	if len(b) < lengthSize {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b))
	if length < lengthSize+codeSize || length > MaxStartup {
		return 0, nil, 0, fmt.Errorf("%w: a first message of %d bytes", ErrMalformed, length)
	}
	if len(b) < length {
		return 0, nil, 0, nil
	}
	return binary.BigEndian.Uint32(b[lengthSize:]), b[lengthSize+codeSize : length], length, nil
}

// ReadMessage reads one message of a kind and a body. size is that of the message in bytes, and 0
// while it is not complete.
func ReadMessage(b []byte, maxLength int) (kind byte, body []byte, size int, err error) {
	const head = kindSize + lengthSize
	if len(b) < head {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b[kindSize:]))
	if length < lengthSize || length > maxLength {
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", ErrMalformed, length)
	}
	size = kindSize + length
	if len(b) < size {
		return 0, nil, 0, nil
	}
	return b[0], b[head:size], size, nil
}

// AppendMessage adds one message.
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

// AppendStartup adds a connection's first message.
func AppendStartup(b []byte, code uint32, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(lengthSize+codeSize+len(body)))
	b = binary.BigEndian.AppendUint32(b, code)
	return append(b, body...)
}

// CString returns a string as messages hold it, with a zero byte at its end.
func CString(s string) []byte { return append([]byte(s), 0) }

// Int32 returns a number as messages hold it.
func Int32(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }
