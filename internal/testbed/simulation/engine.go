package simulation

import (
	"fmt"
	"slices"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/workcost"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// lan is the one-way latency between a gateway and its engines.
const lan = 300 * time.Microsecond

// engine is one simulated engine.
type engine struct {
	w       *World
	site    *site
	id      string
	model   *enginemodel.Engine
	down    bool
	listed  bool
	started time.Duration
	timer   *timerqueue.Timer
	last    uint64
	out     map[uint64]*running
}

// running is an attempt at an engine.
type running struct {
	a    *core.Attempt
	g    *gateway
	life int // of the gateway
	e    *engine
	id   uint64
	at   time.Duration
	mark string
}

func newEngine(w *World, s *site, n int) *engine {
	return &engine{w: w, site: s, id: fmt.Sprintf("e-%d-%d", s.n, n), model: enginemodel.New(w.opts.Engine), listed: true, out: map[uint64]*running{}}
}

// entry returns the engine's entry in a gateway's endpoint list.
func (e *engine) entry(state policy.EngineState, g *gateway) core.Engine {
	kind := ""
	if k := e.w.opts.Site.Policy.Kinds; len(k) > 0 {
		kind = k[0].Name
	}
	c := core.Engine{Engine: policy.Engine{ID: e.id, Zone: e.w.opts.Site.Policy.Zone, Kind: kind, State: state}}
	if c.StartKnown = e.started > 0; c.StartKnown {
		c.Started = e.started + g.skew()
	}
	return c
}

// tell updates the endpoint lists of the site's gateways after ToldAfter.
func (e *engine) tell(state policy.EngineState) {
	started := e.started
	e.w.after(e.w.opts.ToldAfter, func() {
		e.listed = state != policy.EngineDeparted
		for _, g := range e.site.gateways {
			entry := e.entry(state, g)
			if entry.StartKnown {
				entry.Started = started + g.skew()
			}
			g.do(func() { g.core.UpdateEndpoints(policy.ListChanges, []core.Engine{entry}) })
		}
	})
}

// die crashes the engine: all running attempts end with a connection reset.
func (e *engine) die() {
	if e.down {
		return
	}
	e.down = true
	e.timer.Stop()
	for _, id := range e.ids() {
		r := e.out[id]
		delete(e.out, id)
		e.w.spent(r, false)
		e.w.after(lan, func() { r.end(core.OutcomeConnectionReset, core.Report{}) })
	}
	e.tell(policy.EngineDeparted)
}

// ids returns the ids of the running attempts in ascending order, so that iteration is deterministic.
func (e *engine) ids() []uint64 {
	ids := make([]uint64, 0, len(e.out))
	for id := range e.out {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start restarts a crashed engine, cold.
func (e *engine) start() {
	if !e.down {
		return
	}
	e.down = false
	e.started = e.w.now
	e.model.Start(e.w.now)
	e.tell(policy.EngineLive)
}

// forget cancels the attempts of a crashed gateway: the engine sees its connections close.
func (e *engine) forget(g *gateway) {
	for _, id := range e.ids() {
		if r := e.out[id]; r.g == g {
			e.cancel(r)
		}
	}
}

// Owner returns the attempt.
func (r *running) Owner() *core.Attempt { return r.a }

// end reports the outcome to the gateway, unless it has crashed since.
func (r *running) end(end core.Outcome, rep core.Report) {
	if r.g.lives == r.life {
		r.g.do(func() { r.g.core.EndAttempt(r.a, end, rep) })
	}
}

// backend implements core.Backend over the simulated engines.
type backend struct {
	g    *gateway
	life int
}

func (b *backend) UpdateEngine(core.Engine)       {}
func (b *backend) SetPriority(*core.Attempt, int) {}
func (b *backend) engine(id string) *engine {
	for _, e := range b.g.site.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// Send sends an attempt to its engine.
func (b *backend) Send(a *core.Attempt) {
	e := b.engine(a.Engine)
	r := &running{a: a, g: b.g, life: b.life, e: e, mark: a.Request.Statement.SQL()}
	a.BackendState = r
	w := b.g.w
	w.after(lan, func() {
		switch {
		case a.Ended() || b.g.lives != b.life || b.g.dead:
		case e == nil:
			r.end(core.OutcomeNoAddress, core.Report{})
		case e.down:
			r.end(core.OutcomeConnectionRefused, core.Report{})
		case !b.g.core.BeginWrite(a):
			r.end(core.OutcomeNotSent, core.Report{})
		default:
			e.take(r)
		}
	})
}

// take starts an attempt at the engine, or answers a repeated key at once.
func (e *engine) take(r *running) {
	w := e.w
	if !w.ledger.begin(w, r) { // a repeated idempotency key
		w.after(lan, func() { r.end(core.OutcomeServed, core.Report{Result: mark(r.mark)}) })
		return
	}
	e.last++
	r.id, r.at = e.last, w.now
	q := workcost.Query(r.mark)
	q.ID = r.id
	took := e.model.Submit(w.now, q)
	if e.model.Fallen() && !e.down {
		w.res.fault("cold engine pushed over", r.mark, fmt.Sprintf("%s, %.2f s after its start, by %v s of work", e.id, (w.now-e.started).Seconds(), q.Work.Seconds()))
		e.die()
		e.model.Start(w.now)
		w.after(20*time.Second, e.start)
	}
	if !took {
		w.after(lan, func() { r.end(core.OutcomeEngineFull, core.Report{}) })
		e.arm()
		return
	}
	e.out[r.id] = r
	e.arm()
}

// arm schedules the next completion at the engine.
func (e *engine) arm() {
	e.timer.Stop()
	at, ok := e.model.Next()
	if !ok {
		return
	}
	e.timer = e.w.queue.Add(max(at, e.w.now), func() {
		for _, d := range e.model.Advance(e.w.now) {
			r := e.out[d.ID]
			if r == nil {
				continue
			}
			delete(e.out, d.ID)
			e.w.spent(r, !r.a.Ended() && !r.g.dead)
			load := e.model.Load()
			rep := core.Report{Result: mark(r.mark), LoadReport: policy.LoadReport{Reported: true, CPUUtilization: load.Util, InFlight: -1, WaitingForMemory: float64(load.Waiting), MemoryUtilization: load.Memory, DiskUtilization: load.Disks}}
			e.w.after(lan, func() { r.end(core.OutcomeServed, rep) })
		}
		e.arm()
	})
}

// Cancel cancels an attempt.
func (b *backend) Cancel(a *core.Attempt) bool {
	if r, ok := a.BackendState.(*running); ok && r.e != nil && r.e.out[r.id] == r {
		r.e.cancel(r)
	}
	return true
}

// cancel removes a running attempt from the engine.
func (e *engine) cancel(r *running) {
	delete(e.out, r.id)
	e.w.spent(r, false)
	e.model.Cancel(e.w.now, r.id)
	e.arm()
}

// spent adds the thread time of an execution to the result; wanted says that its answer was used.
func (w *World) spent(r *running, wanted bool) {
	x := (w.now - r.at).Seconds() * workcost.ClassOf(r.mark).Threads
	w.res.Spent += x
	if !wanted {
		w.res.Wasted += x
	}
}

// ledger records executions. The engines of all sites drop a repeated idempotency key for the
// deduplication window, counted from its first effect.
type ledger struct {
	first map[string]time.Duration
	runs  map[string]*runs
	sends map[string]int // by mark: number of attempts that reached an engine
	tries map[string]int // by mark: number of attempts of its client
}

func newLedger() ledger {
	return ledger{first: map[string]time.Duration{}, runs: map[string]*runs{}, sends: map[string]int{}, tries: map[string]int{}}
}

type runs struct {
	first   time.Duration
	effects int
}

// begin records an execution and reports whether the engine carries it out.
func (l *ledger) begin(w *World, r *running) bool {
	if l.sends[r.mark]++; l.sends[r.mark] > l.tries[r.mark]*w.cfg().MaxAttempts {
		w.res.fault("sent too often", r.mark, fmt.Sprintf("%d sends over all sites for %d tries of its client", l.sends[r.mark], l.tries[r.mark]))
	}
	kind := r.mark[0]
	if kind != 'k' && kind != 'w' {
		return true
	}
	was := l.runs[r.mark]
	if was == nil {
		l.runs[r.mark] = &runs{first: w.now, effects: 1}
		l.first[r.mark] = w.now
		return true
	}
	if kind == 'w' {
		was.effects++
		w.res.fault("effect twice", r.mark, "a write ran again")
		return true
	}
	window := w.window()
	if late := w.now - was.first; late >= window {
		w.res.fault("key window", r.mark, fmt.Sprintf("sent again %v after its first send", late))
	}
	if w.now-l.first[r.mark] < window {
		return false
	}
	l.first[r.mark] = w.now
	was.effects++
	w.res.fault("effect twice", r.mark, "a load ran again")
	return true
}

// window returns the deduplication window of idempotency keys; 0: no class has one.
func (w *World) window() time.Duration {
	for _, c := range w.opts.Site.Policy.Classes {
		if c.Idempotency == policy.IdempotentWithKey {
			return c.DedupWindow
		}
	}
	return 0
}
