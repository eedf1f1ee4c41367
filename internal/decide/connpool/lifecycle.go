package connpool

import "time"

// lifetimeJitter is the inverse of the largest fraction by which the lifetime of a connection is
// shortened.
const lifetimeJitter = 10

// AddIdle records that a connection is ready for a statement, after serving one or after it was opened
// in advance.
func (p *Pool) AddIdle() { p.idle++ }

// RemoveIdle records that an idle connection is no longer ready although it serves no statement, as it is
// being closed or reset.
func (p *Pool) RemoveIdle() { p.idle = max(p.idle-1, 0) }

// ConnectionClosed records that a connection has been closed or could not be opened.
func (p *Pool) ConnectionClosed() { p.open = max(p.open-1, 0) }

// OpenAhead reports whether the caller should open a connection in advance, and counts it if so. opening
// is the number of connections that are already being opened in advance. Only one is opened at a time,
// so that an engine that is warming up or refuses connections doesn't get all of them at once.
func (p *Pool) OpenAhead(opening int) bool {
	if opening > 0 || p.open >= p.Limits.MinConnections || !p.canOpen() {
		return false
	}
	p.open++
	return true
}

// IdleExpired reports whether to close an idle connection that was last used at the given time.
// Limits.MinConnections connections stay open.
func (p *Pool) IdleExpired(now, lastUsed time.Duration) bool {
	return p.Limits.IdleTimeout > 0 && p.open > p.Limits.MinConnections && now-lastUsed >= p.Limits.IdleTimeout
}

// Lifetime returns for how long a connection accepts statements; 0 means without limit. random, from 0
// to 1, shortens the lifetime by up to a tenth, so that connections that were opened together aren't
// closed together.
func (p *Pool) Lifetime(random float64) time.Duration {
	return p.Limits.MaxLifetime - time.Duration(random*float64(p.Limits.MaxLifetime)/lifetimeJitter)
}

// Stats are the current numbers of connections and waiting statements of a pool.
type Stats struct {
	Open    int // connections, including those that are being opened
	Idle    int // open connections that are ready for a statement
	Waiting int // statements that wait for a connection
}

// Stats returns the current numbers of connections and waiting statements.
func (p *Pool) Stats() Stats {
	return Stats{Open: p.open, Idle: p.idle, Waiting: len(p.queue)}
}
