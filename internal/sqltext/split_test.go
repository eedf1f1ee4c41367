package sqltext

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSplitStatements checks that texts are split where PostgreSQL splits them.
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
		if diff := cmp.Diff(want, SplitStatements(text, len(text)+1)); diff != "" {
			t.Errorf("SplitStatements(%q) (-want +got):\n%s", text, diff)
		}
	}
}

// FuzzSplit checks that the parts of any text are not empty and together not longer than the text.
func FuzzSplit(f *testing.F) {
	f.Add("SELECT 1; SELECT '")
	f.Add("a;b;(;);c")
	f.Fuzz(func(t *testing.T, text string) {
		at := 0
		for _, part := range SplitStatements(text, len(text)+1) {
			if len(part) == 0 || len(text)-at < len(part) {
				t.Fatalf("part %q of %q has %d bytes, want between 1 and the remaining %d", part, text, len(part), len(text)-at)
			}
			at += len(part)
		}
	})
}
