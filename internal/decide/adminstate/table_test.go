package adminstate

import (
	"maps"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var anyOverride = rapid.Custom(func(t *rapid.T) Override {
	return Override{
		Disabled: rapid.Bool().Draw(t, "disabled"), At: time.Duration(rapid.IntRange(1, 4).Draw(t, "at")),
		DisabledSince: time.Duration(rapid.IntRange(0, 2).Draw(t, "since")),
	}
})

// Processes that merge each other's overrides in any order, and any number of times, agree.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyOverride.Draw(t, "a"), anyOverride.Draw(t, "b"), anyOverride.Draw(t, "c")
		if a.Merge(b) != b.Merge(a) || a.Merge(a) != a || a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("%v, %v and %v merge differently by order", a, b, c)
		}
		if a.At == b.At && a.Disabled && !a.Merge(b).Disabled {
			t.Fatalf("of %v and %v at the same time the one that does not disable held", a, b)
		}
	})
}

// setDisabled disables or enables an engine.
func setDisabled(t *Table, now time.Duration, id string, disable bool) (changed bool, err error) {
	byDisable := map[bool]func(time.Duration, string) (bool, error){true: t.Disable, false: t.Enable}
	return byDisable[disable](now, id)
}

// Whatever discovery lists and whoever calls, an engine is usable exactly if discovery says so and
// it is not disabled; one that is enabled again counts as started from then on; two processes that
// exchange their overrides end up with the same.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &tableModel{
			table: New(), other: New(), now: 1,
			listed: map[string]policy.Engine{}, disabled: map[string]bool{}, enabledAt: map[string]time.Duration{},
		}
		t.Repeat(map[string]func(*rapid.T){"discovery": m.discovery, "call": m.setDisabled, "share": m.exchangeOverrides, "": m.check})
	})
}

// tableModel is what a table should say, beside the table and that of another process.
type tableModel struct {
	table, other *Table
	now          time.Duration
	listed       map[string]policy.Engine
	disabled     map[string]bool
	enabledAt    map[string]time.Duration // of engines that were enabled again
}

var (
	ids    = rapid.SampledFrom([]string{"a", "b", "c"})
	states = rapid.SampledFrom([]policy.EngineState{policy.EngineDeparted, policy.EngineDraining, policy.EngineLive})
)

func (m *tableModel) discovery(t *rapid.T) {
	e := policy.Engine{ID: ids.Draw(t, "id"), State: states.Draw(t, "state")}
	if rapid.Bool().Draw(t, "start known") {
		e.StartKnown = true
		e.Started = m.now
	}
	m.listed[e.ID] = e
	m.table.Update(e)
	m.other.Update(e)
}

func (m *tableModel) setDisabled(t *rapid.T) {
	id, disable := ids.Draw(t, "id"), rapid.Bool().Draw(t, "disable")
	m.now++
	changed, err := setDisabled(m.table, m.now, id, disable)
	if known := m.listed[id].State != policy.EngineDeparted || m.disabled[id]; (err == nil) != known {
		t.Fatalf("engine %s known: %v, error of the call: %v", id, known, err)
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

func (m *tableModel) exchangeOverrides(t *rapid.T) {
	m.other.Merge(m.table.Overrides())
	if diff := cmp.Diff(m.table.Overrides(), m.other.Overrides()); diff != "" {
		t.Fatalf("processes disagree: %s", diff)
	}
	if again := m.other.Merge(m.table.Overrides()); len(again) > 0 {
		t.Fatalf("merged again, %v changed", again)
	}
}

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
		if usable := got.State == policy.EngineLive; usable != (e.State == policy.EngineLive && !m.disabled[id]) {
			t.Fatalf("state of %s = %v; discovery says %v, disabled %v", id, got.State, e.State, m.disabled[id])
		}
		at, enabled := m.enabledAt[id]
		if enabled && !m.disabled[id] && e.State != policy.EngineDeparted && (!got.StartKnown || got.Started < at && got.Started != e.Started) {
			t.Fatalf("%s was enabled at %v and counts as started at %v (known: %v)", id, at, got.Started, got.StartKnown)
		}
	}
	if got := m.table.ListedCount(); got != listed {
		t.Fatalf("ListedCount() = %d, want %d", got, listed)
	}
}

// What callers can make the program keep is bounded, and old overrides that enable are dropped.
func TestTableIsBounded(t *testing.T) {
	table := New()
	nth := func(i int) string { return string(rune('\u4e00' + i)) }
	for i := range maxDisabled + 1 {
		table.Update(policy.Engine{ID: nth(i), State: policy.EngineLive})
		if _, err := table.Disable(time.Duration(i+1), nth(i)); (err != nil) != (i == maxDisabled) {
			t.Fatalf("error of call %d: %v", i, err)
		}
	}
	for id := range maps.Clone(table.listed) {
		_, _ = table.Enable(time.Second, id)
	}
	if n := table.disabledCount(); n > 0 {
		t.Fatalf("%d engines disabled, want none", n)
	}
	if _, err := table.Disable(time.Second+2*enabledRetention, nth(0)); err != nil || len(table.overrides) != 1 {
		t.Fatalf("%d overrides kept, want 1; error %v", len(table.overrides), err)
	}
}
