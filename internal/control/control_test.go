package control

import (
	"encoding/json"
	"testing"

	"gannetspur/internal/core"

	"github.com/google/go-cmp/cmp"
)

// Whatever a body holds, a target is read only of an object that names one.
func FuzzTarget(f *testing.F) {
	for _, b := range []string{`{"target":"s-00c41f7a"}`, `{"target":""}`, `{"target":null}`, `[]`, `{"target":"a"}{}`, "\xff"} {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		id, bad := target(b)
		if (id == "") != (bad != nil) {
			t.Fatalf("%q, %v", id, bad)
		}
		if bad == nil && !json.Valid(b) {
			t.Fatalf("%q was read out of %q", id, b)
		}
	})
}

func TestText(t *testing.T) {
	got := string(Text(core.Figures{
		Classes: []core.ClassFigures{{Class: "lookup", Served: 812, Rejected: 3, Failed: 1}}, AttemptsWritten: 900, InFlight: 14, EnginesListed: 8, EnginesDown: 2,
	}))
	want := `lb.calls.lookup.success:812|c
lb.calls.lookup.busy:3|c
lb.calls.lookup.failure:1|c
lb.backend_calls:900|c
lb.inflight:14|g
lb.hosts_listed:8|g
lb.hosts_down:2|g
`
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
