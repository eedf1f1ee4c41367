package sqltext

import (
	"strings"
	"testing"
)

// The tokens of a text lie in it in order, without a byte that is not space or comment
// left out twice, and the reading of a text does not depend on what it follows.
func FuzzLexer(f *testing.F) {
	for _, s := range []string{"SELECT 'a''b', $x$ y $x$ FROM s_1.t -- c\n/* d /* e */", "E'\\", "$a$", "U&\"x", "1..2", "a<--b\r'c'\n'd'", "::=:", "$1$$x$$"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, stmt string) {
		l := Lexer{Src: stmt}
		at := 0
		for tok := l.Next(); tok.Kind != End; tok = l.Next() {
			if tok.Start < at || tok.End <= tok.Start || tok.End > len(stmt) || l.Pos != tok.End {
				t.Fatalf("token %+v after %d, lexer at %d of %d", tok, at, l.Pos, len(stmt))
			}
			at = tok.End
		}
		TableGroup(stmt)
		FirstWord(stmt)
		if comment, ok := LeadingComment(stmt); ok && !strings.Contains(stmt, comment) {
			t.Fatalf("comment %q is not in %q", comment, stmt)
		}
		SkipComments(stmt)
		HasTokenPrefix(stmt, stmt)
		if EffectOf(stmt, nil).Effect == Reads && l.Defects&^NonASCII == 0 {
			if got := EffectOf(stmt+"\n FOR UPDATE", nil); got.Effect == Reads && !strings.HasPrefix(strings.ToUpper(SkipComments(stmt)), "EXPLAIN") {
				t.Fatalf("%q reads also with FOR UPDATE behind it", stmt)
			}
		}
	})
}
