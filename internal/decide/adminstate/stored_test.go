package adminstate

import (
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// TestStoredOverrides checks that overrides are read from, and written as, the bytes that version c18a9bd
// wrote into takeover files and handover frames, and that truncated or corrupt bytes cause no panic.
func TestStoredOverrides(t *testing.T) {
	stored, err := os.ReadFile("testdata/bans.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var got Overrides
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedOverrides(), got); diff != "" {
		t.Errorf("overrides read (-want +got):\n%s", diff)
	}
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	written, err := mode.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(stored, written); diff != "" {
		t.Errorf("bytes written (-want +got):\n%s", diff)
	}
	for n := range stored {
		if err := cbor.Unmarshal(stored[:n], new(Overrides)); err == nil {
			t.Errorf("reading the first %d of %d bytes: no error, want one", n, len(stored))
		}
	}
	for i := range stored {
		corrupt := append([]byte{}, stored...)
		corrupt[i] ^= 0xff
		_ = cbor.Unmarshal(corrupt, new(Overrides)) // may return an error or other values, but must not panic
	}
}

// storedOverrides returns the overrides in the stored bytes.
func storedOverrides() Overrides {
	return Overrides{
		"s-00c41f7a": {Disabled: true, At: 1_700_000_000 * time.Second},
		"s-00000007": {Disabled: false, At: 1_700_000_100 * time.Second, DisabledSince: 1_700_000_050 * time.Second},
		"":           {Disabled: true, At: -1},
	}
}
