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

var decisionNames = [...]string{UseIdle: "use", OpenNew: "open", Queued: "wait", Rejected: "reject"}

// TestAcquire runs sequences of events at one engine: each step is the user of a new statement, or
// "-N", the end of the N-th active one.
func TestAcquire(t *testing.T) {
	for name, tt := range map[string]struct {
		limits Limits
		steps  []string
		want   []string
	}{
		"no limits":      {Limits{}, []string{"a", "a", "b"}, []string{"open", "open", "open"}},
		"used again":     {Limits{}, []string{"a", "-0", "b"}, []string{"open", "", "use"}},
		"full":           {Limits{MaxConnections: 2}, []string{"a", "a", "b", "-0"}, []string{"open", "open", "wait", "b: use"}},
		"limit per user": {Limits{MaxConnections: 3, MaxPerUser: 1}, []string{"a", "a", "b", "-0"}, []string{"open", "wait", "open", "a: use"}},
		"fewest active first": {Limits{MaxConnections: 2}, []string{"a", "a", "a", "b", "-0", "-1"},
			[]string{"open", "open", "wait", "wait", "b: use", "a: use"}},
		"no overtaking": {Limits{MaxConnections: 1}, []string{"a", "b", "-0", "c"}, []string{"open", "wait", "b: use", "wait"}},
		"user at its limit holds nobody up": {Limits{MaxConnections: 2, MaxPerUser: 1}, []string{"a", "a", "b", "c", "-1"},
			[]string{"open", "wait", "open", "wait", "c: use"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, runSteps(tt.limits, tt.steps)); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}

// runSteps returns the decision of each step; of an end, that of the statement dispatched by it.
func runSteps(limits Limits, steps []string) (decisions []string) {
	p := Pool{Limits: limits}
	var active []*Ticket
	for _, step := range steps {
		var ended int
		if n, _ := fmt.Sscanf(step, "-%d", &ended); n == 0 {
			ticket, decision := p.Acquire(0, step, time.Hour)
			decisions = append(decisions, decisionNames[decision])
			if decision != Queued {
				active = append(active, ticket)
			}
			continue
		}
		p.Release(ms, active[ended])
		p.AddIdle()
		dispatched := ""
		for ticket, decision, ok := p.Next(ms); ok; ticket, decision, ok = p.Next(ms) {
			dispatched = ticket.user + ": " + decisionNames[decision]
			active = append(active, ticket)
		}
		decisions = append(decisions, dispatched)
	}
	return decisions
}

// TestRejectedAtOnce checks that a statement that would wait past its deadline is rejected at once,
// by how long connections were kept, and that none is on a guess.
func TestRejectedAtOnce(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 1}}
	first, _ := p.Acquire(0, "a", time.Second)
	if _, decision := p.Acquire(0, "a", ms); decision != Queued {
		t.Errorf("decision before any hold time is known = %s, want wait", decisionNames[decision])
	}
	p.Release(100*ms, first) // it took 100 ms
	p.AddIdle()
	if _, _, ok := p.Next(100 * ms); !ok {
		t.Fatal("no statement was dispatched")
	}
	for deadline, want := range map[time.Duration]Decision{150 * ms: Rejected, 250 * ms: Queued} {
		if _, decision := p.Acquire(100*ms, "b", deadline); decision != want {
			t.Errorf("decision with deadline %v = %s, want %s", deadline, decisionNames[decision], decisionNames[want])
		}
	}
	// Behind three of its own a user waits for all of them; another user behind one of them at most.
	p = Pool{Limits: Limits{MaxConnections: 1}, meanHoldSeconds: 0.1}
	p.Acquire(0, "a", time.Hour)
	for range 3 {
		p.Acquire(0, "a", time.Hour)
	}
	if _, decision := p.Acquire(0, "a", 300*ms); decision != Rejected {
		t.Errorf("decision on a user's fourth with deadline 300 ms = %s, want reject", decisionNames[decision])
	}
	if _, decision := p.Acquire(0, "b", 300*ms); decision != Queued {
		t.Errorf("decision on another user's first with deadline 300 ms = %s, want wait", decisionNames[decision])
	}
}

// TestLifecycle checks that connections are opened ahead one at a time, that the minimum stays open,
// and that others are closed when idle or old.
func TestLifecycle(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 3, MinConnections: 2, IdleTimeout: time.Second, MaxLifetime: 10 * time.Second}}
	if !p.OpenAhead(0) || p.OpenAhead(1) || !p.OpenAhead(0) || p.OpenAhead(0) {
		t.Error("connections opened ahead: want two, one at a time")
	}
	p.AddIdle()
	p.AddIdle()
	if p.IdleExpired(time.Hour, 0) {
		t.Error("one of the minimum of connections has expired")
	}
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour) // a third is open
	if p.IdleExpired(900*ms, 0) || !p.IdleExpired(time.Second, 0) {
		t.Error("a third connection must expire after one second of idling")
	}
	for random, want := range map[float64]time.Duration{0: 10 * time.Second, 0.5: 9500 * ms, 1: 9 * time.Second} {
		if got := p.Lifetime(random); got != want {
			t.Errorf("Lifetime(%g) = %v, want %v", random, got, want)
		}
	}
	if (&Pool{}).Lifetime(1) != 0 || (&Pool{}).IdleExpired(time.Hour, 0) || (&Pool{}).OpenAhead(0) {
		t.Error("without limits a connection expires or is opened ahead")
	}
}

// TestInvariants checks, for any order of events, that the limits hold, that no statement waits that
// could be dispatched, that each ticket is dispatched once, that a user's own go in their order, and
// that a user with fewer active statements goes before one with more.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{Limits: Limits{MaxConnections: rapid.IntRange(0, 5).Draw(t, "max connections"), MaxPerUser: rapid.IntRange(0, 3).Draw(t, "max per user"), MinConnections: rapid.IntRange(0, 2).Draw(t, "min connections")}}
		var active, waiting []*Ticket
		free, opening, conns, now := 0, 0, 0, time.Duration(0)
		take := func(ticket *Ticket, decision Decision) {
			if active = append(active, ticket); decision == UseIdle {
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
				ticket, decision := p.Acquire(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "user"), now+time.Duration(rapid.IntRange(0, 300).Draw(t, "for"))*ms)
				switch decision {
				case Queued:
					waiting = append(waiting, ticket)
				case UseIdle, OpenNew:
					take(ticket, decision)
				case Rejected:
					p.Release(now, ticket)
				}
			case 3: // an active one ends, and its connection is idle, or ends too
				if len(active) == 0 {
					break
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "who")
				p.Release(now, active[i])
				p.Release(now, active[i]) // a second time does nothing
				active = slices.Delete(active, i, i+1)
				if rapid.Bool().Draw(t, "connection lives") {
					p.AddIdle()
					free++
				} else {
					p.ConnectionClosed()
					conns--
				}
			case 4: // a waiting one is cancelled
				if len(waiting) == 0 {
					break
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "who")
				p.Release(now, waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			case 5: // an idle connection ends
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
				} else if p.OpenAhead(0) {
					opening++
					conns++
				}
			}
			for ticket, decision, ok := p.Next(now); ok; ticket, decision, ok = p.Next(now) {
				i := slices.Index(waiting, ticket)
				if i < 0 {
					t.Fatal("a ticket was dispatched that does not wait")
				}
				if of(waiting[:i], ticket.user) > 0 {
					t.Fatalf("user %s: a later ticket is dispatched first", ticket.user)
				}
				for _, o := range waiting {
					if n := of(active, o.user); n < of(active, ticket.user) && (p.Limits.MaxPerUser == 0 || n < p.Limits.MaxPerUser) {
						t.Fatalf("user %s is dispatched before %s, who has fewer active statements", ticket.user, o.user)
					}
				}
				waiting = slices.Delete(waiting, i, i+1)
				take(ticket, decision)
			}
			if p.Limits.MaxConnections > 0 && conns > p.Limits.MaxConnections || free < 0 {
				t.Fatalf("%d connections, %d free", conns, free)
			}
			available := free > 0 || p.Limits.MaxConnections == 0 || conns < p.Limits.MaxConnections
			for _, o := range append(slices.Clone(active), waiting...) {
				if n := of(active, o.user); p.Limits.MaxPerUser > 0 && n > p.Limits.MaxPerUser {
					t.Fatalf("%d active statements of user %s", n, o.user)
				}
			}
			for _, o := range waiting {
				if available && (p.Limits.MaxPerUser == 0 || of(active, o.user) < p.Limits.MaxPerUser) {
					t.Fatalf("user %s waits, and could be dispatched", o.user)
				}
			}
			if got, want := p.Stats(), (Stats{Open: conns, Idle: free, Waiting: len(waiting)}); got != want {
				t.Fatalf("stats = %+v, want %+v", got, want)
			}
		}
		for _, o := range append(active, waiting...) {
			p.Release(now, o)
		}
		if len(p.active)+len(p.lastDispatch)+len(p.queue) > 0 {
			t.Fatalf("entries of departed users = %d, %d, %d, want none", len(p.active), len(p.lastDispatch), len(p.queue))
		}
	})
}
