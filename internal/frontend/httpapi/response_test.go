package httpapi

import (
	"encoding/json"
	"testing"

	"gannetspur/internal/backend/lineproto"
)

// Responses are JSON whatever the rows hold.
func FuzzEncode(f *testing.F) {
	f.Add("a\t\"b\"\\\x01\nc\td\n")
	f.Fuzz(func(t *testing.T, page string) {
		if b := encodeRows(lineproto.Rows{[]byte(page)}, "/more/x"); !json.Valid(b) {
			t.Fatalf("%q", b)
		}
	})
}
