package consul

import (
	"encoding/json"
	"testing"
	"time"

	"gannetspur/internal/core"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// TestRegistration checks how a catalog entry is converted to an engine, which values replace missing ones, and which entries
// are invalid.
func TestRegistration(t *testing.T) {
	opts := Options{Zone: "default-zone", Kind: "default-kind"}
	for name, tt := range map[string]struct {
		json string
		want core.Engine
	}{
		"service metadata": {
			`{"Node":"n1","Address":"10.0.0.1","Datacenter":"dc1","NodeMeta":{"zone":"node-zone"},"ServiceID":"e1","ServiceAddress":"10.0.0.2",
				"ServicePort":70,"ServiceMeta":{"zone":"hall-a","kind":"std-8","boot_ms":"1500"}}`,
			core.Engine{Addr: "10.0.0.2:70", Engine: policy.Engine{ID: "n1/e1", Zone: "hall-a", Kind: "std-8", Started: 1500 * time.Millisecond, StartKnown: true}},
		},
		"node metadata": {
			`{"Node":"n1","Address":"10.0.0.1","NodeMeta":{"zone":"node-zone","kind":"node-kind"},"ServiceID":"e1","ServicePort":70,"ServiceMeta":{"boot_ms":"-1"}}`,
			core.Engine{Addr: "10.0.0.1:70", Engine: policy.Engine{ID: "n1/e1", Zone: "node-zone", Kind: "node-kind"}},
		},
		"options": {
			`{"Node":"n1","Address":"::1","Datacenter":"dc1","NodeMeta":null,"ServiceID":"e1","ServicePort":70}`,
			core.Engine{Addr: "[::1]:70", Engine: policy.Engine{ID: "n1/e1", Zone: "default-zone", Kind: "default-kind"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var r registration
			if err := json.Unmarshal([]byte(tt.json), &r); err != nil {
				t.Fatal(err)
			}
			if !r.valid() {
				t.Error("valid() = false, want true")
			}
			if diff := cmp.Diff(tt.want, r.engine(opts)); diff != "" {
				t.Errorf("engine() (-want +got):\n%s", diff)
			}
		})
	}
	for _, r := range []registration{{ServicePort: 70}, {ServiceID: "e1"}, {ServiceID: "e1", ServicePort: 65536}} {
		if r.valid() {
			t.Errorf("%+v: valid() = true, want false", r)
		}
	}
}
