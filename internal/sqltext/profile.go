package sqltext

import (
	"encoding/binary"
	"math"
	"math/bits"
	"strconv"
	"strings"
)

// PatternKind is where the first wildcard of a pattern stands.
type PatternKind uint8

// Places of a wildcard.
const (
	NoPattern       PatternKind = iota
	ExactPattern                // there is none
	PrefixPattern               // behind some letters: an index can serve it
	LeadingWildcard             // in front, or the pattern is not known
)

// Profile is what the values of one execution tell of its size.
type Profile struct {
	Alternatives         int     // of the longest list; 0: no list
	Span                 float64 // of the widest range with both ends: days of dates, else the difference; 0: none
	HalfOpen             bool    // a range has one end only
	Pattern              PatternKind
	Limit                float64 // rows; 0: none
	DisabledRestrictions int     // restrictions that a null switches off
	Unrestricted         bool    // nothing narrows what is read
	Rows                 int     // to be written
	Column               uint32  // hash of the name that the longest list, or else the widest range, is of
	Key                  uint64  // hash of the first value compared for equality; 0: none
}

// Binds are the values of one execution, as a Bind message of PostgreSQL has them.
type Binds struct {
	Values  [][]byte // nil: null
	Formats []byte   // two bytes each, as in the message: none, one for all, or one a value
	Types   []byte   // object ids of four bytes each, as Parse or an engine tells them; may be short
}

func (b *Binds) value(param int32) (v []byte, binaryForm, ok bool) {
	n := int(param)
	if n < 1 || n > len(b.Values) {
		return nil, false, false
	}
	switch f := b.Formats; {
	case len(f) == 2:
		binaryForm = f[1] == 1
	case len(f) >= 2*n:
		binaryForm = f[2*n-1] == 1
	}
	return b.Values[n-1], binaryForm, true
}

func (b *Binds) oid(param int32) uint32 {
	n := int(param)
	if n < 1 || len(b.Types) < 4*n {
		return 0
	}
	return binary.BigEndian.Uint32(b.Types[4*n-4:])
}

// Object ids of types, from the catalogue pg_type.
const (
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidFloat4      = 700
	oidFloat8      = 701
	oidDate        = 1082
	oidTimestamp   = 1114
	oidTimestamptz = 1184
)

// Profile reads what the values tell: those in the text, and those bound.
func (r *Reading) Profile(stmt string, b *Binds, seed uint64) Profile {
	p := Profile{Rows: int(r.Features.Rows)}
	var low, high [MaxSlots]float64
	var lows, highs [MaxSlots]uint32
	nl, nh := 0, 0
	narrowing := r.Restrictions
	for i := range r.Slots {
		s := &r.Slots[i]
		var v []byte
		text, bin, null, known := "", false, false, true
		if s.Param > 0 {
			v, bin, known = b.value(s.Param)
			null = known && v == nil
		} else {
			text = stmt[s.Start:s.End]
		}
		if null {
			if s.Role != RoleOther && s.Role != RoleLimit && r.guarded(s.Param) {
				p.DisabledRestrictions++
				narrowing--
			}
			continue
		}
		switch s.Role {
		case RoleEqual:
			if p.Key == 0 && known {
				p.Key = keyHash(text, v, bin, b.oid(s.Param), seed)
			}
		case RoleList:
			n := int(s.Count)
			switch {
			case s.Param > 0 && known:
				n = arrayLen(v, bin)
			case s.Param == 0 && s.End > s.Start:
				n = textArrayLen(unquote(text))
			}
			if n > p.Alternatives {
				p.Alternatives, p.Column = n, s.Column
			}
		case RoleLowerBound, RoleUpperBound:
			x, ok := number64(text, v, bin, b.oid(s.Param))
			if !ok {
				p.HalfOpen = true
				break
			}
			if s.Role == RoleLowerBound {
				low[nl], lows[nl] = x, s.Column
				nl++
			} else {
				high[nh], highs[nh] = x, s.Column
				nh++
			}
		case RoleInterval:
			if d, ok := intervalDays(unquote(text)); ok {
				p.Span = max(p.Span, d)
			}
		case RolePattern:
			if s.Param > 0 {
				text = string(v[:min(len(v), mostPattern)])
			} else {
				text = unquote(text)
			}
			w := wildOf(text)
			p.Pattern = max(p.Pattern, w)
			if w == LeadingWildcard {
				narrowing--
			}
		case RoleLimit:
			if x, ok := number64(text, v, bin, b.oid(s.Param)); ok && x > 0 {
				p.Limit = x
			}
		}
	}
	for i := range nl {
		met := false
		for j := range nh {
			if highs[j] == lows[i] {
				met = true
				if d := high[j] - low[i]; d > p.Span {
					p.Span = d
					if p.Alternatives == 0 {
						p.Column = lows[i]
					}
				}
			}
		}
		p.HalfOpen = p.HalfOpen || !met
	}
	p.HalfOpen = p.HalfOpen || nh > 0 && nl == 0
	p.Unrestricted = r.Unrestricted || narrowing <= 0 && r.Features.Command != 'i'
	if !(p.Span >= 0) || p.Span > 1e12 {
		p.Span = 1e12
	}
	return p
}

// guarded tells whether a null in the parameter switches its restriction off.
func (r *Reading) guarded(param int32) bool {
	for i := range r.Slots {
		if r.Slots[i].Param == param && r.Slots[i].NullGuard {
			return true
		}
	}
	return false
}

// Bucket is a coarse form of the profile: executions of one shape that share it are
// taken to cost alike.
func (p *Profile) Bucket() uint32 {
	b := log2Bucket(float64(p.Alternatives), 15) // 4 bits
	b = b<<5 | log2Bucket(p.Span, 31)
	b = b<<2 | uint32(p.Pattern)
	b = b<<4 | min(log2Bucket(p.Limit, 30)/2, 15)
	b = b<<3 | uint32(min(p.DisabledRestrictions, 7))
	b = b<<4 | log2Bucket(float64(p.Rows), 15)
	for _, f := range []bool{p.HalfOpen, p.Unrestricted} {
		b <<= 1
		if f {
			b |= 1
		}
	}
	return b
}

// log2Bucket is 0 for what is not there, else one more than the logarithm.
func log2Bucket(x float64, most uint32) uint32 {
	if x <= 0 {
		return 0
	}
	if x < 1 {
		return 1
	}
	if x >= 1<<40 {
		return most
	}
	return min(uint32(bits.Len64(uint64(x))), most)
}

// mostPattern is how much of a bound pattern is looked at for its first wildcard.
const mostPattern = 64

// unquote takes the marks of a string off; doubled quotes stay as they are.
func unquote(s string) string {
	if i := strings.IndexByte(s, '\''); i >= 0 && i <= 2 {
		s = s[i+1:]
		return strings.TrimSuffix(s, "'")
	}
	if len(s) > 1 && s[0] == '$' {
		if i := strings.IndexByte(s[1:], '$'); i >= 0 && len(s) >= 2*(i+2) {
			return s[i+2 : len(s)-i-2]
		}
	}
	return s
}

// wildOf finds the first wildcard of a pattern. A regular expression that is not
// anchored counts as one with a wildcard in front.
func wildOf(s string) PatternKind {
	for i := range len(s) {
		switch s[i] {
		case '%', '_', '.', '*', '(', '[', '|':
			if i == 0 {
				return LeadingWildcard
			}
			if i == 1 && s[0] == '^' {
				return LeadingWildcard
			}
			return PrefixPattern
		case '\\':
			return PrefixPattern
		}
	}
	return ExactPattern
}

// arrayLen is the number of elements of a bound array.
func arrayLen(v []byte, bin bool) int {
	if !bin {
		return textArrayLen(string(v[:min(len(v), 1<<16)])) * max(1, len(v)>>16)
	}
	if len(v) < 12 {
		return 0
	}
	dims := int(binary.BigEndian.Uint32(v))
	n := 1
	if dims < 1 || dims > 6 || len(v) < 12+8*dims {
		return 0
	}
	for i := range dims {
		d := int(int32(binary.BigEndian.Uint32(v[12+8*i:])))
		if d < 0 || n*d > len(v) { // each element takes four bytes at least
			return 0
		}
		n *= d
	}
	return n
}

// textArrayLen counts the elements of an array as text, {a,"b,c"}.
func textArrayLen(s string) int {
	if len(s) < 3 || s[0] != '{' {
		return 0
	}
	n, quoted := 1, false
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			quoted = !quoted
		case ',':
			if !quoted {
				n++
			}
		}
	}
	return n
}

// number64 reads a number, or a date or time as days.
func number64(text string, v []byte, bin bool, oid uint32) (float64, bool) {
	if v != nil && bin {
		return binaryNumber(v, oid)
	}
	if v != nil {
		if len(v) > 40 {
			return 0, false
		}
		text = string(v)
	}
	text = unquote(text)
	if d, ok := dateDays(text); ok {
		return d, true
	}
	if len(text) > 40 || len(text) == 0 {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

func binaryNumber(v []byte, oid uint32) (float64, bool) {
	switch len(v) {
	case 2:
		return float64(int16(binary.BigEndian.Uint16(v))), true
	case 4:
		u := binary.BigEndian.Uint32(v)
		if oid == oidFloat4 {
			x := float64(math.Float32frombits(u))
			return x, !math.IsNaN(x) && !math.IsInf(x, 0)
		}
		return float64(int32(u)), true // of a date: days since 2000
	case 8:
		u := binary.BigEndian.Uint64(v)
		switch oid {
		case oidFloat8:
			x := math.Float64frombits(u)
			return x, !math.IsNaN(x) && !math.IsInf(x, 0)
		case oidTimestamp, oidTimestamptz:
			return float64(int64(u)) / 86400e6, true
		}
		return float64(int64(u)), true
	}
	return 0, false
}

// dateDays reads the date that a text begins with, as days since 2000-01-01.
func dateDays(s string) (float64, bool) {
	if len(s) < 10 || s[4] != '-' || s[7] != '-' {
		return 0, false
	}
	field := func(a, b int) (n int, ok bool) {
		for _, c := range []byte(s[a:b]) {
			if c < '0' || c > '9' {
				return 0, false
			}
			n = n*10 + int(c-'0')
		}
		return n, true
	}
	y, ok1 := field(0, 4)
	m, ok2 := field(5, 7)
	d, ok3 := field(8, 10)
	if !ok1 || !ok2 || !ok3 || m < 1 || m > 12 {
		return 0, false
	}
	if m <= 2 { // days from the civil calendar (Hinnant, "chrono-compatible low-level date algorithms")
		y--
		m += 12
	}
	days := 365*y + y/4 - y/100 + y/400 + (153*(m-3)+2)/5 + d - 1
	return float64(days - 730425), true
}

// intervalDays reads an interval such as '3 months' or '1 year 2 days'.
func intervalDays(s string) (days float64, ok bool) {
	for n := 0; n < 4 && s != ""; n++ {
		s = strings.TrimLeft(s, " ")
		i := 0
		for i < len(s) && (isDigit(s[i]) || s[i] == '.' || s[i] == '-' || s[i] == '+') {
			i++
		}
		x, err := strconv.ParseFloat(s[:i], 64)
		if err != nil {
			return days, ok
		}
		s = strings.TrimLeft(s[i:], " ")
		for i = 0; i < len(s) && classes[s[i]]&cStart != 0; i++ {
		}
		unit, rest := s[:i], s[i:]
		s = rest
		switch {
		case hasPrefix(unit, "y"):
			x *= 365.25
		case hasPrefix(unit, "mon"):
			x *= 30.4
		case hasPrefix(unit, "w"):
			x *= 7
		case hasPrefix(unit, "d"):
		case hasPrefix(unit, "h"):
			x /= 24
		case hasPrefix(unit, "mi"), unit == "m":
			x /= 1440
		default:
			x /= 86400
		}
		days += math.Abs(x)
		ok = true
	}
	return days, ok
}

func hasPrefix(s, small string) bool { return len(s) >= len(small) && same(s[:len(small)], small) }

// keyHash hashes a value that is compared for equality, whichever way it came.
func keyHash(text string, v []byte, bin bool, oid uint32, seed uint64) uint64 {
	h := seed ^ 14695981039346656037
	add := func(c byte) { h = (h ^ uint64(c)) * 1099511628211 }
	switch {
	case v != nil && bin && (oid == oidInt2 || oid == oidInt4 || oid == oidInt8):
		x, _ := binaryNumber(v, oid)
		var b [24]byte
		for _, c := range strconv.AppendInt(b[:0], int64(x), 10) {
			add(c)
		}
	case v != nil:
		for _, c := range v[:min(len(v), 64)] {
			add(c)
		}
	default:
		text = unquote(text)
		for i := range min(len(text), 64) {
			add(text[i])
		}
	}
	h ^= h >> 32
	if h == 0 {
		h = 1
	}
	return h
}
