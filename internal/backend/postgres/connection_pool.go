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

// noConnectionMargin is how long before its time-out an attempt that waits for a connection ends: its client is
// told that it has never run, and may be retried. At the time-out itself only an attempt of unknown state would be seen.
const noConnectionMargin = 20 * time.Millisecond

// enginePool is the connection pool of one engine, and the attempts that wait for it.
type enginePool struct {
	pool    connpool.Pool
	live    bool // connections are opened ahead
	waiting map[*connpool.Ticket]*waiter
}

// waiter is an attempt that waits for a connection.
type waiter struct {
	backend    *Backend
	attempt    *core.Attempt
	ticket     *connpool.Ticket
	enginePool *enginePool
	timer      *timerqueue.Timer // ends the attempt without a connection
}

// Owner returns the attempt that waits.
func (w *waiter) Owner() *core.Attempt { return w.attempt }

// leave takes the attempt out of the queue.
func (w *waiter) leave() {
	w.timer.Stop()
	delete(w.enginePool.waiting, w.ticket)
	w.enginePool.pool.Release(w.backend.core.Now(), w.ticket)
}

// timeOut ends the attempt, for which no connection was free in time.
func (w *waiter) timeOut() {
	w.leave()
	w.backend.core.EndAttempt(w.attempt, core.OutcomeNoFreeConnection, core.Report{})
}

// poolOf returns the pool of an engine, which it creates on the first call.
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

// UpdateEngine applies an entry of the endpoint list. Guards against sending what waited for a connection to an engine
// that drains or that operators have disabled: it may wait for longer than an engine that drains may be sent to.
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
		w.leave()
		b.core.EndAttempt(w.attempt, outcome, core.Report{})
	}
	b.dropPool(entry.ID)
}

// waitersInOrder lists the waiters in the order in which their attempts were sent.
func (p *enginePool) waitersInOrder() []*waiter {
	return slices.SortedFunc(maps.Values(p.waiting), func(a, b *waiter) int {
		return cmp.Compare(a.attempt.SentAt, b.attempt.SentAt)
	})
}

// dropPool drops the pool of an engine that the endpoint list does not have, once its connections have ended: those
// count if the engine comes back before.
func (b *Backend) dropPool(engineID string) {
	p := b.pools[engineID]
	if p == nil || b.engines.Get(engineID) != nil {
		return
	}
	if p.pool.Stats().Open == 0 && len(p.waiting) == 0 {
		delete(b.pools, engineID)
	}
}

// Send starts an attempt on an idle connection, on a new one, or when one is free.
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

// retireDisconnected has the pool no longer count on connections that have ended before their Closed is called. Guards
// against a statement that is assigned to one of them.
func retireDisconnected(engine *backend.Engine[*connection]) {
	for _, c := range engine.Connections {
		if c.idle && c.socket.Disconnected() {
			c.retired = true
			c.leaveIdle()
		}
	}
}

// run gives an attempt the connection that the pool has decided on.
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

func idleConnection(engine *backend.Engine[*connection]) *connection {
	for _, c := range engine.Connections {
		if c.idle {
			return c
		}
	}
	return nil // the pool counts one at least
}

// dispatch runs waiting attempts, as far as the pool has connections for them.
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

// openAhead opens a connection ahead of its first statement where the pool wants one.
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

// becomeIdle gives a connection without a statement to the pool, or closes it.
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

// leaveIdle has the pool no longer count on the connection.
func (c *connection) leaveIdle() {
	if c.idle {
		c.idle = false
		c.enginePool.pool.RemoveIdle()
	}
}
