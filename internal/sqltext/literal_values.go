package sqltext

import (
	"math"
	"strconv"
	"strings"
)

// unquoteString returns a string literal without its quotes and prefix. Doubled quotes stay
// doubled, and text that is not a string literal is returned unchanged.
func unquoteString(s string) string {
	const maxPrefixLen = 2 // of U&'..'
	if quote := strings.IndexByte(s, '\''); quote >= 0 && quote <= maxPrefixLen {
		return strings.TrimSuffix(s[quote+1:], "'")
	}
	if len(s) > 1 && s[0] == '$' {
		if i := strings.IndexByte(s[1:], '$'); i >= 0 {
			tagLen := i + 2
			if len(s) >= 2*tagLen {
				return s[tagLen : len(s)-tagLen]
			}
		}
	}
	return s
}

// maxNumberLen is the maximum length of a text that is parsed as a number, in bytes.
const maxNumberLen = 40

// number returns the value as a number; a date or timestamp is converted to days since
// 2000-01-01. ok is false if it is neither.
func (v *slotValue) number() (x float64, ok bool) {
	text := v.literal
	if v.bound != nil {
		if v.binary {
			return binaryNumber(v.bound, v.oid)
		}
		if len(v.bound) > maxNumberLen {
			return 0, false
		}
		text = string(v.bound)
	}
	text = unquoteString(text)
	if days, ok := dateDays(text); ok {
		return days, true
	}
	if len(text) > maxNumberLen || text == "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return x, false
	}
	return finite(x)
}

// dateDays converts the date YYYY-MM-DD at the beginning of a text to days since 2000-01-01.
func dateDays(s string) (days float64, ok bool) {
	if len(s) < len("YYYY-MM-DD") || s[4] != '-' || s[7] != '-' {
		return 0, false
	}
	year, yearOK := decimal(s[0:4])
	month, monthOK := decimal(s[5:7])
	day, dayOK := decimal(s[8:10])
	if !yearOK || !monthOK || !dayOK || month < 1 || month > 12 {
		return 0, false
	}
	return float64(civilDay(year, month, day) - dayOf2000), true
}

// dayOf2000 is the result of civilDay for 2000-01-01.
const dayOf2000 = 730425

// civilDay returns the serial number of a day of the Gregorian calendar (Hinnant,
// "chrono-compatible low-level date algorithms"). Its years begin in March, so that a leap day
// is the last day of a year.
func civilDay(year, month, day int) int {
	if month <= 2 {
		year--
		month += 12
	}
	leapDays := year/4 - year/100 + year/400
	dayOfYear := (153*(month-3)+2)/5 + day - 1
	return 365*year + leapDays + dayOfYear
}

// decimal parses a number that consists of decimal digits only.
func decimal(s string) (n int, ok bool) {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// maxIntervalFields is the maximum number of fields of an interval that are read.
const maxIntervalFields = 4

// intervalDays converts an interval such as '3 months' or '1 year 2 days' to days. Negative
// fields count as positive.
func intervalDays(s string) (days float64, ok bool) {
	for n := 0; n < maxIntervalFields && s != ""; n++ {
		s = strings.TrimLeft(s, " ")
		amountEnd := 0
		for amountEnd < len(s) && isAmountCharacter(s[amountEnd]) {
			amountEnd++
		}
		amount, err := strconv.ParseFloat(s[:amountEnd], 64)
		if err != nil {
			return days, ok
		}
		s = strings.TrimLeft(s[amountEnd:], " ")
		unitEnd := 0
		for unitEnd < len(s) && classes[s[unitEnd]]&nameStartClass != 0 {
			unitEnd++
		}
		days += math.Abs(toDays(amount, s[:unitEnd]))
		ok = true
		s = s[unitEnd:]
	}
	return days, ok
}

// isAmountCharacter reports whether c can be part of the amount of an interval field.
func isAmountCharacter(c byte) bool { return isDigit(c) || c == '.' || c == '-' || c == '+' }

const (
	daysPerYear   = 365.25
	daysPerMonth  = 30.4
	daysPerWeek   = 7
	hoursPerDay   = 24
	minutesPerDay = 24 * 60
	secondsPerDay = 24 * 60 * 60
)

// toDays converts an amount of a unit of time to days. An unknown unit counts as seconds, the
// default unit of an interval.
func toDays(amount float64, unit string) float64 {
	switch {
	case hasPrefixFold(unit, "y"):
		return amount * daysPerYear
	case hasPrefixFold(unit, "mon"):
		return amount * daysPerMonth
	case hasPrefixFold(unit, "w"):
		return amount * daysPerWeek
	case hasPrefixFold(unit, "d"):
		return amount
	case hasPrefixFold(unit, "h"):
		return amount / hoursPerDay
	case hasPrefixFold(unit, "mi"), unit == "m":
		return amount / minutesPerDay
	}
	return amount / secondsPerDay
}

// PatternKind is the position of the first wildcard of a pattern.
type PatternKind uint8

// Kinds of pattern, in order of increasing number of matches.
const (
	NoPattern       PatternKind = iota // the statement has no pattern
	ExactPattern                       // no wildcard
	PrefixPattern                      // wildcard after a literal prefix: an index can be used
	LeadingWildcard                    // wildcard at the beginning
)

// maxPatternLen is the length of the prefix of a bound pattern that is searched for a wildcard,
// in bytes.
const maxPatternLen = 64

// patternKind returns the kind of the pattern that is the value of the slot s.
func (v *slotValue) patternKind(s *Slot) PatternKind {
	if s.Param > 0 {
		return patternKindOf(string(v.bound[:min(len(v.bound), maxPatternLen)]))
	}
	return patternKindOf(unquoteString(v.literal))
}

// patternKindOf returns the kind of a pattern of LIKE or of a regular expression. A regular
// expression that begins with an anchor and a wildcard counts as a LeadingWildcard.
func patternKindOf(pattern string) PatternKind {
	for i := range len(pattern) {
		switch pattern[i] {
		case '%', '_', '.', '*', '(', '[', '|':
			if i == 0 || i == 1 && pattern[0] == '^' {
				return LeadingWildcard
			}
			return PrefixPattern
		case '\\':
			return PrefixPattern
		}
	}
	return ExactPattern
}

// maxHashedValue is the length of the prefix of a value that is hashed, in bytes.
const maxHashedValue = 64

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash returns a hash of a value that is compared for equality. It does not depend on the
// encoding: an integer in binary format has the hash of its decimal digits. It is never 0.
func (v *slotValue) hash(seed uint64) uint64 {
	h := seed ^ fnvOffset
	switch {
	case v.bound != nil && v.binary && (v.oid == oidInt2 || v.oid == oidInt4 || v.oid == oidInt8):
		x, _ := binaryNumber(v.bound, v.oid)
		var digits [24]byte
		for _, c := range strconv.AppendInt(digits[:0], int64(x), 10) {
			h = (h ^ uint64(c)) * fnvPrime
		}
	case v.bound != nil:
		for _, c := range v.bound[:min(len(v.bound), maxHashedValue)] {
			h = (h ^ uint64(c)) * fnvPrime
		}
	default:
		text := unquoteString(v.literal)
		for i := range min(len(text), maxHashedValue) {
			h = (h ^ uint64(text[i])) * fnvPrime
		}
	}
	h ^= h >> 32
	if h == 0 {
		h = 1
	}
	return h
}
