package sqltext

// characterClass is a set of classes that a character belongs to, as bits.
type characterClass uint8

const (
	spaceClass characterClass = 1 << iota
	nameStartClass
	digitClass
	operatorClass
	namePartClass // may stand in a name behind its first character
	capitalClass
	nonASCIIClass
)

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
		t[c] |= capitalClass
	}
	for c := 0x80; c < 256; c++ {
		t[c] |= nonASCIIClass
	}
	for _, c := range "~!@#^&|`?+-*/%<>=" {
		t[c] |= operatorClass
	}
	return t
}()

// punctuation has the kind of each character that is a token by itself; End for others.
var punctuation = [256]Kind{
	'(': OpenParen, ')': CloseParen, '[': OpenBracket, ']': CloseBracket, ',': Comma, ';': Semicolon,
}

// caseBit is set in small letters and not in capitals.
const caseBit = 0x20

// lowerCase is the small form of each character that may stand in a name, 0 for others.
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

// equalFold compares a name without regard to case with one in small letters.
func equalFold(s, lower string) bool { return len(s) == len(lower) && sameFold(s, lower) }

// hasPrefixFold tells whether a name begins with a text in small letters, in any case.
func hasPrefixFold(s, lower string) bool {
	return len(s) >= len(lower) && sameFold(s[:len(lower)], lower)
}

// sameFold is equalFold for texts of one length.
func sameFold(s, lower string) bool {
	for i := range len(lower) {
		if lowerCase[s[i]] != lower[i] {
			return false
		}
	}
	return true
}
