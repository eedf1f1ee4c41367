package lineproto

import (
	"bytes"
	"os"
	"testing"

	"gannetspur/internal/core"

	"github.com/google/go-cmp/cmp"
)

// Rows that version c18a9bd encoded for another gateway are read, and encoded to the same bytes.
func TestStoredRows(t *testing.T) {
	stored, err := os.ReadFile("testdata/rows.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var c Codec
	want := Rows{[]byte("a\tb\tc\n"), {}, []byte("ä\t\t9\n1\t2\t3\n")}
	got, err := c.ReadResult(stored)
	if diff := cmp.Diff(core.Result(want), got); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	encoded, err := c.Result(got)
	if err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("encoded again = %x, %v, want %x", encoded, err, stored)
	}
	for end := range stored {
		if _, err := c.ReadResult(stored[:end]); err == nil {
			t.Errorf("%d of %d bytes were accepted", end, len(stored))
		}
	}
	for i := range 8 * len(stored) {
		corrupt := bytes.Clone(stored)
		corrupt[i/8] ^= 1 << (i % 8)
		result, err := c.ReadResult(corrupt)
		if err != nil {
			continue
		}
		for _, page := range result.(Rows) {
			if !hasCompleteRows(page) {
				t.Errorf("bit %d flipped: %q was accepted", i, page)
			}
		}
	}
}
