package sqltext

// Role is the role of a value in a statement.
type Role uint8

// Roles of a value.
const (
	RoleOther      Role = iota // none of the roles below
	RoleEqual                  // compared for equality
	RoleList                   // list of alternatives (IN, ANY, SOME)
	RoleLowerBound             // lower end of a range
	RoleUpperBound             // upper end of a range
	RolePattern                // pattern of LIKE, ILIKE, SIMILAR TO or an operator such as ~ and ~~
	RoleLimit                  // maximum number of rows
	RoleInterval               // interval literal, as in now() - interval '1 year'
)

// Slot is one value of a statement, or one list of values, that the size of the result may
// depend on.
type Slot struct {
	Role      Role
	NullGuard bool   // the statement tests the value for NULL, as in $1 IS NULL OR a = $1 or coalesce($1, a)
	Column    uint32 // hash of the name that the value is compared with; 0: none
	Param     int32  // number of the parameter, from 1; 0: a literal or a list
	Start     int32  // byte offset of a literal in the statement
	End       int32  // byte offset of the end of a literal
	Count     int32  // number of alternatives of a list that is written out; 1 for a single value
}

// MaxSlots is the maximum number of values of one statement that are examined. Further values
// are only counted.
const MaxSlots = 24

// comparison is the context of the next value.
type comparison struct {
	name    uint32 // hash of the last name; 0: none
	role    Role   // role of the next value
	column  uint32 // hash of the name that the next value is compared with
	between bool   // the next AND belongs to BETWEEN and precedes the upper end of a range
}

// begin gives the next value a role in a comparison with the last name.
func (c *comparison) begin(role Role) {
	c.role = role
	c.column = c.name
}

// clear resets the role of the next value and the last name.
func (c *comparison) clear() {
	c.role = RoleOther
	c.name = 0
}

// expectAfterKeyword sets the role of a value that follows a keyword.
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
		// These keywords leave the comparison unchanged.
	default:
		if traits&typeTrait == 0 { // the name of a type, such as timestamp, leaves it unchanged too
			c.role = RoleOther
		}
	}
}

// expectLimit notes that the next value limits the number of rows.
func (p *pass) expectLimit() {
	p.comparison.role = RoleLimit
	p.out.Features.Limited = true
}

// expectAfterOperator sets the role of a value that follows an operator.
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

// nullTest processes the keyword IS, which is taken to test the operand before it for NULL.
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

// addSlot adds a slot for the current value if the size of the result may depend on it.
func (p *pass) addSlot(t Token, role Role) {
	if t.Kind == Param {
		p.param = paramNumber(p.lexer.Src[t.Start+1 : t.End])
	} else {
		p.param = 0
	}
	role = p.countRestriction(role)
	// Of the values without a role, only parameters may matter: a null guard may follow.
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

// countRestriction counts a value that can reduce the rows read, and returns its role: RoleOther
// if it is not compared with a name, as in 1 = 1.
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

// maxParamNumber is one more than the number of parameters that a Bind message can hold.
const maxParamNumber = 1 << 16

// paramNumber parses the number of a parameter. Greater numbers are returned as maxParamNumber.
func paramNumber(digits string) (n int) {
	for i := range len(digits) {
		n = n*10 + int(digits[i]-'0')
		if n > maxParamNumber {
			return maxParamNumber
		}
	}
	return n
}
