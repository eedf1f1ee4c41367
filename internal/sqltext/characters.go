package sqltext

// characterClass is a set of classes that a character belongs to, as bits.
type characterClass uint8

const (
	spaceClass characterClass = 1 << iota
	nameStartClass
	digitClass
	operatorClass
	namePartClass // allowed in a name after its first character
	uppercaseClass
	nonASCIIClass
)

// classes maps each byte to its character classes. Bytes of 0x80 and above count as letters.
var classes = func() (t [256]characterClass) {
	for _, c := range " \t\r\n\f\v" {
		t[c] |= spaceClass
	}
	for c := range 256 {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c == '_', c >= 0x80:
			t[c] |= nameStartClass | namePartClass
		case c >= '0' && c <= '9':
			t[c] |= digitClass | namePartClass
		case c == '$':
			t[c] |= namePartClass
		}
	}
	for c := 'A'; c <= 'Z'; c++ {
		t[c] |= uppercaseClass
	}
	for c := 0x80; c < 256; c++ {
		t[c] |= nonASCIIClass
	}
	for _, c := range "~!@#^&|`?+-*/%<>=" {
		t[c] |= operatorClass
	}
	return t
}()

// punctuation maps each character that forms a token by itself to its kind, others to End.
var punctuation = [256]Kind{
	'(': OpenParen, ')': CloseParen, '[': OpenBracket, ']': CloseBracket, ',': Comma, ';': Semicolon,
}

// caseBit is the ASCII bit that is set in lowercase letters and clear in uppercase ones.
const caseBit = 0x20

// lowerCase maps each character that may be part of a name to its lowercase form, others to 0.
var lowerCase = func() (t [256]uint8) {
	for c := range t {
		if classes[c]&namePartClass != 0 {
			t[c] = uint8(c)
		}
		if c >= 'A' && c <= 'Z' {
			t[c] |= caseBit
		}
	}
	return t
}()

func isSpace(c byte) bool { return classes[c]&spaceClass != 0 }
func isDigit(c byte) bool { return classes[c]&digitClass != 0 }
func isHex(c byte) bool   { return isDigit(c) || c|caseBit >= 'a' && c|caseBit <= 'f' }

// equalFold reports whether a name equals lower, which is in lowercase, ignoring case.
func equalFold(s, lower string) bool { return len(s) == len(lower) && sameFold(s, lower) }

// hasPrefixFold reports whether a name begins with lower, which is in lowercase, ignoring case.
func hasPrefixFold(s, lower string) bool {
	return len(s) >= len(lower) && sameFold(s[:len(lower)], lower)
}

// sameFold is equalFold for strings of equal length.
func sameFold(s, lower string) bool {
	for i := range len(lower) {
		if lowerCase[s[i]] != lower[i] {
			return false
		}
	}
	return true
}
