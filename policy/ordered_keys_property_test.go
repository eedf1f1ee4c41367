package policy

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestOrderHoldsOverManyKeys plays loads that run once, in order, over many keys, among ends of every kind, cancels whose
// end comes late or never, clients that leave, engines that start anew, drain and go. Of a key never two are
// out, none goes out of turn or within the rest behind one that may run still, each is answered by its deadline,
// and whoever is next in a line that is free is sent or answered with the next tick.
func TestOrderHoldsOverManyKeys(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		playOrder(t, seed)
	}
}

func playOrder(t *testing.T, seed uint64) {
	t.Helper()
	s := settings()
	s.Classes = []Class{{Name: "load", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 5, Threads: 1, Idempotency: NotIdempotent, Ordered: true}}
	s.Gateways = 1
	g, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	m := &model{t: t, s: s, now: time.Minute, open: map[uint64]*seen{}, state: map[string]EngineState{}, info: map[string]Engine{}}
	list := func(e Engine) {
		m.state[e.ID], m.info[e.ID] = e.State, e
		m.apply(g.Handle(m.now, EngineList{Mode: ListChanges, Engines: []Engine{e}}, nil))
	}
	for n := range 4 {
		list(liveEngine(fmt.Sprintf("e%d", n), "a", 0))
	}
	keys := 1 + rng.IntN(30)
	for step := range 1500 {
		m.now += time.Duration(rng.IntN(25)) * time.Millisecond
		for _, q := range m.all { // the core's timers
			if !q.over && m.now >= q.due-s.CallInterval {
				m.apply(g.Handle(m.now, TimerFired{Token: q.id + 1}, nil))
				if !q.over {
					m.fail("query %d is unanswered at its deadline", q.id)
				}
			}
		}
		switch k := rng.IntN(20); {
		case k < 7:
			c := s.Classes[0]
			q := &seen{id: uint64(step + 1), class: c, due: m.now + time.Duration(1+rng.IntN(int(c.Timeout/time.Millisecond)))*time.Millisecond, key: strconv.Itoa(rng.IntN(keys))}
			m.open[q.id], m.all = q, append(m.all, q)
			m.apply(g.Handle(m.now, QueryArrived{Query: q.id, Class: c.Name, Key: q.key, Deadline: q.due}, nil))
		case k < 15 && len(m.all) > 0:
			m.outcome(g, rng)
		case k < 16 && len(m.all) > 0:
			if q := m.all[rng.IntN(len(m.all))]; !q.over {
				q.over = true
				m.apply(g.Handle(m.now, ClientDisconnected{Query: q.id}, nil))
			}
		case k < 17:
			e := liveEngine(fmt.Sprintf("e%d", rng.IntN(4)), "a", 0)
			e.State = EngineState(rng.IntN(3))
			e.StartKnown, e.Started = rng.IntN(2) == 0, m.now
			list(e)
		default:
			m.apply(g.Handle(m.now, TimerFired{}, nil))
			m.noneStarves()
		}
	}
	m.finish(g)
}

// noneStarves fails where the first of a line waits for nothing: it has not been sent, and no earlier one of its
// key is open, out, or rests.
func (m *model) noneStarves() {
	free := map[string]bool{}
	for _, q := range m.all {
		held, known := free[q.key]
		if known && held {
			continue
		}
		if !q.over && len(q.tries) == 0 {
			m.fail("query %d has its turn, and nothing is done about it", q.id)
		}
		holds := !q.over
		for _, try := range q.tries {
			holds = holds || try.out || try.doubt && m.now-try.ended <= m.s.Rules.SettleTime+m.s.CallInterval
		}
		free[q.key] = holds
	}
}
