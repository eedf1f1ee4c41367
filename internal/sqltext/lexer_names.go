package sqltext

// identifier reads an unquoted name, a keyword, or a string whose prefix is a letter.
func (l *Lexer) identifier() Token {
	src, start := l.Src, l.Pos
	end, seen := start, characterClass(0)
	for ; end < len(src); end++ {
		class := classes[src[end]]
		if class&namePartClass == 0 {
			break
		}
		seen |= class
	}
	if seen&nonASCIIClass != 0 {
		l.Defects |= NonASCII
	}
	l.Pos = end
	if end < len(src) && end-start == 1 {
		if t, ok := l.prefixedString(start); ok {
			return t
		}
	}
	info := tokenInfo(nameHash(src, start, end))
	if seen&uppercaseClass != 0 {
		info |= 1 << uppercaseShift
	}
	if end-start <= maxKeywordLen {
		info |= lookupKeyword(src[start:end], info)
	}
	return Token{Kind: Ident, Start: start, End: end, info: info}
}

// prefixedString reads a string or quoted name whose prefix is the letter at start, such
// as E'..', X'..' or U&"..".
func (l *Lexer) prefixedString(start int) (t Token, ok bool) {
	src, next := l.Src, start+1
	prefix := src[start] | caseBit
	switch src[next] {
	case '\'':
		switch prefix {
		case 'e':
			return l.stringToken(start, next+1, String, escapingBackslash), true
		case 'n':
			return l.stringToken(start, next+1, String, literalBackslash), true
		case 'b', 'x':
			return l.stringToken(start, next+1, BitString, literalBackslash), true
		}
	case '&':
		if prefix != 'u' || next+1 >= len(src) {
			return Token{}, false
		}
		switch src[next+1] {
		case '\'':
			l.Defects |= UnicodeEscape
			return l.stringToken(start, next+2, String, literalBackslash), true
		case '"':
			l.Defects |= UnicodeEscape
			return l.quotedIdentifier(start, next+2), true
		}
	}
	return Token{}, false
}

// quotedIdentifier reads a name in double quotes; body is the offset after the opening quote.
func (l *Lexer) quotedIdentifier(start, body int) Token {
	l.Pos = l.quotedNameEnd(body)
	return Token{Kind: QuotedIdent, Start: start, End: l.Pos}
}

// quotedNameEnd returns the offset after the closing quote of the quoted name whose text begins
// at i. A doubled quote is part of the name.
func (l *Lexer) quotedNameEnd(i int) int {
	src := l.Src
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
			return i + 1
		}
	}
	l.Defects |= UnterminatedText
	return len(src)
}

// nameHash hashes the length and the first and last eight bytes of the name src[start:end],
// ignoring case. It is used to look up keywords and to match columns; different names may have
// equal hashes. Eight bytes are read at a time, as one machine word.
func nameHash(src string, start, end int) uint32 {
	const (
		multiplier  = 0x9e3779b97f4a7c15
		allCaseBits = caseBit * 0x0101010101010101
		wordLen     = 8
		bitsPerByte = 8
	)
	length := end - start
	var first, last uint64
	switch {
	case length >= wordLen:
		first = loadWord(src[start:end]) | allCaseBits
		last = loadWord(src[end-wordLen:end]) | allCaseBits
	case start+wordLen <= len(src):
		mask := uint64(1)<<(bitsPerByte*length) - 1
		first = loadWord(src[start:])&mask | allCaseBits&mask
	default:
		mask := uint64(1)<<(bitsPerByte*length) - 1
		for i := end - 1; i >= start; i-- {
			first = first<<bitsPerByte | uint64(src[i])
		}
		first |= allCaseBits & mask
	}
	h := (first ^ uint64(length)) * multiplier
	h = (h ^ h>>29 ^ last) * multiplier
	return uint32(h >> 32)
}

// loadWord reads eight bytes in little-endian order; the compiler merges the reads into one
// load.
func loadWord(s string) uint64 {
	_ = s[7]
	return uint64(s[0]) | uint64(s[1])<<8 | uint64(s[2])<<16 | uint64(s[3])<<24 |
		uint64(s[4])<<32 | uint64(s[5])<<40 | uint64(s[6])<<48 | uint64(s[7])<<56
}
