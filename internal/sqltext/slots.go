package sqltext

// Role is what a value of a statement does there.
type Role uint8

// Roles of a value.
const (
	RoleOther      Role = iota
	RoleEqual           // it is compared for equality
	RoleList            // one of its alternatives is (IN, ANY)
	RoleLowerBound      // lower end of a range
	RoleUpperBound      // upper end of a range
	RolePattern         // of LIKE, ILIKE, SIMILAR TO and the operators ~ and ~~
	RoleLimit           // of rows
	RoleInterval        // a span of time by itself, as in now() - interval '1 year'
)

// Slot is one value of a statement that its size may depend on.
type Slot struct {
	Role      Role
	NullGuard bool   // the statement asks whether it is null, as in $1 IS NULL OR a = $1
	Column    uint32 // hash of the name that it is compared with; 0: none
	Param     int32  // its number from 1; 0: a literal, which stands at Start
	Start     int32
	End       int32
	Count     int32 // of alternatives in a list that is written out
}

// MaxSlots bounds the values of one statement that are looked at; of the others only the
// number counts.
const MaxSlots = 24

// comparison is what the pass knows of the value that comes next.
type comparison struct {
	name    uint32 // hash of the last name
	role    Role   // of the next value
	column  uint32 // hash of the name that the next value is compared with
	between bool   // AND leads to the upper end of a range
}

// begin expects a value that is compared with the last name.
func (c *comparison) begin(role Role) {
	c.role = role
	c.column = c.name
}

// clear expects nothing, and forgets the last name.
func (c *comparison) clear() {
	c.role = RoleOther
	c.name = 0
}

// expectAfterKeyword sets what a value behind a key word is.
func (p *pass) expectAfterKeyword(word keyword, traits keywordTraits) {
	c := &p.comparison
	switch word {
	case keywordBetween:
		c.begin(RoleLowerBound)
		c.between = true
	case keywordAnd:
		if c.between {
			c.role = RoleUpperBound
			c.between = false
		} else {
			c.clear()
		}
	case keywordWhere, keywordOr, keywordOn, keywordHaving:
		c.clear()
	case keywordLike, keywordIlike:
		c.begin(RolePattern)
	case keywordLimit:
		p.expectLimit()
	case keywordFirst, keywordNext:
		if p.beforeLast == keywordFetch || p.last == keywordFetch {
			p.expectLimit()
		}
	case keywordIn, keywordAny, keywordSome:
		c.begin(RoleList)
	case keywordIs:
		p.nullTest()
	case keywordSymmetric, keywordNot, keywordSimilar, keywordInterval, keywordArray:
		// These keep what is compared.
	default:
		if traits&typeTrait == 0 { // timestamp and the like keep it, too
			c.role = RoleOther
		}
	}
}

func (p *pass) expectLimit() {
	p.comparison.role = RoleLimit
	p.out.Features.Limited = true
}

// expectAfterOperator sets what a value behind an operator is.
func (p *pass) expectAfterOperator(operator string) {
	c := &p.comparison
	switch operator {
	case "=":
		c.begin(RoleEqual)
	case "<", "<=":
		c.begin(RoleUpperBound)
	case ">", ">=":
		c.begin(RoleLowerBound)
	case "~", "~~", "~*", "~~*":
		c.begin(RolePattern)
	default:
		c.role = RoleOther
	}
}

// nullTest takes the word IS: what stands before it is asked whether it is null.
func (p *pass) nullTest() {
	if p.param > 0 {
		for i := range p.slotCount {
			if s := &p.reader.slots[i]; s.Param == int32(p.param) {
				s.NullGuard = true
			}
		}
	}
	if p.last == keywordNull {
		p.out.Unrestricted = true
	}
	p.param = 0
	p.comparison.role = RoleOther
}

// addSlot keeps the value just read, where its size may depend on it.
func (p *pass) addSlot(t Token, role Role) {
	if t.Kind == Param {
		p.param = paramNumber(p.lexer.Src[t.Start+1 : t.End])
	} else {
		p.param = 0
	}
	role = p.countRestriction(role)
	// Of values that have no part in it only parameters can turn out to be null guards.
	irrelevant := role == RoleOther && (t.Kind != Param || p.out.Features.Command == CommandInsert)
	if irrelevant || p.slotCount == MaxSlots {
		return
	}
	slot := Slot{
		Role:      role,
		NullGuard: p.beforeLast == keywordCoalesce && p.lastKind == OpenParen,
		Column:    p.comparison.column,
		Count:     1,
	}
	if t.Kind == Param {
		slot.Param = int32(p.param)
	} else {
		slot.Start = int32(t.Start)
		slot.End = int32(t.End)
		if p.sign.pending() {
			slot.Start = int32(p.sign.textStart)
		}
	}
	p.reader.slots[p.slotCount] = slot
	p.slotCount++
	p.comparison.role = RoleOther
}

// countRestriction counts a value that can narrow what is read, and gives its role: it has
// none where nothing is compared with it, as in 1 = 1.
func (p *pass) countRestriction(role Role) Role {
	switch role {
	case RoleInterval:
		p.out.Restrictions++
	case RoleEqual, RoleList, RoleLowerBound, RoleUpperBound, RolePattern:
		if p.comparison.column == 0 {
			return RoleOther
		}
		p.out.Restrictions++
	}
	return role
}

// maxParamNumber is one more than a Bind message can hold.
const maxParamNumber = 1 << 16

// paramNumber reads a parameter's number; those past what a message can hold are one.
func paramNumber(digits string) (n int) {
	for i := range len(digits) {
		n = n*10 + int(digits[i]-'0')
		if n > maxParamNumber {
			return maxParamNumber
		}
	}
	return n
}
