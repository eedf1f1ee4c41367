package pgproto

import (
	"bytes"
	"encoding/binary"
)

// Reader decodes the fields of a message body in order. A read past the end returns a zero value,
// discards the rest of the body and sets Invalid.
type Reader struct {
	Rest    []byte // unread part of the body
	Invalid bool   // a field was incomplete
}

// invalidate sets Invalid and discards the rest of the body.
func (r *Reader) invalidate() {
	r.Invalid = true
	r.Rest = nil
}

// Bytes reads n bytes. The result shares the memory of the body.
func (r *Reader) Bytes(n int) []byte {
	if n < 0 || n > len(r.Rest) {
		r.invalidate()
		return nil
	}
	field := r.Rest[:n]
	r.Rest = r.Rest[n:]
	return field
}

// CString reads a zero-terminated string, and returns it without the zero byte.
func (r *Reader) CString() string {
	length := bytes.IndexByte(r.Rest, 0)
	if length < 0 {
		r.invalidate()
		return ""
	}
	s := string(r.Rest[:length])
	r.Rest = r.Rest[length+1:]
	return s
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if b := r.Bytes(1); b != nil {
		return b[0]
	}
	return 0
}

// Int16 reads a signed 16-bit number.
func (r *Reader) Int16() int {
	if b := r.Bytes(2); b != nil {
		return int(int16(binary.BigEndian.Uint16(b)))
	}
	return 0
}

// Count reads a number of elements, an unsigned 16-bit number.
func (r *Reader) Count() int { return r.Int16() & 0xffff }

// Int32 reads a signed 32-bit number.
func (r *Reader) Int32() int {
	if b := r.Bytes(4); b != nil {
		return int(int32(binary.BigEndian.Uint32(b)))
	}
	return 0
}

// Complete reports whether the whole body was read and no field was incomplete.
func (r *Reader) Complete() bool { return !r.Invalid && len(r.Rest) == 0 }
