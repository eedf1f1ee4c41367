// Package sqltext reads what the program needs of a statement without parsing SQL:
// its tokens by PostgreSQL's lexical rules, what it may do, the group of tables that
// it touches, its fingerprint and what its values say of its size. All of it is
// built on one Lexer, takes time linear in the text and, but for the results that
// are strings of their own, allocates nothing.
//
// The rules are those of src/backend/parser/scan.l as the manual's chapter 4.1
// ("Lexical Structure") tells them. Where versions differ (a number followed by a
// letter, a backslash before a quote), the reading is the one that hides least.
package sqltext

// Kind is the kind of a token.
type Kind uint8

// Kinds of token.
const (
	End          Kind = iota // the text is over
	Ident                    // a key word or a name without quotes
	QuotedIdent              // a name in double quotes
	String                   // '..', E'..', U&'..', N'..', with its continuations
	BitString                // B'..', X'..'
	DollarString             // $tag$..$tag$
	Number                   // 1, 1_000, 0x1F, 1.5e-3
	Param                    // $1
	Operator                 // a run of operator characters
	Dot                      // .
	Comma                    // ,
	OpenParen                // (
	CloseParen               // )
	OpenBracket              // [
	CloseBracket             // ]
	Cast                     // ::
	Colon                    // : alone, or :=
	Semicolon                // ;
	Invalid                  // a character that no rule takes, or a lone $
)

// Token is one token: its kind and where it stands, as offsets in bytes. Four fields are
// what the compiler keeps in registers; with more, copies of it took half the time of
// reading a statement.
type Token struct {
	Start, End int
	Kind       Kind
	info       info
}

// info is what the lexer found out about an Ident on its way: its hash without regard to
// case (32 bits), its use and number as a key word (16 and 8), and whether it has capitals.
type info uint64

func (t Token) hash() uint32 { return uint32(t.info) }
func (t Token) use() use     { return use(t.info >> 32) }
func (t Token) word() word   { return word(t.info >> 48) }
func (t Token) upper() bool  { return t.info>>56 != 0 }

// Defect is what makes a text one whose reading can't be relied on.
type Defect uint8

// Flaws, as bits.
const (
	// UnterminatedText: a string, a quoted name or a comment is open at the end.
	UnterminatedText Defect = 1 << iota
	// BackslashQuote: a backslash stands before a quote in an ordinary string. Where
	// standard_conforming_strings is off the string goes on there.
	BackslashQuote
	// UnicodeEscape: a name or string is written U&; its letters are not those it shows.
	UnicodeEscape
	// InvalidCharacter: a character that no rule of the lexer takes, a NUL among them.
	InvalidCharacter
	// NonASCII: bytes above 0x7f stand in the text. No flaw by itself, but the caller
	// must know that the text is UTF-8 before it relies on where tokens end.
	NonASCII
)

// Lexer reads the tokens of one text in turn. Its zero value with Src set is ready;
// it holds no other state than its place, so it can be copied to look ahead.
type Lexer struct {
	Src     string
	Pos     int
	Defects Defect
}

// Classes of characters.
const (
	cSpace uint8 = 1 << iota
	cStart       // may begin a name
	cDigit
	cOp
	cWord // may go on in a name
	cUpper
	cHigh // no ASCII
)

var classes = func() (t [256]uint8) {
	for _, c := range " \t\r\n\f\v" {
		t[c] |= cSpace
	}
	for c := range 256 {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '_', c >= 0x80:
			t[c] |= cStart | cWord
		case c >= '0' && c <= '9':
			t[c] |= cDigit | cWord
		case c == '$':
			t[c] |= cWord
		}
	}
	for c := 'A'; c <= 'Z'; c++ {
		t[c] |= cUpper
	}
	for c := 0x80; c < 256; c++ {
		t[c] |= cHigh
	}
	for _, c := range "~!@#^&|`?+-*/%<>=" {
		t[c] |= cOp
	}
	return t
}()

// Text is the token's own text.
func (l *Lexer) Text(t Token) string { return l.Src[t.Start:t.End] }

// Next reads one token. Space and comments before it are passed by.
func (l *Lexer) Next() Token {
	src, at := l.Src, l.Pos
	if at < len(src) && src[at] == ' ' { // most tokens stand one space apart
		at++
		l.Pos = at
	}
	if at < len(src) && (classes[src[at]]&cSpace != 0 || src[at] == '-' || src[at] == '/') {
		l.skip()
		at = l.Pos
	}
	if at >= len(src) {
		return Token{Kind: End, Start: at, End: at}
	}
	c := src[at]
	class := classes[c]
	switch {
	case class&cStart != 0:
		return l.word()
	case class&cDigit != 0:
		return l.number()
	case class&cOp != 0:
		return l.operator()
	}
	one := func(k Kind) Token {
		l.Pos = at + 1
		return Token{Kind: k, Start: at, End: l.Pos}
	}
	switch c {
	case '\'':
		l.Pos++
		l.quote(false)
		return Token{Kind: String, Start: at, End: l.Pos}
	case '"':
		l.Pos++
		l.name()
		return Token{Kind: QuotedIdent, Start: at, End: l.Pos}
	case '$':
		return l.dollar()
	case '(':
		return one(OpenParen)
	case ')':
		return one(CloseParen)
	case ',':
		return one(Comma)
	case '[':
		return one(OpenBracket)
	case ']':
		return one(CloseBracket)
	case ';':
		return one(Semicolon)
	case '.':
		if at+1 < len(src) && classes[src[at+1]]&cDigit != 0 {
			return l.number()
		}
		return one(Dot)
	case ':':
		t := one(Colon)
		if l.Pos < len(src) && src[l.Pos] == ':' {
			t.Kind = Cast
			l.Pos++
		} else if l.Pos < len(src) && src[l.Pos] == '=' {
			l.Pos++
		}
		t.End = l.Pos
		return t
	}
	l.Defects |= InvalidCharacter
	return one(Invalid)
}

// skip passes space and comments.
func (l *Lexer) skip() {
	src, i := l.Src, l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case classes[c]&cSpace != 0:
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineEnd(src, i+2)
		case c == '/' && i+1 < len(src) && src[i+1] == '*':
			end, ok := blockEnd(src, i)
			if !ok {
				l.Defects |= UnterminatedText
			}
			i = end
		default:
			l.Pos = i
			return
		}
	}
	l.Pos = i
}

// lineEnd is where a -- comment ends: at a line feed or at a carriage return. Guards
// against a statement hidden behind a return, which ends the comment for the engine.
func lineEnd(src string, i int) int {
	for i < len(src) && src[i] != '\n' && src[i] != '\r' {
		i++
	}
	return i
}

// blockEnd is where the comment that begins at i ends; these nest.
func blockEnd(src string, i int) (end int, ok bool) {
	depth := 0
	for i+1 < len(src) {
		switch {
		case src[i] == '/' && src[i+1] == '*':
			depth++
			i += 2
		case src[i] == '*' && src[i+1] == '/':
			depth--
			i += 2
			if depth == 0 {
				return i, true
			}
		default:
			i++
		}
	}
	return len(src), false
}

// folded is the small form of each character that may stand in a name, 0 for others.
var folded = func() (t [256]uint8) {
	for c := range t {
		if classes[c]&cWord != 0 {
			t[c] = uint8(c)
		}
		if c >= 'A' && c <= 'Z' {
			t[c] |= 0x20
		}
	}
	return t
}()

// nameHash hashes the name src[at:end] without regard to case, by its length and its
// first and last eight letters. It finds key words and columns; nothing relies on two
// names having two hashes.
func nameHash(src string, at, end int) uint32 {
	const mul, small = 0x9e3779b97f4a7c15, 0x2020202020202020
	n := end - at
	var first, last uint64
	switch {
	case n >= 8:
		first, last = load8(src[at:end]), load8(src[end-8:end])
	case at+8 <= len(src):
		first = load8(src[at:]) & (1<<(8*n) - 1)
	default:
		for i := end - 1; i >= at; i-- {
			first = first<<8 | uint64(src[i])
		}
	}
	if n < 8 {
		first |= small & (1<<(8*n) - 1)
	} else {
		first, last = first|small, last|small
	}
	h := (first ^ uint64(n)) * mul
	h = (h ^ h>>29 ^ last) * mul
	return uint32(h >> 32)
}

// load8 reads eight letters; the compiler makes one load of it.
func load8(s string) uint64 {
	_ = s[7]
	return uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 |
		uint64(s[4])<<32 | uint64(s[5])<<40 | uint64(s[6])<<48 | uint64(s[7])<<56
}

func (l *Lexer) word() Token {
	src, at := l.Src, l.Pos
	i, seen := at, uint8(0)
	for ; i < len(src); i++ {
		class := classes[src[i]]
		if class&cWord == 0 {
			break
		}
		seen |= class
	}
	if seen&cHigh != 0 {
		l.Defects |= NonASCII
	}
	l.Pos = i
	if i < len(src) && i-at == 1 {
		switch c := src[at] | 0x20; {
		case src[i] == '\'' && (c == 'e' || c == 'n' || c == 'b' || c == 'x'):
			l.Pos++
			l.quote(c == 'e')
			if c == 'b' || c == 'x' {
				return Token{Kind: BitString, Start: at, End: l.Pos}
			}
			return Token{Kind: String, Start: at, End: l.Pos}
		case c == 'u' && src[i] == '&' && i+1 < len(src) && (src[i+1] == '\'' || src[i+1] == '"'):
			l.Defects |= UnicodeEscape
			l.Pos = i + 2
			if src[i+1] == '"' {
				l.name()
				return Token{Kind: QuotedIdent, Start: at, End: l.Pos}
			}
			l.quote(false)
			return Token{Kind: String, Start: at, End: l.Pos}
		}
	}
	what := info(nameHash(src, at, i))
	if seen&cUpper != 0 {
		what |= 1 << 56
	}
	if i-at <= longestWord {
		what |= lookup(src[at:i], what)
	}
	return Token{Kind: Ident, Start: at, End: i, info: what}
}

// quote passes a string from behind its first quote on. A quote doubled stays within
// it, and so does one behind a backslash where these escape. A string goes on where
// nothing but space with a line end in it lies between two parts.
func (l *Lexer) quote(escapes bool) {
	src, i := l.Src, l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case c == '\\' && escapes:
			i += 2
		case c == '\\':
			if i+1 < len(src) && src[i+1] == '\'' {
				l.Defects |= BackslashQuote
			}
			i++
		case c != '\'':
			if c >= 0x80 {
				l.Defects |= NonASCII
			} else if c == 0 {
				l.Defects |= InvalidCharacter
			}
			i++
		case i+1 < len(src) && src[i+1] == '\'':
			i += 2
		default:
			next, goesOn := continues(src, i+1)
			if !goesOn {
				l.Pos = i + 1
				return
			}
			i = next
		}
	}
	l.Defects |= UnterminatedText
	l.Pos = len(src)
}

// continues tells whether a string that ended goes on behind a line end.
func continues(src string, i int) (next int, ok bool) {
	line := false
	for i < len(src) {
		switch c := src[i]; {
		case c == '\n' || c == '\r':
			line = true
			i++
		case classes[c]&cSpace != 0:
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineEnd(src, i+2)
		case c == '\'' && line:
			return i + 1, true
		default:
			return 0, false
		}
	}
	return 0, false
}

// name passes a quoted name from behind its first quote on.
func (l *Lexer) name() {
	src, i := l.Src, l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case c >= 0x80:
			l.Defects |= NonASCII
			i++
		case c == 0:
			l.Defects |= InvalidCharacter
			i++
		case c != '"':
			i++
		case i+1 < len(src) && src[i+1] == '"':
			i += 2
		default:
			l.Pos = i + 1
			return
		}
	}
	l.Defects |= UnterminatedText
	l.Pos = len(src)
}

// dollar passes a dollar-quoted string, or a parameter such as $1.
func (l *Lexer) dollar() Token {
	src, at := l.Src, l.Pos
	i := at + 1
	if i < len(src) && classes[src[i]]&cDigit != 0 {
		for i < len(src) && classes[src[i]]&cDigit != 0 {
			i++
		}
		l.Pos = i
		return Token{Kind: Param, Start: at, End: i}
	}
	for i < len(src) && src[i] != '$' && classes[src[i]]&cWord != 0 {
		i++
	}
	if i >= len(src) || src[i] != '$' {
		l.Defects |= InvalidCharacter
		l.Pos = at + 1
		return Token{Kind: Invalid, Start: at, End: l.Pos}
	}
	tag := src[at : i+1]
	end := find(src, i+1, tag)
	if end < 0 {
		l.Defects |= UnterminatedText
		l.Pos = len(src)
	} else {
		l.Pos = end + len(tag)
	}
	for _, c := range []byte(src[at:l.Pos]) {
		if c >= 0x80 {
			l.Defects |= NonASCII
			break
		}
	}
	return Token{Kind: DollarString, Start: at, End: l.Pos}
}

// find is the place of the tag from i on, -1 where there is none. Candidates begin at
// dollar signs, and none is read twice: tags hold none within.
func find(src string, i int, tag string) int {
	for i+len(tag) <= len(src) {
		if src[i] != '$' {
			i++
			continue
		}
		n := 1
		for n < len(tag) && src[i+n] == tag[n] {
			n++
		}
		if n == len(tag) {
			return i
		}
		i += max(n-1, 1)
	}
	return -1
}

// number passes a number. What follows at once, a letter say, is the next token, as
// it was up to version 14: later ones call it an error.
func (l *Lexer) number() Token {
	src, at := l.Src, l.Pos
	i := at
	digits := func(ok func(byte) bool) {
		for i < len(src) && (ok(src[i]) || src[i] == '_' && i+1 < len(src) && ok(src[i+1])) {
			i++
		}
	}
	if src[i] == '0' && i+2 < len(src) {
		var ok func(byte) bool
		switch src[i+1] | 0x20 {
		case 'x':
			ok = isHex
		case 'o', 'b':
			ok = isDigit
		}
		if ok != nil && ok(src[i+2]) {
			i += 2
			digits(ok)
			l.Pos = i
			return Token{Kind: Number, Start: at, End: i}
		}
	}
	digits(isDigit)
	if i < len(src) && src[i] == '.' && !(i+1 < len(src) && src[i+1] == '.') {
		i++
		digits(isDigit)
	}
	if i < len(src) && src[i]|0x20 == 'e' {
		j := i + 1
		if j < len(src) && (src[j] == '+' || src[j] == '-') {
			j++
		}
		if j < len(src) && isDigit(src[j]) {
			i = j
			digits(isDigit)
		}
	}
	l.Pos = i
	return Token{Kind: Number, Start: at, End: i}
}

func isDigit(c byte) bool { return classes[c]&cDigit != 0 }
func isHex(c byte) bool   { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

// operator passes a run of operator characters; a comment within ends it, and it
// ends in + or - only where one of ~ ! @ # % ^ & | ` ? is in it.
func (l *Lexer) operator() Token {
	src, at := l.Src, l.Pos
	i, special := at, false
	for i < len(src) && classes[src[i]]&cOp != 0 {
		if i+1 < len(src) && (src[i] == '-' && src[i+1] == '-' || src[i] == '/' && src[i+1] == '*') {
			break
		}
		switch src[i] {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			special = true
		}
		i++
	}
	for !special && i > at+1 && (src[i-1] == '+' || src[i-1] == '-') {
		i--
	}
	l.Pos = i
	return Token{Kind: Operator, Start: at, End: i}
}
