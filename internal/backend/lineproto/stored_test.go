package lineproto

import (
	"bytes"
	"os"
	"testing"

	"gannetspur/internal/core"

	"github.com/google/go-cmp/cmp"
)

// TestStoredRows checks that rows encoded by version c18a9bd for another gateway are decoded and
// encoded to the same bytes. Truncated data must be rejected, and data with a flipped bit must be
// rejected or decoded to complete rows.
func TestStoredRows(t *testing.T) {
	stored, err := os.ReadFile("testdata/rows.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var c Codec
	want := Rows{[]byte("a\tb\tc\n"), {}, []byte("ä\t\t9\n1\t2\t3\n")}
	got, err := c.ReadResult(stored)
	if diff := cmp.Diff(core.Result(want), got); err != nil || diff != "" {
		t.Fatalf("ReadResult: error %v, rows (-want +got):\n%s", err, diff)
	}
	encoded, err := c.Result(got)
	if err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("encoded rows = %x, error %v, want %x", encoded, err, stored)
	}
	for end := range stored {
		if _, err := c.ReadResult(stored[:end]); err == nil {
			t.Errorf("ReadResult accepted %d of %d bytes", end, len(stored))
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
				t.Errorf("bit %d flipped: ReadResult accepted the incomplete rows %q", i, page)
			}
		}
	}
}
