package sqltext

import (
	"encoding/binary"
	"math"
)

// Binds are the parameter values of one execution, as encoded in PostgreSQL's Bind message.
type Binds struct {
	Values  [][]byte // a nil element is NULL
	Formats []byte   // format codes of two bytes each: none, one for all values, or one per value
	Types   []byte   // object IDs of four bytes each, from Parse or an engine; may cover only the first values
}

// Sizes of fields in protocol messages, in bytes.
const (
	formatLen = 2
	oidLen    = 4
)

// binaryFormat is the low byte of the format code of binary values.
const binaryFormat = 1

// slotValue is the value of a slot in one execution: a literal of the statement or a bound
// value.
type slotValue struct {
	literal string
	bound   []byte // nil: the value is a literal, NULL, or missing from the Bind message
	binary  bool   // bound is in binary format
	known   bool   // the value is a literal, or was bound
	oid     uint32 // object ID of a bound value's type; 0: unknown
}

// value returns the value of the parameter with the given number, which starts from 1.
func (b *Binds) value(param int32) (v slotValue) {
	n := int(param)
	if len(b.Types) >= oidLen*n {
		v.oid = binary.BigEndian.Uint32(b.Types[oidLen*(n-1):])
	}
	if n > len(b.Values) {
		return v
	}
	v.known = true
	v.bound = b.Values[n-1]
	switch {
	case len(b.Formats) == formatLen: // one code for all values
		v.binary = b.Formats[formatLen-1] == binaryFormat
	case len(b.Formats) >= formatLen*n:
		v.binary = b.Formats[formatLen*n-1] == binaryFormat
	}
	return v
}

// isNull reports whether NULL is bound to the parameter of the slot s.
func (v *slotValue) isNull(s *Slot) bool { return s.Param > 0 && v.known && v.bound == nil }

// Object IDs of types, from the catalog pg_type.
const (
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidFloat4      = 700
	oidFloat8      = 701
	oidTimestamp   = 1114
	oidTimestamptz = 1184
)

// microsecondsPerDay converts timestamps in binary format, which count microseconds, to days.
const microsecondsPerDay = secondsPerDay * 1e6

// binaryNumber decodes a number in binary format, or a date or timestamp as days since
// 2000-01-01.
func binaryNumber(v []byte, oid uint32) (x float64, ok bool) {
	switch len(v) {
	case 2:
		return float64(int16(binary.BigEndian.Uint16(v))), true
	case 4:
		u := binary.BigEndian.Uint32(v)
		if oid == oidFloat4 {
			return finite(float64(math.Float32frombits(u)))
		}
		return float64(int32(u)), true // dates are encoded in days
	case 8:
		u := binary.BigEndian.Uint64(v)
		switch oid {
		case oidFloat8:
			return finite(math.Float64frombits(u))
		case oidTimestamp, oidTimestamptz:
			return float64(int64(u)) / microsecondsPerDay, true
		}
		return float64(int64(u)), true
	}
	return 0, false
}

// finite returns x and whether it is neither NaN nor infinite.
func finite(x float64) (float64, bool) { return x, !math.IsNaN(x) && !math.IsInf(x, 0) }

const (
	// maxTextArray is the length of the prefix of a bound array in text format that is read,
	// in bytes. The rest is assumed to hold as many elements per byte.
	maxTextArray = 1 << 16
	// maxArrayDimensions is PostgreSQL's limit, MAXDIM.
	maxArrayDimensions = 6
	// arrayHeaderLen and arrayDimensionLen are the lengths of the parts of an array in binary
	// format, in bytes: the header holds the number of dimensions, flags and the element type;
	// each dimension has a size and a lower bound.
	arrayHeaderLen    = 12
	arrayDimensionLen = 8
)

// boundArrayLen returns the number of elements of a bound array, estimated for a long one in
// text format.
func (v *slotValue) boundArrayLen() int {
	if v.binary {
		return binaryArrayLen(v.bound)
	}
	parts := max(1, len(v.bound)/maxTextArray)
	return textArrayLen(string(v.bound[:min(len(v.bound), maxTextArray)])) * parts
}

// binaryArrayLen returns the number of elements of an array in binary format, or 0 if the array is
// malformed.
func binaryArrayLen(v []byte) int {
	if len(v) < arrayHeaderLen {
		return 0
	}
	dimensions := int(binary.BigEndian.Uint32(v))
	if dimensions < 1 || dimensions > maxArrayDimensions || len(v) < arrayHeaderLen+arrayDimensionLen*dimensions {
		return 0
	}
	elements := 1
	for i := range dimensions {
		size := int(int32(binary.BigEndian.Uint32(v[arrayHeaderLen+arrayDimensionLen*i:])))
		if size < 0 || elements*size > len(v) { // each element takes at least four bytes
			return 0
		}
		elements *= size
	}
	return elements
}

// textArrayLen counts the elements of an array in text format, such as {a,"b,c"}.
func textArrayLen(s string) int {
	if len(s) < len("{a}") || s[0] != '{' {
		return 0
	}
	elements, quoted := 1, false
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			quoted = !quoted
		case ',':
			if !quoted {
				elements++
			}
		}
	}
	return elements
}
