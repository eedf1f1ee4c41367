package connpool

import (
	"math"
	"slices"
	"time"
)

// Next gives a connection to the next waiting statement. It returns the statement's ticket and how it
// gets the connection; ok is false if no statement can get one. The user with the fewest active
// statements goes first and, among equals, the one whose latest dispatch is longest ago, so that a user
// with many statements doesn't delay one with few. Statements of one user are dispatched in order of
// arrival.
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

// hasPriority reports whether user a is dispatched before user b.
func (p *Pool) hasPriority(a, b string) bool {
	if p.active[a] != p.active[b] {
		return p.active[a] < p.active[b]
	}
	return p.lastDispatch[a] < p.lastDispatch[b]
}

// userIsQueued reports whether a statement of the user waits.
func (p *Pool) userIsQueued(user string) bool {
	return slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.user == user })
}

// mustQueue reports whether a new statement of the user has to queue behind a waiting one: an earlier
// statement of the same user, or one whose user is below MaxPerUser.
func (p *Pool) mustQueue(user string) bool {
	return slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.user == user || p.belowUserLimit(t.user) })
}

// estimateWait returns a lower estimate of how long a new statement of the user would wait. All waiting
// statements of the user are dispatched before it and, as users take turns, at most as many plus one of
// each other user. It is 0 while the mean hold time is unknown, so that no statement is rejected on a
// guess.
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
	ahead := own
	for _, n := range others {
		ahead += min(n, own+1)
	}
	connections := float64(max(p.Limits.MaxConnections, 1))
	if !p.belowUserLimit(user) { // it waits for the user's own connections only
		ahead = own
		connections = float64(p.Limits.MaxPerUser)
	}
	// With n connections, one is released every meanHoldSeconds/n.
	rounds := math.Floor(float64(ahead) / connections)
	return time.Duration((rounds*p.meanHoldSeconds + p.meanHoldSeconds/connections) * float64(time.Second))
}
