// Package sqltext reads what the program needs of a statement: the group of
// tables that it touches, and its leading comment. It is no SQL parser.
package sqltext

import "strings"

// staging is the schema that names no group.
const staging = "staging"

// Group is the number behind the underscore in the name of the statement's
// schema: 17 in sales_17.orders. Names in strings and comments don't count. A
// name where a table stands (after FROM and the like) goes before others, which
// may be a column of an alias.
func Group(stmt string) (group int64, ok bool) {
	s := scanner{rest: stmt}
	table, found := false, false // a table's name stands here; a group was found
	name, prev := "", other
	for {
		kind, word := s.next()
		switch {
		case kind == end:
			return group, found
		case kind == ident && prev != dot && isTableWord(word):
			table, kind = true, other
		case kind == ident: // of a.b.c the last but one is the schema's
			name = word
		case kind == dot && prev == ident:
			n, is := schemaGroup(name)
			if is && table {
				return n, true
			}
			if is && !found {
				group, found = n, true
			}
		case kind == other || kind == semicolon:
			table = false
		}
		prev = kind
	}
}

// schemaGroup reads the number of one name.
func schemaGroup(name string) (n int64, ok bool) {
	i := strings.LastIndexByte(name, '_')
	if i < 1 || i == len(name)-1 || len(name)-i > 18 || strings.EqualFold(name[:i], staging) {
		return 0, false
	}
	for _, c := range []byte(name[i+1:]) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

func isTableWord(w string) bool {
	switch strings.ToUpper(w) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE", "ONLY":
		return true
	}
	return false
}

// LeadingComment is the text of the statement's first comment where nothing but
// space stands before it.
func LeadingComment(stmt string) (text string, ok bool) {
	s := strings.TrimLeft(stmt, " \t\r\n")
	switch {
	case strings.HasPrefix(s, "--"):
		text, _, _ = strings.Cut(s[2:], "\n")
		return strings.TrimSpace(text), true
	case strings.HasPrefix(s, "/*"):
		text, _, ok = strings.Cut(s[2:], "*/")
		return strings.TrimSpace(text), ok
	}
	return "", false
}

// FirstWord is the statement's first word in capitals, past comments, and
// whether a second statement follows it.
func FirstWord(stmt string) (word string, more bool) {
	s := scanner{rest: stmt}
	ended := false
	for {
		kind, w := s.next()
		switch {
		case kind == end:
			return word, false
		case kind == semicolon:
			ended = word != ""
		case ended:
			return word, true
		case word == "" && kind == ident:
			word = strings.ToUpper(w)
		case word == "":
			word = "("
		}
	}
}

type token uint8

const (
	end token = iota
	ident
	dot
	open
	semicolon
	other
)

type scanner struct{ rest string }

// next reads one token. Strings are tokens of the kind other; what is open at
// the end of the text ends there.
func (s *scanner) next() (token, string) {
	for {
		s.rest = strings.TrimLeft(s.rest, " \t\r\n\f\v")
		switch {
		case s.rest == "":
			return end, ""
		case strings.HasPrefix(s.rest, "--"):
			_, s.rest, _ = strings.Cut(s.rest, "\n")
		case strings.HasPrefix(s.rest, "/*"):
			s.skipComment()
		default:
			return s.token()
		}
	}
}

// skipComment passes a block comment; these nest.
func (s *scanner) skipComment() {
	depth, i := 0, 0
	for i < len(s.rest) {
		switch {
		case strings.HasPrefix(s.rest[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(s.rest[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				s.rest = s.rest[i:]
				return
			}
		default:
			i++
		}
	}
	s.rest = ""
}

func (s *scanner) token() (token, string) {
	c := s.rest[0]
	switch {
	case c == '\'':
		s.skipString(false)
		return other, ""
	case c == '"':
		return ident, s.quoted()
	case c == '$':
		return other, s.dollar()
	case isWord(c):
		n := 1
		for n < len(s.rest) && (isWord(s.rest[n]) || s.rest[n] == '$') {
			n++
		}
		word := s.rest[:n]
		s.rest = s.rest[n:]
		if strings.HasPrefix(s.rest, "'") && len(word) == 1 { // E'..', B'..', X'..', N'..'
			s.skipString(word == "E" || word == "e")
			return other, ""
		}
		return ident, word
	}
	s.rest = s.rest[1:]
	switch c {
	case '.':
		return dot, ""
	case '(':
		return open, ""
	case ';':
		return semicolon, ""
	}
	return other, ""
}

func isWord(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// skipString passes a string that starts here; a quote doubled stays within it,
// and so does one behind a backslash where these escape.
func (s *scanner) skipString(escapes bool) {
	for i := 1; i < len(s.rest); i++ {
		switch {
		case escapes && s.rest[i] == '\\':
			i++
		case s.rest[i] == '\'' && i+1 < len(s.rest) && s.rest[i+1] == '\'':
			i++
		case s.rest[i] == '\'':
			s.rest = s.rest[i+1:]
			return
		}
	}
	s.rest = ""
}

func (s *scanner) quoted() string {
	name, rest, _ := strings.Cut(s.rest[1:], `"`)
	s.rest = rest
	return name
}

// dollar passes a dollar-quoted string, or a parameter such as $1.
func (s *scanner) dollar() string {
	n := 1
	for n < len(s.rest) && isWord(s.rest[n]) {
		n++
	}
	if n < len(s.rest) && s.rest[n] == '$' && !(n > 1 && s.rest[1] >= '0' && s.rest[1] <= '9') {
		tag := s.rest[:n+1]
		_, s.rest, _ = strings.Cut(s.rest[n+1:], tag)
		return ""
	}
	s.rest = s.rest[n:]
	return ""
}

// SkipComments is the statement without the space and comments it begins with.
func SkipComments(stmt string) string {
	s := scanner{rest: stmt}
	for {
		before := s.rest
		s.rest = strings.TrimLeft(s.rest, " \t\r\n\f\v")
		switch {
		case strings.HasPrefix(s.rest, "--"):
			_, s.rest, _ = strings.Cut(s.rest, "\n")
		case strings.HasPrefix(s.rest, "/*"):
			s.skipComment()
		}
		if s.rest == before {
			return s.rest
		}
	}
}
