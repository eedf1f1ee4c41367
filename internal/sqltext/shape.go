package sqltext

import "hash/maphash"

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
	Param     int32  // its number from 1; 0: a literal, which stands at From
	Start     int32
	End       int32
	Count     int32 // of alternatives in a list that is written out
}

// MaxSlots bounds the values of one statement that are looked at; of the others only
// the number counts.
const MaxSlots = 24

// Features are what the words of a statement tell of its work.
type Features struct {
	Command    byte  // s: it selects; i, u, d, m: it writes so; e: EXPLAIN; 0: something else
	Tables     int32 // names behind FROM and JOIN
	Joins      int32
	Aggregates int32 // calls of aggregate functions
	Windows    int32
	Groups     int32 // GROUP BY
	Sorts      int32 // ORDER BY
	Distincts  int32
	Selects    int32 // SELECT, those of subqueries and unions among them
	Rows       int32 // of VALUES
	Values     int32 // literals and parameters
	Where      bool
	Limited    bool
}

// Reading is what one pass over a statement tells. It belongs to its Reader.
type Reading struct {
	// Fingerprint is the fingerprint: two hashes of the normal form with seeds of this process
	// that nobody outside knows, 128 bits together, so that nobody can write a statement
	// which shares the place of another. It means nothing to another process.
	Fingerprint [2]uint64
	// NormalForm is the statement with its values, comments, case and spacing taken out,
	// and with lists of alternatives and rows of values as one. The number in the
	// name of a schema is # there: shapes of all groups are one. Of a long one only the
	// last part is here, and Truncated is set; the fingerprint is of all of it.
	NormalForm    []byte
	Truncated     bool
	Features      Features
	Slots         []Slot
	TableGroup    int64
	HasTableGroup bool
	Defects       Defect
	// Effect is what EffectOf says, First and Several what FirstWord does, read on the way
	// where the Reader classifies effects. Else Effect is Unknown, the most cautious.
	Effect             EffectVerdict
	FirstWord          string // as it stands in the text; "(" for what is no word
	MultipleStatements bool
	// Restrictions counts the comparisons of a name with a value, which can narrow what
	// is read. Open: one is written so that it holds for all rows (NULL IS NULL OR).
	Restrictions int
	Unrestricted bool
}

// Reader reads statements. It allocates while its buffer grows and not after; it is
// for one goroutine.
type Reader struct {
	// ClassifyEffect has the effect read too. Functions are known to read only, beside
	// PostgreSQL's own.
	ClassifyEffect    bool
	ReadOnlyFunctions FunctionSet

	seeds [2]maphash.Seed
	long  [2]maphash.Hash // of what was cut off
	norm  []byte
	slots [MaxSlots]Slot
	lists [mostLists]listContext
	// Apart from the pass, which is cleared for each statement.
	effect effectReader
	out    Reading
}

// NewReader returns a reader whose fingerprints are its own.
func NewReader() *Reader {
	return &Reader{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
}

// keepNorm is how large a buffer stays with its Reader, and cutNorm how long a normal
// form may become before it is hashed piece by piece.
const (
	keepNorm = 64 << 10
	cutNorm  = 16 << 10
)

// cut hashes what stands in the buffer and goes on with an empty one.
func (p *pass) cut() {
	for i := range p.r.long {
		if !p.out.Truncated {
			p.r.long[i].SetSeed(p.r.seeds[i])
		}
		_, _ = p.r.long[i].Write(p.norm) // it never fails
	}
	p.norm, p.out.Truncated = p.norm[:0], true
}

// Fingerprint is the fingerprint of a normal form that is not cut.
func (r *Reader) Fingerprint(norm string) (print [2]uint64) {
	for i, seed := range r.seeds {
		print[i] = maphash.String(seed, norm)
	}
	return print
}

// listContext is a list whose alternatives are folded into one.
type listContext struct {
	depth int  // of its commas
	rows  bool // rows of VALUES
	start int  // of its first element in the buffer
	first int  // length of that; -1: not over yet
	elem  int  // start of the element being read
	count int
	slot  int // that counts its alternatives; -1: none
	plain int // values of the first row, where it holds nothing else; 0: it does
}

// mostLists is how deep lists are folded within each other.
const mostLists = 8

// Read reads a statement. What it returns holds until the next call.
func (r *Reader) Read(stmt string) *Reading {
	if cap(r.norm) > keepNorm {
		r.norm = nil
	}
	r.norm = r.norm[:0]
	r.out = Reading{}
	p := pass{l: Lexer{Src: stmt}, r: r, out: &r.out, norm: r.norm}
	if r.ClassifyEffect {
		r.effect = effectReader{more: r.ReadOnlyFunctions}
	}
	for t := p.l.Next(); t.Kind != End; t = p.l.Next() {
		if r.ClassifyEffect {
			p.first(t)
			if !r.effect.sure() {
				r.effect.token(&p.l, t)
			}
		}
		p.token(t)
	}
	if r.ClassifyEffect {
		r.out.Effect = r.effect.verdict(&p.l)
	}
	p.endLists(-1)
	p.finish()
	for i, seed := range r.seeds {
		if r.out.Truncated {
			_, _ = r.long[i].Write(p.norm)
			r.out.Fingerprint[i] = r.long[i].Sum64()
		} else {
			r.out.Fingerprint[i] = maphash.Bytes(seed, p.norm)
		}
	}
	r.norm = p.norm
	r.out.NormalForm = p.norm
	r.out.Slots = r.slots[:p.slots]
	r.out.TableGroup, r.out.HasTableGroup = p.group.group, p.group.found
	r.out.Defects = p.l.Defects
	return &r.out
}

// pass is the state of one reading.
type pass struct {
	l     Lexer
	r     *Reader
	out   *Reading
	norm  []byte
	slots int
	group groupReader

	depth    int
	kind     Kind // of the last token
	prev     word // of the last token
	before   word
	name     int    // where the last name starts in the buffer
	column   uint32 // of the last name
	pending  Role   // of a value that comes now
	compared uint32 // the column that it is compared with
	between  bool   // AND leads to the upper end
	sign     int    // a sign stands in the buffer from here on; 0: none
	signAt   int    // and in the text here
	param    int    // the last parameter's number, while nothing but a cast is behind it
	interval bool   // the last token is the word interval

	open int // lists that are open, of the Reader's

	ended bool // a statement was ended by a semicolon
}

// first finds the first word, and whether a second statement follows.
func (p *pass) first(t Token) {
	switch {
	case t.Kind == Semicolon:
		p.ended = p.out.FirstWord != ""
	case p.ended:
		p.out.MultipleStatements = true
	case p.out.FirstWord != "":
	case t.Kind == Ident:
		p.out.FirstWord = p.l.Text(t)
	default:
		p.out.FirstWord = "("
	}
}

// token takes one token into the normal form, the slots and the features.
func (p *pass) token(t Token) {
	w, use := t.word(), t.use()
	if p.kind == Dot {
		w, use = wNone, 0
	}
	if g := &p.group; !g.sure { // most of groupReader.token, without the call
		switch {
		case t.Kind == Dot || t.use()&beforeTable != 0:
			g.token(&p.l, t)
		case t.Kind <= QuotedIdent:
			g.name, g.prev = t, t.Kind
		case t.Kind == OpenParen:
			g.prev = OpenParen
		default:
			g.table, g.prev = false, t.Kind
		}
	}
	if p.open > 0 {
		p.elements(t, use)
	}
	switch t.Kind {
	case Ident, QuotedIdent:
		p.word(t, w, use)
	case String, BitString, DollarString, Number, Param:
		p.value(t)
	default:
		p.mark(t)
	}
	if t.Kind != Operator {
		p.sign = 0
	}
	p.before, p.prev = p.prev, w
	p.kind = t.Kind
}

// joins are the kinds of token that no space follows in the normal form.
var joins = [Invalid + 1]bool{End: true, Dot: true, OpenParen: true, OpenBracket: true, Cast: true}

// space parts two words.
func (p *pass) space() {
	if !joins[p.kind] {
		p.norm = append(p.norm, ' ')
	}
}

func (p *pass) word(t Token, w word, use use) {
	f := &p.out.Features
	p.space()
	p.name = len(p.norm)
	text := p.l.Src[t.Start:t.End]
	switch {
	case t.Kind == QuotedIdent:
		p.norm = appendQuoted(p.norm, text)
	case t.upper():
		p.norm = appendLower(p.norm, text)
	default:
		p.norm = append(p.norm, text...)
	}
	p.interval = w == wInterval
	if p.kind != Cast && w != wIs {
		p.param = 0
	}
	if w == wNone && use == 0 {
		p.operand(t, text)
		return
	}
	switch w {
	case wSelect:
		f.Selects++
		p.verb('s')
	case wInsert:
		p.verb('i')
	case wUpdate:
		if p.prev != wFor {
			p.verb('u')
		}
	case wDelete:
		p.verb('d')
	case wMerge:
		p.verb('m')
	case wExplain:
		p.verb('e')
	case wFrom:
		f.Tables++
	case wJoin:
		f.Tables++
		f.Joins++
	case wGroup:
		if p.prev != wWithin {
			f.Groups++
		}
	case wOrder:
		f.Sorts++
	case wDistinct:
		if p.prev != wIs && p.prev != wNot {
			f.Distincts++
		}
	case wOver:
		f.Windows++
	case wWhere, wOn:
		f.Where = f.Where || w == wWhere
	case wValues:
		if p.open < mostLists {
			p.push(listContext{depth: p.depth, rows: true, start: len(p.norm), elem: len(p.norm), first: -1, slot: -1})
		}
	}
	p.expect(w, use)
}

func (p *pass) verb(v byte) {
	f := &p.out.Features
	if f.Command == 0 || f.Command == 's' && v != 's' {
		f.Command = v
	}
}

// operand takes a name that is no key word.
func (p *pass) operand(t Token, text string) {
	f := &p.out.Features
	p.column = t.hash()
	if t.Kind == QuotedIdent {
		p.column = hashName(text)
	}
	if at := p.l.Pos; at < len(p.l.Src) && len(text) <= 12 { // what follows at once tells most names apart
		switch p.l.Src[at] {
		case '(', ' ', '/', '\n', '\t', '\r':
			if t.Kind == Ident && aggregate(text) {
				next := p.l
				if next.Next().Kind == OpenParen {
					f.Aggregates++
				}
			}
		}
	}
	if p.pending != RoleOther && (equal(text, "date") || equal(text, "timestamptz")) {
		return // the type of a literal to come
	}
	p.pending = RoleOther
}

// expect sets what a value behind a key word is.
func (p *pass) expect(w word, use use) {
	switch w {
	case wBetween:
		p.pending, p.compared, p.between = RoleLowerBound, p.column, true
	case wSymmetric, wNot, wSimilar, wInterval:
	case wAnd:
		if p.between {
			p.pending, p.between = RoleUpperBound, false
		} else {
			p.pending, p.column = RoleOther, 0
		}
	case wWhere, wOr, wOn, wHaving:
		p.pending, p.column = RoleOther, 0
	case wLike, wIlike:
		p.pending, p.compared = RolePattern, p.column
	case wLimit:
		p.pending = RoleLimit
		p.out.Features.Limited = true
	case wFirst, wNext:
		if p.before == wFetch || p.prev == wFetch {
			p.pending = RoleLimit
			p.out.Features.Limited = true
		}
	case wIn, wAny, wSome:
		p.pending, p.compared = RoleList, p.column
	case wArray:
	case wIs:
		for i := range p.slots {
			if s := &p.r.slots[i]; p.param > 0 && s.Param == int32(p.param) {
				s.NullGuard = true
			}
		}
		if p.prev == wNull {
			p.out.Unrestricted = true
		}
		p.param, p.pending = 0, RoleOther
	default:
		if use&typeName == 0 { // timestamp and the like keep what is compared
			p.pending = RoleOther
		}
	}
}

func (p *pass) value(t Token) {
	f := &p.out.Features
	f.Values++
	at := p.sign
	if at > 0 {
		p.norm = p.norm[:at]
	} else {
		p.space()
	}
	p.norm = append(p.norm, '?')
	role := p.pending
	if p.interval && t.Kind == String {
		role = RoleInterval
	}
	p.interval = false
	if p.open > 0 && role == RoleList {
		if c := &p.r.lists[p.open-1]; !c.rows && c.depth == p.depth {
			return // one of a list, whose slot counts it
		}
	}
	guard := p.before == wCoalesce && p.kind == OpenParen
	if t.Kind == Param {
		p.param = number(p.l.Src[t.Start+1 : t.End])
	} else {
		p.param = 0
	}
	switch role {
	case RoleInterval:
		p.out.Restrictions++
	case RoleEqual, RoleList, RoleLowerBound, RoleUpperBound, RolePattern:
		if p.compared == 0 { // 1 = 1
			role = RoleOther
			break
		}
		p.out.Restrictions++
	}
	// Of values that have no part in it only parameters can turn out to be guards.
	if role == RoleOther && (t.Kind != Param || f.Command == 'i') || p.slots == MaxSlots {
		return
	}
	s := Slot{Role: role, NullGuard: guard, Column: p.compared, Count: 1}
	if t.Kind == Param {
		s.Param = int32(p.param)
	} else if s.Start, s.End = int32(t.Start), int32(t.End); at > 0 {
		s.Start = int32(p.signAt)
	}
	p.r.slots[p.slots] = s
	p.slots++
	p.pending = RoleOther
}

// number reads a parameter's number; those past what a message can hold are one.
func number(digits string) (n int) {
	for i := range len(digits) {
		if n = n*10 + int(digits[i]-'0'); n > 1<<16 {
			return 1 << 16
		}
	}
	return n
}

// mark takes punctuation and operators.
func (p *pass) mark(t Token) {
	text := p.l.Src[t.Start:t.End]
	p.interval = false
	if t.Kind != Cast {
		p.param = 0
	}
	switch t.Kind {
	case OpenParen:
		if p.kind == Operator || p.kind == Comma || p.prev != wNone {
			p.space()
		}
		p.norm = append(p.norm, '(')
		p.depth++
		if p.pending == RoleList && (p.prev == wIn || p.prev == wAny || p.prev == wSome) {
			next := p.l
			use := next.Next().use()
			if p.prev == wIn && use&reader == 0 && p.open < mostLists {
				p.list()
			}
			if use&reader != 0 {
				p.pending = RoleOther
			}
		}
	case OpenBracket:
		p.norm = append(p.norm, '[')
		p.depth++
		if p.prev == wArray && p.open < mostLists {
			p.list()
		}
	case CloseParen, CloseBracket:
		p.norm = append(p.norm, text...)
		p.depth--
	case Comma:
		if p.open == 0 && len(p.norm) > cutNorm {
			p.cut()
		}
		p.norm = append(p.norm, ',')
		if p.pending != RoleList {
			p.pending, p.column = RoleOther, 0
		}
	case Dot:
		p.schema()
		p.norm = append(p.norm, '.')
	case Semicolon:
	case Operator:
		p.operator(text)
		return
	default:
		p.norm = append(p.norm, text...)
	}
}

func (p *pass) operator(text string) {
	p.sign = 0
	signed := p.kind == Operator || p.kind == OpenParen || p.kind == Comma || p.kind == OpenBracket || p.prev != wNone
	p.space()
	at := len(p.norm)
	p.norm = append(p.norm, text...)
	if text == "-" && signed {
		p.sign, p.signAt = at, p.l.Pos-1
		if at > 0 && p.norm[at-1] != ' ' && p.norm[at-1] != '(' && p.norm[at-1] != '[' {
			p.sign = 0
		}
		if p.sign > 0 {
			return // of the value to come
		}
	}
	switch text {
	case "=":
		p.pending, p.compared = RoleEqual, p.column
	case "<", "<=":
		p.pending, p.compared = RoleUpperBound, p.column
	case ">", ">=":
		p.pending, p.compared = RoleLowerBound, p.column
	case "~", "~~", "~*", "~~*":
		p.pending, p.compared = RolePattern, p.column
	default:
		p.pending = RoleOther
	}
}

// schema puts # in place of the number of a schema's name, once the dot behind it
// shows that it is one.
func (p *pass) schema() {
	if p.kind != Ident && p.kind != QuotedIdent || p.name >= len(p.norm) {
		return
	}
	n := len(p.norm)
	for n > p.name && isDigit(p.norm[n-1]) {
		n--
	}
	if n < len(p.norm) && n > p.name+1 && p.norm[n-1] == '_' {
		p.norm = append(p.norm[:n], '#')
	}
}

// list begins a list of alternatives behind the parenthesis or bracket just read.
func (p *pass) list() {
	c := listContext{depth: p.depth, start: len(p.norm), elem: len(p.norm), first: -1, slot: -1}
	if p.slots < MaxSlots {
		p.r.slots[p.slots] = Slot{Role: RoleList, Column: p.compared}
		c.slot = p.slots
		p.slots++
	}
	p.out.Restrictions++
	p.pending = RoleList
	p.push(c)
}

func (p *pass) push(c listContext) {
	p.r.lists[p.open] = c
	p.open++
}

// elements ends an element, or the list, where this token does.
func (p *pass) elements(t Token, use use) {
	c := &p.r.lists[p.open-1]
	switch {
	case p.depth < c.depth:
		p.endLists(p.depth)
	case p.depth > c.depth:
	case t.Kind == Comma:
		p.element(c)
		switch {
		case c.rows && c.plain > 0:
			p.skipRows(c)
		case !c.rows && c.first == 1 && p.norm[c.start] == '?':
			p.skipElements(c)
		}
		c.elem = len(p.norm)
	case t.Kind == CloseParen || t.Kind == CloseBracket:
		p.endLists(p.depth - 1)
	case c.rows && t.Kind != OpenParen:
		p.endLists(p.depth - 1)
	}
}

// skipElements passes the elements of a list that are plain values, as its first one is,
// but for the last: lists of thousands are the longest statements that there are.
func (p *pass) skipElements(c *listContext) {
	for {
		next := p.l
		if k := next.Next().Kind; k != String && k != Number {
			return
		}
		if next.Next().Kind != Comma {
			return
		}
		p.out.Features.Values++
		c.count++
		p.l = next
	}
}

// plainRow is the number of values of a row that is nothing but values: (?, ?, ?).
func plainRow(b []byte) int {
	const one = "(?, ?, "
	if len(b) < 3 || len(b)%3 != 0 || b[0] != '(' || b[len(b)-1] != ')' {
		return 0
	}
	for i := 1; i < len(b)-1; i++ {
		if b[i] != one[1+(i-1)%3] {
			return 0
		}
	}
	return len(b) / 3
}

// skipRows passes rows of plain values, as the first one is, but for the last.
func (p *pass) skipRows(c *listContext) {
	for {
		next := p.l
		if next.Next().Kind != OpenParen {
			return
		}
		for n := 1; ; n++ {
			if k := next.Next().Kind; k != String && k != Number {
				return
			}
			k := next.Next().Kind
			if k == CloseParen && n == c.plain {
				break
			}
			if k != Comma || n >= c.plain {
				return
			}
		}
		if next.Next().Kind != Comma {
			return
		}
		p.out.Features.Values += int32(c.plain)
		c.count++
		p.l = next
	}
}

// element ends an element: one that repeats the first is left out.
func (p *pass) element(c *listContext) {
	c.count++
	switch {
	case c.first < 0:
		c.first = len(p.norm) - c.start
		if c.rows {
			c.plain = plainRow(trimElement(p.norm[c.start:]))
		}
	case sameElement(p.norm[c.elem:], p.norm[c.start:c.start+c.first]):
		p.norm = p.norm[:c.elem]
	}
}

// sameElement compares an element, which has the comma before it, with the first.
func sameElement(b, first []byte) bool {
	b = trimElement(b)
	first = trimElement(first)
	if len(b) != len(first) {
		return false
	}
	for i := range b {
		if b[i] != first[i] {
			return false
		}
	}
	return true
}

func trimElement(b []byte) []byte {
	for len(b) > 0 && (b[0] == ',' || b[0] == ' ') {
		b = b[1:]
	}
	return b
}

// endLists ends the lists deeper than a depth.
func (p *pass) endLists(depth int) {
	for p.open > 0 && p.r.lists[p.open-1].depth > depth {
		c := &p.r.lists[p.open-1]
		p.element(c)
		if c.rows {
			p.out.Features.Rows += int32(c.count)
		} else if c.slot >= 0 {
			p.r.slots[c.slot].Count = int32(c.count)
		}
		p.open--
		p.pending = RoleOther
	}
}

// finish drops what ends the text and says nothing.
func (p *pass) finish() {
	for n := len(p.norm); n > 0 && p.norm[n-1] == ' '; n-- {
		p.norm = p.norm[:n-1]
	}
}

func appendLower(b []byte, s string) []byte {
	at := len(b)
	b = append(b, s...)
	for i, c := range b[at:] {
		b[at+i] = folded[c]
	}
	return b
}

// appendQuoted takes the quotes off a name that means the same without them.
func appendQuoted(b []byte, s string) []byte {
	if len(s) < 3 || s[0] != '"' || classes[s[1]]&cStart == 0 {
		return append(b, s...)
	}
	inner := s[1 : len(s)-1]
	l := Lexer{Src: inner}
	if t := l.word(); t.End < len(inner) || t.upper() || t.word() != wNone || t.use() != 0 {
		return append(b, s...)
	}
	return append(b, inner...)
}

func hashName(s string) uint32 {
	s = bare(s)
	return nameHash(s, 0, len(s))
}

// aggregate tells whether a function of this name reads many rows into one.
func aggregate(s string) bool {
	switch s[0] | 0x20 {
	case 'c':
		return equal(s, "count")
	case 's':
		return equal(s, "sum") || equal(s, "string_agg") || equal(s, "stddev")
	case 'm':
		return equal(s, "max") || equal(s, "min")
	case 'a':
		return equal(s, "avg") || equal(s, "array_agg")
	case 'j':
		return equal(s, "json_agg") || equal(s, "jsonb_agg")
	case 'v':
		return equal(s, "variance")
	}
	return false
}
