package policy

// The decisions. The interface (settings, events, actions) is in api.go, the types of what is kept in
// state.go, the check of the settings in check.go. Parts, in order: the gateway and its events; the query's
// life; the choice of engine; the guards of the rules; engine state: control loop, health, cold ramp.

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The loop's figures. The period and c are the paper's.
const (
	period      = 500 * time.Millisecond // control period
	ticks       = 5                      // health checks in a period
	gainC       = 0.3                    // c: pole of the closed loop
	lambda      = 0.3                    // weight of the newest period in alpha
	startCores  = 2.0                    // bound at the start, threads a core
	swapCaution = 0.85                   // of that, where short memory slows a whole engine
	waitEase    = 1.5                    // and more, where what finds no memory waits in line
	capStarts   = 1.2                    // a bound stays under this many starts, and the cap always binds
	floorShare  = 0.5                    // bound floor, of one thread
	pressure    = 0.8                    // mean latency over aim from which a bound binds
	overShare   = 0.5                    // part of a bound open to traffic beyond a tenant's share
	slowTimes   = 5.0                    // an attempt this many times over its class's usual is badly planned
	kneeTimes   = 1.6                    // times the quick latency from which the top of a bound shrinks
	hopeless    = 0.7                    // of the time left, projected, that ends a query early
	quietNotes  = 2.6                    // note intervals without word that make an engine suspect
	lostNotes   = 2.2                    // and this many, while others are heard, that its answer is lost
	waitNotes   = 13.0                   // or this many, where the engine told that it waits
	muteAfter   = 2                      // answers of a class lost, and no word of it, that make one mute
	startLeast  = 2 * time.Second        // in which no process ends and serves again
	faultStep   = 0.4                    // weight of a failed connection among faults; an error half
	faultMost   = 0.6                    // share of faults that makes an engine suspect
	coldMargin  = 0.7                    // part of a cold engine's budget that is used
	coldBurst   = 0.5                    // and this part of a span's budget may go at once
	swapCover   = 3.0                    // times a class's need granted where memory pages, unestimated
	grantCover  = 0.87                   // part of its queries whose need a class's grant should cover
	hotSpread   = 2.0                    // engines near a data set for each engine's worth of its traffic
	setPrior    = 2.0                    // queries as which an unseen set counts, among ten such
	setMemory   = 256                    // queries over which the sets' parts of the traffic are counted
	tokenRoom   = 2.0                    // spread of a second's queries that a tenant's allowance forgives
	levelSlack  = 0.3                    // told level under one at which that room is as if nothing were told
	chance      = 2.0                    // spread in what is held that the bound of all leaves room for
	spreads     = 3.0                    // mean deviations of latency from which an attempt is overdue
	toldFor     = 2 * period             // age at which a told load has faded to a third
	freeShare   = 0.5                    // of the threads that an engine tells to be free, for one gateway
	mostHeld    = 50.0                   // queries a core that a report is believed to tell at most
	uneven      = 2.0                    // equal shares that one gateway may have, unless it is told more
	usualRank   = 2.5                    // priority of a query of the usual worth over its work
	coldCost    = 1.3                    // and each query counts this much over its expected work
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// New returns a gateway for the settings, or an error naming the field at fault.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := check(&s); err != nil {
		return nil, fmt.Errorf("policy: settings: %w", err)
	}
	// An engine that trims grants doesn't show what a query would have needed.
	s.HonorsGrants = s.HonorsGrants && (s.ReportsCost || s.MemoryShortage != ShortageTrim)
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, seed)), classes: map[string]*class{},
		tenants: map[string]*tenant{}, kinds: map[string]Kind{}, byID: map[string]*engine{},
		queries: map[uint64]*query{}, lanes: map[string]*lane{}, width: 1,
		sets:  map[int64]float64{},
		quiet: time.Duration(quietNotes * float64(s.ProgressInterval))}
	for _, c := range s.Classes {
		if c.Threads <= 0 {
			c.Threads = 1
		}
		usual := ms(c.LatencyObjective) / 3
		g.widest = max(g.widest, c.Threads)
		g.classes[c.Name] = &class{Class: c, latency: usual, quick: usual, work: usual * c.Threads,
			grant: 1, spread: 1 / spreads}
		if s.ProgressInterval == 0 {
			g.quiet = max(g.quiet, c.LatencyObjective)
		}
	}
	for _, t := range s.Tenants {
		g.tenants[t.Name] = &tenant{Tenant: t, tokens: t.Quota + 1}
		g.quota += t.Quota
	}
	for _, k := range s.Kinds {
		g.kinds[k.Name] = k
	}
	g.rate = g.quota / float64(s.Gateways)
	switch g.full = startCores; s.MemoryShortage {
	case ShortageSwap:
		g.full *= swapCaution
	case ShortageQueue: // the engine's line for memory holds an excess, by priority
		g.full *= waitEase
	}
	return g, nil
}

// Handle takes one event and appends the actions that it leads to.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.out = max(now, g.now), out
	if !g.started {
		g.started, g.born = true, now
		g.act(SetTimer{After: period / ticks})
		if g.set.SubscribeToList {
			g.act(Subscribe{})
		}
	}
	switch ev := ev.(type) {
	case QueryArrived:
		g.arrive(ev)
	case AttemptEnded:
		g.outcome(ev)
	case LoadReportReceived:
		if e := g.byID[ev.Engine]; e != nil {
			g.told(e, ev.Load)
		}
	case AttemptProgress:
		g.note(ev)
	case StreamStarted:
		if a := g.attempt(ev.Query, ev.Attempt); a != nil {
			a.stream, a.e.heard = true, g.now
		}
	case ClientDisconnected:
		if q := g.queries[ev.Query]; q != nil {
			g.over(q)
		}
	case TimerFired:
		g.timer(ev.Token)
	case EngineList:
		g.list(ev)
	}
	out, g.out = g.out, nil
	return out
}

func (g *Gateway) act(a Action) { g.out = append(g.out, a) }

// timer runs health check and control loop (token 0) or ends a query in its time (its id and one).
func (g *Gateway) timer(token uint64) {
	if token != 0 {
		q := g.queries[token-1]
		if q != nil && !slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.stream && !a.ended }) {
			g.giveUp(q)
		}
		return
	}
	g.act(SetTimer{After: period / ticks})
	if g.now-g.ticking > 2*period/ticks {
		g.awake = g.now
	}
	g.ticking = g.now
	for _, e := range g.engines {
		g.watch(e)
	}
	g.pump()
	if g.ticked++; g.ticked%ticks == 0 {
		g.rate += (float64(g.arrived)/period.Seconds() - g.rate) / float64(min(4+g.ticked/ticks, 80))
		g.arrived = 0
		g.mine += (float64(len(g.queries))/float64(max(len(g.engines), 1)) - g.mine) / 40
		for _, e := range g.engines {
			g.scale(e)
			g.control(&e.loop)
		}
		g.tidy()
		g.scaleAll()
		g.control(&g.fleet)
	}
}

// ---- The query's life ----

func (g *Gateway) arrive(ev QueryArrived) {
	if g.queries[ev.Query] != nil {
		return
	}
	if !ev.Repeat {
		g.arrived++
	}
	if g.set.Rules.RetryBudgetWindow > 0 {
		g.taken = append(g.taken, g.now)
	}
	c := g.classes[ev.Class]
	if c == nil { // nothing is known of what a repeat would do: nothing is sent
		g.act(Reject{Query: ev.Query, RetryAfter: g.comeBack()})
		return
	}
	q := &query{id: ev.Query, class: c, key: ev.Key, set: ev.DataSet,
		memory: ev.MemoryMB, deadline: ev.Deadline}
	q.work, q.weight = c.work, c.Threads
	if w := ms(ev.Work); w > 0 {
		if c.guess == 0 {
			c.guess = w
		}
		c.guess += (w - c.guess) / 50
		part := min(max(w/c.guess, 0.1), 30)
		q.work, q.weight = c.work*part, c.Threads*min(max(part, 0.25), 2)
	}
	q.rank = math.Log2(max(c.PriorityWeight, 1e-9) / q.work)
	if g.dear == 0 {
		g.dear = q.rank
	}
	g.dear += (q.rank - g.dear) / 50
	q.rank -= g.dear
	if q.part = 1; ev.Work > 0 { // a step is a quarter; without estimates all of a class would be shed
		q.part = min(max(1+q.rank/4, overShare), 2-overShare)
	}
	if g.overShare(ev.Tenant) {
		q.part *= overShare
	}
	g.queries[q.id] = q
	g.popular(q.set)
	g.probe()
	g.act(SetTimer{After: max(0, q.deadline-g.now-g.set.CallInterval), Token: q.id + 1})
	g.enter(q)
	if g.turn(q) {
		g.admit(q)
	} else {
		g.waiting = append(g.waiting, q)
	}
}

// overShare takes one from the tenant's allowance: its quota, for this
// gateway's part of all traffic. Unknown tenants count as beyond their share.
func (g *Gateway) overShare(name string) bool {
	t := g.tenants[name]
	if t == nil {
		return len(g.tenants) > 0
	}
	full := t.Quota * g.share() // a second's worth; where that is few queries, chance needs more room
	t.tokens = min(t.tokens+full*(g.now-t.filled).Seconds(), full+tokenRoom*math.Sqrt(full)+1)
	t.filled = g.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// share is this gateway's part of all traffic: equal, or as its own first tries stand to the quotas.
func (g *Gateway) share() float64 {
	even, most := 1/float64(g.set.Gateways), 1.0
	if g.theirs == 0 { // nobody tells what all gateways hold
		most = min(uneven*even, 1)
	}
	if g.quota <= 0 { // what is out here, of what the engines tell that they hold
		return min(max(g.mine/max(g.theirs, 1), even), most)
	}
	return min(max(g.rate/g.quota, even), 1)
}

// admit sends the query to an engine where it fits, or refuses it at once.
func (g *Gateway) admit(q *query) {
	if e := g.choose(q); e != nil {
		g.send(q, e)
	} else {
		g.giveUp(q)
	}
}

// outcome ends an attempt and, where the client still waits, decides on another.
func (g *Gateway) outcome(ev AttemptEnded) {
	a := g.attempt(ev.Query, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	q, e := a.q, a.e
	a.ended = true
	a.ran = !ev.Result.NeverRan()
	g.drop(a)
	g.learn(a, ev)
	g.told(e, ev.Load)
	switch ev.Result {
	case ResultTimeout, ResultConnectionLost, ResultCancelled, ResultUnknown: // it may run still
		g.rest(q)
	}
	switch {
	case ev.Final || q.done:
		g.over(q)
	case q.outstanding(): // its outcome will decide
	case ms(q.deadline-g.now) <= q.class.latency/4, q.errors() > 1: // too late for another, or in vain
		g.giveUp(q)
	default:
		g.admit(q)
	}
}

// learn takes from an outcome what it tells of the class and the engine.
func (g *Gateway) learn(a *attempt, ev AttemptEnded) {
	c, e := a.q.class, a.e
	switch ev.Result {
	case ResultSuccess:
		took := ms(ev.Elapsed)
		c.n++
		slow := float64(min(10+c.n, 50)) // the first answers teach more
		far := math.Abs(took*c.work/(c.latency*a.q.work) - 1)
		c.spread += (min(far, slowTimes) - c.spread) / slow
		c.latency += (took - c.latency) / slow
		c.quick = min(c.quick*1.0005, c.latency)
		e.answered(took/g.aim(a.q), took/c.quick)
		g.fleet.answered(took/g.aim(a.q), took/c.quick)
		if ev.Work > 0 {
			c.work += (ms(ev.Work) - c.work) / slow
		} else if !g.set.ReportsCost {
			c.work = c.quick * c.Threads
		}
		// Where memory is swapped, a grant beyond the need costs nobody anything.
		if g.set.MemoryShortage == ShortageSwap && a.q.memory == 0 {
			c.ample += (swapCover*ev.MemoryMB - c.ample) / min(float64(c.n), slow)
		}
		if a.q.memory > 0 && ev.MemoryMB > c.grant*a.q.memory {
			c.grant *= 1 + grantCover/10
		} else if a.q.memory > 0 && !a.spilled {
			c.grant *= 1 - (1-grantCover)/10
		}
		e.faults -= e.faults * faultStep / 2
		e.heard, e.erring = g.now, false
		g.spoke(a)
		for _, b := range a.q.tries { // an error may be the query's own; not where another engine serves it
			if b.erred && b.e != e {
				g.fault(b.e, faultStep/2, "it answers with errors")
			}
		}
	case ResultTimeout:
		e.answered(ms(ev.Elapsed)/g.aim(a.q), e.slow)
		g.fleet.answered(ms(ev.Elapsed)/g.aim(a.q), g.fleet.slow)
	case ResultRejected:
		e.pressed = g.now + 4*period
		e.heard = g.now
	case ResultConnectFailed, ResultConnectTimeout, ResultConnectionLost:
		// The engine may have restarted, and the list says so seconds later. What ends together is one fault.
		if g.now-e.lostAt >= period/ticks || ev.Result != ResultConnectionLost {
			g.fault(e, faultStep, "connections fail")
		}
		if ev.Result == ResultConnectTimeout && g.now-e.heard < startLeast { // the connection alone is late
			return
		}
		if e.lostAt = g.now; ev.Result == ResultConnectFailed {
			e.doubted = false
		} else if !e.doubted {
			e.doubted, e.coldWas = true, e.coldUntil
		}
		g.chill(e, g.now, max(e.coldUntil, g.now+g.set.Rules.WarmUpPeriod))
	case ResultError:
		e.heard, a.erred = g.now, true
	}
}

// told takes an engine's report: the level that all engines seem to stand at, as
// cores in use or as threads held over a bound's start, of all gateways.
func (g *Gateway) told(e *engine, l LoadReport) {
	if !l.Reported || !(max(l.InFlight, l.CPUUtilization) >= 0) {
		return
	}
	e.load = g.full * l.CPUUtilization
	e.free = 0
	if l.InFlight >= 0 { // busy cores say nothing of what waits
		held := min(l.InFlight, mostHeld*e.cores)
		g.theirs += (held - g.theirs) / 40
		e.load = held * g.width / e.cores
		e.free = max(g.full-e.load, 0) * e.cores
	}
	e.toldAt, e.load = g.now, min(e.load, 2*g.full)
	g.fleet.level += (e.load/g.full - g.fleet.level) / 5
	g.load += (e.load - g.load) / 20
}

// probe asks an engine for its load with each query taken, seldomer while all are
// idle: what one gateway sees of an engine in passing is seconds old.
func (g *Gateway) probe() {
	busy := max(g.fleet.level, levelSlack) / (1 - levelSlack)
	allowed := g.set.Limits.AllowLoadRequests && g.set.ReportsLoad
	if !allowed || len(g.engines) == 0 || g.rng.Float64() > busy {
		return
	}
	if e := g.engines[g.rng.IntN(len(g.engines))]; e.state == EngineLive {
		g.act(RequestLoadReport{Engine: e.id})
	}
}

// relief is how far under the usual an engine's told load lies, in threads, less
// the older the report: what other gateways hold there is not in our backlog.
func (g *Gateway) relief(e *engine) float64 {
	if e.toldAt == 0 {
		return 0
	}
	return 0.25 * min(g.load-e.load, 0) * e.cores * math.Exp(-float64(g.now-e.toldAt)/float64(toldFor))
}

// spare is what this gateway may hold at an engine beyond its own part of it: of what the engine told to be
// free, less what went there since, and less the older the report and the fuller all engines. Guards against
// refusals at a gateway with more than its equal share of the traffic, while engines stand half empty.
func (g *Gateway) spare(e *engine) float64 {
	free := e.free
	for _, a := range e.out {
		if a.sent >= e.toldAt {
			free -= a.q.weight
		}
	}
	ease := min(max((1-g.fleet.level)/levelSlack, 0), 1)
	return freeShare * ease * g.warm(e) * max(free, 0) * math.Exp(-float64(g.now-e.toldAt)/float64(toldFor))
}

// aim is the class aim, stretched by the query's expected work, in ms.
func (g *Gateway) aim(q *query) float64 {
	c := q.class
	return min(ms(c.LatencyObjective)+c.ObjectiveStretch*q.work/c.Threads, ms(c.Timeout))
}

// note takes word of an attempt. Guards against bad plans and slow engines: one on its way to a multiple
// of its class's usual latency, or past the deadline, is cancelled where another has time to finish.
func (g *Gateway) note(ev AttemptProgress) {
	a := g.attempt(ev.Query, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	a.heard, a.e.heard = g.now, g.now
	a.waits = ev.Kind == ProgressWaitingForMemory || ev.Kind == ProgressWaitingForDataLoad
	g.spoke(a)
	if ev.Kind == ProgressWaitingForDataLoad {
		a.e.heldSets[a.q.set] = g.now + 2*g.set.ProgressInterval
	}
	q := a.q
	if c := q.class; ev.Kind == ProgressSpilled && !a.spilled && q.memory > 0 && !g.set.ReportsCost &&
		2*a.grant >= c.grant*q.memory { // else it got the most that one query gets
		a.spilled = true
		c.grant = max(c.grant*(1+grantCover/10), (c.grant+(a.grant+ev.Value)/q.memory)/2)
	}
	usual := q.class.latency * q.work / q.class.work
	rest := ms(q.deadline - g.now)
	if a.cancel || q.done || !g.set.Limits.AllowCancel || ev.Kind == ProgressSpilled {
		return
	}
	if ev.Kind != ProgressFraction { // it stands still; elsewhere it would run. A ration is for what fails,
		// and where memory is short on two engines, or all are full, it would but lose its place in line
		once := ev.Kind == ProgressWaitingForDataLoad || len(q.tries) == 1 && g.fleet.level <= 1-levelSlack
		inTime := ms(g.now-a.sent)+usual < g.aim(q)
		if once && g.set.Rules.RetryBudgetWindow == 0 && q.class.Idempotency == Idempotent && inTime {
			g.shift(a)
		}
		return
	}
	done := min(max(ev.Value, 0.001), 1)
	left := ms(g.now-a.sent) * (1 - done) / done
	late := left > rest
	// A second attempt as slow as the first shows that the query itself is heavy;
	// one whose fresh run would miss the aim too is left to finish.
	slow := left > slowTimes*usual && ms(g.now-a.sent)+usual < g.aim(q)
	switch {
	case len(q.tries) == 1 && (slow || late) && usual*1.5 < rest && g.shift(a):
		a.e.slow += (4*kneeTimes - a.e.slow) / 10 // the engine may be the cause
	case left > hopeless*rest && g.mayRefuse(q): // it would hold its place to the deadline
		g.giveUp(q)
	}
}

// move cancels an attempt where the rules leave its query another.
func (g *Gateway) move(a *attempt) bool { return g.again(a.q) && g.cancel(a) }

// shift moves an attempt that may yet be answered, where another engine may have it or the same one again.
// Guards against a refusal of what the only engine is about to answer.
func (g *Gateway) shift(a *attempt) bool {
	return slices.ContainsFunc(g.engines, func(e *engine) bool {
		return (e != a.e || g.set.Limits.AllowHedging) && g.suits(a.q, e)
	}) && g.move(a)
}

func (g *Gateway) cancel(a *attempt) bool {
	if a.cancel || a.ended || a.stream || !g.set.Limits.AllowCancel {
		return false
	}
	a.cancel = true
	g.act(Cancel{Query: a.q.id, Attempt: a.n})
	return true
}

// comeBack spreads the return of refused clients over the time they honour.
func (g *Gateway) comeBack() time.Duration {
	half := g.set.Limits.MaxRetryAfter / 2
	if !g.set.Limits.SendRetryAfter || half <= 0 {
		return 0
	}
	return half + time.Duration(g.rng.Int64N(int64(half)))
}

// ---- The choice of engine ----

// choose finds the roomiest engine where the query fits.
func (g *Gateway) choose(q *query) *engine {
	if !g.open(q) {
		return nil
	}
	var best *engine
	most, mark := math.Inf(-1), g.mark(q.set)
	for _, e := range g.engines {
		bound := g.limit(q, &e.loop) + g.spare(e)
		if e.suspected && g.trial(q, e) {
			return e
		}
		if e.suspected || g.mute(e, q.class) || !g.fits(q, &e.loop, bound) || !g.maySend(q, e) {
			continue
		}
		room := bound - e.backlog + g.liking(q, e, affinity(e.hash, q.set) >= mark)
		room += math.Log(1-g.rng.Float64()) * q.weight / e.cores // ties fall anywhere, by cores
		room += g.relief(e) - e.faults*e.top
		if g.now < e.begun+g.set.Rules.WarmUpPeriod { // its budget is the guard, and is lost if unused
			room += 2 * q.weight
		}
		if slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.e == e }) {
			room -= e.top
		}
		if q.weight > bound { // by chance: any engine where it fits is better
			room -= 3 * q.weight
		}
		if room > most {
			best, most = e, room
		}
	}
	return best
}

// fits is the paper's test; a query that outweighs the bound goes by chance where
// this gateway holds nothing.
func (g *Gateway) fits(q *query, l *loop, bound float64) bool {
	if l.backlog == 0 && q.weight > bound {
		return g.rng.Float64() < bound/q.weight
	}
	return l.backlog+q.weight <= bound
}

// trial lets a suspect engine have one repeatable query now and then.
func (g *Gateway) trial(q *query, e *engine) bool {
	idle := len(e.out)+len(q.tries) == 0
	if q.class.Idempotency != Idempotent || !idle || g.now < e.trialAt || !g.maySend(q, e) {
		return false
	}
	e.trialAt = g.now + 2*g.quiet
	return true
}

// limit is the part of a bound that is open to the query, by its worth for its estimated work and its
// tenant's share. The bound binds under pressure and while it is under its start.
func (g *Gateway) limit(q *query, l *loop) float64 {
	bound := l.top
	if g.now < l.pressed || l.bound < l.start {
		bound = l.bound
	}
	return bound * q.part
}

// open tells whether the query fits all engines together, by the same test. Guards against overloads that
// no gateway sees at any one engine. What hangs at a suspect one takes no room of the others.
func (g *Gateway) open(q *query) bool {
	g.fleet.backlog = 0
	for _, e := range g.engines {
		if e.counts() {
			g.fleet.backlog += e.backlog
		}
	}
	return g.fits(q, &g.fleet, g.limit(q, &g.fleet))
}

// liking breaks near-ties: engines of the gateway's own zone, and among these the
// ones that all its gateways pick for the data set, so that each reads few sets.
func (g *Gateway) liking(q *query, e *engine, near bool) float64 {
	like := 0.0
	if e.zone == g.set.Zone {
		like += q.weight
		if near && q.class.DataLoad {
			like -= q.weight // it would hold the readers up
		} else if near {
			like += q.weight
		}
	}
	if (q.class.DataLoad || q.class.WaitsForDataLoad) && g.held(e, q.set) {
		like -= e.start
	}
	return like
}

// mark is the least affinity to the data set that counts as near, among the live
// engines of the zone: one engine, and more as the set's part of the traffic
// stands to an engine's. Guards against a hot set crowding the same few engines.
func (g *Gateway) mark(set int64) uint64 {
	g.order = g.order[:0]
	for _, e := range g.engines {
		if e.zone == g.set.Zone && e.state == EngineLive && !e.suspected {
			g.order = append(g.order, affinity(e.hash, set))
		}
	}
	part := (g.sets[set] + setPrior) / (g.setSum + 10*setPrior)
	near := 1 + int(math.Ceil(hotSpread*part*float64(len(g.order))))
	if near > len(g.order) {
		return 0
	}
	slices.Sort(g.order)
	return g.order[len(g.order)-near]
}

// popular counts the data sets asked for, and forgets by halves.
func (g *Gateway) popular(set int64) {
	g.sets[set]++
	if g.setSum++; g.setSum < setMemory {
		return
	}
	for k, n := range g.sets {
		if g.sets[k] = n / 2; n < 2 {
			delete(g.sets, k)
		}
	}
	g.setSum /= 2
}

// held tells whether a load holds the data set on the engine, ours or one seen to be waited for.
func (g *Gateway) held(e *engine, set int64) bool {
	return g.now < e.heldSets[set] || slices.ContainsFunc(e.out, func(a *attempt) bool {
		return a.q.class.DataLoad && a.q.set == set
	})
}

// affinity is an order of the engines for a data set that all gateways share.
func affinity(hash uint64, set int64) uint64 {
	x := (hash ^ uint64(set)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}

// ---- The guards of the rules: every send and final answer passes here ----

// again tells whether the rules leave the query another attempt once those
// that are out have ended.
func (g *Gateway) again(q *query) bool {
	if q.done || len(q.tries) >= max(g.set.Limits.MaxAttempts, 1) || !g.rationed(q) {
		return false
	}
	return !slices.ContainsFunc(q.tries, func(a *attempt) bool {
		late := g.now-a.sent >= q.class.DedupWindow
		once := q.class.Idempotency == NotIdempotent || q.class.Idempotency == IdempotentWithKey && late
		return a.ran && once
	})
}

// maySend holds rules 1 to 7 for one send.
func (g *Gateway) maySend(q *query, e *engine) bool {
	return g.now < q.deadline && g.again(q) && g.suits(q, e) &&
		(g.set.Limits.AllowHedging || !q.outstanding()) && g.turn(q) && g.coldRoom(q, e)
}

// suits holds the rules on where a query may go: to an engine that takes work, as its class is placed, in a
// load's group, and without copies nowhere that it was given up: the cancel may come there later.
func (g *Gateway) suits(q *query, e *engine) bool {
	return e.state == EngineLive && among(q.class.Zones, e.zone) && among(q.class.Kinds, e.kind) &&
		!slices.ContainsFunc(q.tries, func(a *attempt) bool {
			return a.cancel && a.e == e && !g.set.Limits.AllowHedging ||
				a.ran && q.class.Idempotency == IdempotentWithKey && !sameGroup(q.class.DedupScope, a.e, e)
		})
}

func sameGroup(group DedupScope, a, b *engine) bool {
	return a == b || group == DedupAll || group == DedupZone && a.zone == b.zone ||
		group == DedupCell && a.cell == b.cell
}

// among is rule 6, placement.
func among(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }

// rationed is rule 7, the budget of further attempts.
func (g *Gateway) rationed(q *query) bool {
	back := g.set.Rules.RetryBudgetWindow
	if len(q.tries) == 0 || back == 0 {
		return true
	}
	g.forget()
	r := g.set.Rules
	return float64(len(g.extra)+1) <= r.RetryBudgetBase+r.RetryBudgetRatio*float64(len(g.taken))
}

// forget drops what was taken and sent again before the time that rule 7 looks back.
func (g *Gateway) forget() {
	back := g.now - g.set.Rules.RetryBudgetWindow
	g.taken = slices.DeleteFunc(g.taken, func(at time.Duration) bool { return at <= back })
	g.extra = slices.DeleteFunc(g.extra, func(at time.Duration) bool { return at < back })
}

// tidy drops what a gateway that runs for months would else keep for ever.
func (g *Gateway) tidy() {
	g.forget()
	g.engines = slices.DeleteFunc(g.engines, func(e *engine) bool {
		maps.DeleteFunc(e.heldSets, func(_ int64, until time.Duration) bool { return g.now >= until })
		done := e.state == EngineDeparted && len(e.out) == 0 && g.now >= e.coldUntil
		if done {
			delete(g.byID, e.id)
		}
		return done
	})
	maps.DeleteFunc(g.lanes, func(_ string, l *lane) bool { return len(l.line) == 0 && g.now >= l.rest })
}

// coldRoom is rule 4: of what would push a cold engine over, each gateway sends an equal part. A query
// that outweighs half of it goes once in the spans that pay for it, in this gateway's turn, which lasts
// until the next one's, or longer for small ones: rights that pile up would be used all at once.
func (g *Gateway) coldRoom(q *query, e *engine) bool {
	span := g.set.Rules.OverloadWindow
	switch {
	case g.now >= e.coldUntil || span <= 0:
		return true
	case g.now < g.born+span: // what was sent before a restart of this gateway is not known
		return false
	}
	spans := coldCost * q.work / g.coldPart(e)
	if spans <= coldBurst {
		return e.coldNext <= g.now+time.Duration((coldBurst-spans)*float64(span))
	}
	turn, share := float64(g.now-e.coldTold)/float64(span)/spans-e.draw, spans/float64(g.set.Gateways)
	return e.coldNext <= g.now && turn >= 0 && math.Mod(turn, 1)*spans < max(share, coldBurst/share)
}

// unbroken takes back that an engine may have restarted, on word of what was sent later and sooner
// than a process starts. Guards against starving an engine of which only a connection was lost.
func (g *Gateway) unbroken(a *attempt) {
	if e := a.e; e.doubted && a.sent > e.lostAt && g.now < e.lostAt+startLeast {
		e.doubted, e.coldUntil = false, e.coldWas
	}
}

// warm is the part of its capacity that an engine has at the least: a fresh one
// that held as much as a warm one would stand still under it.
func (g *Gateway) warm(e *engine) float64 {
	left := float64(e.coldUntil-g.now) / float64(max(g.set.Rules.WarmUpPeriod, 1))
	return 1 - (1-g.set.Rules.WarmUpMinCapacity)*min(max(left, 0), 1)
}

// chill takes an engine as cold, with a turn for wide queries that no other gateway
// has at the time, by its rank, from an instant that all know, or nearly so.
func (g *Gateway) chill(e *engine, since, until time.Duration) {
	if g.now >= e.coldUntil {
		e.coldNext, e.coldTold, e.draw = max(e.coldNext, g.now), since, g.rng.Float64()
		if n := uint64(g.set.Gateways); g.set.Rank > 0 {
			e.draw = float64((affinity(e.hash, 0)+uint64(g.set.Rank))%n) / float64(n)
		}
	}
	e.coldUntil = until
}

// coldPart is the work that this gateway may send a cold engine within a span.
func (g *Gateway) coldPart(e *engine) float64 {
	r := g.set.Rules
	overload := coldMargin * r.OverloadMultiple * r.WarmUpMinCapacity * e.cores * ms(r.OverloadWindow)
	return overload / float64(g.set.Gateways)
}

// send is the one place where a query goes out.
func (g *Gateway) send(q *query, e *engine) {
	if !g.maySend(q, e) {
		g.giveUp(q)
		return
	}
	a := &attempt{q: q, n: len(q.tries), e: e, sent: g.now, heard: g.now, ran: true}
	if a.n > 0 && g.set.Rules.RetryBudgetWindow > 0 {
		g.extra = append(g.extra, g.now)
	}
	q.tries = append(q.tries, a)
	e.out = append(e.out, a)
	e.backlog += q.weight
	g.width += (q.weight - g.width) / 20
	if g.now < e.coldUntil {
		spans := coldCost * q.work / g.coldPart(e)
		e.coldNext = max(e.coldNext, g.now) + time.Duration(spans*float64(g.set.Rules.OverloadWindow))
	}
	grant := Grant{Query: q.id, Priority: 1}
	if g.set.HonorsGrants {
		grant.MemoryMB = math.Ceil(max(q.memory*q.class.grant, q.class.ample))
		if most := math.Floor(g.set.MaxGrantFraction * g.kinds[e.kind].MemoryMB); most > 0 {
			grant.MemoryMB = min(grant.MemoryMB, most)
		}
		a.grant = grant.MemoryMB
	}
	if g.set.HonorsPriority {
		grant.Priority = g.priority(q)
	}
	if grant.MemoryMB > 0 || g.set.HonorsPriority {
		g.act(grant)
	}
	g.act(Send{Query: q.id, Engine: e.id, Timeout: q.deadline - g.now})
}

// priority ranks a query by worth over expected work, against the usual: twice
// the usual is one step. What is short and dear passes what is long, which loses
// little by it. A load holds readers up, so it comes first.
func (g *Gateway) priority(q *query) int {
	if q.class.DataLoad {
		return 3
	}
	return int(min(max(math.Round(usualRank+q.rank), 0), 3))
}

// giveUp is the one place where a final answer is given: a refusal where the rules allow it, else a failure.
func (g *Gateway) giveUp(q *query) {
	if q.done {
		return
	}
	if g.mayRefuse(q) {
		g.act(Reject{Query: q.id, RetryAfter: g.comeBack()})
	} else {
		g.act(Fail{Query: q.id})
	}
	g.over(q)
}

// mayRefuse is rule 2 for answers: trying again must be harmless.
func (g *Gateway) mayRefuse(q *query) bool {
	return q.class.Idempotency == Idempotent ||
		q.class.Idempotency == IdempotentWithKey && q.class.DedupScope == DedupAll ||
		!slices.ContainsFunc(q.tries, func(a *attempt) bool { return a.ran })
}

// over ends a query; it is kept while attempts are out, for the backlog and the order.
func (g *Gateway) over(q *query) {
	q.done = true
	for _, a := range q.tries {
		g.cancel(a)
	}
	if q.outstanding() {
		return
	}
	delete(g.queries, q.id)
	g.leave(q)
}

// ---- Engine state: control loop, health, cold ramp, drain ----

func (g *Gateway) drop(a *attempt) {
	a.e.out = slices.DeleteFunc(a.e.out, func(o *attempt) bool { return o == a })
	a.e.backlog -= a.q.weight
	if len(a.e.out) == 0 {
		a.e.backlog = 0
	}
}

// answered takes one latency, over its aim and over the quick ones of its class.
func (l *loop) answered(r, slow float64) {
	l.sum += r
	l.n++
	l.slow += (min(slow, 4*kneeTimes) - l.slow) / 20
}

// control runs the paper's loop once.
func (g *Gateway) control(l *loop) {
	if l.n == 0 {
		return
	}
	r := l.sum / float64(l.n)
	l.sum, l.n = 0, 0
	l.bound, l.alpha = step(l.bound, l.alpha, r)
	l.bound = min(max(l.bound, floorShare), l.top)
	if r > pressure {
		l.pressed = g.now + 2*period
	}
}

// step is one control period: the paper's equations 14 and 13, with the
// latency r as a multiple of its set-point.
func step(bound, alpha, r float64) (float64, float64) {
	err := 1 - r
	alpha = max(lambda*(r/bound)+(1-lambda)*alpha, 1e-6)
	return bound + (1-gainC)/alpha*err, alpha
}

// watch makes an engine suspect when all its attempts have gone quiet, answers and notes alike; one alone
// for twice as long. Guards against hung engines and cut links. Time in which this gateway itself stood
// still does not count: a pause of ours silences all engines at once.
func (g *Gateway) watch(e *engine) {
	if len(e.out) == 0 {
		return
	}
	quiet := 0
	for _, a := range slices.Clone(e.out) {
		if g.set.ProgressInterval == 0 {
			g.overdue(a)
		} else if !a.stream {
			if g.now-max(a.heard, g.awake) > g.quiet {
				quiet++
			}
			g.missed(a)
		}
	}
	silent := g.now - max(e.heard, e.out[0].sent, g.awake)
	if quiet >= 2 && silent > g.quiet || quiet == 1 && silent > 2*g.quiet {
		g.suspect(e, "all attempts are silent")
		for _, a := range e.out {
			if a.q.class.Idempotency == Idempotent {
				g.move(a)
			}
		}
	}
}

// missed sends a query again whose engine tells of others and has long told nothing of it; what waits
// is told of less often. Guards against answers and pages that never arrive, and against an engine where
// one class stands still while all else runs.
func (g *Gateway) missed(a *attempt) {
	e, c, notes := a.e, a.q.class, lostNotes
	if a.waits {
		notes = waitNotes
	}
	silent := float64(g.now - max(a.heard, g.awake))
	if a.missed || a.cancel || silent < notes*float64(g.set.ProgressInterval) || g.now-e.heard > g.quiet {
		return
	}
	a.missed = true
	if e.lost[c]++; e.lost[c] >= muteAfter {
		e.muteTill[c] = g.now + 2*g.quiet
	}
	if c.Idempotency != NotIdempotent {
		g.move(a)
	}
}

// mute tells whether a class stands still on the engine. After a while one query at a
// time may find out.
func (g *Gateway) mute(e *engine, c *class) bool {
	return e.lost[c] >= muteAfter && (g.now < e.muteTill[c] ||
		slices.ContainsFunc(e.out, func(a *attempt) bool {
			return a.q.class == c && a.sent >= e.muteTill[c]
		}))
}

// spoke takes word of an attempt: its class doesn't stand still on the engine.
func (g *Gateway) spoke(a *attempt) {
	delete(a.e.lost, a.q.class)
	g.trust(a.e)
	g.unbroken(a)
}

// overdue stands in for notes where there are none: what is out for longer than answers scatter is moved
// while a fresh run makes the aim. Guards against answers that vanish, bad plans and hung engines.
func (g *Gateway) overdue(a *attempt) {
	q, out := a.q, ms(g.now-max(a.sent, g.awake))
	usual := q.class.latency * q.work / q.class.work
	if out > usual*(1+spreads*q.class.spread) && q.class.Idempotency == Idempotent &&
		ms(g.now-q.tries[0].sent)+usual < g.aim(q) && g.shift(a) {
		g.fault(a.e, faultStep/4, "answers stay out")
	}
}

func (g *Gateway) suspect(e *engine, why string) {
	if !e.suspected {
		e.suspected = true
		e.trialAt = g.now + 2*g.quiet
		g.act(Log{fmt.Sprintf("engine %s suspect: %s; %d attempts out", e.id, why, len(e.out))})
	}
}

// fault counts an error or a failed connection; a stray one condemns nobody. Guards against crashed
// engines and against those that fail fast: holding nothing, they would look roomiest.
func (g *Gateway) fault(e *engine, part float64, why string) {
	e.faults += (1 - e.faults) * part
	if e.faults > faultMost {
		e.erring = true
		g.suspect(e, why)
	}
}

// trust ends suspicion on word from the engine, with a small bound; an erring one must serve first.
func (g *Gateway) trust(e *engine) {
	if e.suspected && !e.erring {
		e.suspected = false
		e.bound = max(floorShare, e.start/4)
		g.act(Log{fmt.Sprintf("engine %s serves again", e.id)})
	}
}

// list takes the engine list or a change to it.
func (g *Gateway) list(ev EngineList) {
	if ev.Mode == ListFailed && g.set.SubscribeToList {
		g.act(Subscribe{})
	}
	if ev.Mode == ListFull || ev.Mode == ListCached {
		for _, e := range g.engines {
			e.state = EngineDeparted // unless it is named below
		}
	}
	for _, n := range ev.Engines {
		g.entry(n)
	}
	g.scaleAll()
}

func (g *Gateway) entry(n Engine) {
	e := g.byID[n.ID]
	if e == nil {
		e = &engine{id: n.ID, begun: math.MinInt64, heldSets: map[int64]time.Duration{},
			lost: map[*class]int{}, muteTill: map[*class]time.Duration{}}
		for _, b := range []byte(n.ID) {
			e.hash = (e.hash ^ uint64(b)) * 0x100000001b3
		}
		g.byID[n.ID] = e
		g.engines = append(g.engines, e)
		g.fresh(e, n)
	}
	if n.StartKnown && n.Started > e.begun {
		g.fresh(e, n)
		e.begun, e.doubted = n.Started, false
		e.coldUntil = 0 // a new line: the places in an earlier one have all passed
		g.chill(e, n.Started, n.Started+g.set.Rules.WarmUpPeriod)
	}
	e.zone, e.kind, e.cell, e.state = n.Zone, n.Kind, n.Cell, n.State
}

// fresh gives an engine the loop's start values.
func (g *Gateway) fresh(e *engine, n Engine) {
	e.cores = max(g.kinds[n.Kind].Cores, 1) // an unknown kind is taken as the smallest
	g.scale(e)
	e.bound, e.alpha = e.start, 1/e.start
	e.slow = 1
	e.suspected, e.erring, e.faults, e.sum, e.n = false, false, 0, 0, 0
}

// scale sets the bound's start and top for this gateway's share of the traffic.
func (g *Gateway) scale(e *engine) {
	share := g.share()
	e.faults -= e.faults / 40 // else what is avoided for its faults would be for ever
	e.start = g.full * e.cores * share
	e.top = (capStarts*e.start + g.widest*(1-share)) * min(1, kneeTimes/max(e.slow, 1)) * g.warm(e)
}

// scaleAll does the same for all engines, with room for the chance in a gateway's few queries.
func (g *Gateway) scaleAll() {
	f, first := &g.fleet, g.fleet.start == 0
	f.start = 0
	for _, e := range g.engines {
		if e.counts() {
			f.start += e.start * g.warm(e)
		}
	}
	if first {
		f.bound, f.alpha, f.slow, f.level = f.start, 1/max(f.start, floorShare), 1, 1-levelSlack
	}
	room := g.widest + chance*math.Sqrt(f.start*g.widest)
	room *= max((1-f.level)/levelSlack, 0)    // what others leave free; one where nothing is told
	past := max(f.slow/kneeTimes, f.level, 1) // the knee
	f.top = (capStarts*f.start + room/past) / past
}
