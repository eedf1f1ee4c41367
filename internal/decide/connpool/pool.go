// Package pool decides which connection to an engine a statement gets, and who waits for one: the bounds that operators set on
// connections and on users, in what order those who wait go, who is told at once that it is no use, and how long a connection lives.
// It does no I/O and reads no clock; a Pool is one engine's and belongs to one goroutine.
package connpool

import (
	"math"
	"slices"
	"time"
)

// Limits bound the connections to one engine. Zero values set no bound.
type Limits struct {
	MaxConnections int           // connections at once, those that are being opened too; too few: statements wait while the engine has room
	MaxPerUser     int           // of them that work for one user; at Most or above it bounds nothing
	MinConnections int           // connections that are opened ahead and stay open while idle; as many take memory at the engine for nothing
	IdleTimeout    time.Duration // a connection past Keep that did nothing for so long is closed; too short: each statement pays for a login
	MaxLifetime    time.Duration // a connection is closed behind its statement once it is so old; an engine's memory for it grows with age
}

// Answer is what becomes of a statement that wants a connection.
type Decision uint8

// Answers.
const (
	UseIdle  Decision = iota // an idle connection
	OpenNew                  // a new one
	Queued                   // until Next names it
	Rejected                 // it would wait past its time: it is told so now
)

// Ticket is one statement that waits, or works on a connection.
type Ticket struct {
	user      string
	startedAt time.Duration // it works since then
	state     state
}

type state uint8

const (
	waiting state = iota
	active
	released
)

// Pool decides for one engine. Its zero value has no limits.
type Pool struct {
	Limits          Limits
	open            int            // connections, those that are being opened too
	idle            int            // of these, without a statement and ready for one
	active          map[string]int // statements with a connection, by user
	queue           []*Ticket      // that wait, in order of arrival
	meanHoldSeconds float64        // usual time that a statement keeps its connection, seconds; 0: none has ended yet
	dispatches      uint64
	lastDispatch    map[string]uint64 // the latest turn of a user who waits or works
}

// holdWeight is that of one statement in the usual time that a connection is kept.
const holdWeight = 0.05

// Ask wants a connection for a statement of a user, who waits for it until by at the latest. The ticket is to be given
// back by Leave, however the statement ends.
func (p *Pool) Acquire(now time.Duration, user string, by time.Duration) (*Ticket, Decision) {
	t := &Ticket{user: user}
	if (p.idle > 0 || p.canOpen()) && p.belowUserLimit(user) && !p.mustQueue(user) {
		return t, p.assign(now, t)
	}
	if now+p.estimateWait(user) > by {
		t.state = released
		return t, Rejected
	}
	p.queue = append(p.queue, t)
	return t, Queued
}

// Next names who goes next of those who wait, and how, until there is nobody who can. Of users the one goes with the
// fewest statements at work, then the one whose latest turn is longest ago: one that sends much does not
// hold up one that sends little. A user's own go in their order.
func (p *Pool) Next(now time.Duration) (*Ticket, Decision, bool) {
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
	t := p.queue[best]
	p.queue = slices.Delete(p.queue, best, best+1)
	return t, p.assign(now, t), true
}

// before tells whether a user goes before another.
func (p *Pool) hasPriority(a, b string) bool {
	if p.active[a] != p.active[b] {
		return p.active[a] < p.active[b]
	}
	return p.lastDispatch[a] < p.lastDispatch[b]
}

// Leave takes a ticket back whose statement is over, once. Its connection is told of by Free or Closed.
func (p *Pool) Release(now time.Duration, t *Ticket) {
	switch t.state {
	case waiting:
		if i := slices.Index(p.queue, t); i >= 0 {
			p.queue = slices.Delete(p.queue, i, i+1)
		}
	case active:
		took := (now - t.startedAt).Seconds()
		if p.meanHoldSeconds == 0 {
			p.meanHoldSeconds = took
		}
		p.meanHoldSeconds += (took - p.meanHoldSeconds) * holdWeight
		if p.active[t.user]--; p.active[t.user] <= 0 {
			delete(p.active, t.user)
		}
	}
	t.state = released
	if p.active[t.user] == 0 && !slices.ContainsFunc(p.queue, func(o *Ticket) bool { return o.user == t.user }) {
		delete(p.lastDispatch, t.user)
	}
}

// Free tells that a connection is ready for a statement: it has served one, or was opened ahead.
func (p *Pool) AddIdle() { p.idle++ }

// Taken tells that a connection which was free is not any more, without a statement: it is being closed or tidied up.
func (p *Pool) RemoveIdle() { p.idle = max(p.idle-1, 0) }

// Ahead tells whether a connection should be opened ahead, and counts it. One at a time: opening is whether any is
// being opened now. A cold engine, or one that is refused by, is not met by all of them at once.
func (p *Pool) OpenAhead(opening bool) bool {
	if opening || p.open >= p.Limits.MinConnections || !p.canOpen() {
		return false
	}
	p.open++
	return true
}

// Closed tells that a connection is no more.
func (p *Pool) ConnectionClosed() { p.open = max(p.open-1, 0) }

// Stale tells whether a free connection has been idle for too long: those that are kept aren't.
func (p *Pool) IdleExpired(now, used time.Duration) bool {
	return p.Limits.IdleTimeout > 0 && p.open > p.Limits.MinConnections && now-used >= p.Limits.IdleTimeout
}

// LivesFor is how long a connection takes statements; 0: for ever. draw, from 0 to 1, spreads the ages over a tenth, so that
// connections which were opened together don't end together.
func (p *Pool) Lifetime(draw float64) time.Duration {
	return p.Limits.MaxLifetime - time.Duration(draw*float64(p.Limits.MaxLifetime)/10)
}

// Counts are the connections, the free ones among them, and the statements that wait.
func (p *Pool) Counts() (open, idle, waits int) { return p.open, p.idle, len(p.queue) }

// work gives a statement a connection: there is one that is idle, or one may be opened.
func (p *Pool) assign(now time.Duration, t *Ticket) Decision {
	if p.active == nil {
		p.active, p.lastDispatch = map[string]int{}, map[string]uint64{}
	}
	p.dispatches++
	t.state, t.startedAt = active, now
	p.active[t.user]++
	p.lastDispatch[t.user] = p.dispatches
	if p.idle > 0 {
		p.idle--
		return UseIdle
	}
	p.open++
	return OpenNew
}

func (p *Pool) canOpen() bool {
	return p.Limits.MaxConnections <= 0 || p.open < p.Limits.MaxConnections
}

func (p *Pool) belowUserLimit(user string) bool {
	return p.Limits.MaxPerUser <= 0 || p.active[user] < p.Limits.MaxPerUser
}

// ahead tells whether somebody waits whom a newcomer of the user may not pass: any who could go.
func (p *Pool) mustQueue(user string) bool {
	return slices.ContainsFunc(p.queue, func(t *Ticket) bool { return t.user == user || p.belowUserLimit(t.user) })
}

// wait is how long a newcomer of the user would wait at the least: those of the user who wait go first, and of the
// others as many turns as the user takes, each user in turn. Without an idea of how long a connection is kept it is 0:
// nobody is turned away on a guess.
func (p *Pool) estimateWait(user string) time.Duration {
	own, others := 0, map[string]int{}
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
	places := float64(max(p.Limits.MaxConnections, 1))
	if most := p.Limits.MaxPerUser; most > 0 && !p.belowUserLimit(user) { // its own bound holds it up
		before, places = own, float64(most)
	}
	// The first place is free after a part of a turn: with n places, a turn ends every hold/n.
	turns := math.Floor(float64(before) / places)
	return time.Duration((turns*p.meanHoldSeconds + p.meanHoldSeconds/places) * float64(time.Second))
}
