package sqltext

import (
	"strings"
	"testing"
)

// FuzzRead checks that any text can be read: the results agree with EffectOf and FirstWord, the
// slots are within the text, the normal form is at most about twice as long as the text, and
// profiles have no negative fields.
func FuzzRead(f *testing.F) {
	f.Add("SELECT a FROM t WHERE b IN (1, -2) AND c LIKE '%x' LIMIT 5", []byte{0, 1, 2, 3})
	f.Add("INSERT INTO s_1.t VALUES (1, ARRAY[2,3]), ((4)) ; VALUES IN (VALUES", []byte{})
	f.Add("ARRAY[IN(ARRAY[IN(1,(2,-", []byte{9})
	f.Fuzz(func(t *testing.T, stmt string, v []byte) {
		r := NewReader()
		r.ClassifyEffect = true
		out := r.Read(stmt)
		if want := EffectOf(stmt, nil); out.Effect != want {
			t.Fatalf("Read(%q).Effect = %v, want %v as from EffectOf", stmt, out.Effect, want)
		}
		word, multiple := FirstWord(stmt)
		if strings.ToUpper(out.FirstWord) != word || out.MultipleStatements != multiple {
			t.Fatalf("Read(%q): first word %q, multiple statements %v, want %q, %v as from FirstWord", stmt, out.FirstWord, out.MultipleStatements, word, multiple)
		}
		if limit := 2*len(stmt) + 16; len(out.NormalForm) > limit {
			t.Fatalf("normal form of %d bytes for a statement of %d bytes, want at most %d", len(out.NormalForm), len(stmt), limit)
		}
		for _, s := range out.Slots {
			if s.Start < 0 || s.End < s.Start || int(s.End) > len(stmt) || s.Count < 0 {
				t.Fatalf("slot %+v, want offsets in order within %d bytes and a count that is not negative", s, len(stmt))
			}
		}
		for _, formats := range [][]byte{nil, {0, 1}} {
			p := out.Profile(stmt, &Binds{Values: [][]byte{v, nil, v}, Formats: formats, Types: v}, 1)
			_ = p.Bucket()
			if p.Alternatives < 0 || p.Span < 0 || p.Limit < 0 || p.DisabledRestrictions < 0 {
				t.Fatalf("profile %+v, want no negative field", p)
			}
		}
	})
}
