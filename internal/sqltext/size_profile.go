package sqltext

import "math/bits"

// Profile describes how the values of one execution affect the size of its result.
type Profile struct {
	Alternatives         int         // number of elements of the longest list; 0: no list
	Span                 float64     // width of the widest closed range or interval: in days for dates, else the difference; 0: none
	HalfOpen             bool        // a range has only one end, or an end whose value is unknown
	Pattern              PatternKind // the least selective pattern
	Limit                float64     // maximum number of rows; 0: none
	DisabledRestrictions int         // restrictions disabled by a NULL, as in $1 IS NULL OR a = $1
	Unrestricted         bool        // no restriction reduces the rows read
	Rows                 int         // rows of VALUES
	Column               uint32      // hash of the name that the longest list, or else the widest range, is compared with; 0: none
	Key                  uint64      // hash of the first value compared for equality; 0: none
}

// maxSpan is the upper limit of Profile.Span, in days or units of a number.
const maxSpan = 1e12

// Profile returns the profile of an execution from the literals of stmt, which is the text that
// was read, and the bound values b. seed seeds Profile.Key.
func (r *Reading) Profile(stmt string, b *Binds, seed uint64) (profile Profile) {
	var p profiler // set field by field: a composite literal would be copied with its arrays
	p.profile = &profile
	p.seed = seed
	p.narrowing = r.Restrictions
	profile.Rows = int(r.Features.Rows)
	for i := range r.Slots {
		s := &r.Slots[i]
		var value slotValue
		if s.Param > 0 {
			value = b.value(s.Param)
		} else {
			value.literal = stmt[s.Start:s.End]
			value.known = true
		}
		if !value.isNull(s) {
			p.slot(s, &value)
		} else if s.Role != RoleOther && s.Role != RoleLimit && r.hasNullGuard(s.Param) {
			profile.DisabledRestrictions++
			p.narrowing--
		}
	}
	p.matchBounds()
	profile.Unrestricted = r.Unrestricted || p.narrowing <= 0 && r.Features.Command != CommandInsert
	isSpan := profile.Span >= 0 // false for NaN
	if !isSpan || profile.Span > maxSpan {
		profile.Span = maxSpan
	}
	return profile
}

// hasNullGuard reports whether a NULL in the parameter disables its restriction.
func (r *Reading) hasNullGuard(param int32) bool {
	for i := range r.Slots {
		if r.Slots[i].Param == param && r.Slots[i].NullGuard {
			return true
		}
	}
	return false
}

// profiler computes the profile of one execution.
type profiler struct {
	profile   *Profile
	seed      uint64 // seed of Profile.Key
	narrowing int    // number of restrictions that reduce the rows read
	lower     rangeBounds
	upper     rangeBounds
}

// rangeBounds are the lower or the upper ends of the ranges of a statement, with the hashes of
// the names that they are compared with.
type rangeBounds struct {
	values  [MaxSlots]float64
	columns [MaxSlots]uint32
	count   int
}

func (b *rangeBounds) add(value float64, column uint32) {
	b.values[b.count] = value
	b.columns[b.count] = column
	b.count++
}

// slot updates the profile for a value that is not NULL.
func (p *profiler) slot(s *Slot, value *slotValue) {
	switch s.Role {
	case RoleEqual:
		if p.profile.Key == 0 && value.known {
			p.profile.Key = value.hash(p.seed)
		}
	case RoleList:
		p.list(s, value)
	case RoleLowerBound, RoleUpperBound:
		p.bound(s, value)
	case RoleInterval:
		if days, ok := intervalDays(unquoteString(value.literal)); ok {
			p.profile.Span = max(p.profile.Span, days)
		}
	case RolePattern:
		kind := value.patternKind(s)
		p.profile.Pattern = max(p.profile.Pattern, kind)
		if kind == LeadingWildcard {
			p.narrowing--
		}
	case RoleLimit:
		if rows, ok := value.number(); ok && rows > 0 {
			p.profile.Limit = rows
		}
	}
}

// list updates the profile for a list of alternatives: written out, as a bound array, or as an
// array literal.
func (p *profiler) list(s *Slot, value *slotValue) {
	alternatives := int(s.Count)
	switch {
	case s.Param > 0 && value.known:
		alternatives = value.boundArrayLen()
	case s.Param == 0 && s.End > s.Start:
		alternatives = textArrayLen(unquoteString(value.literal))
	}
	if alternatives > p.profile.Alternatives {
		p.profile.Alternatives = alternatives
		p.profile.Column = s.Column
	}
}

// bound records one end of a range.
func (p *profiler) bound(s *Slot, value *slotValue) {
	x, ok := value.number()
	switch {
	case !ok:
		p.profile.HalfOpen = true
	case s.Role == RoleLowerBound:
		p.lower.add(x, s.Column)
	default:
		p.upper.add(x, s.Column)
	}
}

// matchBounds pairs the lower and upper ends of ranges by column, finds the widest range and
// sets HalfOpen if a lower end has no upper end, or if there are only upper ends.
func (p *profiler) matchBounds() {
	for i := range p.lower.count {
		column := p.lower.columns[i]
		matched := false
		for j := range p.upper.count {
			if p.upper.columns[j] != column {
				continue
			}
			matched = true
			p.span(p.upper.values[j]-p.lower.values[i], column)
		}
		if !matched {
			p.profile.HalfOpen = true
		}
	}
	if p.upper.count > 0 && p.lower.count == 0 {
		p.profile.HalfOpen = true
	}
}

// span updates the profile for a range with both ends.
func (p *profiler) span(width float64, column uint32) {
	if width <= p.profile.Span {
		return
	}
	p.profile.Span = width
	if p.profile.Alternatives == 0 {
		p.profile.Column = column
	}
}

// Widths of the fields of a bucket, in bits.
const (
	spanBits     = 5
	patternBits  = 2
	limitBits    = 4
	disabledBits = 3
	rowsBits     = 4
)

// Bucket returns a coarse encoding of the profile. Executions of the same query shape and bucket
// are assumed to have similar costs.
func (p *Profile) Bucket() uint32 {
	const maxAlternatives = 15
	b := log2Bucket(float64(p.Alternatives), maxAlternatives)
	b = b<<spanBits | log2Bucket(p.Span, 1<<spanBits-1)
	b = b<<patternBits | uint32(p.Pattern)
	b = b<<limitBits | min(log2Bucket(p.Limit, 30)/2, 1<<limitBits-1)
	b = b<<disabledBits | uint32(min(p.DisabledRestrictions, 1<<disabledBits-1))
	b = b<<rowsBits | log2Bucket(float64(p.Rows), 1<<rowsBits-1)
	for _, flag := range []bool{p.HalfOpen, p.Unrestricted} {
		b <<= 1
		if flag {
			b |= 1
		}
	}
	return b
}

// log2Bucket returns 0 if x is not positive, 1 if x is below 1, and otherwise one more than the
// binary logarithm of x rounded down, but at most maxBucket.
func log2Bucket(x float64, maxBucket uint32) uint32 {
	const beyondAll = 1 << 40
	switch {
	case x <= 0:
		return 0
	case x < 1:
		return 1
	case x >= beyondAll:
		return maxBucket
	}
	return min(uint32(bits.Len64(uint64(x))), maxBucket)
}
