// Package connpool decides which connection to an engine a statement gets, and which statements
// wait for one: the limits that operators set on connections and on users, the order of those who
// wait, who is rejected at once because it would wait in vain, and how long a connection lives. It
// does no I/O and reads no clock; a Pool is one engine's and belongs to one goroutine.
package connpool

import (
	"slices"
	"time"
)

// Limits bound the connections to one engine. Zero values set no bound.
type Limits struct {
	// MaxConnections counts those that are being opened too; too few: statements wait while the
	// engine has capacity.
	MaxConnections int
	// MaxPerUser bounds the connections in use by one user; at MaxConnections or above it bounds
	// nothing.
	MaxPerUser int
	// MinConnections are opened ahead and stay open while idle; many take memory at the engine for
	// nothing.
	MinConnections int
	// IdleTimeout is after which a connection beyond MinConnections is closed while idle; too
	// short: each statement pays for a sign-in.
	IdleTimeout time.Duration
	// MaxLifetime is after which a connection is closed behind its statement; an engine's memory
	// for it grows with age.
	MaxLifetime time.Duration
}

// Decision is what becomes of a statement that wants a connection.
type Decision uint8

// Decisions.
const (
	UseIdle  Decision = iota // it gets an idle connection
	OpenNew                  // it gets a new connection
	Queued                   // it waits until Next returns it
	Rejected                 // it would wait past its time
)

// Ticket is one statement that waits for a connection or uses one.
type Ticket struct {
	user      string
	startedAt time.Duration // of its use of the connection
	state     ticketState
}

type ticketState uint8

const (
	waiting ticketState = iota
	active
	released
)

// Pool decides for one engine. Its zero value has no limits.
type Pool struct {
	Limits Limits

	open            int            // connections, including those that are being opened
	idle            int            // of these, ready for a statement
	active          map[string]int // statements with a connection, by user
	queue           []*Ticket      // in order of arrival
	meanHoldSeconds float64        // how long a statement keeps its connection; 0: none has ended yet
	dispatches      uint64
	lastDispatch    map[string]uint64 // number of the latest dispatch of each user who waits or is active
}

// holdGain is the weight of one statement in the mean time that a connection is kept.
const holdGain = 0.05

// Acquire asks for a connection for a statement of a user, who waits for it until a deadline. The
// ticket is to be given back by Release, however the statement ends.
func (p *Pool) Acquire(now time.Duration, user string, deadline time.Duration) (*Ticket, Decision) {
	t := &Ticket{user: user}
	if (p.idle > 0 || p.canOpen()) && p.belowUserLimit(user) && !p.mustQueue(user) {
		return t, p.assign(now, t)
	}
	if now+p.estimateWait(user) > deadline {
		t.state = released
		return t, Rejected
	}
	p.queue = append(p.queue, t)
	return t, Queued
}

// Release takes back the ticket of a statement that has ended. Its connection is reported by
// AddIdle or ConnectionClosed. Releasing a ticket again does nothing.
func (p *Pool) Release(now time.Duration, t *Ticket) {
	switch t.state {
	case waiting:
		if i := slices.Index(p.queue, t); i >= 0 {
			p.queue = slices.Delete(p.queue, i, i+1)
		}
	case active:
		p.recordHold((now - t.startedAt).Seconds())
		p.active[t.user]--
		if p.active[t.user] <= 0 {
			delete(p.active, t.user)
		}
	}
	t.state = released
	if p.active[t.user] == 0 && !p.userWaits(t.user) {
		delete(p.lastDispatch, t.user)
	}
}

func (p *Pool) recordHold(seconds float64) {
	if p.meanHoldSeconds == 0 {
		p.meanHoldSeconds = seconds
	}
	p.meanHoldSeconds += (seconds - p.meanHoldSeconds) * holdGain
}

// assign gives a statement a connection: there is an idle one, or one may be opened.
func (p *Pool) assign(now time.Duration, t *Ticket) Decision {
	if p.active == nil {
		p.active = map[string]int{}
		p.lastDispatch = map[string]uint64{}
	}
	p.dispatches++
	t.state = active
	t.startedAt = now
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
