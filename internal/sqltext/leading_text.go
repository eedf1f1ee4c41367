package sqltext

import "strings"

// noWord is returned as the first word of a statement that begins with a token other than a
// word, most often a parenthesis.
const noWord = "("

// LeadingComment returns the text of the comment that the statement begins with, ignoring
// leading space. ok is false if there is none or it is not terminated.
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

// FirstWord returns the statement's first word in uppercase, or "(" if the statement begins with
// another token, or "" if the text has no statement. Comments and semicolons before it are
// skipped. multiple reports whether a second statement follows.
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

// SkipComments returns the statement without its leading space and comments.
func SkipComments(stmt string) string {
	l := Lexer{Src: stmt}
	l.skipSpaceAndComments()
	return l.Src[l.Pos:]
}

// HasTokenPrefix reports whether a statement begins with the tokens of prefix. Space,
// comments and the case of keywords and unquoted names are ignored. The result is false for a
// prefix without tokens.
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

// ContainsName reports whether text contains name anywhere, even inside a longer word, ignoring
// case. name is in lowercase and not empty.
func ContainsName(text, name string) bool {
	for i := 0; i+len(name) <= len(text); i++ {
		if text[i]|caseBit == name[0] && sameFold(text[i:i+len(name)], name) {
			return true
		}
	}
	return false
}
