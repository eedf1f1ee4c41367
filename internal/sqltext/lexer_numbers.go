package sqltext

// number reads a number. A letter directly after it begins the next token, as in PostgreSQL up
// to version 14; later versions report an error.
func (l *Lexer) number() Token {
	src, start := l.Src, l.Pos
	if end, ok := prefixedNumberEnd(src, start); ok {
		l.Pos = end
		return Token{Kind: Number, Start: start, End: end}
	}
	i := decimalDigitsEnd(src, start)
	isRange := i+1 < len(src) && src[i+1] == '.' // 1..2, as in the bounds of a PL/pgSQL loop
	if i < len(src) && src[i] == '.' && !isRange {
		i = decimalDigitsEnd(src, i+1)
	}
	if i < len(src) && src[i]|caseBit == 'e' {
		exponent := i + 1
		if exponent < len(src) && (src[exponent] == '+' || src[exponent] == '-') {
			exponent++
		}
		if exponent < len(src) && isDigit(src[exponent]) {
			i = decimalDigitsEnd(src, exponent)
		}
	}
	l.Pos = i
	return Token{Kind: Number, Start: start, End: i}
}

// prefixedNumberEnd returns the end of a number with a prefix, such as 0x1F, 0o17 or 0b11. ok is
// false if the text at start is not one.
func prefixedNumberEnd(src string, start int) (end int, ok bool) {
	digits := start + 2
	if src[start] != '0' || digits >= len(src) {
		return 0, false
	}
	switch src[start+1] | caseBit {
	case 'x':
		return hexDigitsEnd(src, digits), isHex(src[digits])
	case 'o', 'b':
		return decimalDigitsEnd(src, digits), isDigit(src[digits])
	}
	return 0, false
}

// decimalDigitsEnd returns the end of the run of digits that begins at i. Each digit may have
// one underscore before it.
func decimalDigitsEnd(src string, i int) int {
	for i < len(src) && (isDigit(src[i]) || src[i] == '_' && i+1 < len(src) && isDigit(src[i+1])) {
		i++
	}
	return i
}

// hexDigitsEnd is decimalDigitsEnd for hexadecimal digits.
func hexDigitsEnd(src string, i int) int {
	for i < len(src) && (isHex(src[i]) || src[i] == '_' && i+1 < len(src) && isHex(src[i+1])) {
		i++
	}
	return i
}
