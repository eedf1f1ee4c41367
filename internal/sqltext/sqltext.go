package sqltext

import "strings"

// staging is the schema that names no group.
const staging = "staging"

// TableGroup is the number behind the underscore in the name of the statement's
// schema: 17 in sales_17.orders. Names in strings and comments don't count. A
// name where a table stands (after FROM and the like) goes before others, which
// may be a column of an alias.
func TableGroup(stmt string) (group int64, ok bool) {
	l := Lexer{Src: stmt}
	var g groupReader
	for t := l.Next(); t.Kind != End; t = l.Next() {
		if g.token(&l, t) {
			break
		}
	}
	return g.group, g.found
}

// groupReader finds the group in a run of tokens.
type groupReader struct {
	group       int64
	found, sure bool // sure: it stood where a table does
	table       bool // a table's name stands here
	name        Token
	prev        Kind
}

// token takes the next token, and tells whether the group can't change any more.
func (g *groupReader) token(l *Lexer, t Token) (done bool) {
	if g.sure {
		return true
	}
	switch t.Kind {
	case Ident, QuotedIdent:
		if g.prev != Dot && t.use()&beforeTable != 0 {
			g.table, g.prev = true, Operator
			return false
		}
		g.name = t // of a.b.c the last but one is the schema's
	case Dot:
		if g.prev == Ident || g.prev == QuotedIdent {
			n, is := schemaGroup(bare(l.Text(g.name)))
			if is && (g.table || !g.found) {
				g.group, g.found, g.sure = n, true, g.table
			}
		}
	case OpenParen:
	default:
		g.table = false
	}
	g.prev = t.Kind
	return g.sure
}

// bare takes the quotes off a name.
func bare(name string) string {
	if len(name) >= 2 && name[0] == '"' {
		return strings.TrimSuffix(name[1:], `"`)
	}
	return name
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

// LeadingComment is the text of the statement's first comment where nothing but
// space stands before it.
func LeadingComment(stmt string) (text string, ok bool) {
	s := strings.TrimLeft(stmt, " \t\r\n\f\v")
	switch {
	case strings.HasPrefix(s, "--"):
		return strings.TrimSpace(s[2:lineEnd(s, 2)]), true
	case strings.HasPrefix(s, "/*"):
		end, ok := blockEnd(s, 0)
		if !ok {
			return "", false
		}
		return strings.TrimSpace(s[2 : end-2]), true
	}
	return "", false
}

// FirstWord is the statement's first word in capitals, past comments, and
// whether a second statement follows it.
func FirstWord(stmt string) (word string, more bool) {
	l := Lexer{Src: stmt}
	ended := false
	for t := l.Next(); t.Kind != End; t = l.Next() {
		switch {
		case t.Kind == Semicolon:
			ended = word != ""
		case ended:
			return word, true
		case word == "" && t.Kind == Ident:
			word = strings.ToUpper(l.Text(t))
		case word == "":
			word = "("
		}
	}
	return word, false
}

// SkipComments is the statement without the space and comments it begins with.
func SkipComments(stmt string) string {
	l := Lexer{Src: stmt}
	l.skip()
	return l.Src[l.Pos:]
}

// HasTokenPrefix tells whether a statement begins with the tokens of a text. Space, comments
// and, in key words and names without quotes, case don't count.
func HasTokenPrefix(stmt, with string) bool {
	a, b := Lexer{Src: stmt}, Lexer{Src: with}
	for n := 0; ; n++ {
		want := b.Next()
		if want.Kind == End {
			return n > 0
		}
		have := a.Next()
		x, y := a.Text(have), b.Text(want)
		if have.Kind != want.Kind || x != y && !(have.Kind == Ident && strings.EqualFold(x, y)) {
			return false
		}
	}
}
