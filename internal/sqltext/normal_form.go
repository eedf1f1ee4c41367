package sqltext

// pass is the state of one pass over a statement. Its token method appends to the normal form
// and collects slots and features.
type pass struct {
	lexer     Lexer
	reader    *Reader
	out       *Reading
	form      []byte // the normal form so far, without the parts that are already hashed
	slotCount int    // number of reader.slots in use
	group     tableGroupFinder

	depth         int     // nesting depth of parentheses and brackets
	lastKind      Kind    // kind of the last token
	last          keyword // the last token, if it is a keyword
	beforeLast    keyword // the token before the last, if it is a keyword
	nameStart     int     // offset of the last name in form
	comparison    comparison
	sign          sign
	param         int  // number of the last parameter, if only a cast has followed it; 0: none
	afterInterval bool // the last token is the keyword INTERVAL

	openLists      int  // number of reader.lists in use
	statementEnded bool // a semicolon has ended the first statement
}

// sign is a minus sign that belongs to the value after it. The normal form replaces both by ?.
type sign struct {
	formStart int // offset in the normal form; 0: no sign
	textStart int // offset in the statement
}

func (s sign) pending() bool { return s.formStart > 0 }

// firstWord sets FirstWord and MultipleStatements of the Reading from the next token.
func (p *pass) firstWord(t Token) {
	switch {
	case t.Kind == Semicolon:
		p.statementEnded = p.out.FirstWord != ""
	case p.statementEnded:
		p.out.MultipleStatements = true
	case p.out.FirstWord != "":
	case t.Kind == Ident:
		p.out.FirstWord = p.lexer.Text(t)
	default:
		p.out.FirstWord = noWord
	}
}

// token adds the next token to the normal form, the slots and the features.
func (p *pass) token(t Token) {
	word, traits := t.keyword(), t.traits()
	if p.lastKind == Dot { // part of a qualified name, not a keyword
		word, traits = keywordNone, 0
	}
	if g := &p.group; !g.final { // most of tableGroupFinder.token is inlined here to save calls
		switch {
		case t.Kind == Dot || t.traits()&beforeTableTrait != 0:
			g.token(&p.lexer, t)
		case t.Kind <= QuotedIdent:
			g.name = t
			g.lastKind = t.Kind
		case t.Kind == OpenParen:
			g.lastKind = OpenParen
		default:
			g.expectTable = false
			g.lastKind = t.Kind
		}
	}
	if p.openLists > 0 {
		p.listToken(t)
	}
	switch t.Kind {
	case Ident, QuotedIdent:
		p.name(t, word, traits)
	case String, BitString, DollarString, Number, Param:
		p.value(t)
	default:
		p.punctuation(t)
	}
	if t.Kind != Operator {
		p.sign.formStart = 0
	}
	p.beforeLast = p.last
	p.last = word
	p.lastKind = t.Kind
}

// noSpaceAfter marks the kinds of token that are not followed by a space in the normal form.
var noSpaceAfter = [kindCount]bool{End: true, Dot: true, OpenParen: true, OpenBracket: true, Cast: true}

// space separates the next token from the last one where the normal form requires it.
func (p *pass) space() {
	if !noSpaceAfter[p.lastKind] {
		p.form = append(p.form, ' ')
	}
}

// name processes a name or keyword.
func (p *pass) name(t Token, word keyword, traits keywordTraits) {
	p.space()
	p.nameStart = len(p.form)
	text := p.lexer.Src[t.Start:t.End]
	switch {
	case t.Kind == QuotedIdent:
		p.form = appendQuoted(p.form, text)
	case t.hasUppercase():
		p.form = appendLower(p.form, text)
	default:
		p.form = append(p.form, text...)
	}
	p.afterInterval = word == keywordInterval
	if p.lastKind != Cast && word != keywordIs {
		p.param = 0
	}
	if word == keywordNone && traits == 0 {
		p.operand(t, text)
		return
	}
	p.countKeyword(word)
	p.expectAfterKeyword(word, traits)
}

// operand processes a name that is not a keyword.
func (p *pass) operand(t Token, text string) {
	p.comparison.name = t.nameHash()
	if t.Kind == QuotedIdent {
		unquoted := unquoteName(text)
		p.comparison.name = nameHash(unquoted, 0, len(unquoted))
	} else {
		p.countAggregate(text)
	}
	if p.comparison.role != RoleOther && (equalFold(text, "date") || equalFold(text, "timestamptz")) {
		return // the name is the type of the literal that follows
	}
	p.comparison.role = RoleOther
}

// value processes a literal or a parameter.
func (p *pass) value(t Token) {
	p.out.Features.Values++
	if p.sign.pending() {
		p.form = p.form[:p.sign.formStart]
	} else {
		p.space()
	}
	p.form = append(p.form, '?')
	role := p.comparison.role
	if p.afterInterval && t.Kind == String {
		role = RoleInterval
	}
	p.afterInterval = false
	if role == RoleList && p.inAlternatives() {
		return // counted by the slot of its list
	}
	p.addSlot(t, role)
}

// punctuation processes punctuation and operators.
func (p *pass) punctuation(t Token) {
	text := p.lexer.Src[t.Start:t.End]
	p.afterInterval = false
	if t.Kind != Cast {
		p.param = 0
	}
	switch t.Kind {
	case OpenParen:
		p.openParen()
	case OpenBracket:
		p.form = append(p.form, '[')
		p.depth++
		if p.last == keywordArray && p.openLists < maxNestedLists {
			p.beginAlternatives()
		}
	case CloseParen, CloseBracket:
		p.form = append(p.form, text...)
		p.depth--
	case Comma:
		if p.openLists == 0 && len(p.form) > maxNormalForm {
			p.hashForm()
		}
		p.form = append(p.form, ',')
		if p.comparison.role != RoleList {
			p.comparison.clear()
		}
	case Dot:
		p.replaceGroupNumber()
		p.form = append(p.form, '.')
	case Semicolon:
	case Operator:
		p.operator(text)
	default:
		p.form = append(p.form, text...)
	}
}

// openParen processes an opening parenthesis, which begins a list of alternatives after IN unless a
// subquery follows.
func (p *pass) openParen() {
	if p.lastKind == Operator || p.lastKind == Comma || p.last != keywordNone {
		p.space()
	}
	p.form = append(p.form, '(')
	p.depth++
	afterListWord := p.last == keywordIn || p.last == keywordAny || p.last == keywordSome
	if p.comparison.role != RoleList || !afterListWord {
		return
	}
	next := p.lexer
	isSubquery := next.Next().traits()&readTrait != 0
	switch {
	case isSubquery:
		p.comparison.role = RoleOther
	case p.last == keywordIn && p.openLists < maxNestedLists:
		p.beginAlternatives()
	}
}

// operator processes an operator or a minus sign that belongs to the value after it.
func (p *pass) operator(text string) {
	p.sign.formStart = 0
	beforeValue := p.lastKind == Operator || p.lastKind == OpenParen || p.lastKind == Comma || p.lastKind == OpenBracket ||
		p.last != keywordNone
	p.space()
	start := len(p.form)
	p.form = append(p.form, text...)
	if text == "-" && beforeValue && mayPrecedeSign(p.form[:start]) {
		p.sign = sign{formStart: start, textStart: p.lexer.Pos - len(text)}
		return
	}
	p.expectAfterOperator(text)
}

// mayPrecedeSign reports whether a sign after this part of the normal form is separated from the
// preceding token.
func mayPrecedeSign(form []byte) bool {
	if len(form) == 0 {
		return false
	}
	switch form[len(form)-1] {
	case ' ', '(', '[':
		return true
	}
	return false
}

// replaceGroupNumber replaces the number in the last name of the normal form by #. It is called
// at a dot, which shows that the name may be a schema.
func (p *pass) replaceGroupNumber() {
	if !p.lastKind.isName() || p.nameStart >= len(p.form) {
		return
	}
	digits := len(p.form)
	for digits > p.nameStart && isDigit(p.form[digits-1]) {
		digits--
	}
	hasPrefix := digits > p.nameStart+1 && p.form[digits-1] == '_'
	if digits < len(p.form) && hasPrefix {
		p.form = append(p.form[:digits], '#')
	}
}

// hashForm hashes the buffered part of the normal form and empties the buffer.
func (p *pass) hashForm() {
	if !p.out.Truncated {
		p.reader.fingerprinter.start()
	}
	p.reader.fingerprinter.write(p.form)
	p.form = p.form[:0]
	p.out.Truncated = true
}

// trimForm removes trailing spaces.
func (p *pass) trimForm() {
	for n := len(p.form); n > 0 && p.form[n-1] == ' '; n-- {
		p.form = p.form[:n-1]
	}
}

// appendLower appends a name in lowercase.
func appendLower(b []byte, s string) []byte {
	start := len(b)
	b = append(b, s...)
	for i, c := range b[start:] {
		b[start+i] = lowerCase[c]
	}
	return b
}

// appendQuoted appends a quoted name, without its quotes if it has the same meaning without
// them.
func appendQuoted(b []byte, s string) []byte {
	if len(s) < 3 || s[0] != '"' || classes[s[1]]&nameStartClass == 0 {
		return append(b, s...)
	}
	inner := s[1 : len(s)-1]
	l := Lexer{Src: inner}
	t := l.identifier()
	if t.End < len(inner) || t.hasUppercase() || t.keyword() != keywordNone || t.traits() != 0 {
		return append(b, s...)
	}
	return append(b, inner...)
}
