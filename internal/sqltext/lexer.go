package sqltext

// Defect is a bit set of reasons why the tokens of a text may differ from those that an engine
// reads.
type Defect uint8

// Defects of a text.
const (
	// UnterminatedText: a string, a quoted name or a comment is not terminated.
	UnterminatedText Defect = 1 << iota
	// BackslashQuote: a backslash precedes a quote in an ordinary string. With
	// standard_conforming_strings off, the quote does not end the string.
	BackslashQuote
	// UnicodeEscape: a name or string has the prefix U&, so that its value may differ from its
	// spelling.
	UnicodeEscape
	// InvalidCharacter: a character that no rule of the lexer accepts, such as NUL.
	InvalidCharacter
	// NonASCII: the text has bytes above 0x7f. This is not a defect by itself, but the caller
	// must verify that the text is UTF-8 before it relies on token boundaries.
	NonASCII
)

// Lexer reads the tokens of one text in order. A Lexer with only Src set is ready for use. It
// can be copied to look ahead.
type Lexer struct {
	Src     string
	Pos     int    // byte offset at which the search for the next token begins
	Defects Defect // defects found so far
}

// Text returns the source text of a token.
func (l *Lexer) Text(t Token) string { return l.Src[t.Start:t.End] }

// Next reads the next token, skipping space and comments before it. At the end of the text it
// returns a token of kind End.
func (l *Lexer) Next() Token {
	src, at := l.Src, l.Pos
	if at < len(src) && src[at] == ' ' { // fast path: most tokens are separated by one space
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

// skipSpaceAndComments advances to the next token.
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

// lineCommentEnd returns the end of the -- comment whose text begins at i: the next line feed or
// carriage return. A carriage return ends the comment for the engine too; skipping past it would
// hide the statement text that follows.
func lineCommentEnd(src string, i int) int {
	for i < len(src) && src[i] != '\n' && src[i] != '\r' {
		i++
	}
	return i
}

// blockCommentEnd returns the end of the block comment that begins at i. Block comments nest.
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

// operator reads a run of operator characters. The start of a comment ends it, and it may end in
// + or - only if it contains one of ~ ! @ # % ^ & | ` ?.
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

// beginsComment reports whether a comment begins at i.
func beginsComment(src string, i int) bool {
	return i+1 < len(src) && (src[i] == '-' && src[i+1] == '-' || src[i] == '/' && src[i+1] == '*')
}
