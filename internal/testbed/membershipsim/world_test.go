package membershipsim

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// scenario is one test case: the events after the start-up, and the permitted and expected outcome.
type scenario struct {
	name        string
	members     int           // number of members, with the ids 1 to members
	loss        float64       // share of lost datagrams, 0 to 1
	events      []Event       // timed from the end of the start-up, when all views agree
	span        time.Duration // time from the end of the start-up until all views must agree again
	removed     []decide.ID   // members in nobody's view at the end; unless in unreachable, they may be reported dead
	reportable  []decide.ID   // further members that may be reported dead or unreachable meanwhile
	unreachable []decide.ID   // members that may be reported unreachable, but never dead, even if they are in removed
	maxChanges  int           // maximum number of view changes at one member
}

// idRange returns the ids from the first to the last, both included.
func idRange(from, to decide.ID) (ids []decide.ID) {
	for id := from; id <= to; id++ {
		ids = append(ids, id)
	}
	return ids
}

// without returns all ids except the excluded ones.
func without(all []decide.ID, excluded ...decide.ID) (ids []decide.ID) {
	for _, id := range all {
		if !slices.Contains(excluded, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// second keeps the tables of events short.
const second = time.Second

// scenarios returns all test cases.
func scenarios() []scenario {
	partition := func(at time.Duration, a, b []decide.ID) []Event {
		return []Event{{At: at, Do: Sever, Who: a, To: b}, {At: at, Do: Sever, Who: b, To: a}}
	}
	healAll := func(at time.Duration) []Event { return []Event{{At: at, Do: Mend, Who: idRange(1, 40)}} }
	var ring, restarts, pauses, replacements []Event
	for id := decide.ID(1); id <= 12; id++ { // each receives only from the member before it
		ring = append(ring, Event{At: 0, Do: Sever, Who: without(idRange(1, 12), (id+10)%12+1), To: []decide.ID{id}})
	}
	for n := range 10 {
		at := time.Duration(n) * 1500 * time.Millisecond
		restarts = append(restarts, Event{At: at, Do: Crash, Who: []decide.ID{3, 5}}, Event{At: at + 300*time.Millisecond, Do: Start, Who: []decide.ID{3, 5}})
	}
	for id := decide.ID(1); id <= 6; id++ {
		pauses = append(pauses, Event{At: time.Duration(id) * 4 * second, Do: Pause, Who: []decide.ID{id}, For: 10 * second})
	}
	for id := decide.ID(1); id <= 12; id++ { // replaces all processes except that of member 3, which has crashed
		if id != 3 {
			replacements = append(replacements, Event{At: 8*second + time.Duration(id)*second, Do: Replace, Who: []decide.ID{id}, For: second / 5})
		}
	}
	restart := func(at time.Duration, id decide.ID) []Event {
		return []Event{{At: at, Do: Crash, Who: []decide.ID{id}}, {At: at + second/2, Do: Start, Who: []decide.ID{id}}}
	}
	return []scenario{
		{name: "one of twelve members crashes", members: 12, events: []Event{{At: 0, Do: Crash, Who: idRange(2, 2)}}, span: 5 * second, removed: idRange(2, 2), maxChanges: 1},
		{name: "one of three members crashes", members: 3, events: []Event{{At: 0, Do: Crash, Who: idRange(2, 2)}}, span: 5 * second, removed: idRange(2, 2), maxChanges: 1},
		{name: "graceful stop", members: 12, events: []Event{{At: 0, Do: Stop, Who: idRange(2, 2)}}, span: 2 * second, removed: idRange(2, 2), maxChanges: 1},
		{name: "pause longer than any timeout", members: 12, events: []Event{{At: 0, Do: Pause, Who: idRange(2, 2), For: 10 * second}}, span: 20 * second, reportable: idRange(2, 2), maxChanges: 2},
		{name: "half of the members paused one after the other", members: 12, events: pauses, span: 45 * second, reportable: idRange(1, 6), maxChanges: 12},
		{name: "half of the members paused at once", members: 12, events: []Event{{At: 0, Do: Pause, Who: idRange(1, 6), For: 10 * second}}, span: 25 * second, unreachable: idRange(1, 12), maxChanges: 3},
		{name: "one member sends but receives nothing", members: 12, events: []Event{{At: 0, Do: Sever, Who: without(idRange(1, 12), 2), To: idRange(2, 2)}}, span: 20 * second},
		{name: "one member receives but none of its datagrams arrive", members: 12, events: []Event{{At: 0, Do: Sever, Who: idRange(2, 2)}}, span: 20 * second, reportable: idRange(2, 2), removed: idRange(2, 2), maxChanges: 1},
		{name: "one member receives from only one other", members: 12, events: []Event{{At: 0, Do: Sever, Who: without(idRange(1, 12), 2, 3), To: idRange(2, 2)}}, span: 20 * second},
		{name: "one path in one direction fails", members: 12, events: []Event{{At: 0, Do: Sever, Who: idRange(3, 3), To: idRange(2, 2)}}, span: 20 * second},
		{name: "a third of the members does not receive from one", members: 12, events: []Event{{At: 0, Do: Sever, Who: idRange(3, 3), To: idRange(4, 7)}}, span: 20 * second},
		{name: "each member receives only from the one before it", members: 12, events: append(ring, healAll(20*second)...), span: 45 * second, unreachable: idRange(1, 12), maxChanges: 6},
		{name: "partition into two halves", members: 12, events: append(partition(0, idRange(1, 6), idRange(7, 12)), healAll(15*second)...), span: 40 * second, unreachable: idRange(1, 12), maxChanges: 2},
		{name: "partition into a third and two thirds", members: 12, events: append(partition(0, idRange(1, 4), idRange(5, 12)), healAll(15*second)...), span: 40 * second, reportable: idRange(1, 4), unreachable: idRange(5, 12), maxChanges: 2},
		{name: "partition into three parts, healed in a different order", members: 12, events: slices.Concat(partition(0, idRange(1, 4), idRange(5, 12)), partition(0, idRange(5, 8), idRange(9, 12)),
			[]Event{{At: 15 * second, Do: Mend, Who: idRange(9, 12), To: idRange(1, 4)}, {At: 15 * second, Do: Mend, Who: idRange(1, 4), To: idRange(9, 12)}}, healAll(30*second)), span: 55 * second, reportable: idRange(5, 8), unreachable: append(idRange(1, 4), idRange(9, 12)...), maxChanges: 6},
		{name: "30 % loss in both directions, and a crash", members: 12, loss: 0.3, events: []Event{{At: 30 * second, Do: Crash, Who: idRange(2, 2)}}, span: 60 * second, removed: idRange(2, 2), maxChanges: 1},
		{name: "extra latency of 2 s to and from one member", members: 12, events: []Event{{At: 0, Do: Slow, Who: idRange(2, 2), For: 2 * second}, {At: 0, Do: Slow, Who: idRange(1, 12), To: idRange(2, 2), For: 2 * second}}, span: 30 * second},
		{name: "extra latency of 2 s between all members", members: 12, events: []Event{{At: 0, Do: Slow, Who: idRange(1, 12), For: 2 * second}}, span: 30 * second},
		{name: "repeated restarts of two members", members: 12, events: restarts, span: 40 * second, reportable: []decide.ID{3, 5}, maxChanges: 20},
		{name: "clocks jump ahead by an hour", members: 12, events: []Event{{At: 0, Do: Jump, Who: idRange(2, 2), For: time.Hour}, {At: 3 * second, Do: Jump, Who: idRange(3, 6), For: time.Hour}}, span: 15 * second},
		{name: "a clock jumps ahead after another member crashes", members: 12, events: []Event{{At: 0, Do: Crash, Who: idRange(3, 3)}, {At: second, Do: Jump, Who: idRange(2, 2), For: 24 * time.Hour}}, span: 12 * second, removed: idRange(3, 3), maxChanges: 2},
		{name: "replacement of a process", members: 12, events: []Event{{At: 0, Do: Replace, Who: idRange(2, 2), For: second}}, span: 15 * second},
		{name: "repeated replacements of processes", members: 12, events: []Event{
			{At: 0, Do: Replace, Who: idRange(2, 4), For: 2 * second}, {At: 3 * second, Do: Replace, Who: idRange(2, 4), For: second}, {At: 5 * second, Do: Replace, Who: idRange(2, 2), For: second},
		}, span: 25 * second},
		{name: "crash of a member during its replacement", members: 12, events: []Event{{At: 0, Do: Replace, Who: idRange(2, 2), For: 2 * second}, {At: second / 2, Do: Crash, Who: idRange(2, 2)}}, span: 20 * second},
		{name: "crash of a member long before its replacement takes over", members: 12, events: []Event{{At: 0, Do: Replace, Who: idRange(2, 2), For: 9 * second}, {At: second / 2, Do: Crash, Who: idRange(2, 2)}}, span: 30 * second, reportable: idRange(2, 2), maxChanges: 2},
		{name: "crash of another member during a replacement", members: 12, events: []Event{{At: 0, Do: Replace, Who: idRange(2, 2), For: 4 * second}, {At: 0, Do: Crash, Who: idRange(3, 3)}}, span: 20 * second, removed: idRange(3, 3), maxChanges: 2},
		{name: "restart after all members that reported a death were replaced", members: 12, events: slices.Concat([]Event{{At: 0, Do: Crash, Who: idRange(3, 3)}}, replacements, restart(25*second, 2)),
			span: 45 * second, reportable: idRange(2, 2), removed: idRange(3, 3), maxChanges: 4},
		{name: "restart during a crash, and a witness of the crash leaves", members: 5, events: slices.Concat([]Event{{At: 0, Do: Crash, Who: idRange(5, 5)}}, restart(2*second, 2),
			[]Event{{At: 3 * second, Do: Replace, Who: idRange(4, 4), For: second / 10}, {At: 6 * second, Do: Stop, Who: idRange(1, 1)}}), span: 30 * second, reportable: idRange(2, 2),
			removed: []decide.ID{1, 5}, maxChanges: 5},
		{name: "70 % of the members crash at once", members: 40, events: []Event{{At: 0, Do: Crash, Who: idRange(13, 40)}}, span: 20 * second, unreachable: idRange(13, 40), removed: idRange(13, 40), maxChanges: 3},
		{name: "30 % of the members crash at once", members: 40, events: []Event{{At: 0, Do: Crash, Who: idRange(29, 40)}}, span: 8 * second, removed: idRange(29, 40), maxChanges: 3},
	}
}

// runScenario runs a scenario and returns its violations.
func runScenario(sc scenario, seed uint64) (violations []string) {
	const startUp = 20 * second // by then, all views agree
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	changes := map[decide.ID]int{}
	reportedDown := map[string]bool{} // by process and subject: the latest report says that the subject is out of the view
	var w *World
	opts := Options{
		Members: sc.members, Seed: seed, Loss: sc.loss, Duplicated: 0.02, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, NewMember: Ours,
		OnAction: func(now time.Duration, at decide.ID, a decide.Action) {
			if now < startUp {
				return
			}
			switch a := a.(type) {
			case decide.ViewChanged:
				changes[at]++
			case decide.MemberReport:
				if by := fmt.Sprintf("process %d of member %d reports that member %d", w.nodes[at].generation, at, a.Member); slices.Contains(sc.removed, a.Member) {
					if a.State.InView() && reportedDown[by] {
						report("%v: %s is %s, want no such report after it reported that it is down", now-startUp, by, a.State)
					}
					reportedDown[by] = !a.State.InView()
				}
				switch {
				case a.State == decide.Dead && !slices.Contains(sc.removed, a.Member) && !slices.Contains(sc.reportable, a.Member),
					a.State == decide.Dead && slices.Contains(sc.unreachable, a.Member),
					a.State == decide.Unreachable && !slices.Contains(slices.Concat(sc.removed, sc.reportable, sc.unreachable), a.Member):
					report("%v: member %d reports member %d as %s (reason %s, witnesses %v), want no such report", now-startUp, at, a.Member, a.State, a.Reason, a.Witnesses)
				}
			}
		},
	}
	for _, e := range sc.events {
		e.At += startUp
		opts.Events = append(opts.Events, e)
	}
	w = New(opts)
	w.Run(startUp)
	w.Run(startUp + sc.span)
	want := without(w.All(), sc.removed...)
	for _, id := range want {
		m, ok := w.Member(id).(*decide.Node)
		if !ok {
			report("member %d is not running at the end, want it running", id)
			continue
		}
		var got []decide.ID
		for _, o := range w.All() {
			if state, _, _ := m.State(o); state.InView() {
				got = append(got, o)
			}
		}
		if v, _ := m.View(); !slices.Equal(got, want) || v.Size != len(want) {
			report("at the end, member %d has members %v (view %v), want %v", id, got, v, want)
		}
		if changes[id] > sc.maxChanges {
			report("member %d had %d view changes, want at most %d", id, changes[id], sc.maxChanges)
		}
	}
	return violations
}

// In each scenario and for each seed, members report as dead or unreachable only the members that the scenario permits, no
// view changes more often than permitted, and all views agree at the end.
func TestStories(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				violations := runScenario(sc, seed)
				for _, v := range violations[:min(len(violations), 3)] {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// The same seed gives byte-for-byte the same reports in the same order.
func TestSameSeedSameBytes(t *testing.T) {
	run := func() string {
		h := sha256.New()
		opts := Options{
			Members: 30, Seed: 4, Loss: 0.2, Duplicated: 0.02, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, NewMember: Ours,
			Events:   []Event{{At: 12 * second, Do: Crash, Who: idRange(1, 20)}, {At: 20 * second, Do: Start, Who: idRange(1, 10)}},
			OnAction: func(now time.Duration, at decide.ID, a decide.Action) { fmt.Fprintln(h, now, at, a) },
		}
		w := New(opts)
		w.Run(35 * second)
		fmt.Fprintln(h, w.Bytes, w.Datagrams)
		return fmt.Sprintf("%x", h.Sum(nil))
	}
	first := run()
	for range 3 {
		if again := run(); again != first {
			t.Fatalf("got digest %s, want %s as in the first run", again, first)
		}
	}
}
