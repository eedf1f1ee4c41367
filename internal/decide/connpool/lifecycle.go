package connpool

import "time"

// lifetimeJitter is the inverse of the fraction of the lifetime over which connections' ends are
// spread.
const lifetimeJitter = 10

// AddIdle reports that a connection is ready for a statement: it has served one, or was opened
// ahead.
func (p *Pool) AddIdle() { p.idle++ }

// RemoveIdle reports that an idle connection is no longer ready, without a statement: it is being
// closed or reset.
func (p *Pool) RemoveIdle() { p.idle = max(p.idle-1, 0) }

// ConnectionClosed reports that a connection has ended.
func (p *Pool) ConnectionClosed() { p.open = max(p.open-1, 0) }

// OpenAhead tells whether a connection should be opened ahead, and counts it. opening is the number
// of connections that are being opened: there is one at a time, so that an engine that warms up or
// refuses connections is not met by all of them at once.
func (p *Pool) OpenAhead(opening int) bool {
	if opening > 0 || p.open >= p.Limits.MinConnections || !p.canOpen() {
		return false
	}
	p.open++
	return true
}

// IdleExpired tells whether an idle connection that was last used at an instant should be closed.
// MinConnections stay open.
func (p *Pool) IdleExpired(now, lastUsed time.Duration) bool {
	return p.Limits.IdleTimeout > 0 && p.open > p.Limits.MinConnections && now-lastUsed >= p.Limits.IdleTimeout
}

// Lifetime returns how long a connection takes statements; 0: for ever. random, from 0 to 1, spreads
// the lifetimes, so that connections that were opened together don't end together.
func (p *Pool) Lifetime(random float64) time.Duration {
	return p.Limits.MaxLifetime - time.Duration(random*float64(p.Limits.MaxLifetime)/lifetimeJitter)
}

// Stats are the numbers of connections and of waiting statements.
type Stats struct {
	Open    int // connections, including those that are being opened
	Idle    int // of these, ready for a statement
	Waiting int // statements
}

// Stats returns the pool's numbers.
func (p *Pool) Stats() Stats {
	return Stats{Open: p.open, Idle: p.idle, Waiting: len(p.queue)}
}
