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

// coldPlay is a fleet of gateways in virtual time, some engines of which go and come back cold together while
// traffic goes on. Each gateway knows what it is told and what its own queries come to.
type coldPlay struct {
	seed     uint64
	gateways int
	fresh    float64 // part of the gateways that start anew while the engines are away, and have learned nothing
	skew     float64 // the busiest gateways' traffic over the mean
	tipFor   time.Duration
	start    float64       // share of its capacity that a cold engine has
	ranked   bool          // the settings tell each gateway its place
	told     time.Duration // how long the list takes at the most to tell a gateway
}

type coldEvent struct {
	at  time.Duration
	run func()
}

type coldEvents []coldEvent

func (e coldEvents) Len() int           { return len(e) }
func (e coldEvents) Less(a, b int) bool { return e[a].at < e[b].at }
func (e coldEvents) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *coldEvents) Push(x any)        { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() (x any) {
	last := len(*e) - 1
	x = (*e)[last]
	*e = (*e)[:last]
	return x
}

// worst plays it, and tells the most that a cold engine was sent within a span, over what it bears: N + 2 x root of
// N + 2 queries of mean work, N being what the settings allow at its start. It tells too how many queries all cold
// engines were sent.
func (p coldPlay) worst() (over float64, sent int) {
	const (
		warm, cold = 8, 4
		cores      = 8
		begin      = time.Hour
		away       = begin + 10*time.Second
		back       = away + 8*time.Second
		end        = back + 12*time.Second
		part       = 0.85 // of its cores that a capacity counts
	)
	rng := rand.New(rand.NewPCG(p.seed, 7))
	shares := map[string]float64{"lookup": 14, "report": 2.4, "load": 0.9} // of the queries
	works := map[string]float64{"lookup": 220, "report": 3000, "load": 3000}
	var all, mean float64
	for name, share := range shares {
		all += share
		mean += share * works[name]
	}
	mean /= all
	s := Settings{
		Gateways: p.gateways, CallInterval: 5 * time.Millisecond, ProgressInterval: 500 * time.Millisecond,
		Kinds: []Kind{{Name: "k", Cores: cores, MemoryMB: 1 << 14}}, ReportsCost: true, MemoryShortage: ShortageQueue,
		Classes: []Class{
			{Name: "lookup", LatencyObjective: 1200 * time.Millisecond, ObjectiveStretch: 1.5, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: Idempotent},
			{Name: "report", LatencyObjective: 2 * time.Second, ObjectiveStretch: 2.5, Timeout: 25 * time.Second, PriorityWeight: 4, Threads: 3, Idempotency: Idempotent},
			{Name: "load", LatencyObjective: 4 * time.Second, ObjectiveStretch: 2.5, Timeout: 20 * time.Second, PriorityWeight: 5, Threads: 2, Idempotency: IdempotentWithKey, DedupScope: DedupAll, DedupWindow: 12 * time.Second},
		},
		Rules:  Rules{WarmUpMinCapacity: p.start, WarmUpPeriod: 15 * time.Second, OverloadMultiple: 2.5, OverloadWindow: p.tipFor},
		Limits: Limits{MaxAttempts: 3, AllowCancel: true}, Objective: Objective{Overall: 1},
	}
	var events coldEvents
	now := begin
	after := func(d time.Duration, run func()) { heap.Push(&events, coldEvent{now + d, run}) }
	entry := func(i int) Engine {
		return Engine{ID: strconv.Itoa(i), Zone: "a", Kind: "k", State: EngineLive}
	}
	type delivery struct {
		at     time.Duration
		weight float64
	}
	got := make([][]delivery, warm+cold)
	gateways := make([]*Gateway, p.gateways)
	var id uint64
	var handle func(i int, ev Event)
	out := map[uint64]float64{} // work of the query
	class := map[uint64]string{}
	handle = func(i int, ev Event) {
		g := gateways[i]
		for _, a := range g.Handle(now, ev, nil) {
			send, ok := a.(Send)
			if !ok {
				continue
			}
			var e int
			_, _ = fmt.Sscan(send.Engine, &e)
			name := class[send.Query]
			if now >= back {
				got[e] = append(got[e], delivery{now, works[name] / mean})
			}
			took := time.Duration(out[send.Query] / g.classes[name].Threads * float64(time.Millisecond))
			if e >= warm && now >= back { // it runs at a part of its speed
				took = time.Duration(float64(took) / p.start)
			}
			work := time.Duration(out[send.Query] * float64(time.Millisecond))
			after(took, func() {
				if gateways[i] == g {
					handle(i, AttemptEnded{Query: send.Query, Result: ResultSuccess, Elapsed: took, Final: true, Work: work})
				}
			})
		}
	}
	var tick func(i int)
	tick = func(i int) {
		handle(i, TimerFired{})
		after(tickInterval, func() { tick(i) })
	}
	list := func(i int, state EngineState, started time.Duration) {
		ev := EngineList{Mode: ListFull}
		for e := range warm + cold {
			n := entry(e)
			if e >= warm {
				if n.State = state; started > 0 {
					n.Started, n.StartKnown = started, true
				}
			}
			ev.Engines = append(ev.Engines, n)
		}
		handle(i, ev)
	}
	weights, sum := make([]float64, p.gateways), 0.0
	for i := range gateways {
		s := s
		if p.ranked {
			s.Rank = i + 1
		}
		gateways[i], _ = New(s, p.seed<<10+uint64(i))
		weights[i] = 1 + rng.ExpFloat64()*(p.skew-1)
		sum += weights[i]
		list(i, EngineLive, 0)
		after(time.Duration(rng.Int64N(int64(tickInterval))), func() { tick(i) })
		after(away-now+time.Duration(rng.Int64N(int64(p.told))), func() {
			if rng.Float64() < p.fresh {
				gateways[i], _ = New(s, p.seed<<10+uint64(i)+1<<40)
				list(i, EngineDeparted, 0)
				return
			}
			list(i, EngineDeparted, 0)
		})
		after(back-now+time.Duration(rng.Int64N(int64(p.told))), func() { list(i, EngineLive, back) })
	}
	// More than all engines bear, so that whatever may go to a cold one does.
	rate := 1.1 * part * cores * (warm + cold) * 1000 / mean // a second, of all gateways
	var arrive func()
	arrive = func() {
		at, i := rng.Float64()*sum, 0
		for at -= weights[i]; at > 0 && i < p.gateways-1; at -= weights[i] {
			i++
		}
		pick, name := rng.Float64()*all, ""
		for _, c := range s.Classes {
			if name = c.Name; pick < shares[name] {
				break
			}
			pick -= shares[name]
		}
		id++
		class[id] = name
		// Lognormal, so that some are far larger than the mean.
		const cv = 1.2
		sd := math.Sqrt(math.Log(1 + cv*cv))
		out[id] = works[name] * math.Exp(sd*rng.NormFloat64()-sd*sd/2)
		for _, c := range s.Classes {
			if c.Name == name {
				handle(i, QueryArrived{Query: id, Class: name, DataSet: int64(id % 20), Deadline: now + c.Timeout})
			}
		}
		after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	after(0, arrive)
	for now < end {
		e := heap.Pop(&events).(coldEvent)
		now = e.at
		e.run()
	}
	n := s.Rules.OverloadMultiple * p.start * part * cores * milliseconds(p.tipFor) / mean
	bears := n + 2*math.Sqrt(n) + 2
	for _, all := range got[warm:] {
		sent += len(all)
		for i, from := range all {
			within := 0.0
			for _, d := range all[i:] {
				if d.at < from.at+p.tipFor {
					within += d.weight
				}
			}
			over = max(over, within/bears)
		}
	}
	return over, sent
}

// No cold engine is pushed over by all gateways together, be they two or three hundred, with even traffic or a few
// times the mean at some, with queries far larger than the mean, also where most have just started and know no cost.
// Two gateways never have the same turn, since each knows its rank.
func TestWarmUpBudgetInSimulation(t *testing.T) {
	for _, n := range []int{2, 3, 6, 12, 30, 100, 300} {
		for _, fresh := range []float64{0, 0.7} {
			worst, sent := 0.0, 0
			for seed := range uint64(4 - min(n/100, 1)*2) {
				p := coldPlay{seed: seed, gateways: n, fresh: fresh, skew: []float64{1, 4}[seed%2],
					tipFor: []time.Duration{time.Second, 3 * time.Second}[seed/2%2], start: 0.33, ranked: true, told: 1500 * time.Millisecond}
				over, some := p.worst()
				worst, sent = max(worst, over), sent+some
			}
			if worst > 1 || sent == 0 {
				t.Errorf("%d gateways, %.1f new: %.2f of what a cold engine bears, %d sent", n, fresh, worst, sent)
			}
		}
	}
}
