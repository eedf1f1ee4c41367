package httpapi

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gannetspur/internal/backend/lineproto"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// storedConnections and storedResults are the decoded contents of the files in testdata that version
// c18a9bd wrote: the states that a process hands over with its connections.
var (
	storedConnections = map[string]connectionState{
		"connection-new.cbor":  {},
		"connection-good.cbor": {Served: true},
		"connection-used.cbor": {Served: true, NextPagePending: true},
	}
	storedResults = []resultState{
		{Path: "x-3/1", Pages: []lineproto.Rows{{[]byte(`["a"]`), []byte(`["b"]`)}, {[]byte(`["c"]`)}}, HeldUntil: 90 * time.Minute},
		{Path: "x-4/1", Pages: []lineproto.Rows{{[]byte{}}}},
	}
)

func storedBytes(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestStoredConnections checks that stored states are decoded and encoded to the same bytes again.
// Truncated states must be rejected; with any bit flipped, either a handler or an error is returned.
func TestStoredConnections(t *testing.T) {
	f := &Frontend{}
	for name, want := range storedConnections {
		t.Run(name, func(t *testing.T) {
			stored := storedBytes(t, name)
			var got connectionState
			if err := cbor.Unmarshal(stored, &got); err != nil {
				t.Fatal(err)
			}
			if got != want {
				t.Errorf("state = %+v, want %+v", got, want)
			}
			c := &conn{served: want.Served, nextPagePending: want.NextPagePending}
			if encoded := c.EncodeState(); !bytes.Equal(encoded, stored) {
				t.Errorf("encoded state = %x, want %x", encoded, stored)
			}
			if accept, err := f.RestoreConnection(stored); accept == nil || err != nil {
				t.Errorf("RestoreConnection: handler returned = %t, error = %v, want a handler", accept != nil, err)
			}
			for end := range stored {
				if _, err := f.RestoreConnection(stored[:end]); err == nil {
					t.Errorf("RestoreConnection accepted %d of %d bytes", end, len(stored))
				}
			}
			for i := range stored {
				for bit := range 8 {
					corrupt := bytes.Clone(stored)
					corrupt[i] ^= 1 << bit
					if accept, err := f.RestoreConnection(corrupt); (accept == nil) == (err == nil) {
						t.Errorf("byte %d, bit %d flipped: handler returned = %t, error = %v, want one of the two", i, bit, accept != nil, err)
					}
				}
			}
		})
	}
}

// TestStoredResults checks that stored results are decoded and encoded to the same bytes again.
// Truncated results must be rejected, and decoding them with one bit flipped must not panic.
func TestStoredResults(t *testing.T) {
	stored := storedBytes(t, "results.cbor")
	var got []resultState
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedResults, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if encoded, err := cbor.Marshal(storedResults); err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("encoded results =\n%x, error %v, want\n%x", encoded, err, stored)
	}
	for end := range stored {
		if err := startFrontend(t).ApplySharedState(stored[:end]); err == nil {
			t.Errorf("ApplySharedState accepted %d of %d bytes", end, len(stored))
		}
	}
	for i := range stored {
		var results []resultState
		corrupt := bytes.Clone(stored)
		corrupt[i] ^= 1
		_ = cbor.Unmarshal(corrupt, &results) // may return other results or an error, but must not panic
	}
}
