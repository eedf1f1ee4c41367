package sqltext

// Defect is a set of reasons why the reading of a text can't be relied on, as bits.
type Defect uint8

// Defects.
const (
	// UnterminatedText: a string, a quoted name or a comment is open at the end.
	UnterminatedText Defect = 1 << iota
	// BackslashQuote: a backslash stands before a quote in an ordinary string. Where
	// standard_conforming_strings is off the string goes on there.
	BackslashQuote
	// UnicodeEscape: a name or string is written U&; its letters are not those it shows.
	UnicodeEscape
	// InvalidCharacter: a character that no rule of the lexer accepts, a NUL among them.
	InvalidCharacter
	// NonASCII: bytes above 0x7f stand in the text. No defect by itself, but the caller
	// must know that the text is UTF-8 before it relies on where tokens end.
	NonASCII
)

// Lexer reads the tokens of one text in turn. Its zero value with Src set is ready; it
// holds no other state than its position, so it can be copied to look ahead.
type Lexer struct {
	Src     string
	Pos     int
	Defects Defect
}

// Text is the token's own text.
func (l *Lexer) Text(t Token) string { return l.Src[t.Start:t.End] }

// Next reads one token. Space and comments before it are skipped.
func (l *Lexer) Next() Token {
	src, at := l.Src, l.Pos
	if at < len(src) && src[at] == ' ' { // most tokens stand one space apart
		at++
		l.Pos = at
	}
	if at < len(src) && (isSpace(src[at]) || src[at] == '-' || src[at] == '/') {
		l.skipSpaceAndComments()
		at = l.Pos
	}
	if at >= len(src) {
		return Token{Kind: End, Start: at, End: at}
	}
	c := src[at]
	class := classes[c]
	switch {
	case class&nameStartClass != 0:
		return l.identifier()
	case class&digitClass != 0:
		return l.number()
	case class&operatorClass != 0:
		return l.operator()
	}
	if kind := punctuation[c]; kind != End {
		l.Pos = at + 1
		return Token{Kind: kind, Start: at, End: l.Pos}
	}
	switch c {
	case '\'':
		return l.stringToken(at, at+1, String, literalBackslash)
	case '"':
		return l.quotedIdentifier(at, at+1)
	case '$':
		return l.dollarToken()
	case '.':
		if at+1 < len(src) && isDigit(src[at+1]) {
			return l.number()
		}
		l.Pos = at + 1
		return Token{Kind: Dot, Start: at, End: l.Pos}
	case ':':
		return l.colon()
	}
	l.Defects |= InvalidCharacter
	l.Pos = at + 1
	return Token{Kind: Invalid, Start: at, End: l.Pos}
}

// skipSpaceAndComments moves to the next token.
func (l *Lexer) skipSpaceAndComments() {
	src, i := l.Src, l.Pos
	for i < len(src) {
		c := src[i]
		switch {
		case isSpace(c):
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineCommentEnd(src, i+2)
		case c == '/' && i+1 < len(src) && src[i+1] == '*':
			end, terminated := blockCommentEnd(src, i)
			if !terminated {
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

// lineCommentEnd is where a -- comment ends: at a line feed or at a carriage return. Guards
// against a statement hidden behind a return, which ends the comment for the engine.
func lineCommentEnd(src string, i int) int {
	for i < len(src) && src[i] != '\n' && src[i] != '\r' {
		i++
	}
	return i
}

// blockCommentEnd is where the comment that begins at i ends. Block comments nest.
func blockCommentEnd(src string, i int) (end int, terminated bool) {
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

// colon reads :, :: or :=.
func (l *Lexer) colon() Token {
	t := Token{Kind: Colon, Start: l.Pos, End: l.Pos + 1}
	if t.End < len(l.Src) {
		switch l.Src[t.End] {
		case ':':
			t.Kind = Cast
			t.End++
		case '=':
			t.End++
		}
	}
	l.Pos = t.End
	return t
}

// operator reads a run of operator characters. A comment within ends it, and it ends in +
// or - only where one of ~ ! @ # % ^ & | ` ? is in it.
func (l *Lexer) operator() Token {
	src, start := l.Src, l.Pos
	end, mayEndInSign := start, false
	for end < len(src) && classes[src[end]]&operatorClass != 0 {
		if beginsComment(src, end) {
			break
		}
		switch src[end] {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			mayEndInSign = true
		}
		end++
	}
	for !mayEndInSign && end > start+1 && (src[end-1] == '+' || src[end-1] == '-') {
		end--
	}
	l.Pos = end
	return Token{Kind: Operator, Start: start, End: end}
}

func beginsComment(src string, i int) bool {
	return i+1 < len(src) && (src[i] == '-' && src[i+1] == '-' || src[i] == '/' && src[i+1] == '*')
}
