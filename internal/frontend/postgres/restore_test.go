package postgres

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"os"
	"slices"
	"testing"

	"gannetspur/internal/config"
	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"

	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"
)

// newTestCore returns a core with the policy settings of the deploy directory, and the event loop that
// owns it.
func newTestCore(t *testing.T, counters *metrics.Counters) (*core.Core, *netio.Loop) {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var site config.Site
	if err := json.Unmarshal(raw, &site); err != nil {
		t.Fatal(err)
	}
	loop, err := netio.New(1024)
	if err != nil {
		t.Fatal(err)
	}
	c, err := core.New(site.Policy, 1, loop, loop.Timers, counters, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return c, loop
}

// newRestoredConnection returns a connection restored from the state of another process.
func newRestoredConnection(t *testing.T, counters *metrics.Counters, state connectionState) *connection {
	t.Helper()
	c, loop := newTestCore(t, counters)
	f := New(loop, c, Options{DefaultClass: "lookup", WriteClass: "write"}, counters)
	restored := f.addConnection(nil, state.ProcessID)
	restored.restore(&state)
	return restored
}

// TestRestoreState checks that a state is unchanged after it is restored and encoded again.
func TestRestoreState(t *testing.T) {
	c := newRestoredConnection(t, metrics.New(), storedState)
	var got connectionState
	if err := cbor.Unmarshal(c.EncodeState(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := gocmp.Diff(sortedState(storedState), sortedState(got)); diff != "" {
		t.Errorf("state after restoring and encoding (-want +got):\n%s", diff)
	}
	if got, want := c.frontend.heldBytes, len("rest"); got != want {
		t.Errorf("held rows = %d bytes, want %d", got, want)
	}
}

// sortedState returns a state with statements sorted by text and portals by name, because their encoded
// order depends on the iteration order of maps.
func sortedState(state connectionState) connectionState {
	byQuery := slices.SortedFunc(slices.Values(state.Statements), func(a, b statementState) int { return cmp.Compare(a.Query, b.Query) })
	portals := slices.SortedFunc(slices.Values(state.Portals), func(a, b portalState) int { return cmp.Compare(a.Name, b.Name) })
	for i, p := range portals {
		query := state.Statements[p.Statement].Query
		portals[i].Statement = slices.IndexFunc(byQuery, func(s statementState) bool { return s.Query == query })
	}
	state.Statements = byQuery
	state.Portals = portals
	return state
}

// TestRestoreDropsUnsupported checks that a statement that this version does not support is dropped
// together with its portals, that a malformed portal is dropped, and that the rest is restored.
func TestRestoreDropsUnsupported(t *testing.T) {
	counters := metrics.New()
	c := newRestoredConnection(t, counters, connectionState{
		DescribePending: true,
		DescribedPortal: "p",
		Statements: []statementState{
			{Named: true, Name: "copy", Query: "COPY t FROM STDIN", ParameterTypes: noParameterTypes},
			{Named: true, Name: "s", Query: "SELECT 1", ParameterTypes: noParameterTypes},
		},
		Portals: []portalState{
			{Name: "p", Statement: 0, Bind: noValues},
			{Name: "q", Statement: 1, Bind: noValues},
			{Name: "damaged", Statement: 1, Bind: noValues[:3]},
		},
	})
	if len(c.statements) != 1 || c.statements["s"] == nil {
		t.Errorf("statements = %v, want only s", c.statements)
	}
	if len(c.portals) != 1 || c.portals["q"] == nil {
		t.Errorf("portals = %v, want only q", c.portals)
	}
	if c.describePending {
		t.Error("describePending = true for a dropped portal, want false")
	}
	if got := counters.Sum("pgwire.statements-dropped"); got != 1 {
		t.Errorf("statements dropped = %d, want 1", got)
	}
	if got := counters.Sum("pgwire.portals-dropped"); got != 2 {
		t.Errorf("portals dropped = %d, want 2", got)
	}
}
