package workload

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// style is how a program passes the values of a statement.
type style int

const (
	literals    style = iota // written out in the statement
	boundText                // bound as text
	boundBinary              // bound, in binary for integers, dates and arrays and as text for strings
	styles
)

// text builds the text and the bound values of a statement. The style determines whether values are
// literals or bound.
type text struct {
	b       strings.Builder
	style   style
	lower   bool     // keywords in lower case
	values  [][]byte // bound values; a nil value is null
	formats []byte   // format codes of the values, 16 bits each
	types   []byte   // type object ids of the values, 32 bits each
}

// Object ids of PostgreSQL's types. oidTexts is the array of text.
const (
	oidInt4  = 23
	oidText  = 25
	oidDate  = 1082
	oidTexts = 1009
)

// bind adds a parameter ($1, $2, ...) and its value. format is 0 for text and 1 for binary.
func (x *text) bind(v []byte, format byte, oid uint32) {
	x.values = append(x.values, v)
	x.formats = append(x.formats, 0, format)
	x.types = binary.BigEndian.AppendUint32(x.types, oid)
	fmt.Fprintf(&x.b, "$%d", len(x.values))
}

// str adds a text value.
func (x *text) str(s string) {
	if x.style == literals {
		fmt.Fprintf(&x.b, "'%s'", s)
		return
	}
	x.bind([]byte(s), 0, oidText)
}

// num adds an integer value.
func (x *text) num(n int) {
	switch x.style {
	case literals:
		fmt.Fprintf(&x.b, "%d", n)
	case boundText:
		x.bind(fmt.Append(nil, n), 0, oidInt4)
	default:
		x.bind(binary.BigEndian.AppendUint32(nil, uint32(n)), 1, oidInt4)
	}
}

// day adds a date by its day number; day 0 is 2016-01-01. Text dates use months of 31 days, cut at day 28,
// so they differ from the binary ones by some days.
func (x *text) day(n int) {
	year := 2016 + n/365
	month := 1 + n%365/31
	day := min(1+n%365%31, 28)
	s := fmt.Sprintf("%04d-%02d-%02d", year, month, day)
	switch x.style {
	case literals:
		fmt.Fprintf(&x.b, "'%s'", s)
	case boundText:
		x.bind([]byte(s), 0, oidDate)
	default:
		x.bind(binary.BigEndian.AppendUint32(nil, uint32(16*365+4+n)), 1, oidDate)
	}
}

// array adds an array of texts.
func (x *text) array(list []string) {
	switch x.style {
	case literals:
		fmt.Fprintf(&x.b, "'{%s}'", strings.Join(list, ","))
	case boundText:
		x.bind([]byte("{"+strings.Join(list, ",")+"}"), 0, oidTexts)
	default:
		var v []byte
		for _, n := range []int{1, 0, oidText, len(list), 1} {
			v = binary.BigEndian.AppendUint32(v, uint32(n))
		}
		for _, s := range list {
			v = append(binary.BigEndian.AppendUint32(v, uint32(len(s))), s...)
		}
		x.bind(v, 1, oidTexts)
	}
}

// write adds formatted text. It expects keywords in upper case and writes the whole text in lower case
// if the program does so.
func (x *text) write(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	if x.lower {
		s = strings.ToLower(s)
	}
	x.b.WriteString(s)
}
