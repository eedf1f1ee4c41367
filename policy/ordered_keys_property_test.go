package policy

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestOrderHoldsOverManyKeys runs ordered queries that are not idempotent over many keys, with results of
// every kind, cancelled attempts that end late or never, clients that disconnect, and engines that restart,
// drain and depart. For each key, no two queries may be in flight at once, and none may be sent out of
// order or within the pause after an attempt that may still be running. Every query must be answered by its
// deadline, and the next query of a free key must be sent or answered by the next tick.
func TestOrderHoldsOverManyKeys(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		checkOrder(t, seed)
	}
}

func checkOrder(t *testing.T, seed uint64) {
	t.Helper()
	s := testSettings()
	s.Classes = []Class{{Name: "load", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 5,
		Threads: 1, Idempotency: NotIdempotent, Ordered: true}}
	s.Gateways = 1
	g, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	m := newRulesModel(t, s)
	list := func(e Engine) {
		m.state[e.ID], m.entries[e.ID] = e.State, e
		m.check(g.Handle(m.now, EngineList{Mode: ListChanges, Engines: []Engine{e}}, nil))
	}
	for n := range 4 {
		list(liveEngine(fmt.Sprintf("e%d", n), "a", 0))
	}
	keys := 1 + rng.IntN(30)
	for step := range 1500 {
		m.now += time.Duration(rng.IntN(25)) * time.Millisecond
		for _, q := range m.queries { // as the query's own timer does
			if !q.answered && m.now >= q.deadline-s.CallInterval {
				m.check(g.Handle(m.now, TimerFired{Token: q.id + 1}, nil))
				if !q.answered {
					m.failf("query %d has no final answer at its deadline, want one", q.id)
				}
			}
		}
		switch choice := rng.IntN(20); {
		case choice < 7:
			c := s.Classes[0]
			timeout := time.Duration(1+rng.IntN(int(c.Timeout/time.Millisecond))) * time.Millisecond
			q := &modelQuery{id: uint64(step + 1), class: c, deadline: m.now + timeout, key: strconv.Itoa(rng.IntN(keys))}
			m.add(q)
			m.check(g.Handle(m.now, QueryArrived{Query: q.id, Class: c.Name, Key: q.key, Deadline: q.deadline}, nil))
		case choice < 15 && len(m.queries) > 0:
			m.endAttempt(g, rng)
		case choice < 16 && len(m.queries) > 0:
			if q := m.queries[rng.IntN(len(m.queries))]; !q.answered {
				q.answered = true
				m.check(g.Handle(m.now, ClientDisconnected{Query: q.id}, nil))
			}
		case choice < 17:
			e := liveEngine(fmt.Sprintf("e%d", rng.IntN(4)), "a", 0)
			e.State = EngineState(rng.IntN(3))
			e.StartKnown, e.Started = rng.IntN(2) == 0, m.now
			list(e)
		default:
			m.check(g.Handle(m.now, TimerFired{}, nil))
			m.checkNextOfKeys()
		}
	}
	m.finish(g)
}

// checkNextOfKeys fails if the first query of a free key was neither sent nor answered. A key is free if no
// earlier query of it is unanswered, in flight, or within the pause after an attempt that may still be
// running.
func (m *rulesModel) checkNextOfKeys() {
	isHeld := map[string]bool{}
	pause := m.settings.Rules.SettleTime + m.settings.CallInterval
	for _, q := range m.queries {
		if isHeld[q.key] {
			continue
		}
		if !q.answered && len(q.attempts) == 0 {
			m.failf("query %d is the next one of its key and was neither sent nor answered, want one of these", q.id)
		}
		isHeld[q.key] = !q.answered
		for _, attempt := range q.attempts {
			if attempt.inFlight || attempt.mayStillRun && m.now-attempt.endedAt <= pause {
				isHeld[q.key] = true
			}
		}
	}
}
