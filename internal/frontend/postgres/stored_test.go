package postgres

import (
	"bytes"
	"os"
	"testing"
	"time"

	"gannetspur/internal/pgproto"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// storedState is the content of testdata/connection.cbor, which version c18a9bd wrote. A process of
// that version hands over its connections in this encoding.
var storedState = connectionState{
	ProcessID:        70000,
	SecretKey:        [4]byte{1, 2, 3, 4},
	Started:          true,
	StatementTimeout: 7 * time.Second,
	SkipToSync:       true,
	DescribePending:  true,
	DescribedPortal:  "p",
	Statements: []statementState{
		{Named: true, Name: "s", Query: "SELECT 1", ParameterTypes: []byte{0, 0}},
		{Query: "SELECT $1", Description: &pgproto.Result{ParameterDescription: []byte{0, 1, 0, 0, 0, 23}, RowDescription: []byte{0, 0}}},
	},
	Portals: []portalState{{
		Name: "p", Statement: 1, Bind: []byte{0, 0, 0, 1, 0, 0, 0, 1, '7', 0, 0}, Key: "key",
		Result: &pgproto.Result{
			Rows: []byte("rows"), RowCount: 2, Tag: "SELECT 2", EmptyQuery: true, ParameterStatus: []byte("status"),
		},
		SentRows: 3, Remaining: []byte("rest"), Completed: true,
	}, {Name: "", Statement: 0, Bind: make([]byte, 6)}},
	User: "app", Settings: []pgproto.Setting{{Name: "application_name", Text: "billing"}},
}

// TestStoredConnectionState checks that the stored state is decoded completely and encoded again to the
// same bytes. A truncated state must be rejected. A state with any bit flipped must give either an error
// or a handler function.
func TestStoredConnectionState(t *testing.T) {
	stored, err := os.ReadFile("testdata/connection.cbor")
	if err != nil {
		t.Fatal(err)
	}
	var got connectionState
	if err := cbor.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(storedState, got); diff != "" {
		t.Errorf("decoded state (-want +got):\n%s", diff)
	}
	if written, err := cbor.Marshal(storedState); err != nil || !bytes.Equal(written, stored) {
		t.Errorf("encoded state = %x, error %v, want\n%x", written, err, stored)
	}
	f := &Frontend{}
	if newHandler, err := f.RestoreConnection(stored); newHandler == nil || err != nil {
		t.Errorf("RestoreConnection: got handler function %t, error %v, want a function and no error", newHandler != nil, err)
	}
	for cut := range stored {
		if _, err := f.RestoreConnection(stored[:cut]); err == nil {
			t.Errorf("state truncated to %d of %d bytes: got no error, want one", cut, len(stored))
		}
	}
	for i := range stored {
		for bit := range 8 {
			damaged := bytes.Clone(stored)
			damaged[i] ^= 1 << bit
			if newHandler, err := f.RestoreConnection(damaged); (newHandler == nil) == (err == nil) {
				t.Errorf("byte %d, bit %d flipped: got handler function %t and error %v, want exactly one of them", i, bit, newHandler != nil, err)
			}
		}
	}
}

// TestStoredSharedState checks the encoding of the shared state, the number after which new process
// IDs begin, against that of version c18a9bd.
func TestStoredSharedState(t *testing.T) {
	f := &Frontend{lastProcessID: 7}
	if got, want := f.SharedState(), []byte{0x1a, 0, 1, 0, 7}; !bytes.Equal(got, want) {
		t.Errorf("shared state = %x, want %x", got, want)
	}
	if err := f.ApplySharedState([]byte{0x1a, 0, 1, 0, 7}); err != nil || f.lastProcessID != 65543 {
		t.Errorf("last process ID = %d, error %v, want 65543", f.lastProcessID, err)
	}
}
