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
	Most     int           // connections at once, those that are being opened too; too few: statements wait while the engine has room
	MostUser int           // of them that work for one user; at Most or above it bounds nothing
	Keep     int           // connections that are opened ahead and stay open while idle; as many take memory at the engine for nothing
	Idle     time.Duration // a connection past Keep that did nothing for so long is closed; too short: each statement pays for a login
	Life     time.Duration // a connection is closed behind its statement once it is so old; an engine's memory for it grows with age
}

// Answer is what becomes of a statement that wants a connection.
type Answer uint8

// Answers.
const (
	Use  Answer = iota // an idle connection
	Open               // a new one
	Wait               // until Next names it
	Full               // it would wait past its time: it is told so now
)

// Ticket is one statement that waits, or works on a connection.
type Ticket struct {
	user  string
	since time.Duration // it works since then
	state state
}

type state uint8

const (
	waiting state = iota
	working
	over
)

// Pool decides for one engine. Its zero value has no limits.
type Pool struct {
	Limits Limits
	open   int            // connections, those that are being opened too
	idle   int            // of these, without a statement and ready for one
	works  map[string]int // statements with a connection, by user
	line   []*Ticket      // that wait, in order of arrival
	hold   float64        // usual time that a statement keeps its connection, seconds; 0: none has ended yet
	turns  uint64
	last   map[string]uint64 // the latest turn of a user who waits or works
}

// holdWeight is that of one statement in the usual time that a connection is kept.
const holdWeight = 0.05

// Ask wants a connection for a statement of a user, who waits for it until by at the latest. The ticket is to be given
// back by Leave, however the statement ends.
func (p *Pool) Ask(now time.Duration, user string, by time.Duration) (*Ticket, Answer) {
	t := &Ticket{user: user}
	if (p.idle > 0 || p.mayOpen()) && p.mayWork(user) && !p.ahead(user) {
		return t, p.work(now, t)
	}
	if now+p.wait(user) > by {
		t.state = over
		return t, Full
	}
	p.line = append(p.line, t)
	return t, Wait
}

// Next names who goes next of those who wait, and how, until there is nobody who can. Of users the one goes with the
// fewest statements at work, then the one whose latest turn is longest ago: one that sends much does not
// hold up one that sends little. A user's own go in their order.
func (p *Pool) Next(now time.Duration) (*Ticket, Answer, bool) {
	if p.idle == 0 && !p.mayOpen() {
		return nil, 0, false
	}
	best := -1
	for i, t := range p.line {
		if p.mayWork(t.user) && (best < 0 || p.before(t.user, p.line[best].user)) {
			best = i
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	t := p.line[best]
	p.line = slices.Delete(p.line, best, best+1)
	return t, p.work(now, t), true
}

// before tells whether a user goes before another.
func (p *Pool) before(a, b string) bool {
	if p.works[a] != p.works[b] {
		return p.works[a] < p.works[b]
	}
	return p.last[a] < p.last[b]
}

// Leave takes a ticket back whose statement is over, once. Its connection is told of by Free or Closed.
func (p *Pool) Leave(now time.Duration, t *Ticket) {
	switch t.state {
	case waiting:
		if i := slices.Index(p.line, t); i >= 0 {
			p.line = slices.Delete(p.line, i, i+1)
		}
	case working:
		took := (now - t.since).Seconds()
		if p.hold == 0 {
			p.hold = took
		}
		p.hold += (took - p.hold) * holdWeight
		if p.works[t.user]--; p.works[t.user] <= 0 {
			delete(p.works, t.user)
		}
	}
	t.state = over
	if p.works[t.user] == 0 && !slices.ContainsFunc(p.line, func(o *Ticket) bool { return o.user == t.user }) {
		delete(p.last, t.user)
	}
}

// Free tells that a connection is ready for a statement: it has served one, or was opened ahead.
func (p *Pool) Free() { p.idle++ }

// Taken tells that a connection which was free is not any more, without a statement: it is being closed or tidied up.
func (p *Pool) Taken() { p.idle = max(p.idle-1, 0) }

// Ahead tells whether a connection should be opened ahead, and counts it. One at a time: opening is whether any is
// being opened now. A cold engine, or one that is refused by, is not met by all of them at once.
func (p *Pool) Ahead(opening bool) bool {
	if opening || p.open >= p.Limits.Keep || !p.mayOpen() {
		return false
	}
	p.open++
	return true
}

// Closed tells that a connection is no more.
func (p *Pool) Closed() { p.open = max(p.open-1, 0) }

// Stale tells whether a free connection has been idle for too long: those that are kept aren't.
func (p *Pool) Stale(now, used time.Duration) bool {
	return p.Limits.Idle > 0 && p.open > p.Limits.Keep && now-used >= p.Limits.Idle
}

// LivesFor is how long a connection takes statements; 0: for ever. draw, from 0 to 1, spreads the ages over a tenth, so that
// connections which were opened together don't end together.
func (p *Pool) LivesFor(draw float64) time.Duration {
	return p.Limits.Life - time.Duration(draw*float64(p.Limits.Life)/10)
}

// Counts are the connections, the free ones among them, and the statements that wait.
func (p *Pool) Counts() (open, idle, waits int) { return p.open, p.idle, len(p.line) }

// work gives a statement a connection: there is one that is idle, or one may be opened.
func (p *Pool) work(now time.Duration, t *Ticket) Answer {
	if p.works == nil {
		p.works, p.last = map[string]int{}, map[string]uint64{}
	}
	p.turns++
	t.state, t.since = working, now
	p.works[t.user]++
	p.last[t.user] = p.turns
	if p.idle > 0 {
		p.idle--
		return Use
	}
	p.open++
	return Open
}

func (p *Pool) mayOpen() bool { return p.Limits.Most <= 0 || p.open < p.Limits.Most }

func (p *Pool) mayWork(user string) bool {
	return p.Limits.MostUser <= 0 || p.works[user] < p.Limits.MostUser
}

// ahead tells whether somebody waits whom a newcomer of the user may not pass: any who could go.
func (p *Pool) ahead(user string) bool {
	return slices.ContainsFunc(p.line, func(t *Ticket) bool { return t.user == user || p.mayWork(t.user) })
}

// wait is how long a newcomer of the user would wait at the least: those of the user who wait go first, and of the
// others as many turns as the user takes, each user in turn. Without an idea of how long a connection is kept it is 0:
// nobody is turned away on a guess.
func (p *Pool) wait(user string) time.Duration {
	own, others := 0, map[string]int{}
	for _, t := range p.line {
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
	places := float64(max(p.Limits.Most, 1))
	if most := p.Limits.MostUser; most > 0 && !p.mayWork(user) { // its own bound holds it up
		before, places = own, float64(most)
	}
	// The first place is free after a part of a turn: with n places, a turn ends every hold/n.
	turns := math.Floor(float64(before) / places)
	return time.Duration((turns*p.hold + p.hold/places) * float64(time.Second))
}
