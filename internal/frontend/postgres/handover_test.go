package postgres

import (
	"testing"

	"gannetspur/internal/pgproto"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// TestEncodeState checks that the encoded state contains each statement once, including a closed one
// that only a portal still refers to.
func TestEncodeState(t *testing.T) {
	named := &statement{query: "SELECT 1", parameterTypes: []byte{0, 0}}
	closed := &statement{query: "SELECT 2", description: &pgproto.Result{ParameterDescription: []byte{0, 0}}}
	c := &connection{
		processID: 7,
		secretKey: [4]byte{1, 2, 3, 4},
		lifecycle: lifecycle{started: true},
		extendedQuery: extendedQuery{
			skipToSync: true,
			statements: map[string]*statement{"s": named},
			portals: map[string]*portal{
				"p": {statement: closed, bind: make([]byte, 6), sentRows: 3, remaining: []byte("rows")},
				"q": {statement: named, key: "key"},
			},
		},
	}
	var got connectionState
	if err := cbor.Unmarshal(c.EncodeState(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Statements) != 2 || len(got.Portals) != 2 {
		t.Fatalf("state has %d statements and %d portals, want 2 and 2", len(got.Statements), len(got.Portals))
	}
	if got.ProcessID != 7 || got.SecretKey != c.secretKey || !got.Started || !got.SkipToSync {
		t.Fatalf("state = %+v, want process ID 7, the connection's secret key, Started and SkipToSync", got)
	}
	want := map[string]statementState{
		"p": {Query: "SELECT 2", Description: closed.description},
		"q": {Named: true, Name: "s", Query: "SELECT 1", ParameterTypes: []byte{0, 0}},
	}
	for _, p := range got.Portals {
		if diff := cmp.Diff(want[p.Name], got.Statements[p.Statement]); diff != "" {
			t.Errorf("statement of portal %s (-want +got):\n%s", p.Name, diff)
		}
	}
}

// FuzzRestoreConnection checks that no encoded state, such as one of another version, makes
// RestoreConnection panic, and that it returns either a handler function or an error.
func FuzzRestoreConnection(f *testing.F) {
	c := &connection{extendedQuery: extendedQuery{statements: map[string]*statement{"s": {query: "SELECT 1"}}}}
	f.Add(c.EncodeState())
	b, _ := cbor.Marshal(connectionState{Portals: []portalState{{Statement: 3}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if newHandler, err := (&Frontend{}).RestoreConnection(b); (newHandler == nil) != (err != nil) {
			t.Errorf("RestoreConnection: got handler function %t and error %v, want exactly one of them", newHandler != nil, err)
		}
	})
}
