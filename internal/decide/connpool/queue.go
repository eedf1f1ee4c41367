package connpool

import (
	"math"
	"slices"
	"time"
)

// Next dispatches the next waiting statement, and returns how it gets its connection; ok is false
// where none can be dispatched. The user with the fewest active statements goes first, then the one
// whose latest dispatch is longest ago, so that a user who sends much does not hold up one who sends
// little. Statements of one user go in their order.
func (p *Pool) Next(now time.Duration) (t *Ticket, d Decision, ok bool) {
	if p.idle == 0 && !p.canOpen() {
		return nil, 0, false
	}
	best := -1
	for i, t := range p.queue {
		if p.belowUserLimit(t.user) && (best < 0 || p.hasPriority(t.user, p.queue[best].user)) {
			best = i
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	t = p.queue[best]
	p.queue = slices.Delete(p.queue, best, best+1)
	return t, p.assign(now, t), true
}

// hasPriority tells whether user a goes before user b.
func (p *Pool) hasPriority(a, b string) bool {
	if p.active[a] != p.active[b] {
		return p.active[a] < p.active[b]
	}
	return p.lastDispatch[a] < p.lastDispatch[b]
}

func (p *Pool) userWaits(user string) bool {
	return slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.user == user })
}

// mustQueue tells whether a new statement of the user may not pass one that waits: an earlier one of
// the same user, or any that could be dispatched.
func (p *Pool) mustQueue(user string) bool {
	return slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.user == user || p.belowUserLimit(t.user) })
}

// estimateWait returns how long a new statement of the user would wait at the least: the user's
// earlier ones go first, and of each other user as many, in turn. It is 0 while nothing is known of
// how long connections are kept: nobody is rejected on a guess.
func (p *Pool) estimateWait(user string) time.Duration {
	own := 0
	others := map[string]int{}
	for _, t := range p.queue {
		if t.user == user {
			own++
		} else {
			others[t.user]++
		}
	}
	before := own
	for _, n := range others {
		before += min(n, own+1)
	}
	connections := float64(max(p.Limits.MaxConnections, 1))
	if !p.belowUserLimit(user) { // its own limit holds it up
		before = own
		connections = float64(p.Limits.MaxPerUser)
	}
	// With n connections one is released every meanHoldSeconds/n.
	rounds := math.Floor(float64(before) / connections)
	return time.Duration((rounds*p.meanHoldSeconds + p.meanHoldSeconds/connections) * float64(time.Second))
}
