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

// storedConnections and storedResults are what version c18a9bd wrote to testdata: the states
// that a process hands over with its connections.
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

// Stored states are decoded completely and encoded again byte for byte. Cut short they are rejected,
// and with any bit changed they are rejected or decoded as something else.
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
			k := &conn{served: want.Served, nextPagePending: want.NextPagePending}
			if written := k.EncodeState(); !bytes.Equal(written, stored) {
				t.Errorf("written as %x, want %x", written, stored)
			}
			if accept, err := f.RestoreConnection(stored); accept == nil || err != nil {
				t.Errorf("restore: error %v", err)
			}
			for cut := range stored {
				if _, err := f.RestoreConnection(stored[:cut]); err == nil {
					t.Errorf("restored, cut at byte %d", cut)
				}
			}
			for i := range stored {
				for bit := range 8 {
					damaged := bytes.Clone(stored)
					damaged[i] ^= 1 << bit
					if accept, err := f.RestoreConnection(damaged); (accept == nil) == (err == nil) {
						t.Errorf("byte %d, bit %d changed: neither a handler nor an error", i, bit)
					}
				}
			}
		})
	}
}

// The same of results that wait to be fetched.
func TestStoredResults(t *testing.T) {
	stored := storedBytes(t, "results.cbor")
	var got []resultState
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedResults, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if written, err := cbor.Marshal(storedResults); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("written as\n%x, error %v, want\n%x", written, err, stored)
	}
	for cut := range stored {
		if err := startFrontend(t).ApplySharedState(stored[:cut]); err == nil {
			t.Errorf("applied, cut at byte %d of %d", cut, len(stored))
		}
	}
	for i := range stored {
		var damagedResults []resultState
		damaged := bytes.Clone(stored)
		damaged[i] ^= 1
		_ = cbor.Unmarshal(damaged, &damagedResults) // it may be read as something else, and must not panic
	}
}
