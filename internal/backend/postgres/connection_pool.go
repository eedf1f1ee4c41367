package postgres

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// noConnectionMargin is how long before its timeout an attempt that waits for a connection ends. Its client then
// learns that the statement has not run and can be retried. At the timeout itself, the attempt's state would be unknown.
const noConnectionMargin = 20 * time.Millisecond

// enginePool is the connection pool of one engine, with the attempts that wait for a connection.
type enginePool struct {
	pool    connpool.Pool
	live    bool                         // the engine is live: connections are opened before a statement needs them
	waiting map[*connpool.Ticket]*waiter // by the pool's record of the attempt
}

// waiter is an attempt that waits for a connection.
type waiter struct {
	backend    *Backend
	attempt    *core.Attempt
	ticket     *connpool.Ticket
	enginePool *enginePool
	timer      *timerqueue.Timer // ends the attempt if no connection is free in time
}

// Owner returns the attempt that waits.
func (w *waiter) Owner() *core.Attempt { return w.attempt }

// dequeue removes the attempt from the queue.
func (w *waiter) dequeue() {
	w.timer.Stop()
	delete(w.enginePool.waiting, w.ticket)
	w.enginePool.pool.Release(w.backend.core.Now(), w.ticket)
}

// timeOut ends the attempt because no connection was free in time.
func (w *waiter) timeOut() {
	w.dequeue()
	w.backend.core.EndAttempt(w.attempt, core.OutcomeNoFreeConnection, core.Report{})
}

// poolOf returns the pool of an engine, and creates it if necessary.
func (b *Backend) poolOf(engineID string) *enginePool {
	p := b.pools[engineID]
	if p == nil {
		p = &enginePool{
			pool:    connpool.Pool{Limits: b.options.Pool},
			waiting: map[*connpool.Ticket]*waiter{},
		}
		b.pools[engineID] = p
	}
	return p
}

// UpdateEngine applies an entry of the endpoint list. If the engine is not live (it drains, or operators have
// disabled it), the attempts that wait for a connection end: they could wait for longer than a draining engine may
// still be sent statements.
func (b *Backend) UpdateEngine(entry core.Engine) {
	b.engines.Update(entry)
	p := b.poolOf(entry.ID)
	p.live = entry.State == policy.EngineLive
	if p.live {
		b.dispatch(entry.ID)
		b.openAhead(entry.ID)
		return
	}
	outcome := core.OutcomeNotSent
	if entry.State == policy.EngineDeparted {
		outcome = core.OutcomeNoAddress
	}
	for _, w := range p.waitersInOrder() {
		w.dequeue()
		b.core.EndAttempt(w.attempt, outcome, core.Report{})
	}
	b.dropPool(entry.ID)
}

// waitersInOrder returns the waiters in the order in which their attempts were sent.
func (p *enginePool) waitersInOrder() []*waiter {
	return slices.SortedFunc(maps.Values(p.waiting), func(a, b *waiter) int {
		return cmp.Compare(a.attempt.SentAt, b.attempt.SentAt)
	})
}

// dropPool deletes the pool of an engine that is not on the endpoint list once it has no open connections and no
// waiters. Until then the pool is kept: if the engine returns, its open connections still count towards the limits.
func (b *Backend) dropPool(engineID string) {
	p := b.pools[engineID]
	if p == nil || b.engines.Get(engineID) != nil {
		return
	}
	if p.pool.Stats().Open == 0 && len(p.waiting) == 0 {
		delete(b.pools, engineID)
	}
}

// Send starts an attempt on an idle or new connection, or queues it until a connection is free.
func (b *Backend) Send(a *core.Attempt) {
	engine := b.engines.Get(a.Engine)
	if engine == nil {
		b.core.EndAttempt(a, core.OutcomeNoAddress, core.Report{})
		return
	}
	user := ""
	if statement, ok := a.Request.Statement.(*pgproto.Statement); ok {
		user = statement.User
	}
	p := b.poolOf(engine.ID)
	retireDisconnected(engine)
	deadline := a.SentAt + a.Timeout - noConnectionMargin
	ticket, decision := p.pool.Acquire(b.core.Now(), user, deadline)
	switch decision {
	case connpool.Queued:
		b.counters.Inc("links.waited")
		w := &waiter{backend: b, attempt: a, ticket: ticket, enginePool: p}
		p.waiting[ticket] = w
		a.BackendState = w
		w.timer = b.loop.Timers.Add(deadline, w.timeOut)
	case connpool.Rejected:
		b.core.EndAttempt(a, core.OutcomeNoFreeConnection, core.Report{})
	default:
		b.run(engine, a, ticket, decision)
	}
}

// retireDisconnected removes idle connections from the pool whose socket has ended but whose Closed method has not
// been called yet. Otherwise a statement could be assigned to one of them.
func retireDisconnected(engine *backend.Engine[*connection]) {
	for _, c := range engine.Connections {
		if c.idle && c.socket.Disconnected() {
			c.retired = true
			c.leaveIdle()
		}
	}
}

// run starts an attempt on an idle or a new connection, as the pool decided.
func (b *Backend) run(engine *backend.Engine[*connection], a *core.Attempt, ticket *connpool.Ticket, decision connpool.Decision) {
	var c *connection
	if decision == connpool.UseIdle {
		c = idleConnection(engine)
	} else {
		c = b.dial(engine)
	}
	c.idle = false
	c.startQuery(a, ticket)
}

// idleConnection returns an idle connection to the engine.
func idleConnection(engine *backend.Engine[*connection]) *connection {
	for _, c := range engine.Connections {
		if c.idle {
			return c
		}
	}
	return nil // not reached: the pool has counted at least one idle connection
}

// dispatch starts waiting attempts while the pool has connections for them.
func (b *Backend) dispatch(engineID string) {
	p := b.pools[engineID]
	engine := b.engines.Get(engineID)
	if p == nil || engine == nil {
		b.dropPool(engineID)
		return
	}
	for len(p.waiting) > 0 {
		retireDisconnected(engine)
		ticket, decision, ok := p.pool.Next(b.core.Now())
		if !ok {
			return
		}
		w := p.waiting[ticket]
		w.timer.Stop()
		delete(p.waiting, ticket)
		b.run(engine, w.attempt, ticket, decision)
	}
}

// openAhead opens a connection before a statement needs it, if the pool asks for one.
func (b *Backend) openAhead(engineID string) {
	p := b.pools[engineID]
	engine := b.engines.Get(engineID)
	if p == nil || engine == nil || !p.live {
		return
	}
	opening := 0
	for _, c := range engine.Connections {
		if !c.startup.done && !c.retired {
			opening++
		}
	}
	if p.pool.OpenAhead(opening) {
		b.dial(engine)
	}
}

// becomeIdle returns a free connection to the pool, or closes it if it is retired.
func (c *connection) becomeIdle() {
	if c.retired {
		c.close(core.OutcomeIdleClosed)
		return
	}
	if c.startup.done && !c.idle {
		c.idle = true
		c.enginePool.pool.AddIdle()
		c.backend.dispatch(c.engine.ID)
	}
}

// leaveIdle removes the connection from the pool's idle connections.
func (c *connection) leaveIdle() {
	if c.idle {
		c.idle = false
		c.enginePool.pool.RemoveIdle()
	}
}
