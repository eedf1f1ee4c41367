package connpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// ms makes durations in the tests short to write.
const ms = time.Millisecond

// decisionNames are the names of the decisions in expected values and messages.
var decisionNames = [...]string{UseIdle: "use", OpenNew: "open", Queued: "wait", Rejected: "reject"}

// TestAcquire checks the decisions of sequences of steps. A step is the user of a new statement, or "-N",
// the end of the statement that was the N-th to get a connection, from 0.
func TestAcquire(t *testing.T) {
	for name, tt := range map[string]struct {
		limits Limits
		steps  []string
		want   []string
	}{
		"no limits":                 {Limits{}, []string{"a", "a", "b"}, []string{"open", "open", "open"}},
		"idle connection is reused": {Limits{}, []string{"a", "-0", "b"}, []string{"open", "", "use"}},
		"all connections in use":    {Limits{MaxConnections: 2}, []string{"a", "a", "b", "-0"}, []string{"open", "open", "wait", "b: use"}},
		"limit per user":            {Limits{MaxConnections: 3, MaxPerUser: 1}, []string{"a", "a", "b", "-0"}, []string{"open", "wait", "open", "a: use"}},
		"user with fewest active statements first": {Limits{MaxConnections: 2}, []string{"a", "a", "a", "b", "-0", "-1"},
			[]string{"open", "open", "wait", "wait", "b: use", "a: use"}},
		"new statement does not overtake": {Limits{MaxConnections: 1}, []string{"a", "b", "-0", "c"}, []string{"open", "wait", "b: use", "wait"}},
		"user at the limit does not delay others": {Limits{MaxConnections: 2, MaxPerUser: 1}, []string{"a", "a", "b", "c", "-1"},
			[]string{"open", "wait", "open", "wait", "c: use"}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, runSteps(tt.limits, tt.steps)); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}

// runSteps runs the steps of TestAcquire and returns the decision for each. For the end of a statement it
// is the user and the decision of the statement dispatched by it, or "".
func runSteps(limits Limits, steps []string) (decisions []string) {
	p := Pool{Limits: limits}
	var dispatched []*Ticket // all tickets that have got a connection, in order
	for _, step := range steps {
		var ended int
		if n, _ := fmt.Sscanf(step, "-%d", &ended); n == 0 {
			ticket, decision := p.Acquire(0, step, time.Hour)
			decisions = append(decisions, decisionNames[decision])
			if decision != Queued {
				dispatched = append(dispatched, ticket)
			}
			continue
		}
		p.Release(ms, dispatched[ended])
		p.AddIdle()
		next := ""
		for ticket, decision, ok := p.Next(ms); ok; ticket, decision, ok = p.Next(ms) {
			next = ticket.user + ": " + decisionNames[decision]
			dispatched = append(dispatched, ticket)
		}
		decisions = append(decisions, next)
	}
	return decisions
}

// TestRejectedAtOnce checks that a statement that would wait past its deadline, judged by how long earlier
// statements kept their connections, is rejected at once. While that time is unknown none is rejected.
func TestRejectedAtOnce(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 1}}
	first, _ := p.Acquire(0, "a", time.Second)
	if _, decision := p.Acquire(0, "a", ms); decision != Queued {
		t.Errorf("decision before any hold time is known = %s, want wait", decisionNames[decision])
	}
	p.Release(100*ms, first) // it took 100 ms
	p.AddIdle()
	if _, _, ok := p.Next(100 * ms); !ok {
		t.Fatal("Next after a connection became idle: ok = false, want true")
	}
	for deadline, want := range map[time.Duration]Decision{150 * ms: Rejected, 250 * ms: Queued} {
		if _, decision := p.Acquire(100*ms, "b", deadline); decision != want {
			t.Errorf("decision with deadline %v = %s, want %s", deadline, decisionNames[decision], decisionNames[want])
		}
	}
	// A user with three waiting statements waits for all of them, another user for at most one of them.
	p = Pool{Limits: Limits{MaxConnections: 1}, meanHoldSeconds: 0.1}
	p.Acquire(0, "a", time.Hour)
	for range 3 {
		p.Acquire(0, "a", time.Hour)
	}
	if _, decision := p.Acquire(0, "a", 300*ms); decision != Rejected {
		t.Errorf("decision on a user's fourth waiting statement with deadline 300 ms = %s, want reject", decisionNames[decision])
	}
	if _, decision := p.Acquire(0, "b", 300*ms); decision != Queued {
		t.Errorf("decision on another user's first statement with deadline 300 ms = %s, want wait", decisionNames[decision])
	}
}

// TestLifecycle checks that connections are opened in advance one at a time, that MinConnections of them
// stay open, and that others are closed when they have been idle for too long or are too old.
func TestLifecycle(t *testing.T) {
	p := Pool{Limits: Limits{MaxConnections: 3, MinConnections: 2, IdleTimeout: time.Second, MaxLifetime: 10 * time.Second}}
	opened := []bool{p.OpenAhead(0), p.OpenAhead(1), p.OpenAhead(0), p.OpenAhead(0)}
	if diff := cmp.Diff([]bool{true, false, true, false}, opened); diff != "" {
		t.Errorf("OpenAhead for a first connection, while one is being opened, for a second and for a third (-want +got):\n%s", diff)
	}
	p.AddIdle()
	p.AddIdle()
	if p.IdleExpired(time.Hour, 0) {
		t.Error("IdleExpired with MinConnections connections = true, want false")
	}
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour)
	p.Acquire(0, "a", time.Hour) // opens a third connection
	if early, late := p.IdleExpired(900*ms, 0), p.IdleExpired(time.Second, 0); early || !late {
		t.Errorf("IdleExpired with a third connection = %v after 900 ms and %v after 1 s, want false and true", early, late)
	}
	for random, want := range map[float64]time.Duration{0: 10 * time.Second, 0.5: 9500 * ms, 1: 9 * time.Second} {
		if got := p.Lifetime(random); got != want {
			t.Errorf("Lifetime(%g) = %v, want %v", random, got, want)
		}
	}
	var unlimited Pool
	if lifetime, expired, open := unlimited.Lifetime(1), unlimited.IdleExpired(time.Hour, 0), unlimited.OpenAhead(0); lifetime != 0 || expired || open {
		t.Errorf("pool without limits: Lifetime = %v, IdleExpired = %v, OpenAhead = %v, want 0s, false, false", lifetime, expired, open)
	}
}

// TestInvariants checks for any order of events:
//   - the limits hold;
//   - no statement waits that could be dispatched;
//   - each ticket is dispatched at most once, and those of one user in order of arrival;
//   - a user with fewer active statements goes before one with more;
//   - nothing is kept of users without tickets.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{Limits: Limits{MaxConnections: rapid.IntRange(0, 5).Draw(t, "max connections"), MaxPerUser: rapid.IntRange(0, 3).Draw(t, "max per user"), MinConnections: rapid.IntRange(0, 2).Draw(t, "min connections")}}
		var active, waiting []*Ticket
		idle, opening, open, now := 0, 0, 0, time.Duration(0)
		dispatch := func(ticket *Ticket, decision Decision) {
			if active = append(active, ticket); decision == UseIdle {
				idle--
			} else {
				open++
			}
		}
		countOf := func(list []*Ticket, user string) (n int) {
			for _, ticket := range list {
				if ticket.user == user {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				ticket, decision := p.Acquire(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "user"), now+time.Duration(rapid.IntRange(0, 300).Draw(t, "wait limit"))*ms)
				switch decision {
				case Queued:
					waiting = append(waiting, ticket)
				case UseIdle, OpenNew:
					dispatch(ticket, decision)
				case Rejected:
					p.Release(now, ticket)
				}
			case 3: // an active statement ends; its connection becomes idle or is closed
				if len(active) == 0 {
					break
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "active statement")
				p.Release(now, active[i])
				p.Release(now, active[i]) // a second release has no effect
				active = slices.Delete(active, i, i+1)
				if rapid.Bool().Draw(t, "connection stays open") {
					p.AddIdle()
					idle++
				} else {
					p.ConnectionClosed()
					open--
				}
			case 4: // a waiting statement is cancelled
				if len(waiting) == 0 {
					break
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiting statement")
				p.Release(now, waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			case 5: // an idle connection is closed
				if idle > 0 {
					p.RemoveIdle()
					p.ConnectionClosed()
					idle--
					open--
				}
			default: // a connection is opened in advance, or is ready
				if opening > 0 {
					opening--
					p.AddIdle()
					idle++
				} else if p.OpenAhead(0) {
					opening++
					open++
				}
			}
			for ticket, decision, ok := p.Next(now); ok; ticket, decision, ok = p.Next(now) {
				i := slices.Index(waiting, ticket)
				if i < 0 {
					t.Fatalf("Next returned a ticket of user %s that does not wait, want one of the %d that wait", ticket.user, len(waiting))
				}
				if countOf(waiting[:i], ticket.user) > 0 {
					t.Fatalf("Next returned a ticket of user %s, want an earlier one of the same user", ticket.user)
				}
				for _, other := range waiting {
					if n := countOf(active, other.user); n < countOf(active, ticket.user) && (p.Limits.MaxPerUser == 0 || n < p.Limits.MaxPerUser) {
						t.Fatalf("Next returned a ticket of user %s, want one of %s, who has fewer active statements", ticket.user, other.user)
					}
				}
				waiting = slices.Delete(waiting, i, i+1)
				dispatch(ticket, decision)
			}
			if p.Limits.MaxConnections > 0 && open > p.Limits.MaxConnections || idle < 0 {
				t.Fatalf("open connections = %d, idle = %d, want at most %d open (0: no limit) and at least 0 idle", open, idle, p.Limits.MaxConnections)
			}
			available := idle > 0 || p.Limits.MaxConnections == 0 || open < p.Limits.MaxConnections
			for _, other := range append(slices.Clone(active), waiting...) {
				if n := countOf(active, other.user); p.Limits.MaxPerUser > 0 && n > p.Limits.MaxPerUser {
					t.Fatalf("active statements of user %s = %d, want at most %d", other.user, n, p.Limits.MaxPerUser)
				}
			}
			for _, other := range waiting {
				if available && (p.Limits.MaxPerUser == 0 || countOf(active, other.user) < p.Limits.MaxPerUser) {
					t.Fatalf("user %s waits, want dispatched", other.user)
				}
			}
			if got, want := p.Stats(), (Stats{Open: open, Idle: idle, Waiting: len(waiting)}); got != want {
				t.Fatalf("stats = %+v, want %+v", got, want)
			}
		}
		for _, ticket := range append(active, waiting...) {
			p.Release(now, ticket)
		}
		if len(p.active)+len(p.lastDispatch)+len(p.queue) > 0 {
			t.Fatalf("entries in active, lastDispatch and queue after all tickets were released = %d, %d, %d, want none", len(p.active), len(p.lastDispatch), len(p.queue))
		}
	})
}
