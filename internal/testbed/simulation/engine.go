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

// lanLatency is the one-way latency between a gateway and its engines.
const lanLatency = 300 * time.Microsecond

// engine is one simulated engine.
type engine struct {
	w          *World
	site       *site
	id         string
	model      *enginemodel.Engine
	down       bool                  // it has crashed
	listed     bool                  // it is in the endpoint lists
	started    time.Duration         // time of its latest restart; 0: it has not restarted
	timer      *timerqueue.Timer     // next completion
	lastID     uint64                // id of the latest execution
	executions map[uint64]*execution // running executions by id
}

// execution is an attempt on its way to an engine or running there.
type execution struct {
	a          *core.Attempt
	g          *gateway
	generation int           // the gateway's generation when it sent the attempt
	e          *engine       // nil: the gateway knows no engine with this id
	id         uint64        // unique at the engine, from 1; 0: not running yet
	at         time.Duration // start of the execution
	mark       string        // identifies the request
}

// newEngine returns the engine with number n of a site.
func newEngine(w *World, s *site, n int) *engine {
	return &engine{w: w, site: s, id: fmt.Sprintf("e-%d-%d", s.n, n), model: enginemodel.New(w.opts.Engine), listed: true, executions: map[uint64]*execution{}}
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

// updateEndpoints updates the endpoint lists of the site's gateways after ToldAfter.
func (e *engine) updateEndpoints(state policy.EngineState) {
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

// crash crashes the engine: all running attempts end with a connection reset.
func (e *engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.timer.Stop()
	for _, id := range e.ids() {
		r := e.executions[id]
		delete(e.executions, id)
		e.w.recordThreadTime(r, false)
		e.w.after(lanLatency, func() { r.end(core.OutcomeConnectionReset, core.Report{}) })
	}
	e.updateEndpoints(policy.EngineDeparted)
}

// ids returns the ids of the running attempts in ascending order, so that iteration is deterministic.
func (e *engine) ids() []uint64 {
	ids := make([]uint64, 0, len(e.executions))
	for id := range e.executions {
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
	e.updateEndpoints(policy.EngineLive)
}

// cancelFrom cancels the attempts of a crashed gateway: the engine sees its connections close.
func (e *engine) cancelFrom(g *gateway) {
	for _, id := range e.ids() {
		if r := e.executions[id]; r.g == g {
			e.cancel(r)
		}
	}
}

// Owner returns the attempt.
func (r *execution) Owner() *core.Attempt { return r.a }

// end reports the outcome to the gateway, unless it has crashed since.
func (r *execution) end(end core.Outcome, rep core.Report) {
	if r.g.generation == r.generation {
		r.g.do(func() { r.g.core.EndAttempt(r.a, end, rep) })
	}
}

// backend implements core.Backend over the simulated engines, for one generation of a gateway.
type backend struct {
	g          *gateway
	generation int
}

// UpdateEngine does nothing: engines are simulated, so there is no connection to manage.
func (b *backend) UpdateEngine(core.Engine) {}

// SetPriority does nothing: simulated engines have no priorities.
func (b *backend) SetPriority(*core.Attempt, int) {}

// engine returns the site's engine with the id; nil: there is none.
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
	r := &execution{a: a, g: b.g, generation: b.generation, e: e, mark: a.Request.Statement.SQL()}
	a.BackendState = r
	w := b.g.w
	w.after(lanLatency, func() {
		switch {
		case a.Ended() || b.g.generation != b.generation || b.g.dead:
		case e == nil:
			r.end(core.OutcomeNoAddress, core.Report{})
		case e.down:
			r.end(core.OutcomeConnectionRefused, core.Report{})
		case !b.g.core.BeginWrite(a):
			r.end(core.OutcomeNotSent, core.Report{})
		default:
			e.execute(r)
		}
	})
}

// execute starts an attempt at the engine, or answers a repeated key at once.
func (e *engine) execute(r *execution) {
	w := e.w
	if !w.ledger.begin(w, r) { // a repeated idempotency key
		w.after(lanLatency, func() { r.end(core.OutcomeServed, core.Report{Result: mark(r.mark)}) })
		return
	}
	e.lastID++
	r.id, r.at = e.lastID, w.now
	q := workcost.Query(r.mark)
	q.ID = r.id
	accepted := e.model.Submit(w.now, q)
	if e.model.Fallen() && !e.down {
		w.res.fault("cold engine pushed over", r.mark, fmt.Sprintf("%s, %.2f s after its start, by %v s of work", e.id, (w.now-e.started).Seconds(), q.Work.Seconds()))
		e.crash()
		e.model.Start(w.now)
		w.after(20*time.Second, e.start)
	}
	if !accepted {
		w.after(lanLatency, func() { r.end(core.OutcomeEngineFull, core.Report{}) })
		e.scheduleCompletion()
		return
	}
	e.executions[r.id] = r
	e.scheduleCompletion()
}

// scheduleCompletion schedules the next completion at the engine.
func (e *engine) scheduleCompletion() {
	e.timer.Stop()
	at, ok := e.model.Next()
	if !ok {
		return
	}
	e.timer = e.w.queue.Add(max(at, e.w.now), func() {
		for _, d := range e.model.Advance(e.w.now) {
			r := e.executions[d.ID]
			if r == nil {
				continue
			}
			delete(e.executions, d.ID)
			e.w.recordThreadTime(r, !r.a.Ended() && !r.g.dead)
			load := e.model.Load()
			rep := core.Report{Result: mark(r.mark), LoadReport: policy.LoadReport{Reported: true, CPUUtilization: load.Util, InFlight: -1, WaitingForMemory: float64(load.Waiting), MemoryUtilization: load.Memory, DiskUtilization: load.Disks}}
			e.w.after(lanLatency, func() { r.end(core.OutcomeServed, rep) })
		}
		e.scheduleCompletion()
	})
}

// Cancel cancels an attempt.
func (b *backend) Cancel(a *core.Attempt) bool {
	if r, ok := a.BackendState.(*execution); ok && r.e != nil && r.e.executions[r.id] == r {
		r.e.cancel(r)
	}
	return true
}

// cancel removes a running attempt from the engine.
func (e *engine) cancel(r *execution) {
	delete(e.executions, r.id)
	e.w.recordThreadTime(r, false)
	e.model.Cancel(e.w.now, r.id)
	e.scheduleCompletion()
}

// recordThreadTime adds the thread time of an execution to the result; wanted says that its answer was used.
func (w *World) recordThreadTime(r *execution, wanted bool) {
	threadTime := (w.now - r.at).Seconds() * workcost.ClassOf(r.mark).Threads
	w.res.Spent += threadTime
	if !wanted {
		w.res.Wasted += threadTime
	}
}

// ledger records executions. The engines of all sites drop a repeated idempotency key for the
// deduplication window, counted from its first effect.
type ledger struct {
	windowStart map[string]time.Duration // by mark: start of the present deduplication window
	records     map[string]*keyRecord    // by mark
	sends       map[string]int           // by mark: number of attempts that reached an engine
	tries       map[string]int           // by mark: number of attempts of its client
}

// newLedger returns an empty ledger.
func newLedger() ledger {
	return ledger{windowStart: map[string]time.Duration{}, records: map[string]*keyRecord{}, sends: map[string]int{}, tries: map[string]int{}}
}

// keyRecord holds the effects of one load or write.
type keyRecord struct {
	first   time.Duration // time of the first effect
	effects int           // number of effects
}

// begin records an execution and reports whether the engine carries it out.
func (l *ledger) begin(w *World, r *execution) bool {
	if l.sends[r.mark]++; l.sends[r.mark] > l.tries[r.mark]*w.cfg().MaxAttempts {
		w.res.fault("sent too often", r.mark, fmt.Sprintf("%d sends over all sites for %d tries of its client", l.sends[r.mark], l.tries[r.mark]))
	}
	kind := r.mark[0]
	if kind != 'k' && kind != 'w' {
		return true
	}
	record := l.records[r.mark]
	if record == nil {
		l.records[r.mark] = &keyRecord{first: w.now, effects: 1}
		l.windowStart[r.mark] = w.now
		return true
	}
	if kind == 'w' {
		record.effects++
		w.res.fault("effect twice", r.mark, "a write ran again")
		return true
	}
	window := w.window()
	if age := w.now - record.first; age >= window {
		w.res.fault("key window", r.mark, fmt.Sprintf("sent again %v after its first send", age))
	}
	if w.now-l.windowStart[r.mark] < window {
		return false
	}
	l.windowStart[r.mark] = w.now
	record.effects++
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
