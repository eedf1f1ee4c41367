package postgres

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/pgproto"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// place is what is kept of one engine beside its links.
type place struct {
	pool  connpool.Pool
	live  bool // connections are opened ahead
	waits map[*connpool.Ticket]*waiter
}

// waiter is an attempt that waits for a connection.
type waiter struct {
	all     *Backend
	attempt *core.Attempt
	ticket  *connpool.Ticket
	place   *place
	late    *timerqueue.Entry // it is told then that there was none
}

// Owner is the attempt that waits.
func (w *waiter) Owner() *core.Attempt { return w.attempt }

// tellBefore is how long before its time is over an attempt that waits is told so: it has never run then, and its client hears
// that it may try again; a moment later all that is known is that an attempt is out.
const tellBefore = 20 * time.Millisecond

// leave takes the attempt out of the line.
func (w *waiter) leave() {
	w.late.Stop()
	delete(w.place.waits, w.ticket)
	w.place.pool.Release(w.all.core.Now(), w.ticket)
}

func (ls *Backend) place(id string) *place {
	p := ls.places[id]
	if p == nil {
		p = &place{pool: connpool.Pool{Limits: ls.opts.Pool}, waits: map[*connpool.Ticket]*waiter{}}
		ls.places[id] = p
	}
	return p
}

// UpdateEngine takes an entry of the roster. Guards against sending to an engine that drains, or is taken out by operators, what
// waited for a connection: it may wait for longer than an engine that drains may be sent to.
func (ls *Backend) UpdateEngine(e core.Engine) {
	ls.engines.Update(e)
	p := ls.place(e.ID)
	if p.live = e.State == policy.EngineLive; p.live {
		ls.next(e.ID)
		ls.ahead(e.ID)
		return
	}
	end := core.OutcomeNotSent
	if e.State == policy.EngineDeparted {
		end = core.OutcomeNoAddress
	}
	for _, w := range p.inOrder() {
		w.leave()
		ls.core.EndAttempt(w.attempt, end, core.Report{})
	}
	ls.forget(e.ID)
}

// inOrder lists who waits in order of their sends: a map has none.
func (p *place) inOrder() []*waiter {
	return slices.SortedFunc(maps.Values(p.waits), func(a, b *waiter) int { return int(a.attempt.SentAt - b.attempt.SentAt) })
}

// forget drops what is kept of an engine that the roster does not name, once its connections have ended: one that comes
// back before has them counted.
func (ls *Backend) forget(id string) {
	if p := ls.places[id]; p != nil && ls.engines.Get(id) == nil {
		if p.pool.Stats().Open == 0 && len(p.waits) == 0 {
			delete(ls.places, id)
		}
	}
}

// Send begins an attempt on an idle connection, on a new one, or when one is free.
func (ls *Backend) Send(a *core.Attempt) {
	e := ls.engines.Get(a.Engine)
	if e == nil {
		ls.core.EndAttempt(a, core.OutcomeNoAddress, core.Report{})
		return
	}
	user := ""
	if s, ok := a.Request.Statement.(*pgproto.Statement); ok {
		user = s.User
	}
	p := ls.place(e.ID)
	ls.ended(e)
	by := a.SentAt + a.Timeout - tellBefore
	switch ticket, answer := p.pool.Acquire(ls.core.Now(), user, by); answer {
	case connpool.Queued:
		ls.stats.Add("links.waited")
		w := &waiter{all: ls, attempt: a, ticket: ticket, place: p}
		p.waits[ticket] = w
		a.LinkState = w
		w.late = ls.loop.Timers.Add(by, func() {
			w.leave()
			ls.core.EndAttempt(a, core.OutcomeNoFreeConnection, core.Report{})
		})
	case connpool.Rejected:
		ls.core.EndAttempt(a, core.OutcomeNoFreeConnection, core.Report{})
	default:
		ls.run(e, a, ticket, answer)
	}
}

// ended has the pool no longer count on connections that have ended, as Closed will tell. Guards against a statement that is
// promised to one of them.
func (ls *Backend) ended(e *backend.Engine[*link]) {
	for _, l := range e.Connections {
		if l.free && l.conn.Disconnected() {
			l.retired = true
			l.taken()
		}
	}
}

// run gives an attempt the connection that the pool says.
func (ls *Backend) run(e *backend.Engine[*link], a *core.Attempt, ticket *connpool.Ticket, answer connpool.Decision) {
	var l *link
	if answer == connpool.UseIdle {
		for _, o := range e.Connections {
			if o.free {
				l = o
				break
			}
		}
	} else {
		l = ls.dial(e)
	}
	l.free = false
	l.attempt, l.ticket, l.written, l.goes = a, ticket, false, false
	l.fresh()
	a.LinkState = l
	if l.ready {
		l.write()
	}
}

// next has those who wait go, as far as there is room.
func (ls *Backend) next(id string) {
	p, e := ls.places[id], ls.engines.Get(id)
	if p == nil || e == nil {
		ls.forget(id)
		return
	}
	for len(p.waits) > 0 {
		ls.ended(e)
		ticket, answer, ok := p.pool.Next(ls.core.Now())
		if !ok {
			return
		}
		w := p.waits[ticket]
		w.late.Stop()
		delete(p.waits, ticket)
		ls.run(e, w.attempt, ticket, answer)
	}
}

// ahead opens a connection ahead where one is wanted.
func (ls *Backend) ahead(id string) {
	p, e := ls.places[id], ls.engines.Get(id)
	if p == nil || e == nil || !p.live {
		return
	}
	opening := 0
	for _, l := range e.Connections {
		if !l.ready && !l.retired {
			opening++
		}
	}
	if p.pool.OpenAhead(opening) {
		ls.dial(e)
	}
}

// rest has a connection without a statement wait for one, or end.
func (l *link) rest() {
	if l.retired {
		l.close(core.OutcomeIdleClosed)
		return
	}
	if l.ready && !l.free {
		l.free = true
		l.place.pool.AddIdle()
		l.all.next(l.engine.ID)
	}
}

// taken tells the pool not to count on the link any more.
func (l *link) taken() {
	if l.free {
		l.free = false
		l.place.pool.RemoveIdle()
	}
}

// watchIdle closes the link once it has idled for too long, unless it is kept.
func (l *link) watchIdle() {
	idle := l.all.opts.Pool.IdleTimeout
	if idle <= 0 {
		return
	}
	l.all.loop.Timers.Add(max(l.used, l.all.core.Now()-idle)+idle, func() {
		switch {
		case l.conn == nil:
		case l.free && l.place.pool.IdleExpired(l.all.core.Now(), l.used):
			l.close(core.OutcomeIdleClosed)
		default:
			if l.attempt != nil || l.free && l.all.core.Now() >= l.used+idle { // at work, or kept
				l.used = l.all.core.Now()
			}
			l.watchIdle()
		}
	})
}

// watchAge has the link take no more once it is old.
func (l *link) watchAge() {
	if life := l.place.pool.Lifetime(rand.Float64()); life > 0 {
		l.all.loop.Timers.Add(l.all.core.Now()+life, func() {
			if l.conn != nil {
				l.Retire()
			}
		})
	}
}
