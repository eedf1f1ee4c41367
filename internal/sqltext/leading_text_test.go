package sqltext

import "testing"

// TestFirstWord checks the first word and the detection of a second statement, with comments,
// quotes and empty statements.
func TestFirstWord(t *testing.T) {
	for stmt, want := range map[string]struct {
		word     string
		multiple bool
	}{
		"":                         {},
		" ; -- x":                  {},
		"/* c */ begin;":           {word: "BEGIN"},
		"select ';' ; -- ; x":      {word: "SELECT"},
		"select 1; ; select 2":     {word: "SELECT", multiple: true},
		"(select 1)":               {word: "("},
		"select $1; /* */ commit ": {word: "SELECT", multiple: true},
	} {
		word, multiple := FirstWord(stmt)
		if word != want.word || multiple != want.multiple {
			t.Errorf("FirstWord(%q) = %q, %v, want %q, %v", stmt, word, multiple, want.word, want.multiple)
		}
	}
}
