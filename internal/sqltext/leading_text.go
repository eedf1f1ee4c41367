package sqltext

import "strings"

// noWord stands for the first word of a statement that begins with something else, most
// often a parenthesis.
const noWord = "("

// LeadingComment is the text of the statement's first comment where nothing but space
// stands before it.
func LeadingComment(stmt string) (text string, ok bool) {
	s := strings.TrimLeft(stmt, " \t\r\n\f\v")
	switch {
	case strings.HasPrefix(s, "--"):
		return strings.TrimSpace(s[2:lineCommentEnd(s, 2)]), true
	case strings.HasPrefix(s, "/*"):
		end, terminated := blockCommentEnd(s, 0)
		if !terminated {
			return "", false
		}
		return strings.TrimSpace(s[2 : end-2]), true
	}
	return "", false
}

// FirstWord is the statement's first word in capitals, past comments, or "(" for what is no
// word, and whether a second statement follows it.
func FirstWord(stmt string) (word string, multiple bool) {
	l := Lexer{Src: stmt}
	ended := false
	for t := l.Next(); t.Kind != End; t = l.Next() {
		switch {
		case t.Kind == Semicolon:
			ended = word != ""
		case ended:
			return word, true
		case word != "":
		case t.Kind == Ident:
			word = strings.ToUpper(l.Text(t))
		default:
			word = noWord
		}
	}
	return word, false
}

// SkipComments is the statement without the space and comments it begins with.
func SkipComments(stmt string) string {
	l := Lexer{Src: stmt}
	l.skipSpaceAndComments()
	return l.Src[l.Pos:]
}

// HasTokenPrefix tells whether a statement begins with the tokens of a text that has any.
// Space, comments and, in key words and names without quotes, case don't count.
func HasTokenPrefix(stmt, prefix string) bool {
	stmtLexer := Lexer{Src: stmt}
	prefixLexer := Lexer{Src: prefix}
	for matched := 0; ; matched++ {
		want := prefixLexer.Next()
		if want.Kind == End {
			return matched > 0
		}
		got := stmtLexer.Next()
		if got.Kind != want.Kind {
			return false
		}
		gotText := stmtLexer.Text(got)
		wantText := prefixLexer.Text(want)
		sameWord := got.Kind == Ident && strings.EqualFold(gotText, wantText)
		if gotText != wantText && !sameWord {
			return false
		}
	}
}

// ContainsName tells whether a text holds a name given in small letters, in any case,
// wherever it stands.
func ContainsName(text, name string) bool {
	for i := 0; i+len(name) <= len(text); i++ {
		if text[i]|caseBit == name[0] && sameFold(text[i:i+len(name)], name) {
			return true
		}
	}
	return false
}
