package sqltext

import (
	"strings"
	"testing"
)

// Reading takes no memory of its own and ends on any text; its slots lie within it, and
// the normal form is not longer than twice the text.
func FuzzRead(f *testing.F) {
	f.Add("SELECT a FROM t WHERE b IN (1, -2) AND c LIKE '%x' LIMIT 5", []byte{0, 1, 2, 3})
	f.Add("INSERT INTO s_1.t VALUES (1, ARRAY[2,3]), ((4)) ; VALUES IN (VALUES", []byte{})
	f.Add("ARRAY[IN(ARRAY[IN(1,(2,-", []byte{9})
	f.Fuzz(func(t *testing.T, stmt string, v []byte) {
		r := NewReader()
		r.ClassifyEffect = true
		out := r.Read(stmt)
		if want := EffectOf(stmt, nil); out.Effect != want {
			t.Fatalf("%q: %v on the way, %v by itself", stmt, out.Effect, want)
		}
		first, several := FirstWord(stmt)
		if strings.ToUpper(out.FirstWord) != first || out.MultipleStatements != several {
			t.Fatalf("%q: first %q, several %v; by itself %q, %v", stmt, out.FirstWord, out.MultipleStatements, first, several)
		}
		if len(out.NormalForm) > 2*len(stmt)+16 {
			t.Fatalf("%d bytes of normal form for %d", len(out.NormalForm), len(stmt))
		}
		for _, s := range out.Slots {
			if s.Start < 0 || s.End < s.Start || int(s.End) > len(stmt) || s.Count < 0 {
				t.Fatalf("slot %+v of %d bytes", s, len(stmt))
			}
		}
		for _, formats := range [][]byte{nil, {0, 1}} {
			p := out.Profile(stmt, &Binds{Values: [][]byte{v, nil, v}, Formats: formats, Types: v}, 1)
			_ = p.Bucket()
			if p.Alternatives < 0 || p.Span < 0 || p.Limit < 0 || p.DisabledRestrictions < 0 {
				t.Fatalf("profile %+v", p)
			}
		}
	})
}
