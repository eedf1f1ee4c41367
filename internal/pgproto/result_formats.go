package pgproto

import "encoding/binary"

// Sizes in bytes of fields in Bind and RowDescription.
const (
	formatSize = 2
	// columnSize is the size of the fields between a column's name and its format code: table OID,
	// attribute number, type OID, type size and type modifier.
	columnSize = 16
)

// WithResultFormats returns a copy of the body of a RowDescription, with the format codes replaced by
// the result formats of a Bind. bind is the body of the Bind after the two names; if it contains no
// result formats, the format codes are unchanged. The description of a statement needs this because the
// formats are unknown before Bind.
func WithResultFormats(description, bind []byte) ([]byte, error) {
	formats, err := resultFormats(bind)
	if err != nil {
		return nil, err
	}
	out := append([]byte{}, description...)
	r := Reader{Rest: out}
	columns := r.Count()
	for i := range columns {
		r.CString()
		r.Bytes(columnSize)
		field := r.Bytes(formatSize)
		switch {
		case r.Invalid:
			return nil, ErrMalformed
		case len(formats) == 1: // a single format applies to all columns
			binary.BigEndian.PutUint16(field, uint16(formats[0]))
		case i < len(formats):
			binary.BigEndian.PutUint16(field, uint16(formats[i]))
		}
	}
	return out, nil
}

// resultFormats decodes the result formats of a Bind, which follow the parameter values.
func resultFormats(bind []byte) ([]int, error) {
	r := Reader{Rest: bind}
	r.Bytes(formatSize * r.Count()) // skip the parameter formats
	for range r.Count() {
		if length := r.Int32(); length > 0 { // a length of -1 stands for NULL
			r.Bytes(length)
		}
		if r.Invalid {
			return nil, ErrMalformed
		}
	}
	formats := make([]int, r.Count())
	for i := range formats {
		formats[i] = r.Int16()
		if r.Invalid {
			return nil, ErrMalformed
		}
	}
	return formats, nil
}
