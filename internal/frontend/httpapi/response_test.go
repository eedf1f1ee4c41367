package httpapi

import (
	"encoding/json"
	"testing"

	"gannetspur/internal/backend/lineproto"
)

// FuzzEncodeRows checks that the response is valid JSON for any content of the rows.
func FuzzEncodeRows(f *testing.F) {
	f.Add("a\t\"b\"\\\x01\nc\td\n")
	f.Fuzz(func(t *testing.T, page string) {
		if b := encodeRows(lineproto.Rows{[]byte(page)}, "/more/x"); !json.Valid(b) {
			t.Fatalf("encodeRows returned invalid JSON: %q", b)
		}
	})
}
