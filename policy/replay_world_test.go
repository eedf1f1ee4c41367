package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"gannetspur/policy"
)

// scenario is one deployment and its traffic in the replay test.
type scenario struct {
	name             string
	seed             uint64
	settings         policy.Settings
	engines          int
	duration         time.Duration
	arrivalRate      float64   // arrivals per second
	classMix         []float64 // fraction of the traffic of each class
	estimateFraction float64   // fraction of queries that have an estimate
	reportsInFlight  bool      // load reports include the queries in flight
	faultFactor      float64   // multiplier of the fault rates
}

// replayEngine is a simple engine model: its latency grows with the number of running queries.
type replayEngine struct {
	entry    policy.Engine
	running  int
	down     bool
	hung     bool    // sends neither responses nor progress
	failing  bool    // responds with errors
	slowdown float64 // multiplier of its latency
}

// replayQuery is a query and its attempts. The slices have one element per attempt.
type replayQuery struct {
	class     policy.Class
	engines   []*replayEngine
	ended     []bool
	cancelled []bool
	sentAt    []time.Duration
	work      float64 // in milliseconds, summed over its threads
	memory    float64 // needed, in MB
	granted   float64 // in MB
	done      bool    // answered, or its client has disconnected
}

// replayEvent is a function to run at a time; equal times run in the order of scheduling.
type replayEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q replayQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// replaySimulation runs one gateway in a closed loop with simple engines, and records all of its actions.
type replaySimulation struct {
	scenario
	rng     *rand.Rand
	now     time.Duration
	queue   replayQueue
	order   uint64
	gateway *policy.Gateway
	engines []*replayEngine
	byID    map[string]*replayEngine
	queries map[uint64]*replayQuery
	nextID  uint64
	events  int
	actions int
	record  func(line string)
}

func newReplaySimulation(s scenario, record func(string)) *replaySimulation {
	sim := &replaySimulation{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 77)), now: time.Hour,
		byID: map[string]*replayEngine{}, queries: map[uint64]*replayQuery{}, nextID: 1, record: record}
	zones := []string{"a", "b", "c"}
	for i := range s.engines {
		kind := s.settings.Kinds[i%len(s.settings.Kinds)].Name
		if i == 7 {
			kind = "unheard-of"
		}
		e := &replayEngine{slowdown: 1, entry: policy.Engine{ID: fmt.Sprintf("engine-%02d", i), Zone: zones[i%len(zones)], Kind: kind,
			Cell: int64(i % 4), State: policy.EngineLive}}
		sim.engines = append(sim.engines, e)
		sim.byID[e.entry.ID] = e
	}
	return sim
}

func (sim *replaySimulation) schedule(delay time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, replayEvent{sim.now + max(delay, 0), sim.order, run})
}

func (sim *replaySimulation) randomDelay(maxMilliseconds int) time.Duration {
	return time.Duration(sim.rng.IntN(maxMilliseconds*1000)) * time.Microsecond
}

func (sim *replaySimulation) start(seed uint64) {
	g, err := policy.New(sim.settings, seed)
	if err != nil {
		panic(err)
	}
	sim.gateway = g
}

// run runs the scenario. Halfway a second gateway replaces the first and restores its snapshot.
func (sim *replaySimulation) run() {
	sim.start(sim.seed)
	end := sim.now + sim.duration
	sim.sendList(policy.ListCached, sim.engines...)
	sim.schedule(0, sim.arrive)
	sim.schedule(time.Second, sim.injectFault)
	sim.schedule(sim.duration/2, sim.replaceGateway)
	for sim.queue.Len() > 0 && sim.now < end {
		e := heap.Pop(&sim.queue).(replayEvent)
		sim.now = max(sim.now, e.at)
		e.run()
	}
	sim.writeSnapshot(sim.gateway.Snapshot())
}

func (sim *replaySimulation) replaceGateway() {
	snapshot := sim.gateway.Snapshot()
	sim.writeSnapshot(snapshot)
	sim.start(sim.seed + 1000)
	sim.gateway.Restore(sim.now, snapshot)
	sim.sendList(policy.ListFull, sim.engines...)
	sim.handle(policy.TimerFired{})
}

func (sim *replaySimulation) handle(ev policy.Event) {
	sim.events++
	for _, a := range sim.gateway.Handle(sim.now, ev, nil) {
		if _, isReport := a.(policy.SlowStartChanged); isReport { // changes nothing outside of the gateway
			continue
		}
		sim.actions++
		sim.apply(a)
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// apply records one action and carries it out. The digest covers the recorded text.
func (sim *replaySimulation) apply(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		sim.record(fmt.Sprintf("%d send %d %s %d", sim.now, a.Query, a.Engine, int64(a.Timeout)))
		sim.send(a)
	case policy.Grant:
		sim.record(fmt.Sprintf("%d grant %d %s %d", sim.now, a.Query, formatFloat(a.MemoryMB), a.Priority))
		if q := sim.queries[a.Query]; q != nil {
			q.granted = a.MemoryMB
		}
	case policy.Cancel:
		sim.record(fmt.Sprintf("%d cancel %d %d", sim.now, a.Query, a.Attempt))
		sim.cancel(a)
	case policy.RequestLoadReport:
		sim.record(fmt.Sprintf("%d probe %s", sim.now, a.Engine))
		sim.reportLoad(a.Engine)
	case policy.Reject:
		sim.record(fmt.Sprintf("%d refuse %d %d", sim.now, a.Query, int64(a.RetryAfter)))
		sim.finish(a.Query)
	case policy.Fail:
		sim.record(fmt.Sprintf("%d fail %d", sim.now, a.Query))
		sim.finish(a.Query)
	case policy.SetTimer:
		sim.record(fmt.Sprintf("%d wake %d %d", sim.now, int64(a.After), a.Token))
		g := sim.gateway
		sim.schedule(a.After, func() {
			if sim.gateway == g {
				sim.handle(policy.TimerFired{Token: a.Token})
			}
		})
	case policy.Subscribe:
		sim.record(fmt.Sprintf("%d subscribe", sim.now))
	case policy.Log:
		sim.record(fmt.Sprintf("%d log", sim.now))
	}
}

func (sim *replaySimulation) finish(id uint64) {
	if q := sim.queries[id]; q != nil {
		q.done = true
	}
}

// arrive creates one query and schedules the next one.
func (sim *replaySimulation) arrive() {
	burst := 1.0
	if second := sim.now / time.Second; second%17 < 3 {
		burst = 4
	} else if second%29 < 4 {
		burst = 0.1
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/(sim.arrivalRate*burst)*float64(time.Second)), sim.arrive)

	draw, class := sim.rng.Float64(), sim.settings.Classes[0]
	for i, weight := range sim.classMix {
		if draw -= weight; draw < 0 {
			class = sim.settings.Classes[i]
			break
		}
	}
	id := sim.nextID
	sim.nextID++
	sigma := 0.9
	work := float64(class.LatencyObjective/time.Millisecond) / 4 * exp(sigma*sim.rng.NormFloat64()) * class.Threads
	q := &replayQuery{class: class, work: work, memory: 20 + 400*sim.rng.Float64()*sim.rng.Float64()}
	sim.queries[id] = q
	ev := policy.QueryArrived{Query: id, Class: class.Name, DataSet: int64(sim.rng.ExpFloat64() * 4), Deadline: sim.now + class.Timeout,
		ClientRetry: sim.rng.IntN(20) == 0}
	if len(sim.settings.Tenants) > 0 {
		ev.Tenant = []string{"t0", "t1", "t2", "", "unheard-of"}[min(int(sim.rng.ExpFloat64()*1.2), 4)]
	}
	if class.Ordered {
		ev.Key = []string{"", "k1", "k2", "k3", "k4"}[sim.rng.IntN(5)]
	}
	if sim.rng.Float64() < sim.estimateFraction {
		ev.Work = time.Duration(work * exp(0.4*sim.rng.NormFloat64()) * float64(time.Millisecond))
		ev.MemoryMB = q.memory * exp(0.3*sim.rng.NormFloat64())
	}
	switch sim.rng.IntN(400) {
	case 0:
		ev.Class = "unheard-of"
	case 1:
		ev.Deadline = sim.now - time.Millisecond
	case 2:
		ev.Deadline = sim.now + 50*time.Millisecond
	}
	sim.handle(ev)
	if sim.rng.IntN(500) == 0 {
		sim.handle(ev) // a repeated event
	}
	if sim.rng.IntN(60) == 0 {
		sim.schedule(sim.randomDelay(1500), func() {
			q.done = true
			sim.handle(policy.ClientDisconnected{Query: id})
		})
	}
}

func (sim *replaySimulation) send(s policy.Send) {
	e, q := sim.byID[s.Engine], sim.queries[s.Query]
	attempt := len(q.engines)
	q.engines = append(q.engines, e)
	q.ended = append(q.ended, false)
	q.cancelled = append(q.cancelled, false)
	q.sentAt = append(q.sentAt, sim.now)
	e.running++

	g, id := sim.gateway, s.Query
	latency := q.work / max(q.class.Threads, 1) * e.slowdown * (1 + 0.02*float64(e.running)*float64(e.running)/4) * exp(0.3*sim.rng.NormFloat64())
	duration := time.Duration(latency * float64(time.Millisecond))
	endAfter := func(after time.Duration, result policy.Result) {
		sim.schedule(after, func() {
			if sim.gateway == g {
				sim.endAttempt(id, attempt, result)
			}
		})
	}
	switch p := sim.rng.Float64() / max(sim.faultFactor, 1e-9); {
	case e.down:
		endAfter(sim.randomDelay(30), []policy.Result{policy.ResultConnectFailed, policy.ResultConnectTimeout, policy.ResultConnectionLost}[sim.rng.IntN(3)])
	case e.hung, p < 0.002:
		if sim.rng.IntN(2) == 0 {
			endAfter(s.Timeout, policy.ResultTimeout)
		}
		return // no progress either
	case e.failing, p < 0.008:
		endAfter(sim.randomDelay(20), policy.ResultError)
	case e.running > 40, p < 0.01:
		endAfter(sim.randomDelay(10), policy.ResultRejected)
	case p < 0.012:
		endAfter(sim.randomDelay(5), policy.ResultNotSent)
	case p < 0.014:
		endAfter(sim.randomDelay(300), policy.ResultConnectionLost)
	case p < 0.015:
		endAfter(sim.randomDelay(300), policy.ResultUnknown)
	case p < 0.016:
		endAfter(sim.randomDelay(100), policy.ResultConnectTimeout)
	case p < 0.03: // a bad plan, which shows in the progress
		sim.reportProgress(g, id, attempt, duration*40)
		endAfter(min(duration*40, s.Timeout), policy.ResultTimeout)
		return
	case duration > s.Timeout:
		endAfter(s.Timeout, policy.ResultTimeout)
	default:
		endAfter(duration, policy.ResultSuccess)
	}
	if q.class.Streaming && sim.rng.IntN(2) == 0 {
		sim.schedule(duration/3, func() {
			if sim.gateway == g && !q.ended[attempt] {
				sim.handle(policy.StreamStarted{Query: id, Attempt: attempt})
			}
		})
	}
	sim.reportProgress(g, id, attempt, duration)
}

// reportProgress reports the progress of a running attempt at the interval of the settings.
func (sim *replaySimulation) reportProgress(g *policy.Gateway, id uint64, attempt int, duration time.Duration) {
	interval := sim.settings.ProgressInterval
	if interval == 0 {
		return
	}
	var report func()
	report = func() {
		q := sim.queries[id]
		if sim.gateway != g || q.ended[attempt] || q.engines[attempt].hung {
			return
		}
		ev := policy.AttemptProgress{Query: id, Attempt: attempt, Kind: policy.ProgressFraction,
			Value: float64(sim.now-q.sentAt[attempt]) / float64(duration) * exp(0.2*sim.rng.NormFloat64())}
		switch sim.rng.IntN(14) {
		case 0:
			ev.Kind, ev.Value = policy.ProgressSpilled, max(q.memory-q.granted, 1)
		case 1:
			ev.Kind, ev.Value = policy.ProgressWaitingForMemory, 1
		case 2:
			ev.Kind, ev.Value = policy.ProgressWaitingForDataLoad, 2
		}
		sim.handle(ev)
		sim.schedule(interval, report)
	}
	sim.schedule(interval, report)
}

// endAttempt ends an attempt, and sometimes repeats the event.
func (sim *replaySimulation) endAttempt(id uint64, attempt int, result policy.Result) {
	q := sim.queries[id]
	if q.ended[attempt] {
		return
	}
	if q.cancelled[attempt] && sim.rng.IntN(4) > 0 {
		result = policy.ResultCancelled
	}
	q.ended[attempt] = true
	e := q.engines[attempt]
	e.running--
	ev := policy.AttemptEnded{Query: id, Attempt: attempt, Result: result, Elapsed: sim.now - q.sentAt[attempt], Load: sim.load(e)}
	if result == policy.ResultSuccess {
		ev.Final = !q.done
		q.done = true
		if sim.settings.ReportsCost {
			ev.Work = time.Duration(q.work * float64(time.Millisecond))
			ev.MemoryMB = q.memory
		}
	}
	sim.handle(ev)
	if sim.rng.IntN(300) == 0 {
		sim.handle(ev)
	}
}

func (sim *replaySimulation) cancel(c policy.Cancel) {
	q, g := sim.queries[c.Query], sim.gateway
	q.cancelled[c.Attempt] = true
	if sim.rng.IntN(50) == 0 {
		return // the cancel itself is lost
	}
	sim.schedule(sim.randomDelay(25), func() {
		if sim.gateway == g {
			sim.endAttempt(c.Query, c.Attempt, policy.ResultCancelled)
		}
	})
}

// load returns the load report of an engine, which is sometimes invalid.
func (sim *replaySimulation) load(e *replayEngine) policy.LoadReport {
	if !sim.settings.ReportsLoad {
		return policy.LoadReport{}
	}
	report := policy.LoadReport{Reported: true, CPUUtilization: min(float64(e.running)/16, 1), InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	if sim.reportsInFlight {
		report.InFlight = float64(e.running) * float64(sim.settings.Gateways) * (0.5 + sim.rng.Float64())
	}
	switch sim.rng.IntN(300) {
	case 0:
		report.CPUUtilization, report.InFlight = math.NaN(), -1
	case 1:
		report.InFlight = 1e12
	case 2:
		report.Reported = false
	}
	return report
}

func (sim *replaySimulation) reportLoad(id string) {
	e, g := sim.byID[id], sim.gateway
	sim.schedule(sim.randomDelay(20), func() {
		if sim.gateway != g {
			return
		}
		ev := policy.LoadReportReceived{Engine: id, Result: policy.ResultSuccess, Load: sim.load(e)}
		if e.down || e.hung {
			ev.Result, ev.Load = policy.ResultTimeout, policy.LoadReport{}
		}
		sim.handle(ev)
	})
}

func (sim *replaySimulation) sendList(mode policy.ListMode, engines ...*replayEngine) {
	ev := policy.EngineList{Mode: mode}
	for _, e := range engines {
		ev.Engines = append(ev.Engines, e.entry)
	}
	sim.handle(ev)
}

// injectFault changes the state of a random engine, the engine list or the gateway about every second.
func (sim *replaySimulation) injectFault() {
	sim.schedule(500*time.Millisecond+sim.randomDelay(1000), sim.injectFault)
	e := sim.engines[sim.rng.IntN(len(sim.engines))]
	recovery := 500*time.Millisecond + sim.randomDelay(5000)
	switch sim.rng.IntN(14) {
	case 0: // it crashes and restarts with empty caches
		e.down = true
		sim.schedule(recovery, func() {
			e.down, e.hung, e.failing = false, false, false
			e.entry.State, e.entry.Started, e.entry.StartKnown = policy.EngineLive, sim.now, true
			sim.sendList(policy.ListChanges, e)
		})
	case 1: // it departs from the list and returns
		e.entry.State = policy.EngineDeparted
		sim.sendList(policy.ListChanges, e)
		sim.schedule(recovery, func() {
			e.entry.State, e.entry.Started, e.entry.StartKnown = policy.EngineLive, sim.now-time.Second, true
			sim.sendList(policy.ListFull, sim.engines...)
		})
	case 2:
		e.entry.State = policy.EngineDraining
		sim.sendList(policy.ListChanges, e)
		sim.schedule(recovery, func() {
			e.entry.State = policy.EngineLive
			sim.sendList(policy.ListChanges, e)
		})
	case 3:
		e.hung = true
		sim.schedule(recovery, func() { e.hung = false })
	case 4:
		e.failing = true
		sim.schedule(recovery, func() { e.failing = false })
	case 5:
		e.slowdown = 6
		sim.schedule(recovery, func() { e.slowdown = 1 })
	case 6:
		sim.sendList(policy.ListFailed)
	case 7:
		sim.sendList(policy.ListCached, sim.engines...)
	case 8: // a full list that lacks half of the engines, and a complete one soon after
		sim.sendList(policy.ListFull, sim.engines[:len(sim.engines)/2]...)
		sim.schedule(200*time.Millisecond, func() { sim.sendList(policy.ListFull, sim.engines...) })
	case 9: // the gateway process itself pauses
		sim.now += 300*time.Millisecond + sim.randomDelay(1500)
	}
}

// exp is the exponential function. Unlike math.Exp, it gives the same digits on all machines.
func exp(x float64) float64 { return 1 + math.Expm1(x) }
