package takeover

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks processes that start, become ready, are told to shut down, exit and look at each other in any
// order. A new one waits no longer than maxWait, and takes over only from a ready process that started
// earlier and knows it. All serving processes except the latest one consider themselves replaced, so
// that two never consider each other as their replacement.
func TestProcessesReplaceEachOtherInAnyOrder(t *testing.T) {
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
				t.Skip("no process is alive")
			}
			var ids []string
			for id := range alive {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return alive[rapid.SampledFrom(ids).Draw(t, "process")]
		}
		started := 0
		t.Repeat(map[string]func(*rapid.T){
			"process starts": func(*rapid.T) {
				started++
				alive[strconv.Itoa(started)] = &Process{ID: strconv.Itoa(started), StartedAt: now}
			},
			"time passes": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"process looks at the others": func(t *rapid.T) {
				p := pick(t)
				if p.Ready {
					p.KnownProcesses = p.KnownProcesses[:0]
					for _, other := range others(p.ID) {
						p.KnownProcesses = append(p.KnownProcesses, other.ID)
					}
					p.StateWritten = StateWanted(*p, others(p.ID))
					return
				}
				action, from := NextAction(*p, others(p.ID), now)
				switch predecessor := alive[from]; action {
				case Wait:
					if now-p.StartedAt >= maxWait {
						t.Fatalf("process %v still waits after %v, want less than %v", p, now-p.StartedAt, maxWait)
					}
				case TakeOver:
					if !predecessor.Ready || !slices.Contains(predecessor.KnownProcesses, p.ID) || predecessor.StartedAfter(*p) {
						t.Fatalf("process %v takes over from %v, want a ready one that started earlier and knows it", p, predecessor)
					}
					fallthrough
				case StartAlone:
					p.Ready = true
				}
			},
			"process is told to shut down": func(t *rapid.T) { pick(t).ShuttingDown = true },
			"process exits":                func(t *rapid.T) { delete(alive, pick(t).ID) },
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
					t.Fatalf("got %d of %d serving processes that consider themselves replaced, want %d", replaced, serving, serving-1)
				}
			},
		})
	})
}
