package adminstate

import (
	"maps"
	"testing"
	"time"

	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var words = rapid.Custom(func(t *rapid.T) Override {
	return Override{
		Disabled: rapid.Bool().Draw(t, "out"), At: time.Duration(rapid.IntRange(1, 4).Draw(t, "at")),
		DisabledSince: time.Duration(rapid.IntRange(0, 2).Draw(t, "since")),
	}
})

// Processes that hear each other's words in any order, and any number of times, agree.
func TestWordsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := words.Draw(t, "a"), words.Draw(t, "b"), words.Draw(t, "c")
		if a.Merge(b) != b.Merge(a) || a.Merge(a) != a || a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("%v, %v and %v merge to different words", a, b, c)
		}
		if a.At == b.At && a.Disabled && !a.Merge(b).Disabled {
			t.Fatalf("of %v and %v at one moment the incautious one held", a, b)
		}
	})
}

// call disables or enables an engine.
func call(s *Table, now time.Duration, id string, disable bool) (changed bool, err error) {
	if disable {
		return s.Disable(now, id)
	}
	return s.Enable(now, id)
}

// Whatever the roster says and whoever calls, an engine is usable exactly if the roster says so
// and no call out stands; what comes back counts as fresh from then on; two processes that
// exchange their words end up with the same.
func TestStanding(t *testing.T) {
	ids := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		s, other := New(), New()
		roster, banned, back := map[string]policy.Engine{}, map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(1)
		heard := map[string]policy.Engine{}
		t.Repeat(map[string]func(*rapid.T){
			"roster": func(t *rapid.T) {
				e := policy.Engine{ID: ids.Draw(t, "id"), State: rapid.SampledFrom([]policy.EngineState{policy.EngineDeparted, policy.EngineDraining, policy.EngineLive}).Draw(t, "state")}
				if rapid.Bool().Draw(t, "fresh") {
					e.StartKnown, e.Started = true, now
				}
				roster[e.ID], heard[e.ID] = e, s.Update(e)
				other.Update(e)
			},
			"call": func(t *rapid.T) {
				id, out := ids.Draw(t, "id"), rapid.Bool().Draw(t, "out")
				now++
				changed, err := call(s, now, id, out)
				if known := roster[id].State != policy.EngineDeparted || banned[id]; (err == nil) != known {
					t.Fatalf("%s is known: %v; the call said %v", id, known, err)
				}
				if err != nil {
					return
				}
				if changed != (banned[id] != out) {
					t.Fatalf("changed: %v", changed)
				}
				if banned[id] && !out {
					back[id] = now
				}
				banned[id] = out
				heard[id] = s.Update(roster[id])
			},
			"share": func(t *rapid.T) {
				other.Merge(s.Overrides())
				if diff := cmp.Diff(s.Overrides(), other.Overrides()); diff != "" {
					t.Fatalf("processes disagree: %s", diff)
				}
				if again := other.Merge(s.Overrides()); len(again) > 0 {
					t.Fatalf("told again, %v changed", again)
				}
			},
			"": func(t *rapid.T) {
				listed := 0
				for id, e := range roster {
					if e.State != policy.EngineDeparted {
						listed++
					}
					if s.Disabled(id) != banned[id] {
						t.Fatalf("%s barred: %v", id, s.Disabled(id))
					}
					got := s.Update(e)
					if usable := got.State == policy.EngineLive; usable != (e.State == policy.EngineLive && !banned[id]) {
						t.Fatalf("%s stands %v; the roster says %v, banned %v", id, got.State, e.State, banned[id])
					}
					if at, ok := back[id]; ok && !banned[id] && e.State != policy.EngineDeparted && (!got.StartKnown || got.Started < at && got.Started != e.Started) {
						t.Fatalf("%s came back at %v and counts as started at %v (%v)", id, at, got.Started, got.StartKnown)
					}
				}
				if s.ListedCount() != listed {
					t.Fatalf("%d listed, not %d", s.ListedCount(), listed)
				}
			},
		})
	})
}

// What callers can make the program keep is bounded, and calls back are forgotten in time.
func TestStandingIsBounded(t *testing.T) {
	s := New()
	for i := range mostBans + 1 {
		id := string(rune('\u4e00' + i))
		s.Update(policy.Engine{ID: id, State: policy.EngineLive})
		if _, err := s.Disable(time.Duration(i+1), id); (err != nil) != (i == mostBans) {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	for id := range maps.Clone(s.listed) {
		_, _ = s.Enable(time.Second, id)
	}
	if s.out() > 0 {
		t.Fatalf("%d are out", s.out())
	}
	if _, err := s.Disable(time.Second+2*backFor, string(rune('\u4e00'))); err != nil || len(s.bans) != 1 {
		t.Fatalf("%d words kept, %v", len(s.bans), err)
	}
}
