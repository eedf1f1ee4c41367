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

// scenario is one deployment with its traffic, for the replay test.
type scenario struct {
	name     string
	seed     uint64
	settings policy.Settings
	engines  int
	duration time.Duration
	rate     float64 // arrivals per second
	classMix []float64
	estimate float64 // fraction of queries that come with an estimate
	held     bool    // load reports tell the queries in hand
	faults   float64 // multiplier of the fault rates
}

// replayEngine is a crude engine: its latency grows with what it holds.
type replayEngine struct {
	entry   policy.Engine
	running int
	down    bool
	hung    bool // answers nothing and sends no notes
	failing bool // answers with errors
	slow    float64
}

type replayQuery struct {
	class     policy.Class
	engines   []*replayEngine // of its attempts
	ended     []bool
	cancelled []bool
	sentAt    []time.Duration
	work      float64 // ms
	memory    float64
	granted   float64
	done      bool
}

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

// replayWorld drives one gateway in a closed loop with crude engines, and writes all of its actions to a journal.
type replayWorld struct {
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
	journal func(line string)
}

func newReplayWorld(s scenario, journal func(string)) *replayWorld {
	w := &replayWorld{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 77)), now: time.Hour,
		byID: map[string]*replayEngine{}, queries: map[uint64]*replayQuery{}, nextID: 1, journal: journal}
	zones := []string{"a", "b", "c"}
	for i := range s.engines {
		kind := s.settings.Kinds[i%len(s.settings.Kinds)].Name
		if i == 7 {
			kind = "unheard-of"
		}
		e := &replayEngine{slow: 1, entry: policy.Engine{ID: fmt.Sprintf("engine-%02d", i), Zone: zones[i%len(zones)], Kind: kind,
			Cell: int64(i % 4), State: policy.EngineLive}}
		w.engines = append(w.engines, e)
		w.byID[e.entry.ID] = e
	}
	return w
}

func (w *replayWorld) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, replayEvent{w.now + max(d, 0), w.order, run})
}

func (w *replayWorld) randomDelay(maxMilliseconds int) time.Duration {
	return time.Duration(w.rng.IntN(maxMilliseconds*1000)) * time.Microsecond
}

func (w *replayWorld) start(seed uint64) {
	g, err := policy.New(w.settings, seed)
	if err != nil {
		panic(err)
	}
	w.gateway = g
}

// run plays the scenario. Halfway a second gateway replaces the first, and starts from what that has learned.
func (w *replayWorld) run() {
	w.start(w.seed)
	end := w.now + w.duration
	w.list(policy.ListCached, w.engines...)
	w.after(0, w.arrive)
	w.after(time.Second, w.disturb)
	w.after(w.duration/2, w.replaceGateway)
	for w.queue.Len() > 0 && w.now < end {
		e := heap.Pop(&w.queue).(replayEvent)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.writeSnapshot(w.gateway.Snapshot())
}

func (w *replayWorld) replaceGateway() {
	l := w.gateway.Snapshot()
	w.writeSnapshot(l)
	w.start(w.seed + 1000)
	w.gateway.Restore(w.now, l)
	w.list(policy.ListFull, w.engines...)
	w.handle(policy.TimerFired{})
}

func (w *replayWorld) handle(ev policy.Event) {
	w.events++
	for _, a := range w.gateway.Handle(w.now, ev, nil) {
		w.actions++
		w.apply(a)
	}
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// apply writes one action to the journal and carries it out.
func (w *replayWorld) apply(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		w.journal(fmt.Sprintf("%d send %d %s %d", w.now, a.Query, a.Engine, int64(a.Timeout)))
		w.send(a)
	case policy.Grant:
		w.journal(fmt.Sprintf("%d grant %d %s %d", w.now, a.Query, number(a.MemoryMB), a.Priority))
		if q := w.queries[a.Query]; q != nil {
			q.granted = a.MemoryMB
		}
	case policy.Cancel:
		w.journal(fmt.Sprintf("%d cancel %d %d", w.now, a.Query, a.Attempt))
		w.cancel(a)
	case policy.RequestLoadReport:
		w.journal(fmt.Sprintf("%d probe %s", w.now, a.Engine))
		w.probe(a.Engine)
	case policy.Reject:
		w.journal(fmt.Sprintf("%d refuse %d %d", w.now, a.Query, int64(a.RetryAfter)))
		w.finish(a.Query)
	case policy.Fail:
		w.journal(fmt.Sprintf("%d fail %d", w.now, a.Query))
		w.finish(a.Query)
	case policy.SetTimer:
		w.journal(fmt.Sprintf("%d wake %d %d", w.now, int64(a.After), a.Token))
		g := w.gateway
		w.after(a.After, func() {
			if w.gateway == g {
				w.handle(policy.TimerFired{Token: a.Token})
			}
		})
	case policy.Subscribe:
		w.journal(fmt.Sprintf("%d subscribe", w.now))
	case policy.Log:
		w.journal(fmt.Sprintf("%d log", w.now))
	}
}

func (w *replayWorld) finish(id uint64) {
	if q := w.queries[id]; q != nil {
		q.done = true
	}
}

// arrive takes one query and draws the time of the next.
func (w *replayWorld) arrive() {
	burst := 1.0
	if second := w.now / time.Second; second%17 < 3 {
		burst = 4
	} else if second%29 < 4 {
		burst = 0.1
	}
	w.after(time.Duration(w.rng.ExpFloat64()/(w.rate*burst)*float64(time.Second)), w.arrive)

	pick, class := w.rng.Float64(), w.settings.Classes[0]
	for i, part := range w.classMix {
		if pick -= part; pick < 0 {
			class = w.settings.Classes[i]
			break
		}
	}
	id := w.nextID
	w.nextID++
	sigma := 0.9
	work := float64(class.LatencyObjective/time.Millisecond) / 4 * math.Exp(sigma*w.rng.NormFloat64()) * class.Threads
	q := &replayQuery{class: class, work: work, memory: 20 + 400*w.rng.Float64()*w.rng.Float64()}
	w.queries[id] = q
	ev := policy.QueryArrived{Query: id, Class: class.Name, DataSet: int64(w.rng.ExpFloat64() * 4), Deadline: w.now + class.Timeout,
		Repeat: w.rng.IntN(20) == 0}
	if len(w.settings.Tenants) > 0 {
		ev.Tenant = []string{"t0", "t1", "t2", "", "unheard-of"}[min(int(w.rng.ExpFloat64()*1.2), 4)]
	}
	if class.Ordered {
		ev.Key = []string{"", "k1", "k2", "k3", "k4"}[w.rng.IntN(5)]
	}
	if w.rng.Float64() < w.estimate {
		ev.Work = time.Duration(work * math.Exp(0.4*w.rng.NormFloat64()) * float64(time.Millisecond))
		ev.MemoryMB = q.memory * math.Exp(0.3*w.rng.NormFloat64())
	}
	switch w.rng.IntN(400) {
	case 0:
		ev.Class = "unheard-of"
	case 1:
		ev.Deadline = w.now - time.Millisecond
	case 2:
		ev.Deadline = w.now + 50*time.Millisecond
	}
	w.handle(ev)
	if w.rng.IntN(500) == 0 {
		w.handle(ev) // the same again
	}
	if w.rng.IntN(60) == 0 {
		w.after(w.randomDelay(1500), func() {
			q.done = true
			w.handle(policy.ClientDisconnected{Query: id})
		})
	}
}

func (w *replayWorld) send(s policy.Send) {
	e, q := w.byID[s.Engine], w.queries[s.Query]
	attempt := len(q.engines)
	q.engines = append(q.engines, e)
	q.ended = append(q.ended, false)
	q.cancelled = append(q.cancelled, false)
	q.sentAt = append(q.sentAt, w.now)
	e.running++

	g, id := w.gateway, s.Query
	latency := q.work / q.class.Threads * e.slow * (1 + 0.02*float64(e.running)*float64(e.running)/4) * math.Exp(0.3*w.rng.NormFloat64())
	duration := time.Duration(latency * float64(time.Millisecond))
	endAfter := func(after time.Duration, result policy.Result) {
		w.after(after, func() {
			if w.gateway == g {
				w.endAttempt(id, attempt, result)
			}
		})
	}
	switch p := w.rng.Float64() / max(w.faults, 1e-9); {
	case e.down:
		endAfter(w.randomDelay(30), []policy.Result{policy.ResultConnectFailed, policy.ResultConnectTimeout, policy.ResultConnectionLost}[w.rng.IntN(3)])
	case e.hung, p < 0.002:
		if w.rng.IntN(2) == 0 {
			endAfter(s.Timeout, policy.ResultTimeout)
		}
		return // nor is there any progress
	case e.failing, p < 0.008:
		endAfter(w.randomDelay(20), policy.ResultError)
	case e.running > 40, p < 0.01:
		endAfter(w.randomDelay(10), policy.ResultRejected)
	case p < 0.012:
		endAfter(w.randomDelay(5), policy.ResultNotSent)
	case p < 0.014:
		endAfter(w.randomDelay(300), policy.ResultConnectionLost)
	case p < 0.015:
		endAfter(w.randomDelay(300), policy.ResultUnknown)
	case p < 0.016:
		endAfter(w.randomDelay(100), policy.ResultConnectTimeout)
	case p < 0.03: // a bad plan, as its progress shows
		w.reportProgress(g, id, attempt, duration*40)
		endAfter(min(duration*40, s.Timeout), policy.ResultTimeout)
		return
	case duration > s.Timeout:
		endAfter(s.Timeout, policy.ResultTimeout)
	default:
		endAfter(duration, policy.ResultSuccess)
	}
	if q.class.Streaming && w.rng.IntN(2) == 0 {
		w.after(duration/3, func() {
			if w.gateway == g && !q.ended[attempt] {
				w.handle(policy.StreamStarted{Query: id, Attempt: attempt})
			}
		})
	}
	w.reportProgress(g, id, attempt, duration)
}

// reportProgress reports on a running attempt at the interval that the settings give.
func (w *replayWorld) reportProgress(g *policy.Gateway, id uint64, attempt int, duration time.Duration) {
	every := w.settings.ProgressInterval
	if every == 0 {
		return
	}
	var report func()
	report = func() {
		q := w.queries[id]
		if w.gateway != g || q.ended[attempt] || q.engines[attempt].hung {
			return
		}
		ev := policy.AttemptProgress{Query: id, Attempt: attempt, Kind: policy.ProgressFraction,
			Value: float64(w.now-q.sentAt[attempt]) / float64(duration) * math.Exp(0.2*w.rng.NormFloat64())}
		switch w.rng.IntN(14) {
		case 0:
			ev.Kind, ev.Value = policy.ProgressSpilled, max(q.memory-q.granted, 1)
		case 1:
			ev.Kind, ev.Value = policy.ProgressWaitingForMemory, 1
		case 2:
			ev.Kind, ev.Value = policy.ProgressWaitingForDataLoad, 2
		}
		w.handle(ev)
		w.after(every, report)
	}
	w.after(every, report)
}

// endAttempt ends an attempt, and sometimes repeats the event.
func (w *replayWorld) endAttempt(id uint64, attempt int, result policy.Result) {
	q := w.queries[id]
	if q.ended[attempt] {
		return
	}
	if q.cancelled[attempt] && w.rng.IntN(4) > 0 {
		result = policy.ResultCancelled
	}
	q.ended[attempt] = true
	e := q.engines[attempt]
	e.running--
	ev := policy.AttemptEnded{Query: id, Attempt: attempt, Result: result, Elapsed: w.now - q.sentAt[attempt], Load: w.load(e)}
	if result == policy.ResultSuccess {
		ev.Final = !q.done
		q.done = true
		if w.settings.ReportsCost {
			ev.Work = time.Duration(q.work * float64(time.Millisecond))
			ev.MemoryMB = q.memory
		}
	}
	w.handle(ev)
	if w.rng.IntN(300) == 0 {
		w.handle(ev)
	}
}

func (w *replayWorld) cancel(c policy.Cancel) {
	q, g := w.queries[c.Query], w.gateway
	q.cancelled[c.Attempt] = true
	if w.rng.IntN(50) == 0 {
		return // the cancel itself is lost
	}
	w.after(w.randomDelay(25), func() {
		if w.gateway == g {
			w.endAttempt(c.Query, c.Attempt, policy.ResultCancelled)
		}
	})
}

// load is what an engine reports, sometimes odd.
func (w *replayWorld) load(e *replayEngine) policy.LoadReport {
	if !w.settings.ReportsLoad {
		return policy.LoadReport{}
	}
	l := policy.LoadReport{Reported: true, CPUUtilization: min(float64(e.running)/16, 1), InFlight: -1, WaitingForMemory: -1, MemoryUtilization: -1, DiskUtilization: -1}
	if w.held {
		l.InFlight = float64(e.running) * float64(w.settings.Gateways) * (0.5 + w.rng.Float64())
	}
	switch w.rng.IntN(300) {
	case 0:
		l.CPUUtilization, l.InFlight = math.NaN(), -1
	case 1:
		l.InFlight = 1e12
	case 2:
		l.Reported = false
	}
	return l
}

func (w *replayWorld) probe(id string) {
	e, g := w.byID[id], w.gateway
	w.after(w.randomDelay(20), func() {
		if w.gateway != g {
			return
		}
		ev := policy.LoadReportReceived{Engine: id, Result: policy.ResultSuccess, Load: w.load(e)}
		if e.down || e.hung {
			ev.Result, ev.Load = policy.ResultTimeout, policy.LoadReport{}
		}
		w.handle(ev)
	})
}

func (w *replayWorld) list(mode policy.ListMode, engines ...*replayEngine) {
	ev := policy.EngineList{Mode: mode}
	for _, e := range engines {
		ev.Engines = append(ev.Engines, e.entry)
	}
	w.handle(ev)
}

// disturb changes something about the engines every second or so.
func (w *replayWorld) disturb() {
	w.after(500*time.Millisecond+w.randomDelay(1000), w.disturb)
	e := w.engines[w.rng.IntN(len(w.engines))]
	back := 500*time.Millisecond + w.randomDelay(5000)
	switch w.rng.IntN(14) {
	case 0: // it crashes and comes back with nothing in its caches
		e.down = true
		w.after(back, func() {
			e.down, e.hung, e.failing = false, false, false
			e.entry.State, e.entry.Started, e.entry.StartKnown = policy.EngineLive, w.now, true
			w.list(policy.ListChanges, e)
		})
	case 1: // it leaves the list and comes back
		e.entry.State = policy.EngineDeparted
		w.list(policy.ListChanges, e)
		w.after(back, func() {
			e.entry.State, e.entry.Started, e.entry.StartKnown = policy.EngineLive, w.now-time.Second, true
			w.list(policy.ListFull, w.engines...)
		})
	case 2:
		e.entry.State = policy.EngineDraining
		w.list(policy.ListChanges, e)
		w.after(back, func() {
			e.entry.State = policy.EngineLive
			w.list(policy.ListChanges, e)
		})
	case 3:
		e.hung = true
		w.after(back, func() { e.hung = false })
	case 4:
		e.failing = true
		w.after(back, func() { e.failing = false })
	case 5:
		e.slow = 6
		w.after(back, func() { e.slow = 1 })
	case 6:
		w.list(policy.ListFailed)
	case 7:
		w.list(policy.ListCached, w.engines...)
	case 8: // a list that leaves half of the engines out, and a full one soon after
		w.list(policy.ListFull, w.engines[:len(w.engines)/2]...)
		w.after(200*time.Millisecond, func() { w.list(policy.ListFull, w.engines...) })
	case 9: // the gateway itself stands still
		w.now += 300*time.Millisecond + w.randomDelay(1500)
	}
}
