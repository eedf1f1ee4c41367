package connpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// What a newcomer gets, as stories of one engine: each step is a user's ask, or "-N", the end of the N-th one that works.
func TestAsk(t *testing.T) {
	for name, tt := range map[string]struct {
		limits Limits
		steps  []string
		want   []string
	}{
		"no bounds":        {Limits{}, []string{"a", "a", "b"}, []string{"open", "open", "open"}},
		"used again":       {Limits{}, []string{"a", "-0", "b"}, []string{"open", "", "use"}},
		"full":             {Limits{MaxConnections: 2}, []string{"a", "a", "b", "-0"}, []string{"open", "open", "wait", "b: use"}},
		"the user's bound": {Limits{MaxConnections: 3, MaxPerUser: 1}, []string{"a", "a", "b", "-0"}, []string{"open", "wait", "open", "a: use"}},
		"fewest first": {Limits{MaxConnections: 2}, []string{"a", "a", "a", "b", "-0", "-1"},
			[]string{"open", "open", "wait", "wait", "b: use", "a: use"}},
		"no passing": {Limits{MaxConnections: 1}, []string{"a", "b", "-0", "c"}, []string{"open", "wait", "b: use", "wait"}},
		"a bounded user holds nobody up": {Limits{MaxConnections: 2, MaxPerUser: 1}, []string{"a", "a", "b", "c", "-1"},
			[]string{"open", "wait", "open", "wait", "c: use"}},
	} {
		p := Pool{Limits: tt.limits}
		var works []*Ticket
		var got []string
		for _, step := range tt.steps {
			var n int
			if k, _ := fmt.Sscanf(step, "-%d", &n); k == 0 {
				ticket, answer := p.Acquire(0, step, time.Hour)
				if got = append(got, [...]string{"use", "open", "wait", "full"}[answer]); answer != Queued {
					works = append(works, ticket)
				}
				continue
			}
			p.Release(ms, works[n])
			p.AddIdle()
			said := ""
			for ticket, answer, ok := p.Next(ms); ok; ticket, answer, ok = p.Next(ms) {
				said = ticket.user + ": " + [...]string{"use", "open"}[answer]
				works = append(works, ticket)
			}
			got = append(got, said)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Who can't be served in time is told at once, by how long connections were kept of late; nobody is on a guess.
func TestFullAtOnce(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 1}}
	first, _ := p.Acquire(0, "a", time.Second)
	if _, answer := p.Acquire(0, "a", ms); answer != Queued {
		t.Errorf("before anything is known: %d", answer)
	}
	p.Release(100*ms, first) // it took 100 ms
	p.AddIdle()
	if _, _, ok := p.Next(100 * ms); !ok {
		t.Fatal("nobody goes on")
	}
	for by, want := range map[time.Duration]Decision{150 * ms: Rejected, 250 * ms: Queued} {
		if _, answer := p.Acquire(100*ms, "b", by); answer != want {
			t.Errorf("until %v: %d, want %d", by, answer, want)
		}
	}
	// Behind three of its own a user waits for all of them; another user behind one of them at most.
	p = Pool{Limits: Limits{MaxConnections: 1}, meanHoldSeconds: 0.1}
	p.Acquire(0, "a", time.Hour)
	for range 3 {
		p.Acquire(0, "a", time.Hour)
	}
	if _, answer := p.Acquire(0, "a", 300*ms); answer != Rejected {
		t.Errorf("a fourth of a user until 300 ms: %d", answer)
	}
	if _, answer := p.Acquire(0, "b", 300*ms); answer != Queued {
		t.Errorf("the first of another until 300 ms: %d", answer)
	}
}

// Connections are opened ahead one at a time, kept, and closed when idle or old.
func TestLives(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 3, MinConnections: 2, IdleTimeout: time.Second, MaxLifetime: 10 * time.Second}}
	if !p.OpenAhead(false) || p.OpenAhead(true) || !p.OpenAhead(false) || p.OpenAhead(false) {
		t.Error("two are wanted ahead, one at a time")
	}
	p.AddIdle()
	p.AddIdle()
	if p.IdleExpired(time.Hour, 0) {
		t.Error("one of those that are kept is stale")
	}
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour) // a third is open
	if p.IdleExpired(900*ms, 0) || !p.IdleExpired(time.Second, 0) {
		t.Error("a third that idles for a second isn't stale then")
	}
	for draw, want := range map[float64]time.Duration{0: 10 * time.Second, 0.5: 9500 * ms, 1: 9 * time.Second} {
		if got := p.Lifetime(draw); got != want {
			t.Errorf("drawn %g: it lives for %v, want %v", draw, got, want)
		}
	}
	if (&Pool{}).Lifetime(1) != 0 || (&Pool{}).IdleExpired(time.Hour, 0) || (&Pool{}).OpenAhead(false) {
		t.Error("without limits something ends or is opened ahead")
	}
}

// Whatever comes when: the bounds hold, nobody waits who could go, each ticket goes once, a user's own go in their
// order, and a user with less at work goes before one with more.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{Limits: Limits{MaxConnections: rapid.IntRange(0, 5).Draw(t, "most"), MaxPerUser: rapid.IntRange(0, 3).Draw(t, "of a user"), MinConnections: rapid.IntRange(0, 2).Draw(t, "keep")}}
		var works, waits []*Ticket
		free, opening, conns, now := 0, 0, 0, time.Duration(0)
		take := func(ticket *Ticket, answer Decision) {
			if works = append(works, ticket); answer == UseIdle {
				free--
			} else {
				conns++
			}
		}
		of := func(list []*Ticket, user string) (n int) {
			for _, o := range list {
				if o.user == user {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				ticket, answer := p.Acquire(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "user"), now+time.Duration(rapid.IntRange(0, 300).Draw(t, "for"))*ms)
				switch answer {
				case Queued:
					waits = append(waits, ticket)
				case UseIdle, OpenNew:
					take(ticket, answer)
				case Rejected:
					p.Release(now, ticket)
				}
			case 3: // one that works ends, and its connection is free, or ends too
				if len(works) == 0 {
					break
				}
				i := rapid.IntRange(0, len(works)-1).Draw(t, "who")
				p.Release(now, works[i])
				p.Release(now, works[i]) // a second time is passed by
				works = slices.Delete(works, i, i+1)
				if rapid.Bool().Draw(t, "lives") {
					p.AddIdle()
					free++
				} else {
					p.ConnectionClosed()
					conns--
				}
			case 4: // one that waits leaves
				if len(waits) == 0 {
					break
				}
				i := rapid.IntRange(0, len(waits)-1).Draw(t, "who")
				p.Release(now, waits[i])
				waits = slices.Delete(waits, i, i+1)
			case 5: // an idle one ends
				if free > 0 {
					p.RemoveIdle()
					p.ConnectionClosed()
					free--
					conns--
				}
			default:
				if opening > 0 {
					opening--
					p.AddIdle()
					free++
				} else if p.OpenAhead(false) {
					opening++
					conns++
				}
			}
			for ticket, answer, ok := p.Next(now); ok; ticket, answer, ok = p.Next(now) {
				i := slices.Index(waits, ticket)
				if i < 0 {
					t.Fatal("one goes that does not wait")
				}
				if of(waits[:i], ticket.user) > 0 {
					t.Fatalf("%s: a later one of a user goes first", ticket.user)
				}
				for _, o := range waits {
					if n := of(works, o.user); n < of(works, ticket.user) && (p.Limits.MaxPerUser == 0 || n < p.Limits.MaxPerUser) {
						t.Fatalf("%s goes before %s, which has less at work", ticket.user, o.user)
					}
				}
				waits = slices.Delete(waits, i, i+1)
				take(ticket, answer)
			}
			if p.Limits.MaxConnections > 0 && conns > p.Limits.MaxConnections || free < 0 {
				t.Fatalf("%d connections, %d free", conns, free)
			}
			room := free > 0 || p.Limits.MaxConnections == 0 || conns < p.Limits.MaxConnections
			for _, o := range append(slices.Clone(works), waits...) {
				if n := of(works, o.user); p.Limits.MaxPerUser > 0 && n > p.Limits.MaxPerUser {
					t.Fatalf("%d of %s at work", n, o.user)
				}
			}
			for _, o := range waits {
				if room && (p.Limits.MaxPerUser == 0 || of(works, o.user) < p.Limits.MaxPerUser) {
					t.Fatalf("%s waits, and could go", o.user)
				}
			}
			if open, idle, line := p.Counts(); open != conns || idle != free || line != len(waits) {
				t.Fatalf("it counts %d, %d, %d; there are %d, %d, %d", open, idle, line, conns, free, len(waits))
			}
		}
		for _, o := range append(works, waits...) {
			p.Release(now, o)
		}
		if len(p.active)+len(p.lastDispatch)+len(p.queue) > 0 {
			t.Fatalf("of users that are gone %d, %d, %d are kept", len(p.active), len(p.lastDispatch), len(p.queue))
		}
	})
}
