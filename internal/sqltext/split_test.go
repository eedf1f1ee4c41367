package sqltext

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Statements are parted where PostgreSQL parts them.
func TestSplitStatements(t *testing.T) {
	for text, want := range map[string][]string{
		"":                                  nil,
		" ; ;; -- no":                       nil,
		"SELECT 1":                          {"SELECT 1"},
		"SELECT 1;":                         {"SELECT 1"},
		"SELECT 1; SELECT 2 ;":              {"SELECT 1", " SELECT 2 "},
		"SELECT ';'; SELECT \";\" /* ; */":  {"SELECT ';'", " SELECT \";\" /* ; */"},
		"SELECT $a$;$a$; DO $$ a; b $$":     {"SELECT $a$;$a$", " DO $$ a; b $$"},
		"CREATE RULE r AS (a; b); SELECT 1": {"CREATE RULE r AS (a; b)", " SELECT 1"},
		"SELECT E'\\';'; SELECT 1":          {"SELECT E'\\';'", " SELECT 1"},
		"a); b":                             {"a)", " b"},
	} {
		if diff := cmp.Diff(want, SplitStatements(text)); diff != "" {
			t.Errorf("%q: %s", text, diff)
		}
	}
}

// Whatever comes, the parts lie in the text one behind the other and hold no further part.
func FuzzSplit(f *testing.F) {
	f.Add("SELECT 1; SELECT '")
	f.Add("a;b;(;);c")
	f.Fuzz(func(t *testing.T, text string) {
		at := 0
		for _, part := range SplitStatements(text) {
			if len(part) == 0 || len(text)-at < len(part) {
				t.Fatalf("%q of %q", part, text)
			}
			at += len(part)
		}
	})
}
