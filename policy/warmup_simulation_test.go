package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	simWarmEngines    = 8
	simWarmingEngines = 4
	simCores          = 8
	simCapacityFactor = 0.85 // fraction of its cores that makes up an engine's capacity
	simStart          = time.Hour
	simDeparture      = simStart + 10*time.Second
	simReturn         = simDeparture + 8*time.Second
	simEnd            = simReturn + 12*time.Second
	simListDelay      = 1500 * time.Millisecond // longest delay until a gateway learns of a change
	simMinCapacity    = 0.33
	simTrafficFactor  = 1.1 // over the capacity of all engines, so that each warming engine gets all that the gateways may send it
	simWorkVariation  = 1.2 // coefficient of variation of a query's work
	simDataSets       = 20
)

// simClass is one query class of the simulated traffic.
type simClass struct {
	name   string
	share  float64 // relative part of the traffic
	workMS float64 // mean work, summed over the threads of a query
}

func simClasses() []simClass {
	return []simClass{{"lookup", 14, 220}, {"report", 2.4, 3000}, {"load", 0.9, 3000}}
}

// warmUpSimulation runs a group of gateways in virtual time. Some engines depart and return together under
// continuing traffic, and warm up. Each gateway knows only what the engine list and its own queries tell
// it.
type warmUpSimulation struct {
	seed              uint64
	gatewayCount      int
	restartedFraction float64 // of the gateways; they restart without a snapshot while the engines are away
	skew              float64 // traffic of the busiest gateways over the mean
	overloadWindow    time.Duration
	attemptTimeout    time.Duration // at which an attempt ends without a response; 0: none
	acceptDelay       time.Duration // from the return of the engines until they read what was sent to them
	workFactor        float64       // of the work of all classes; 0: 1

	settings   Settings
	random     *rand.Rand
	now        time.Duration
	events     simEvents
	gateways   []*Gateway
	weights    []float64 // relative traffic of each gateway
	weightSum  float64
	shareSum   float64
	meanWorkMS float64
	queries    []simQuery
	deliveries [][]simDelivery // queries sent to each engine since simReturn
}

type simQuery struct {
	class    simClass
	workMS   float64
	attempts int
}

// simDelivery is a query that was sent to an engine. Its weight is in queries of mean work.
type simDelivery struct {
	at     time.Duration
	weight float64
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(a, b int) bool { return e[a].at < e[b].at }
func (e simEvents) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (s *warmUpSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + d, run})
}

// run runs the simulation to its end.
func (s *warmUpSimulation) run() {
	s.random = rand.New(rand.NewPCG(s.seed, 7))
	s.now = simStart
	s.deliveries = make([][]simDelivery, simWarmEngines+simWarmingEngines)
	if s.workFactor == 0 {
		s.workFactor = 1
	}
	for _, c := range simClasses() {
		s.shareSum += c.share
		s.meanWorkMS += c.share * c.workMS * s.workFactor
	}
	s.meanWorkMS /= s.shareSum
	s.settings = s.newSettings()
	s.gateways = make([]*Gateway, s.gatewayCount)
	s.weights = make([]float64, s.gatewayCount)
	for i := range s.gateways {
		s.startGateway(i)
	}
	s.after(0, s.arrive)
	for s.now < simEnd {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *warmUpSimulation) newSettings() Settings {
	return Settings{
		Gateways: s.gatewayCount, CallInterval: 5 * time.Millisecond, ProgressInterval: 500 * time.Millisecond,
		Kinds: []Kind{{Name: "k", Cores: simCores, MemoryMB: 1 << 14}}, ReportsCost: true, MemoryShortage: ShortageQueue,
		Classes: []Class{
			{Name: "lookup", LatencyObjective: 1200 * time.Millisecond, ObjectiveStretch: 1.5, Timeout: 6 * time.Second,
				PriorityWeight: 1, Threads: 1, Idempotency: Idempotent},
			{Name: "report", LatencyObjective: 2 * time.Second, ObjectiveStretch: 2.5, Timeout: 25 * time.Second,
				PriorityWeight: 4, Threads: 3, Idempotency: Idempotent},
			{Name: "load", LatencyObjective: 4 * time.Second, ObjectiveStretch: 2.5, Timeout: 20 * time.Second,
				PriorityWeight: 5, Threads: 2, Idempotency: IdempotentWithKey, DedupScope: DedupAll, DedupWindow: 12 * time.Second},
		},
		Rules: Rules{WarmUpMinCapacity: simMinCapacity, WarmUpPeriod: 15 * time.Second, OverloadMultiple: 2.5,
			OverloadWindow: s.overloadWindow},
		Limits:    Limits{MaxAttempts: 3, AllowCancel: true},
		Objective: Objective{Overall: 1},
	}
}

// startGateway starts a gateway and schedules the engine lists that it will receive.
func (s *warmUpSimulation) startGateway(i int) {
	settings := s.settings
	settings.Rank = i + 1
	s.gateways[i], _ = New(settings, s.seed<<10+uint64(i))
	s.weights[i] = 1 + s.random.ExpFloat64()*(s.skew-1)
	s.weightSum += s.weights[i]
	s.list(i, EngineLive, 0)
	s.after(time.Duration(s.random.Int64N(int64(tickInterval))), func() { s.tick(i) })
	s.after(simDeparture-s.now+s.listDelay(), func() {
		if s.random.Float64() < s.restartedFraction {
			s.gateways[i], _ = New(settings, s.seed<<10+uint64(i)+1<<40)
		}
		s.list(i, EngineDeparted, 0)
	})
	s.after(simReturn-s.now+s.listDelay(), func() { s.list(i, EngineLive, simReturn) })
}

func (s *warmUpSimulation) listDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(simListDelay)))
}

// list sends a gateway the list of all engines, with the given state and start time of the warming ones.
func (s *warmUpSimulation) list(i int, state EngineState, started time.Duration) {
	ev := EngineList{Mode: ListFull}
	for e := range simWarmEngines + simWarmingEngines {
		entry := Engine{ID: strconv.Itoa(e), Zone: "a", Kind: "k", State: EngineLive}
		if e >= simWarmEngines {
			entry.State = state
			entry.Started = started
			entry.StartKnown = started > 0
		}
		ev.Engines = append(ev.Engines, entry)
	}
	s.handle(i, ev)
}

func (s *warmUpSimulation) tick(i int) {
	s.handle(i, TimerFired{})
	s.after(tickInterval, func() { s.tick(i) })
}

// arrive sends a query to one of the gateways and schedules the next one.
func (s *warmUpSimulation) arrive() {
	gateway := s.drawGateway()
	class := s.drawClass()
	id := uint64(len(s.queries))
	sigma := math.Sqrt(math.Log1p(simWorkVariation * simWorkVariation))
	workMS := s.workFactor * class.workMS * exp(sigma*s.random.NormFloat64()-sigma*sigma/2) // lognormal
	s.queries = append(s.queries, simQuery{class: class, workMS: workMS})
	for _, c := range s.settings.Classes {
		if c.Name == class.name {
			s.handle(gateway, QueryArrived{Query: id, Class: c.Name, DataSet: int64((id + 1) % simDataSets), Deadline: s.now + c.Timeout})
		}
	}
	perSecond := simTrafficFactor * simCapacityFactor * simCores * (simWarmEngines + simWarmingEngines) * 1000 / s.meanWorkMS
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), s.arrive)
}

func (s *warmUpSimulation) drawGateway() (i int) {
	at := s.random.Float64() * s.weightSum
	for at -= s.weights[i]; at > 0 && i < s.gatewayCount-1; at -= s.weights[i] {
		i++
	}
	return i
}

func (s *warmUpSimulation) drawClass() (class simClass) {
	at := s.random.Float64() * s.shareSum
	for _, class = range simClasses() {
		if at < class.share {
			break
		}
		at -= class.share
	}
	return class
}

// handle passes an event to a gateway and schedules the end of each attempt that it sends.
func (s *warmUpSimulation) handle(i int, ev Event) {
	g := s.gateways[i]
	for _, a := range g.Handle(s.now, ev, nil) {
		if send, ok := a.(Send); ok {
			s.send(i, send)
		}
	}
}

func (s *warmUpSimulation) send(i int, send Send) {
	g := s.gateways[i]
	q := s.queries[send.Query]
	s.queries[send.Query].attempts++
	engine, err := strconv.Atoi(send.Engine)
	if err != nil {
		panic(fmt.Sprintf("send to unknown engine %q", send.Engine))
	}
	unread := max(simReturn+s.acceptDelay-s.now, 0)
	if engine < simWarmEngines || s.now < simReturn {
		unread = 0
	}
	if s.now >= simReturn {
		s.deliveries[engine] = append(s.deliveries[engine], simDelivery{s.now + unread, s.workFactor * q.class.workMS / s.meanWorkMS})
	}
	elapsed := time.Duration(q.workMS / g.classes[q.class.name].Threads * float64(time.Millisecond))
	if engine >= simWarmEngines && s.now >= simReturn { // a warming engine is slower
		elapsed = time.Duration(float64(elapsed) / simMinCapacity)
	}
	end := AttemptEnded{Query: send.Query, Attempt: q.attempts, Result: ResultSuccess, Elapsed: elapsed, Final: true,
		Work: time.Duration(q.workMS * float64(time.Millisecond))}
	if s.attemptTimeout > 0 && elapsed > s.attemptTimeout {
		end = AttemptEnded{Query: send.Query, Attempt: q.attempts, Result: ResultTimeout, Elapsed: s.attemptTimeout}
	}
	end.Elapsed += unread
	s.after(end.Elapsed, func() {
		if s.gateways[i] == g {
			s.handle(i, end)
		}
	})
}

// worstOverload returns the largest load that a warming engine was sent within an overload window, over
// the tolerable load: N + 2 sqrt(N) + 2 queries of mean work, where N is what the settings allow at its
// start. It also returns how many queries all warming engines were sent.
func (s *warmUpSimulation) worstOverload() (overload float64, sent int) {
	allowed := s.settings.Rules.OverloadMultiple * simMinCapacity * simCapacityFactor * simCores * milliseconds(s.overloadWindow) / s.meanWorkMS
	tolerable := allowed + 2*math.Sqrt(allowed) + 2
	for _, all := range s.deliveries[simWarmEngines:] {
		sent += len(all)
		for i, first := range all {
			within := 0.0
			for _, d := range all[i:] {
				if d.at < first.at+s.overloadWindow {
					within += d.weight
				}
			}
			overload = max(overload, within/tolerable)
		}
	}
	return overload, sent
}

// TestWarmUpBudgetInSimulation checks that 2 to 300 gateways together overload no warming engine: with even
// and with uneven traffic, with queries far larger than the mean, and when most gateways have just started
// and know no cost.
func TestWarmUpBudgetInSimulation(t *testing.T) {
	for _, gateways := range []int{2, 3, 6, 12, 30, 100, 300} {
		for _, restartedFraction := range []float64{0, 0.7} {
			worst, sent := 0.0, 0
			for seed := range uint64(4 - min(gateways/100, 1)*2) {
				s := warmUpSimulation{
					seed: seed, gatewayCount: gateways, restartedFraction: restartedFraction, skew: []float64{1, 4}[seed%2],
					overloadWindow: []time.Duration{time.Second, 3 * time.Second}[seed/2%2],
				}
				s.run()
				overload, count := s.worstOverload()
				worst = max(worst, overload)
				sent += count
			}
			if worst > 1 || sent == 0 {
				t.Errorf("%d gateways, %.1f of them restarted: worst overload = %.2f after %d queries, want at most 1 after more than 0",
					gateways, restartedFraction, worst, sent)
			}
		}
	}
}

// TestWarmUpBudgetWhenLongQueriesAreNotServed guards against costs that are learned from served queries alone, which are
// the short ones where long ones time out.
func TestWarmUpBudgetWhenLongQueriesAreNotServed(t *testing.T) {
	for _, gateways := range []int{2, 3, 6} {
		worst, sent := 0.0, 0
		for seed := range uint64(4) {
			s := warmUpSimulation{seed: seed, gatewayCount: gateways, restartedFraction: 0.3, skew: 1, overloadWindow: time.Second,
				attemptTimeout: 250 * time.Millisecond}
			s.run()
			overload, count := s.worstOverload()
			worst = max(worst, overload)
			sent += count
		}
		if worst > 1 || sent == 0 {
			t.Errorf("%d gateways: worst overload = %.2f after %d queries, want at most 1 after more than 0", gateways, worst, sent)
		}
	}
}

// TestWarmUpBudgetOfEnginesThatReadLate guards against a burst of queries that have waited unread since an engine's start.
func TestWarmUpBudgetOfEnginesThatReadLate(t *testing.T) {
	for _, workFactor := range []float64{0.03, 0.3} { // queries of 20 and of 200 ms
		for _, gateways := range []int{3, 6, 30} {
			for _, delay := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond} {
				s := warmUpSimulation{seed: 1, gatewayCount: gateways, skew: 1, overloadWindow: time.Second, acceptDelay: delay, workFactor: workFactor}
				s.run()
				if worst, sent := s.worstOverload(); worst > 1 || sent == 0 {
					t.Errorf("%d gateways, read after %v, work times %.2f: worst overload = %.2f after %d queries, want at most 1 after more than 0",
						gateways, delay, workFactor, worst, sent)
				}
			}
		}
	}
}

// heavyQuerySimulation is a simulation whose conditions depend on the seed: one case is a number of gateways and a seed.
type heavyQuerySimulation struct {
	gateways int
	seed     uint64
}

// check simulates the case and checks the budget.
func (c heavyQuerySimulation) check(t *testing.T) {
	t.Helper()
	s := warmUpSimulation{
		seed: c.seed, gatewayCount: c.gateways, skew: []float64{1, 4}[c.seed%1000%2],
		restartedFraction: []float64{0, 0.7}[c.seed%1000/4%2],
		overloadWindow:    []time.Duration{time.Second, 3 * time.Second}[c.seed%1000/2%2],
	}
	s.run()
	if worst, sent := s.worstOverload(); worst > 1 || sent == 0 {
		t.Errorf("%d gateways, seed %d: worst overload = %.2f after %d queries, want at most 1 after more than 0", c.gateways, c.seed, worst, sent)
	}
}

// TestTurnsOfHeavyQueriesDoNotOverlap guards against gateways that send several heavy queries at once, each in its turn.
func TestTurnsOfHeavyQueriesDoNotOverlap(t *testing.T) {
	for _, c := range []heavyQuerySimulation{
		{6, 1036}, {6, 5020}, {9, 1044}, {9, 5016}, {9, 5032}, {12, 1033}, {12, 5008}, {12, 5024}, {20, 1024}, {20, 1026}, {20, 1032}, {20, 5040},
		{9, 5028}, {20, 1056}, // gateways whose expectations are on both sides of a power of two
	} {
		c.check(t)
	}
}
