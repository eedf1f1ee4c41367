package membershipsim

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// story is one test scenario: the events after all views agree, and the expected outcome.
type story struct {
	name    string
	members int
	loss    float64
	events  []Event       // from the time on when all have found each other
	span    time.Duration // until then it has settled
	gone    []decide.ID   // in the end, in nobody's view
	may     []decide.ID   // whom others may call dead or lost meanwhile; gone are among them
	lost    []decide.ID   // whom they may call lost, and never dead
	changes int           // of the view that one member may have, at most
}

func seq(from, to decide.ID) (ids []decide.ID) {
	for id := from; id <= to; id++ {
		ids = append(ids, id)
	}
	return ids
}

func except(all []decide.ID, but ...decide.ID) (ids []decide.ID) {
	for _, id := range all {
		if !slices.Contains(but, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

const s = time.Second

func stories() []story {
	cut := func(at time.Duration, a, b []decide.ID) []Event {
		return []Event{{At: at, Do: Sever, Who: a, To: b}, {At: at, Do: Sever, Who: b, To: a}}
	}
	mend := func(at time.Duration) []Event { return []Event{{At: at, Do: Mend, Who: seq(1, 40)}} }
	var ring, storm, turns, anew []Event
	for id := decide.ID(1); id <= 12; id++ { // each hears the one before it alone
		ring = append(ring, Event{At: 0, Do: Sever, Who: except(seq(1, 12), (id+10)%12+1), To: []decide.ID{id}})
	}
	for n := range 10 {
		at := time.Duration(n) * 1500 * time.Millisecond
		storm = append(storm, Event{At: at, Do: Crash, Who: []decide.ID{3, 5}}, Event{At: at + 300*time.Millisecond, Do: Start, Who: []decide.ID{3, 5}})
	}
	for id := decide.ID(1); id <= 6; id++ {
		turns = append(turns, Event{At: time.Duration(id) * 4 * s, Do: Pause, Who: []decide.ID{id}, For: 10 * s})
	}
	for id := decide.ID(1); id <= 12; id++ { // all processes but 3's, which has died
		if id != 3 {
			anew = append(anew, Event{At: 8*s + time.Duration(id)*s, Do: Replace, Who: []decide.ID{id}, For: s / 5})
		}
	}
	starts := func(at time.Duration, id decide.ID) []Event {
		return []Event{{At: at, Do: Crash, Who: []decide.ID{id}}, {At: at + s/2, Do: Start, Who: []decide.ID{id}}}
	}
	return []story{
		{name: "one dies", members: 12, events: []Event{{At: 0, Do: Crash, Who: seq(2, 2)}}, span: 5 * s, gone: seq(2, 2), changes: 1},
		{name: "one of three dies", members: 3, events: []Event{{At: 0, Do: Crash, Who: seq(2, 2)}}, span: 5 * s, gone: seq(2, 2), changes: 1},
		{name: "a planned stop", members: 12, events: []Event{{At: 0, Do: Stop, Who: seq(2, 2)}}, span: 2 * s, gone: seq(2, 2), changes: 1},
		{name: "a pause longer than any time-out", members: 12, events: []Event{{At: 0, Do: Pause, Who: seq(2, 2), For: 10 * s}}, span: 20 * s, may: seq(2, 2), changes: 2},
		{name: "half paused in turn", members: 12, events: turns, span: 45 * s, may: seq(1, 6), changes: 12},
		{name: "half paused at once", members: 12, events: []Event{{At: 0, Do: Pause, Who: seq(1, 6), For: 10 * s}}, span: 25 * s, lost: seq(1, 12), changes: 3},
		{name: "one sends and hears nothing", members: 12, events: []Event{{At: 0, Do: Sever, Who: except(seq(1, 12), 2), To: seq(2, 2)}}, span: 20 * s},
		{name: "one hears and is not heard", members: 12, events: []Event{{At: 0, Do: Sever, Who: seq(2, 2)}}, span: 20 * s, may: seq(2, 2), gone: seq(2, 2), changes: 1},
		{name: "one hears another alone", members: 12, events: []Event{{At: 0, Do: Sever, Who: except(seq(1, 12), 2, 3), To: seq(2, 2)}}, span: 20 * s},
		{name: "one does not hear another", members: 12, events: []Event{{At: 0, Do: Sever, Who: seq(3, 3), To: seq(2, 2)}}, span: 20 * s},
		{name: "a third does not hear one", members: 12, events: []Event{{At: 0, Do: Sever, Who: seq(3, 3), To: seq(4, 7)}}, span: 20 * s},
		{name: "a ring", members: 12, events: append(ring, mend(20*s)...), span: 45 * s, lost: seq(1, 12), changes: 6},
		{name: "two halves", members: 12, events: append(cut(0, seq(1, 6), seq(7, 12)), mend(15*s)...), span: 40 * s, lost: seq(1, 12), changes: 2},
		{name: "a third and the rest", members: 12, events: append(cut(0, seq(1, 4), seq(5, 12)), mend(15*s)...), span: 40 * s, may: seq(1, 4), lost: seq(5, 12), changes: 2},
		{name: "three parts, healed in another order", members: 12, events: slices.Concat(cut(0, seq(1, 4), seq(5, 12)), cut(0, seq(5, 8), seq(9, 12)),
			[]Event{{At: 15 * s, Do: Mend, Who: seq(9, 12), To: seq(1, 4)}, {At: 15 * s, Do: Mend, Who: seq(1, 4), To: seq(9, 12)}}, mend(30*s)), span: 55 * s, may: seq(5, 8), lost: append(seq(1, 4), seq(9, 12)...), changes: 6},
		{name: "a third is lost both ways", members: 12, loss: 0.3, events: []Event{{At: 30 * s, Do: Crash, Who: seq(2, 2)}}, span: 60 * s, gone: seq(2, 2), changes: 1},
		{name: "one is slow by two seconds", members: 12, events: []Event{{At: 0, Do: Slow, Who: seq(2, 2), For: 2 * s}, {At: 0, Do: Slow, Who: seq(1, 12), To: seq(2, 2), For: 2 * s}}, span: 30 * s},
		{name: "all are slow by two seconds", members: 12, events: []Event{{At: 0, Do: Slow, Who: seq(1, 12), For: 2 * s}}, span: 30 * s},
		{name: "a storm of restarts", members: 12, events: storm, span: 40 * s, may: []decide.ID{3, 5}, changes: 20},
		{name: "clocks jump by an hour", members: 12, events: []Event{{At: 0, Do: Jump, Who: seq(2, 2), For: time.Hour}, {At: 3 * s, Do: Jump, Who: seq(3, 6), For: time.Hour}}, span: 15 * s},
		{name: "a clock jumps as another dies", members: 12, events: []Event{{At: 0, Do: Crash, Who: seq(3, 3)}, {At: s, Do: Jump, Who: seq(2, 2), For: 24 * time.Hour}}, span: 12 * s, gone: seq(3, 3), changes: 2},
		{name: "a process takes another's place", members: 12, events: []Event{{At: 0, Do: Replace, Who: seq(2, 2), For: s}}, span: 15 * s},
		{name: "and another, and another", members: 12, events: []Event{
			{At: 0, Do: Replace, Who: seq(2, 4), For: 2 * s}, {At: 3 * s, Do: Replace, Who: seq(2, 4), For: s}, {At: 5 * s, Do: Replace, Who: seq(2, 2), For: s},
		}, span: 25 * s},
		{name: "one dies while it is replaced", members: 12, events: []Event{{At: 0, Do: Replace, Who: seq(2, 2), For: 2 * s}, {At: s / 2, Do: Crash, Who: seq(2, 2)}}, span: 20 * s},
		{name: "one dies long before it is replaced", members: 12, events: []Event{{At: 0, Do: Replace, Who: seq(2, 2), For: 9 * s}, {At: s / 2, Do: Crash, Who: seq(2, 2)}}, span: 30 * s, may: seq(2, 2), changes: 2},
		{name: "another dies while one is replaced", members: 12, events: []Event{{At: 0, Do: Replace, Who: seq(2, 2), For: 4 * s}, {At: 0, Do: Crash, Who: seq(3, 3)}}, span: 20 * s, gone: seq(3, 3), changes: 2},
		{name: "one starts after all who called another dead were replaced", members: 12, events: slices.Concat([]Event{{At: 0, Do: Crash, Who: seq(3, 3)}}, anew, starts(25*s, 2)),
			span: 45 * s, may: seq(2, 2), gone: seq(3, 3), changes: 4},
		{name: "one starts as another dies, and a witness leaves", members: 5, events: slices.Concat([]Event{{At: 0, Do: Crash, Who: seq(5, 5)}}, starts(2*s, 2),
			[]Event{{At: 3 * s, Do: Replace, Who: seq(4, 4), For: s / 10}, {At: 6 * s, Do: Stop, Who: seq(1, 1)}}), span: 30 * s, may: seq(2, 2),
			gone: []decide.ID{1, 5}, changes: 5},
		{name: "seven in ten die at once", members: 40, events: []Event{{At: 0, Do: Crash, Who: seq(13, 40)}}, span: 20 * s, lost: seq(13, 40), gone: seq(13, 40), changes: 3},
		{name: "three in ten die at once", members: 40, events: []Event{{At: 0, Do: Crash, Who: seq(29, 40)}}, span: 8 * s, gone: seq(29, 40), changes: 3},
	}
}

// play runs a scenario and returns its violations.
func play(st story, seed uint64) (wrong []string) {
	const settled = 20 * s
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	changes := map[decide.ID]int{}
	buried := map[string]bool{} // by which process, and whom
	var w *World
	opts := Options{
		Members: st.members, Seed: seed, Loss: st.loss, Twice: 0.02, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, Make: Ours,
		Hear: func(now time.Duration, at decide.ID, a decide.Action) {
			if now < settled {
				return
			}
			switch a := a.(type) {
			case decide.ViewChanged:
				changes[at]++
			case decide.MemberReport:
				if by := fmt.Sprintf("%d.%d says that %d", at, w.nodes[at].life, a.Member); slices.Contains(st.gone, a.Member) {
					if a.State.InView() && buried[by] {
						say("%v: %s is %s, and it was dead", now-settled, by, a.State)
					}
					buried[by] = !a.State.InView()
				}
				switch {
				case a.State == decide.Dead && !slices.Contains(st.gone, a.Member) && !slices.Contains(st.may, a.Member),
					a.State == decide.Dead && slices.Contains(st.lost, a.Member),
					a.State == decide.Unreachable && !slices.Contains(slices.Concat(st.gone, st.may, st.lost), a.Member):
					say("%v: %d calls %d %s: %s, %v", now-settled, at, a.Member, a.State, a.Reason, a.Witnesses)
				}
			}
		},
	}
	for _, e := range st.events {
		e.At += settled
		opts.Events = append(opts.Events, e)
	}
	w = New(opts)
	w.Run(settled)
	w.Run(settled + st.span)
	want := except(w.All(), st.gone...)
	for _, id := range want {
		m, ok := w.Member(id).(*decide.Node)
		if !ok {
			say("member %d is not running at the end, want it running", id)
			continue
		}
		var have []decide.ID
		for _, o := range w.All() {
			if st, _, _ := m.State(o); st.InView() {
				have = append(have, o)
			}
		}
		if v, _ := m.View(); !slices.Equal(have, want) || v.Size != len(want) {
			say("at the end, member %d has members %v (view %v), want %v", id, have, v, want)
		}
		if changes[id] > st.changes {
			say("member %d had %d view changes, want at most %d", id, changes[id], st.changes)
		}
	}
	return wrong
}

// In each scenario and for each seed, no reachable member is reported dead, and all views agree at the end.
func TestStories(t *testing.T) {
	for _, st := range stories() {
		t.Run(st.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				wrong := play(st, seed)
				for _, why := range wrong[:min(len(wrong), 3)] {
					t.Errorf("seed %d: %s", seed, why)
				}
			}
		})
	}
}

// The same seed gives byte-for-byte the same reports in the same order.
func TestSameSeedSameBytes(t *testing.T) {
	play := func() string {
		h := sha256.New()
		opts := Options{
			Members: 30, Seed: 4, Loss: 0.2, Twice: 0.02, Delay: [2]time.Duration{2 * time.Millisecond, 20 * time.Millisecond}, Drift: 0.0005, Make: Ours,
			Events: []Event{{At: 12 * s, Do: Crash, Who: seq(1, 20)}, {At: 20 * s, Do: Start, Who: seq(1, 10)}},
			Hear:   func(now time.Duration, at decide.ID, a decide.Action) { fmt.Fprintln(h, now, at, a) },
		}
		w := New(opts)
		w.Run(35 * s)
		fmt.Fprintln(h, w.Bytes, w.Datagrams)
		return fmt.Sprintf("%x", h.Sum(nil))
	}
	first := play()
	for range 3 {
		if again := play(); again != first {
			t.Fatalf("got digest %s, want %s as in the first run", again, first)
		}
	}
}
