package pgproto

import "encoding/binary"

// Sizes of fields in Bind and RowDescription, in bytes.
const (
	formatSize = 2
	// columnSize is that of a column's table, attribute, type, type size and modifier, between its
	// name and its format.
	columnSize = 16
)

// WithResultFormats returns a copy of the body of a RowDescription that has the result
// formats of a Bind, given as its body past the two names. A statement's own description has none yet.
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
		case len(formats) == 1: // it stands for all columns
			binary.BigEndian.PutUint16(field, uint16(formats[0]))
		case i < len(formats):
			binary.BigEndian.PutUint16(field, uint16(formats[i]))
		}
	}
	return out, nil
}

// resultFormats reads the formats behind the values of the parameters.
func resultFormats(bind []byte) ([]int, error) {
	r := Reader{Rest: bind}
	r.Bytes(formatSize * r.Count()) // of the parameters
	for range r.Count() {
		if length := r.Int32(); length > 0 { // -1: NULL
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
