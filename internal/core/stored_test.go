package core

import (
	"os"
	"testing"
	"time"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// A snapshot that version c18a9bd passed on in a live upgrade must still be readable, and must encode
// to the same bytes again. Decoding a truncated snapshot is an error, and decoding a corrupt one does
// not panic.
func TestStoredSnapshot(t *testing.T) {
	stored, err := os.ReadFile("testdata/known.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var got Snapshot
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedSnapshot(), got); diff != "" {
		t.Errorf("decoded snapshot (-want +got):\n%s", diff)
	}
	written, err := cbor.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(stored, written); diff != "" {
		t.Errorf("encoded snapshot (-want +got):\n%s", diff)
	}
	for n := range stored {
		if err := cbor.Unmarshal(stored[:n], new(Snapshot)); err == nil {
			t.Errorf("decoding the first %d of %d bytes: got no error, want one", n, len(stored))
		}
	}
	for i := range stored {
		corrupt := append([]byte{}, stored...)
		corrupt[i] ^= 0xff
		_ = cbor.Unmarshal(corrupt, new(Snapshot)) // may return an error or other values, but must not panic
	}
}

// storedSnapshot returns the snapshot that is stored in testdata. Each map has at most one entry,
// because the encoding order of several is not fixed. The policy's learned state is empty here; package
// policy has a test of its own for it.
func storedSnapshot() Snapshot {
	return Snapshot{
		Engines: []Engine{
			{Engine: policy.Engine{ID: "s-00000007", Zone: "hall-a", Kind: "std-8", Cell: 3, State: policy.EngineLive}, Addr: "127.0.0.9:70"},
			{Engine: policy.Engine{ID: "s-00000008", Zone: "hall-b", Kind: "std-16", Cell: -4, State: policy.EngineDraining, Started: 5 * time.Second, StartKnown: true}, Addr: "[::1]:80"},
		},
		Learned:   policy.Snapshot{},
		Overrides: adminstate.Overrides{"s-00000007": {Disabled: false, At: 9 * time.Second, DisabledSince: 4 * time.Second}},
	}
}
