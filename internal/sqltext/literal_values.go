package sqltext

import (
	"math"
	"strconv"
	"strings"
)

// unquoteString takes the quotes and prefix off a string; doubled quotes stay as they are.
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

// maxNumberLen is the length of the longest text that is read as a number, in bytes.
const maxNumberLen = 40

// number reads a number, or a date or time as days.
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

// dateDays reads the date that a text begins with, YYYY-MM-DD, as days since 2000-01-01.
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

// dayOf2000 is civilDay of 2000-01-01.
const dayOf2000 = 730425

// civilDay numbers the days of the calendar (Hinnant, "chrono-compatible low-level date
// algorithms"). Its years begin in March, so that a leap day is the last of a year.
func civilDay(year, month, day int) int {
	if month <= 2 {
		year--
		month += 12
	}
	leapDays := year/4 - year/100 + year/400
	dayOfYear := (153*(month-3)+2)/5 + day - 1
	return 365*year + leapDays + dayOfYear
}

// decimal reads a number that is nothing but digits.
func decimal(s string) (n int, ok bool) {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// maxIntervalFields is how many fields of an interval are read.
const maxIntervalFields = 4

// intervalDays reads an interval such as '3 months' or '1 year 2 days'.
func intervalDays(s string) (days float64, ok bool) {
	for n := 0; n < maxIntervalFields && s != ""; n++ {
		s = strings.TrimLeft(s, " ")
		amountEnd := 0
		for amountEnd < len(s) && isAmount(s[amountEnd]) {
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

func isAmount(c byte) bool { return isDigit(c) || c == '.' || c == '-' || c == '+' }

const (
	daysPerYear   = 365.25
	daysPerMonth  = 30.4
	daysPerWeek   = 7
	hoursPerDay   = 24
	minutesPerDay = 24 * 60
	secondsPerDay = 24 * 60 * 60
)

// toDays converts an amount of a unit of time to days. An unknown unit is taken as seconds,
// the default of an interval.
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

// PatternKind is where the first wildcard of a pattern stands.
type PatternKind uint8

// Kinds of pattern, the narrowest first.
const (
	NoPattern       PatternKind = iota
	ExactPattern                // there is no wildcard
	PrefixPattern               // behind some letters: an index can serve it
	LeadingWildcard             // in front, or the pattern is not known
)

// maxPatternLen is how much of a bound pattern is searched for its first wildcard, in bytes.
const maxPatternLen = 64

// patternKind finds the first wildcard of a pattern.
func (v *slotValue) patternKind(s *Slot) PatternKind {
	if s.Param > 0 {
		return patternKindOf(string(v.bound[:min(len(v.bound), maxPatternLen)]))
	}
	return patternKindOf(unquoteString(v.literal))
}

// patternKindOf finds the first wildcard of a pattern. A regular expression whose anchor a
// wildcard follows counts as one with a wildcard in front.
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

// maxHashedValue is how much of a value goes into its hash, in bytes.
const maxHashedValue = 64

// Parameters of the hash FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash hashes a value that is compared for equality, whichever way it came: an integer in
// binary form has the hash of its digits. It is never 0.
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
