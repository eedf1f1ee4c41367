package policy_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gannetspur/policy"
)

const replaySecond = time.Second

// analytics resembles a deployment of fast lookups, reports and loads whose engines tell much.
func analytics() policy.Settings {
	return policy.Settings{
		Gateways: 3, Rank: 2, Zone: "a", OverShare: 0.2, NoteEvery: 500 * time.Millisecond,
		GrantsHeeded: true, PriorityHeeds: true, MostGrant: 0.4, Short: policy.ShortWait, CostTold: true, LoadTold: true,
		Round: 5 * time.Millisecond,
		Kinds: []policy.Kind{{Name: "std-8", Cores: 8, MemoryMB: 16384}, {Name: "big-16", Cores: 16, MemoryMB: 65536}},
		Classes: []policy.Class{
			{Name: "lookup", Aim: 1200 * time.Millisecond, Stretch: 1.5, Deadline: 6 * replaySecond, Worth: 1, LateShare: 0.1,
				Threads: 1, Effect: policy.Safe, Group: policy.GroupAll, WaitsOnLoad: true},
			{Name: "report", Aim: 2 * replaySecond, Stretch: 2.5, Deadline: 25 * replaySecond, Worth: 4, LateShare: 0.3,
				Threads: 3, Effect: policy.Safe, Group: policy.GroupAll, Stream: true},
			{Name: "load", Aim: 4 * replaySecond, Stretch: 2.5, Deadline: 20 * replaySecond, Worth: 5, LateShare: 0.5,
				Threads: 2, Effect: policy.Keyed, Group: policy.GroupAll, Window: 12 * replaySecond, Load: true},
			{Name: "write", Aim: 2 * replaySecond, Stretch: 2.5, Deadline: 20 * replaySecond, Worth: 4, LateShare: 0.5,
				Threads: 2, Effect: policy.Unsafe, WaitsOnLoad: true},
		},
		Tenants: []policy.Tenant{{Name: "t0", Quota: 20, Share: 0.5}, {Name: "t1", Quota: 10, Share: 0.3}, {Name: "t2", Quota: 5, Share: 0.2}},
		Rules: policy.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: 2 * replaySecond, ColdStart: 0.33, ColdFor: 15 * replaySecond,
			TipMultiple: 2.5, TipFor: replaySecond, Settle: 700 * time.Millisecond, ExtraFree: 5, ExtraShare: 0.2, LookBack: 10 * replaySecond},
		Limits: policy.Limits{Tries: 3, Copies: true, Cancel: true, Probes: true, ComeBack: true, MostComeBack: 2 * replaySecond,
			ConnectWithin: replaySecond},
		Goal:   policy.Goal{Whole: 0.6, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.1},
		Prices: policy.Prices{CrossZone: 0.01, Waste: 0.02, LateFail: 0.1, Probe: 0.001},
	}
}

// orders resembles a deployment of keyed and ordered writes whose engines tell nothing.
func orders() policy.Settings {
	return policy.Settings{
		Gateways: 6, Zone: "b", Round: 10 * time.Millisecond, Short: policy.ShortTrim, ListAsked: true,
		Kinds: []policy.Kind{{Name: "k", Cores: 4, MemoryMB: 4096}},
		Classes: []policy.Class{
			{Name: "read", Aim: 300 * time.Millisecond, Deadline: 2 * replaySecond, Worth: 1, Threads: 1, Effect: policy.Safe},
			{Name: "keyed-cell", Aim: replaySecond, Deadline: 9 * replaySecond, Worth: 5, Threads: 2, Effect: policy.Keyed, Group: policy.GroupCell, Window: 3 * replaySecond},
			{Name: "keyed-zone", Aim: replaySecond, Deadline: 9 * replaySecond, Worth: 2, Threads: 1, Effect: policy.Keyed, Group: policy.GroupZone, Window: 3 * replaySecond, InOrder: true},
			{Name: "append", Aim: replaySecond, Deadline: 9 * replaySecond, Worth: 3, Threads: 1, Effect: policy.Unsafe, InOrder: true},
			{Name: "placed", Aim: replaySecond, Stretch: 2, Deadline: 9 * replaySecond, Worth: 1, Threads: 0, Effect: policy.Safe, Zones: []string{"b", "c"}, Kinds: []string{"k"}},
		},
		Rules: policy.Rules{ColdStart: 0.3, ColdFor: 10 * replaySecond, TipMultiple: 3, TipFor: 2 * replaySecond, Settle: 700 * time.Millisecond,
			ExtraFree: 3, ExtraShare: 0.1, LookBack: 5 * replaySecond, AskListWithin: replaySecond},
		Limits: policy.Limits{Tries: 4, Cancel: true, ComeBack: true, MostComeBack: replaySecond},
	}
}

func changed(s policy.Settings, change func(*policy.Settings)) policy.Settings {
	change(&s)
	return s
}

func scenarios() []scenario {
	fourWays, fiveWays := []float64{0.7, 0.15, 0.1, 0.05}, []float64{0.45, 0.15, 0.15, 0.15, 0.1}
	return []scenario{
		{name: "analytics", seed: 1, settings: analytics(), engines: 9, duration: 150 * replaySecond, rate: 50, classMix: fourWays, estimate: 0.9, held: true, faults: 1},
		{name: "analytics-no-notes", seed: 2, engines: 9, duration: 120 * replaySecond, rate: 50, classMix: fourWays, estimate: 0.9, held: true, faults: 1,
			settings: changed(analytics(), func(s *policy.Settings) { s.NoteEvery, s.Rules.LookBack = 0, 0 })},
		{name: "analytics-trim", seed: 3, engines: 9, duration: 100 * replaySecond, rate: 60, classMix: fourWays, estimate: 0.7, faults: 2,
			settings: changed(analytics(), func(s *policy.Settings) {
				s.Short, s.Limits.Probes, s.Limits.Copies, s.Rules.LookBack = policy.ShortTrim, false, false, 0
			})},
		{name: "analytics-swap", seed: 4, engines: 5, duration: 100 * replaySecond, rate: 40, classMix: fourWays, estimate: 0.4, held: true, faults: 1,
			settings: changed(analytics(), func(s *policy.Settings) { s.Short, s.Rank, s.Tenants = policy.ShortSwap, 0, nil })},
		{name: "analytics-untold", seed: 5, engines: 12, duration: 100 * replaySecond, rate: 70, classMix: fourWays, estimate: 0.5, faults: 1,
			settings: changed(analytics(), func(s *policy.Settings) {
				s.CostTold, s.LoadTold, s.GrantsHeeded, s.Limits.Cancel = false, false, true, false
			})},
		{name: "analytics-alone", seed: 6, engines: 4, duration: 100 * replaySecond, rate: 90, classMix: fourWays, held: true, faults: 0.2,
			settings: changed(analytics(), func(s *policy.Settings) { s.Gateways, s.Rank, s.PriorityHeeds = 1, 1, false })},
		{name: "analytics-many-gateways", seed: 7, engines: 30, duration: 100 * replaySecond, rate: 20, classMix: fourWays, estimate: 1, held: true, faults: 1,
			settings: changed(analytics(), func(s *policy.Settings) { s.Gateways, s.Rank, s.Limits.Copies = 100, 37, false })},
		{name: "orders", seed: 8, settings: orders(), engines: 12, duration: 150 * replaySecond, rate: 60, classMix: fiveWays, faults: 1},
		{name: "orders-notes", seed: 9, engines: 12, duration: 120 * replaySecond, rate: 50, classMix: fiveWays, faults: 2, held: true,
			settings: changed(orders(), func(s *policy.Settings) {
				s.NoteEvery, s.Short, s.LoadTold, s.Rules.LookBack = 250*time.Millisecond, policy.ShortWait, true, 0
			})},
		{name: "orders-never-cold", seed: 10, engines: 6, duration: 100 * replaySecond, rate: 50, classMix: fiveWays, faults: 3,
			settings: changed(orders(), func(s *policy.Settings) {
				s.Rules.TipFor, s.Limits.Copies, s.Limits.Tries, s.Limits.ComeBack = 0, true, 0, false
			})},
	}
}

// writeLearned journals a snapshot under names of its own, with its maps in the order of their keys.
func (w *replayWorld) writeLearned(l policy.Learned) {
	loop := func(k policy.LearnedLoop) string {
		return fmt.Sprintf("%s %s %s %s %d", number(k.Bound), number(k.Alpha), number(k.Level), number(k.Slow), int64(k.Pressed))
	}
	w.journal(fmt.Sprintf("all %s %s %s %s %s %s %s %s %d", loop(l.Fleet), number(l.SetSum), number(l.Dear), number(l.Load),
		number(l.Mine), number(l.Theirs), number(l.Rate), number(l.Width), l.Ticked))
	for _, set := range slices.Sorted(maps.Keys(l.Sets)) {
		w.journal(fmt.Sprintf("set %d %s", set, number(l.Sets[set])))
	}
	for _, c := range l.Classes {
		w.journal(fmt.Sprintf("class %s %d %s %s %s %s %s %s %s", c.Name, c.N, number(c.Latency), number(c.Quick), number(c.Work),
			number(c.Spread), number(c.Guess), number(c.Grant), number(c.Ample)))
	}
	for _, e := range l.Engines {
		w.journal(fmt.Sprintf("engine %s %s %s %d %d %s %d %d %d %d %d %d %d %d %d", e.ID, e.Zone, e.Kind, e.Cell, e.State, loop(e.Loop),
			int64(e.Begun), int64(e.ColdUntil), int64(e.ColdTold), int64(e.ColdNext), int64(e.ColdWas), int64(e.Heard), int64(e.ToldAt),
			int64(e.LostAt), int64(e.TrialAt)))
		w.journal(fmt.Sprintf("%s %s %s %t %t %t %t", number(e.Draw), number(e.Load), number(e.Faults), e.Doubted, e.Erring, e.Suspected,
			w.gateway.Avoids(e.ID)))
		for _, class := range slices.Sorted(maps.Keys(e.Mute)) {
			w.journal(fmt.Sprintf("mute %s %d", class, int64(e.Mute[class])))
		}
		for _, set := range slices.Sorted(maps.Keys(e.Held)) {
			w.journal(fmt.Sprintf("held %d %d", set, int64(e.Held[set])))
		}
		for _, class := range slices.Sorted(maps.Keys(e.Lost)) {
			w.journal(fmt.Sprintf("lost %s %d", class, e.Lost[class]))
		}
	}
}

// TestReplay plays seeded scenarios and compares a digest of all actions with the one that commit
// c18a9bd gave: a change of structure must not change one decision.
func TestReplay(t *testing.T) {
	file, err := os.Open("testdata/replay.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	want := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, rest, _ := strings.Cut(lines.Text(), " ")
		want[name] = rest
	}
	if len(want) != len(scenarios()) {
		t.Errorf("testdata/replay.txt has %d digests, want %d", len(want), len(scenarios()))
	}
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			digest := sha256.New()
			w := newReplayWorld(s, func(line string) { _, _ = io.WriteString(digest, line+"\n") })
			w.run()
			got := fmt.Sprintf("%d events, %d actions, %s", w.events, w.actions, hex.EncodeToString(digest.Sum(nil)))
			if got != want[s.name] {
				t.Errorf("replay = %s, want %s", got, want[s.name])
			}
		})
	}
}
