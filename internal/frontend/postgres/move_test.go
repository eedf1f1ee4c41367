package postgres

import (
	"testing"

	"gannetspur/internal/pgproto"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// The state holds each statement once, also one that only a portal has still.
func TestState(t *testing.T) {
	kept, closed := &statement{query: "SELECT 1", types: []byte{0, 0}}, &statement{query: "SELECT 2", known: &pgproto.Result{ParameterDescription: []byte{0, 0}}}
	k := &conn{process: 7, secret: [4]byte{1, 2, 3, 4}, started: true, skip: true, statements: map[string]*statement{"s": kept},
		portals: map[string]*portal{"p": {statement: closed, bind: make([]byte, 6), given: 3, rest: []byte("rows")}, "q": {statement: kept, token: "key"}}}
	var got connState
	if err := cbor.Unmarshal(k.EncodeState(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Statements) != 2 || len(got.Portals) != 2 || got.Process != 7 || !got.Started || !got.Skip || got.Secret != k.secret {
		t.Fatalf("%+v", got)
	}
	for _, p := range got.Portals {
		s := got.Statements[p.Statement]
		want := map[string]statementState{"p": {Query: "SELECT 2", Known: closed.known}, "q": {Named: true, Name: "s", Query: "SELECT 1", Types: []byte{0, 0}}}[p.Name]
		if diff := cmp.Diff(want, s); diff != "" {
			t.Errorf("portal %s (-want +got):\n%s", p.Name, diff)
		}
	}
}

// No state of another version crashes a front.
func FuzzRestore(f *testing.F) {
	k := &conn{statements: map[string]*statement{"s": {query: "SELECT 1"}}, portals: map[string]*portal{}}
	f.Add(k.EncodeState())
	b, _ := cbor.Marshal(connState{Portals: []portalState{{Statement: 3}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if accept, err := (&Frontend{}).RestoreConnection(b); (accept == nil) != (err != nil) {
			t.Error("neither a handler nor an error")
		}
	})
}
