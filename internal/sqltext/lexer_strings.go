package sqltext

// backslashRule is the meaning of a backslash in a string.
type backslashRule uint8

const (
	literalBackslash  backslashRule = iota // an ordinary character
	escapingBackslash                      // escapes the next character, as in E'..'
)

// stringToken reads a string; body is the offset after its opening quote.
func (l *Lexer) stringToken(start, body int, kind Kind, rule backslashRule) Token {
	l.Pos = l.stringEnd(body, rule)
	return Token{Kind: kind, Start: start, End: l.Pos}
}

// stringEnd returns the offset after the closing quote of the string whose text begins at i. A
// doubled quote is part of the string, and so is a quote after an escaping backslash. Two
// strings separated only by space and -- comments that include a line end are one string.
func (l *Lexer) stringEnd(i int, rule backslashRule) int {
	src := l.Src
	for i < len(src) {
		c := src[i]
		switch {
		case c == '\\' && rule == escapingBackslash:
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
			next, continued := continuedString(src, i+1)
			if !continued {
				return i + 1
			}
			i = next
		}
	}
	l.Defects |= UnterminatedText
	return len(src)
}

// continuedString reports whether the string whose closing quote ends at i continues after a
// line end. next is the offset after the next opening quote.
func continuedString(src string, i int) (next int, ok bool) {
	sawLineEnd := false
	for i < len(src) {
		switch c := src[i]; {
		case c == '\n' || c == '\r':
			sawLineEnd = true
			i++
		case isSpace(c):
			i++
		case c == '-' && i+1 < len(src) && src[i+1] == '-':
			i = lineCommentEnd(src, i+2)
		case c == '\'' && sawLineEnd:
			return i + 1, true
		default:
			return 0, false
		}
	}
	return 0, false
}

// dollarToken reads a dollar-quoted string, or a parameter such as $1.
func (l *Lexer) dollarToken() Token {
	src, start := l.Src, l.Pos
	i := start + 1
	if i < len(src) && isDigit(src[i]) {
		for i < len(src) && isDigit(src[i]) {
			i++
		}
		l.Pos = i
		return Token{Kind: Param, Start: start, End: i}
	}
	for i < len(src) && src[i] != '$' && classes[src[i]]&namePartClass != 0 {
		i++
	}
	if i >= len(src) || src[i] != '$' {
		l.Defects |= InvalidCharacter
		l.Pos = start + 1
		return Token{Kind: Invalid, Start: start, End: l.Pos}
	}
	tag := src[start : i+1]
	closing := findTag(src, i+1, tag)
	if closing < 0 {
		l.Defects |= UnterminatedText
		l.Pos = len(src)
	} else {
		l.Pos = closing + len(tag)
	}
	if hasNonASCII(src[start:l.Pos]) {
		l.Defects |= NonASCII
	}
	return Token{Kind: DollarString, Start: start, End: l.Pos}
}

func hasNonASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= 0x80 {
			return true
		}
	}
	return false
}

// findTag returns the offset of the first occurrence of a dollar-quote tag at or after i, or -1.
// It takes linear time: a tag has dollar signs only at its ends, so that a partial match can be
// skipped without reading it again.
func findTag(src string, i int, tag string) int {
	for i+len(tag) <= len(src) {
		if src[i] != '$' {
			i++
			continue
		}
		matched := 1
		for matched < len(tag) && src[i+matched] == tag[matched] {
			matched++
		}
		if matched == len(tag) {
			return i
		}
		i += max(matched-1, 1)
	}
	return -1
}
