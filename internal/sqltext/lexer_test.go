package sqltext

import (
	"strings"
	"testing"
)

// FuzzLexer checks that the tokens of any text are in order, not empty and within the text, that
// the functions on leading text accept any text, and that FOR UPDATE appended to a reading
// statement is not overlooked.
func FuzzLexer(f *testing.F) {
	for _, s := range []string{"SELECT 'a''b', $x$ y $x$ FROM s_1.t -- c\n/* d /* e */", "E'\\", "$a$", "U&\"x", "1..2", "a<--b\r'c'\n'd'", "::=:", "$1$$x$$"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, stmt string) {
		l := Lexer{Src: stmt}
		at := 0
		for tok := l.Next(); tok.Kind != End; tok = l.Next() {
			if tok.Start < at || tok.End <= tok.Start || tok.End > len(stmt) || l.Pos != tok.End {
				t.Fatalf("token %+v after offset %d, lexer at %d of %d bytes; want a token that is not empty, in order and ends at the lexer's position", tok, at, l.Pos, len(stmt))
			}
			at = tok.End
		}
		TableGroup(stmt)
		FirstWord(stmt)
		if comment, ok := LeadingComment(stmt); ok && !strings.Contains(stmt, comment) {
			t.Fatalf("LeadingComment(%q) = %q, want a part of the statement", stmt, comment)
		}
		SkipComments(stmt)
		HasTokenPrefix(stmt, stmt)
		if EffectOf(stmt, nil).Effect == Reads && l.Defects&^NonASCII == 0 {
			if got := EffectOf(stmt+"\n FOR UPDATE", nil); got.Effect == Reads && !strings.HasPrefix(strings.ToUpper(SkipComments(stmt)), "EXPLAIN") {
				t.Fatalf("%q with FOR UPDATE appended: effect = %v (%v), want other than %v", stmt, got.Effect, got, Reads)
			}
		}
	})
}
