package sqltext

import (
	"encoding/binary"
	"math"
)

// Binds are the values of one execution, as a Bind message of PostgreSQL has them.
type Binds struct {
	Values  [][]byte // nil: null
	Formats []byte   // two bytes each, as in the message: none, one for all, or one a value
	Types   []byte   // object ids of four bytes each, as Parse or an engine tells them; may be short
}

// Sizes in messages, in bytes.
const (
	formatLen = 2
	oidLen    = 4
)

// binaryFormat is the low byte of the format code of binary values.
const binaryFormat = 1

// slotValue is the value of a slot in one execution: a literal of the statement, or bound.
type slotValue struct {
	literal string
	bound   []byte // nil: it is not bound, or null
	binary  bool   // bound is in binary form
	known   bool   // it is a literal, or there is a bound value for it
	oid     uint32 // its type, where it is bound; 0: not known
}

// value finds the value of a parameter.
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
	case len(b.Formats) == formatLen: // one for all
		v.binary = b.Formats[formatLen-1] == binaryFormat
	case len(b.Formats) >= formatLen*n:
		v.binary = b.Formats[formatLen*n-1] == binaryFormat
	}
	return v
}

// isNull tells whether a null is bound. s is the slot of the value.
func (v *slotValue) isNull(s *Slot) bool { return s.Param > 0 && v.known && v.bound == nil }

// Object ids of types, from the catalogue pg_type.
const (
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidFloat4      = 700
	oidFloat8      = 701
	oidTimestamp   = 1114
	oidTimestamptz = 1184
)

// microsecondsPerDay is the unit of timestamps in binary form, in days.
const microsecondsPerDay = secondsPerDay * 1e6

// binaryNumber reads a number in binary form, or a date or timestamp as days since 2000.
func binaryNumber(v []byte, oid uint32) (x float64, ok bool) {
	switch len(v) {
	case 2:
		return float64(int16(binary.BigEndian.Uint16(v))), true
	case 4:
		u := binary.BigEndian.Uint32(v)
		if oid == oidFloat4 {
			return finite(float64(math.Float32frombits(u)))
		}
		return float64(int32(u)), true // a date is in days already
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

func finite(x float64) (float64, bool) { return x, !math.IsNaN(x) && !math.IsInf(x, 0) }

const (
	// maxTextArray is how much of a bound array in text form is read, in bytes. The rest is
	// taken to hold as many elements for its length.
	maxTextArray = 1 << 16
	// maxArrayDimensions is PostgreSQL's own limit, MAXDIM.
	maxArrayDimensions = 6
	// arrayHeaderLen and arrayDimensionLen are parts of an array in binary form, in bytes:
	// number of dimensions, flags, element type; then size and lower bound for each.
	arrayHeaderLen    = 12
	arrayDimensionLen = 8
)

// boundArrayLen is the number of elements of a bound array.
func (v *slotValue) boundArrayLen() int {
	if v.binary {
		return binaryArrayLen(v.bound)
	}
	parts := max(1, len(v.bound)/maxTextArray)
	return textArrayLen(string(v.bound[:min(len(v.bound), maxTextArray)])) * parts
}

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
		if size < 0 || elements*size > len(v) { // each element takes four bytes at least
			return 0
		}
		elements *= size
	}
	return elements
}

// textArrayLen counts the elements of an array as text, {a,"b,c"}.
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
