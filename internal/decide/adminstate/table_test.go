package adminstate

import (
	"maps"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// anyOverride generates overrides with few distinct times, so that times often coincide.
var anyOverride = rapid.Custom(func(t *rapid.T) Override {
	return Override{
		Disabled: rapid.Bool().Draw(t, "disabled"), At: time.Duration(rapid.IntRange(1, 4).Draw(t, "at")),
		DisabledSince: time.Duration(rapid.IntRange(0, 2).Draw(t, "since")),
	}
})

// TestMergeIsOrderIndependent checks that Override.Merge is commutative, idempotent and associative, so
// that processes agree in whatever order they merge, and that of two overrides with the same time the one
// that disables takes effect.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyOverride.Draw(t, "a"), anyOverride.Draw(t, "b"), anyOverride.Draw(t, "c")
		if ab, ba := a.Merge(b), b.Merge(a); ab != ba {
			t.Fatalf("merge of %v and %v = %v, in the other order %v, want the same", a, b, ab, ba)
		}
		if got := a.Merge(a); got != a {
			t.Fatalf("merge of %v with itself = %v, want it unchanged", a, got)
		}
		if left, right := a.Merge(b).Merge(c), a.Merge(b.Merge(c)); left != right {
			t.Fatalf("merge of %v, %v and %v = %v if the first two are merged first, else %v, want the same", a, b, c, left, right)
		}
		if a.At == b.At && a.Disabled && !a.Merge(b).Disabled {
			t.Fatalf("merge of %v and %v with the same time = %v, want the one that disables", a, b, a.Merge(b))
		}
	})
}

// setDisabled disables or enables an engine.
func setDisabled(t *Table, now time.Duration, id string, disable bool) (changed bool, err error) {
	methods := map[bool]func(time.Duration, string) (bool, error){true: t.Disable, false: t.Enable}
	return methods[disable](now, id)
}

// TestTable checks for any sequence of discovery entries and operators' calls that an engine is live exactly
// if it is live in discovery and not disabled, that an engine that is enabled again counts as started at
// that time, and that two processes that exchange their overrides end up with the same ones.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{
			table: New(), other: New(), now: 1,
			listed: map[string]policy.Engine{}, disabled: map[string]bool{}, enabledAt: map[string]time.Duration{},
		}
		t.Repeat(map[string]func(*rapid.T){"update": m.update, "set disabled": m.setDisabled, "exchange overrides": m.exchangeOverrides, "": m.check})
	})
}

// tableModel holds two tables under test, as of two processes, and the expected state of the first.
type tableModel struct {
	table, other *Table
	now          time.Duration
	listed       map[string]policy.Engine // last discovery entry of each engine
	disabled     map[string]bool          // whether an engine should be disabled
	enabledAt    map[string]time.Duration // time of the latest call that enabled a disabled engine
}

// ids and states generate the ids and discovery states of engines.
var (
	ids    = rapid.SampledFrom([]string{"a", "b", "c"})
	states = rapid.SampledFrom([]policy.EngineState{policy.EngineDeparted, policy.EngineDraining, policy.EngineLive})
)

// update passes an arbitrary discovery entry to both tables.
func (m *tableModel) update(t *rapid.T) {
	e := policy.Engine{ID: ids.Draw(t, "id"), State: states.Draw(t, "state")}
	if rapid.Bool().Draw(t, "start known") {
		e.StartKnown = true
		e.Started = m.now
	}
	m.listed[e.ID] = e
	m.table.Update(e)
	m.other.Update(e)
}

// setDisabled disables or enables an arbitrary engine in the first table and checks the result.
func (m *tableModel) setDisabled(t *rapid.T) {
	id, disable := ids.Draw(t, "id"), rapid.Bool().Draw(t, "disable")
	m.now++
	changed, err := setDisabled(m.table, m.now, id, disable)
	if known := m.listed[id].State != policy.EngineDeparted || m.disabled[id]; (err == nil) != known {
		t.Fatalf("error for engine %s = %v, want one exactly if it is unknown; known: %v", id, err, known)
	}
	if err != nil {
		return
	}
	if want := m.disabled[id] != disable; changed != want {
		t.Fatalf("changed = %v, want %v", changed, want)
	}
	if m.disabled[id] && !disable {
		m.enabledAt[id] = m.now
	}
	m.disabled[id] = disable
}

// exchangeOverrides merges the overrides of the first table into the second and checks that they agree.
func (m *tableModel) exchangeOverrides(t *rapid.T) {
	m.other.Merge(m.table.Overrides())
	if diff := cmp.Diff(m.table.Overrides(), m.other.Overrides()); diff != "" {
		t.Fatalf("overrides of the second table (-first +second):\n%s", diff)
	}
	if again := m.other.Merge(m.table.Overrides()); len(again) > 0 {
		t.Fatalf("engines changed by merging the same overrides again = %v, want none", again)
	}
}

// check compares the first table with the expected state.
func (m *tableModel) check(t *rapid.T) {
	listed := 0
	for id, e := range m.listed {
		if e.State != policy.EngineDeparted {
			listed++
		}
		if got := m.table.Disabled(id); got != m.disabled[id] {
			t.Fatalf("Disabled(%s) = %v, want %v", id, got, m.disabled[id])
		}
		got := m.table.Update(e)
		if live, want := got.State == policy.EngineLive, e.State == policy.EngineLive && !m.disabled[id]; live != want {
			t.Fatalf("state of %s = %v, want live: %v; in discovery %v, disabled %v", id, got.State, want, e.State, m.disabled[id])
		}
		at, enabled := m.enabledAt[id]
		if enabled && !m.disabled[id] && e.State != policy.EngineDeparted && (!got.StartKnown || got.Started < at && got.Started != e.Started) {
			t.Fatalf("start of %s, enabled at %v = %v (known: %v), want that time or later, or the start in discovery", id, at, got.Started, got.StartKnown)
		}
	}
	if got := m.table.ListedCount(); got != listed {
		t.Fatalf("ListedCount() = %d, want %d", got, listed)
	}
}

// TestTableIsBounded checks that the number of disabled engines is bounded, and that old overrides of
// engines that were enabled again are dropped.
func TestTableIsBounded(t *testing.T) {
	table := New()
	engineID := func(i int) string { return string(rune('\u4e00' + i)) }
	for i := range maxDisabled + 1 {
		table.Update(policy.Engine{ID: engineID(i), State: policy.EngineLive})
		if _, err := table.Disable(time.Duration(i+1), engineID(i)); (err != nil) != (i == maxDisabled) {
			t.Fatalf("error of Disable for engine %d = %v, want one for engine %d only", i, err, maxDisabled)
		}
	}
	for id := range maps.Clone(table.listed) {
		_, _ = table.Enable(time.Second, id)
	}
	if n := table.disabledCount(); n > 0 {
		t.Fatalf("disabled engines after all were enabled = %d, want 0", n)
	}
	if _, err := table.Disable(time.Second+2*enabledRetention, engineID(0)); err != nil || len(table.overrides) != 1 {
		t.Fatalf("overrides after the retention = %d, error %v, want 1 and no error", len(table.overrides), err)
	}
}
