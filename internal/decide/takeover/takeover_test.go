package takeover

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Processes start, become ready, are told to end and die in any order, and look at each other at
// any time: a new one waits no longer than it should, takes only from one that serves, has heard of
// it and was there before, and of two never does each think the other one took its place.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		alive := map[string]*Process{}
		others := func(id string) (list []Process) {
			for _, p := range alive {
				if p.ID != id {
					list = append(list, *p)
				}
			}
			slices.SortFunc(list, func(a, b Process) int { return int(a.StartedAt - b.StartedAt) })
			return list
		}
		pick := func(t *rapid.T) *Process {
			if len(alive) == 0 {
				t.Skip("nobody lives")
			}
			var ids []string
			for id := range alive {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return alive[rapid.SampledFrom(ids).Draw(t, "who")]
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				n++
				alive[strconv.Itoa(n)] = &Process{ID: strconv.Itoa(n), StartedAt: now}
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"look": func(t *rapid.T) {
				p := pick(t)
				if p.Ready {
					p.KnownProcesses = p.KnownProcesses[:0]
					for _, o := range others(p.ID) {
						p.KnownProcesses = append(p.KnownProcesses, o.ID)
					}
					p.StateWritten = StateWanted(*p, others(p.ID))
					return
				}
				action, from := NextAction(*p, others(p.ID), now)
				switch f := alive[from]; action {
				case Wait:
					if now-p.StartedAt >= maxWait {
						t.Fatalf("%v waits since %v", p, now-p.StartedAt)
					}
				case TakeOver:
					if !f.Ready || !slices.Contains(f.KnownProcesses, p.ID) || f.StartedAfter(*p) {
						t.Fatalf("%v takes over from %v", p, f)
					}
					fallthrough
				case StartAlone:
					p.Ready = true
				}
			},
			"end":  func(t *rapid.T) { pick(t).ShuttingDown = true },
			"dies": func(t *rapid.T) { delete(alive, pick(t).ID) },
			"": func(t *rapid.T) {
				serving, replaced := 0, 0
				for _, p := range alive {
					if p.Ready && !p.ShuttingDown {
						serving++
						if Replaced(*p, others(p.ID)) {
							replaced++
						}
					}
				}
				if serving > 0 && replaced != serving-1 {
					t.Fatalf("%d serve, and %d of them think that another took their place", serving, replaced)
				}
			},
		})
	})
}
