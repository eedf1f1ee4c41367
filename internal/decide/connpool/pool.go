// Package connpool decides which statements get a connection to an engine, which wait for one and which
// are rejected. It enforces the operators' limits on connections and users, orders the waiting
// statements, rejects a statement at once if it would wait past its deadline, and says how long
// connections stay open.
//
// The package does no I/O and reads no clock. Callers pass the current time as a duration since an
// origin that they choose, and open and close the connections.
package connpool

import (
	"slices"
	"time"
)

// Limits are the limits on the connections to one engine. A field that is 0 sets no limit.
type Limits struct {
	// MaxConnections bounds the number of connections, including those that are being opened. If it
	// is too small, statements wait although the engine has capacity.
	MaxConnections int
	// MaxPerUser bounds the number of connections that one user uses at a time. It has no effect if
	// MaxConnections is set and not larger.
	MaxPerUser int
	// MinConnections is the number of connections that are opened in advance and stay open while idle.
	// Each takes memory at the engine, even if it is never used.
	MinConnections int
	// IdleTimeout is how long a connection beyond MinConnections stays open while idle. If it is too
	// short, most statements need a new sign-in at the engine.
	IdleTimeout time.Duration
	// MaxLifetime is the age at which a connection is closed once its statement has ended. It exists
	// because an engine's memory for a connection grows with its age.
	MaxLifetime time.Duration
}

// Decision says what a pool does with a statement that needs a connection.
type Decision uint8

// Decisions.
const (
	UseIdle  Decision = iota // the statement gets an idle connection
	OpenNew                  // the statement gets a connection that the caller must open
	Queued                   // the statement waits until Next returns it
	Rejected                 // the statement would wait past its deadline
)

// Ticket represents a statement that waits for a connection or uses one.
type Ticket struct {
	user      string        // user of the statement
	startedAt time.Duration // when it got its connection
	state     ticketState
}

// ticketState is the state of a ticket.
type ticketState uint8

const (
	waiting  ticketState = iota // in the queue
	active                      // has a connection
	released                    // released by the caller, or rejected by Acquire
)

// Pool makes the decisions for the connections to one engine. It must be used by one goroutine only.
// The zero value is an empty pool without limits.
type Pool struct {
	Limits Limits // limits on its connections

	open            int               // number of connections, including those that are being opened
	idle            int               // number of open connections that are ready for a statement
	active          map[string]int    // number of statements with a connection, by user
	queue           []*Ticket         // waiting statements in order of arrival
	meanHoldSeconds float64           // moving average of the time that a statement keeps its connection; 0 means unknown
	dispatches      uint64            // number of statements that have got a connection
	lastDispatch    map[string]uint64 // value of dispatches at the latest dispatch of each user with a ticket
}

// holdTimeGain is the weight of one statement in meanHoldSeconds.
const holdTimeGain = 0.05

// Acquire requests a connection for a statement of a user that can wait until a deadline. The caller
// must pass the ticket to Release when the statement has ended, been cancelled or failed.
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

// Release releases the ticket of a statement that has ended or no longer waits. What becomes of its
// connection is reported separately, by AddIdle or ConnectionClosed. Releasing a ticket a second time
// has no effect.
func (p *Pool) Release(now time.Duration, t *Ticket) {
	switch t.state {
	case waiting:
		if i := slices.Index(p.queue, t); i >= 0 {
			p.queue = slices.Delete(p.queue, i, i+1)
		}
	case active:
		p.recordHoldTime((now - t.startedAt).Seconds())
		p.active[t.user]--
		if p.active[t.user] <= 0 {
			delete(p.active, t.user)
		}
	}
	t.state = released
	if p.active[t.user] == 0 && !p.userIsQueued(t.user) {
		delete(p.lastDispatch, t.user)
	}
}

// recordHoldTime records how long a statement has kept its connection.
func (p *Pool) recordHoldTime(seconds float64) {
	if p.meanHoldSeconds == 0 {
		p.meanHoldSeconds = seconds
	}
	p.meanHoldSeconds += (seconds - p.meanHoldSeconds) * holdTimeGain
}

// assign gives a connection to a statement. The caller has checked that one is idle or may be opened.
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

// canOpen reports whether MaxConnections permits another connection.
func (p *Pool) canOpen() bool {
	return p.Limits.MaxConnections <= 0 || p.open < p.Limits.MaxConnections
}

// belowUserLimit reports whether MaxPerUser permits the user another connection.
func (p *Pool) belowUserLimit(user string) bool {
	return p.Limits.MaxPerUser <= 0 || p.active[user] < p.Limits.MaxPerUser
}
