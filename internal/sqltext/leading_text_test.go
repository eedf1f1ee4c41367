package sqltext

import "testing"

func TestFirstWord(t *testing.T) {
	for stmt, want := range map[string]struct {
		word string
		more bool
	}{
		"":                         {},
		" ; -- x":                  {},
		"/* c */ begin;":           {word: "BEGIN"},
		"select ';' ; -- ; x":      {word: "SELECT"},
		"select 1; ; select 2":     {word: "SELECT", more: true},
		"(select 1)":               {word: "("},
		"select $1; /* */ commit ": {word: "SELECT", more: true},
	} {
		word, more := FirstWord(stmt)
		if word != want.word || more != want.more {
			t.Errorf("%q: got %q, %v", stmt, word, more)
		}
	}
}
