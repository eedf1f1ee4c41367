// Package pgproto frames and reads the messages of the PostgreSQL wire protocol,
// version 3.0, for both of its sides. It holds no state.
package pgproto

import (
	"bytes"
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

// MaxStartup bounds the first message of a connection.
const MaxStartup = 10000

// ErrMalformed is a message that can't be read.
var ErrMalformed = errors.New("malformed message")

// ReadStartup reads a connection's first message: its code and what follows. n is 0
// while it is not whole.
func ReadStartup(b []byte) (code uint32, body []byte, n int, err error) {
	if len(b) < 4 {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b))
	if length < 8 || length > MaxStartup {
		return 0, nil, 0, fmt.Errorf("%w: a first message of %d bytes", ErrMalformed, length)
	}
	if len(b) < length {
		return 0, nil, 0, nil
	}
	return binary.BigEndian.Uint32(b[4:]), b[8:length], length, nil
}

// ReadMessage reads one message of a kind and a body; n is 0 while it is not whole.
func ReadMessage(b []byte, most int) (kind byte, body []byte, n int, err error) {
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(b[1:]))
	if length < 4 || length > most {
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", ErrMalformed, length)
	}
	if len(b) < length+1 {
		return 0, nil, 0, nil
	}
	return b[0], b[5 : length+1], length + 1, nil
}

// AppendMessage adds one message.
func AppendMessage(b []byte, kind byte, body ...[]byte) []byte {
	length := 4
	for _, p := range body {
		length += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(length))
	for _, p := range body {
		b = append(b, p...)
	}
	return b
}

// AppendStartup adds a connection's first message.
func AppendStartup(b []byte, code uint32, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(8+len(body)))
	return append(binary.BigEndian.AppendUint32(b, code), body...)
}

// CString is a string as messages hold it.
func CString(s string) []byte { return append([]byte(s), 0) }

// Int32 is a number as messages hold it.
func Int32(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// Reader reads the fields of a body in turn. Past the end it gives zeros and
// sets Bad.
type Reader struct {
	Rest    []byte
	Invalid bool
}

// Bytes reads n bytes.
func (r *Reader) Bytes(n int) []byte {
	if n < 0 || n > len(r.Rest) {
		r.Invalid, r.Rest = true, nil
		return nil
	}
	p := r.Rest[:n]
	r.Rest = r.Rest[n:]
	return p
}

// CString reads a string up to its zero.
func (r *Reader) CString() string {
	i := bytes.IndexByte(r.Rest, 0)
	if i < 0 {
		r.Invalid, r.Rest = true, nil
		return ""
	}
	s := string(r.Rest[:i])
	r.Rest = r.Rest[i+1:]
	return s
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if p := r.Bytes(1); p != nil {
		return p[0]
	}
	return 0
}

// Int16 reads a signed number of two bytes.
func (r *Reader) Int16() int {
	if p := r.Bytes(2); p != nil {
		return int(int16(binary.BigEndian.Uint16(p)))
	}
	return 0
}

// Count reads a number of things, in two bytes without a sign.
func (r *Reader) Count() int { return r.Int16() & 0xffff }

// Int32 reads a signed number of four bytes.
func (r *Reader) Int32() int {
	if p := r.Bytes(4); p != nil {
		return int(int32(binary.BigEndian.Uint32(p)))
	}
	return 0
}

// Complete tells whether all was read and nothing was missing.
func (r *Reader) Complete() bool { return !r.Invalid && len(r.Rest) == 0 }

// Error is an ErrorResponse.
type Error struct {
	Severity, Code, Message, Hint string
	// Raw is the body as an engine sent it; it passes on unchanged.
	Raw []byte
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// AsError finds the engine's error in the chain of err; nil: there is none.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Body is the message's body.
func (e *Error) Body() []byte {
	if e.Raw != nil {
		return e.Raw
	}
	var b []byte
	for _, f := range []struct {
		kind  byte
		value string
	}{{'S', e.Severity}, {'V', e.Severity}, {'C', e.Code}, {'M', e.Message}, {'H', e.Hint}} {
		if f.value != "" {
			b = append(append(b, f.kind), CString(f.value)...)
		}
	}
	return append(b, 0)
}

// ReadError reads an ErrorResponse or a NoticeResponse.
func ReadError(body []byte) (*Error, error) {
	e := &Error{Raw: append([]byte{}, body...)}
	r := Reader{Rest: body}
	for {
		kind := r.Byte()
		if kind == 0 {
			break
		}
		value := r.CString()
		switch kind {
		case 'S':
			e.Severity = value
		case 'C':
			e.Code = value
		case 'M':
			e.Message = value
		case 'H':
			e.Hint = value
		}
	}
	if !r.Complete() || len(e.Code) != 5 {
		return nil, fmt.Errorf("%w: an error response", ErrMalformed)
	}
	return e, nil
}

// Statement is one bound execution, or a request to describe a statement. Other sites receive it
// in CBOR under the names in the tags.
type Statement struct {
	Query string
	// ParameterTypes is the count and the types of the parameters, as in Parse.
	ParameterTypes []byte `cbor:"Types"`
	// Bind is the body of a Bind past its two names: formats and values as they came.
	Bind []byte
	// DescribeOnly is set where nothing runs.
	DescribeOnly bool `cbor:"Describe"`
	// BeginQuery begins the transaction, ahead of its first statement.
	BeginQuery string `cbor:"Begin"`
	// EndsTransaction is set where the statement ends its transaction.
	EndsTransaction bool `cbor:"Ends"`
	// Settings are those that the statement runs under, by name; others are as the engine has them.
	Settings []Setting
	// ChangedSetting is the setting that the statement itself changes.
	ChangedSetting string `cbor:"Sets"`
	// TaintsSession is set where the statement may leave something in the engine's session.
	TaintsSession bool `cbor:"Taints"`
	// User is whom it runs for, of those who share the connections. Other sites know their own.
	User string `cbor:"-"`
}

// Setting is one setting of a client, as the SET that made it.
type Setting struct{ Name, Text string }

// SQL is the statement's text.
func (s *Statement) SQL() string { return s.Query }

// Size is the number of bytes of all rows.
func (r *Result) Size() int { return len(r.Rows) }

// Result is what an engine answered: the bodies of the messages as they came. Other sites
// receive it in CBOR under the names in the tags.
type Result struct {
	// ParameterDescription is set where only a description was requested.
	ParameterDescription []byte `cbor:"Params"`
	// RowDescription is nil where the engine answered NoData.
	RowDescription []byte `cbor:"Fields"`
	// Rows are complete DataRow messages in order.
	Rows []byte
	// RowCount is the number of rows.
	RowCount int `cbor:"Count"`
	// Tag is that of CommandComplete.
	Tag string
	// EmptyQuery is set where EmptyQueryResponse came in place of CommandComplete.
	EmptyQuery bool `cbor:"Empty"`
	// ParameterStatus holds complete ParameterStatus messages, of a SET.
	ParameterStatus []byte `cbor:"Status"`
}

// WithResultFormats gives a copy of the body of a RowDescription that has the result
// formats of a Bind's tail. A statement's own description has none yet.
func WithResultFormats(fields, bind []byte) ([]byte, error) {
	r := Reader{Rest: bind}
	r.Bytes(2 * r.Count())
	for range r.Count() {
		if n := r.Int32(); n > 0 {
			r.Bytes(n)
		}
		if r.Invalid {
			return nil, ErrMalformed
		}
	}
	formats := make([]int, r.Count())
	for i := range formats {
		if formats[i] = r.Int16(); r.Invalid {
			return nil, ErrMalformed
		}
	}
	out := append([]byte{}, fields...)
	d := Reader{Rest: out}
	columns := d.Count()
	for i := range columns {
		d.CString()
		d.Bytes(16)
		p := d.Bytes(2)
		switch {
		case d.Invalid:
			return nil, ErrMalformed
		case len(formats) == 1:
			binary.BigEndian.PutUint16(p, uint16(formats[0]))
		case i < len(formats):
			binary.BigEndian.PutUint16(p, uint16(formats[i]))
		}
	}
	return out, nil
}
