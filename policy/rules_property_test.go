package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// model follows what the rules say of the actions that a gateway gives.
type model struct {
	t     *testing.T
	s     Settings
	now   time.Duration
	open  map[uint64]*seen
	all   []*seen
	state map[string]EngineState
	info  map[string]Engine
	taken []time.Duration
	extra []time.Duration
}

type seen struct {
	id    uint64
	class Class
	key   string
	due   time.Duration
	tries []seenTry
	over  bool
}

type seenTry struct {
	engine   string
	at       time.Duration
	out, ran bool
	ended    time.Duration
	doubt    bool
}

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("at %v: %s", m.now, fmt.Sprintf(format, args...))
}

func (m *model) apply(out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			m.send(a)
		case Grant:
			if a.Priority < 0 || a.Priority > 3 || !(a.MemoryMB >= 0) {
				m.fail("query %d: priority %d, grant %v", a.Query, a.Priority, a.MemoryMB)
			}
		case RequestLoadReport:
			if !m.s.Limits.AllowLoadRequests || m.state[a.Engine] != EngineLive {
				m.fail("a probe of %s", a.Engine)
			}
		case Reject:
			q := m.end(a.Query)
			for _, try := range q.tries {
				if try.ran && (q.class.Idempotency == NotIdempotent || q.class.Idempotency == IdempotentWithKey && q.class.DedupScope != DedupAll) {
					m.fail("query %d refused though it may have run", q.id)
				}
			}
		case Fail:
			m.end(a.Query)
		}
	}
}

func (m *model) end(id uint64) *seen {
	q := m.open[id]
	if q == nil || q.over {
		m.fail("query %d: a second final answer", id)
	}
	q.over = true
	return q
}

func (m *model) send(a Send) {
	q := m.open[a.Query]
	if q == nil || q.over {
		m.fail("query %d sent after its end", a.Query)
	}
	if m.state[a.Engine] != EngineLive {
		m.fail("query %d sent to %s, which is not live", a.Query, a.Engine)
	}
	e := m.info[a.Engine]
	if !isAllowed(q.class.Zones, e.Zone) {
		m.fail("query %d sent out of its place", a.Query)
	}
	for _, try := range q.tries {
		if try.out {
			m.fail("query %d has two attempts", a.Query)
		}
		if try.ran && q.class.Idempotency == NotIdempotent {
			m.fail("unsafe query %d sent again", a.Query)
		}
		if try.ran && q.class.Idempotency == IdempotentWithKey && (m.info[try.engine].Cell != e.Cell || m.now-try.at > q.class.DedupWindow) {
			m.fail("keyed query %d sent out of its group or window", a.Query)
		}
	}
	m.order(q)
	if len(q.tries) > 0 {
		m.extra = append(m.extra, m.now)
		if got, most := count(m.extra, m.now-m.s.Rules.RetryBudgetWindow),
			m.s.Rules.RetryBudgetBase+m.s.Rules.RetryBudgetRatio*float64(count(m.taken, m.now-m.s.Rules.RetryBudgetWindow)); float64(got) > most {
			m.fail("%d further attempts, %v allowed", got, most)
		}
	}
	if len(q.tries) >= m.s.Limits.MaxAttempts {
		m.fail("query %d has too many attempts", a.Query)
	}
	q.tries = append(q.tries, seenTry{engine: a.Engine, at: m.now, out: true, ran: true})
}

func count(list []time.Duration, since time.Duration) (n int) {
	for _, at := range list {
		if at > since {
			n++
		}
	}
	return n
}

func (m *model) order(q *seen) {
	if !q.class.Ordered {
		return
	}
	for _, o := range m.all {
		if o == q {
			return
		}
		if !o.class.Ordered || o.key != q.key {
			continue
		}
		if !o.over {
			m.fail("query %d sent before query %d was over", q.id, o.id)
		}
		for _, try := range o.tries {
			if try.out || try.doubt && m.now-try.ended < m.s.Rules.SettleTime {
				m.fail("query %d sent while query %d may run", q.id, o.id)
			}
		}
	}
}

// TestRulesHoldOnRandomEvents gives legal events in random order, with stale
// and repeated ones among them, and checks each rule on the actions.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		play(t, seed)
	}
}

func play(t *testing.T, seed uint64) {
	t.Helper()
	s := settings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetBase, s.Rules.RetryBudgetRatio = 2*time.Second, 3, 0.2
	if seed%2 == 0 { // no notes, told load: moves come in bursts, at ticks and after pauses
		s.ProgressInterval, s.HonorsPriority, s.HonorsGrants = 0, true, true
		s.Limits.AllowLoadRequests, s.ReportsLoad = true, true
	}
	g, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &model{t: t, s: s, now: time.Minute, open: map[uint64]*seen{}, state: map[string]EngineState{}, info: map[string]Engine{}}
	list := func(mode ListMode, engines ...Engine) {
		if mode != ListChanges {
			clear(m.state)
		}
		for _, e := range engines {
			m.state[e.ID], m.info[e.ID] = e.State, e
		}
		m.apply(g.Handle(m.now, EngineList{Mode: mode, Engines: engines}, nil))
	}
	engine := func() Engine {
		n := rng.IntN(5)
		e := liveEngine(fmt.Sprintf("e%d", n), string(rune('a'+n%2)), int64(n%2))
		e.State = EngineState(rng.IntN(3))
		if rng.IntN(3) > 0 {
			e.State = EngineLive
		}
		e.StartKnown, e.Started = rng.IntN(4) == 0, m.now
		return e
	}
	list(ListCached, liveEngine("e0", "a", 0), liveEngine("e1", "b", 1))
	next := uint64(1)
	for range 1500 {
		m.now += time.Duration(rng.IntN(40)) * time.Millisecond
		if rng.IntN(100) == 0 {
			m.now += time.Duration(rng.IntN(3000)) * time.Millisecond
		}
		switch k := rng.IntN(10); {
		case k < 4:
			c := s.Classes[rng.IntN(len(s.Classes))]
			q := &seen{id: next, class: c, due: m.now + c.Timeout, key: string(rune('x' + rng.IntN(2)))}
			m.open[next], m.all, m.taken = q, append(m.all, q), append(m.taken, m.now)
			m.apply(g.Handle(m.now, QueryArrived{Query: next, Class: c.Name, Key: q.key, Deadline: q.due,
				Work: time.Duration(rng.IntN(3000)) * time.Millisecond, MemoryMB: rng.Float64() * 500}, nil))
			next++
		case k < 7 && len(m.all) > 0:
			m.outcome(g, rng)
		case k < 8:
			m.apply(g.Handle(m.now, TimerFired{}, nil))
			m.apply(g.Handle(m.now, TimerFired{Token: rng.Uint64N(next + 2)}, nil))
		case k < 9 && len(m.all) > 0:
			q := m.all[rng.IntN(len(m.all))]
			m.apply(g.Handle(m.now, AttemptProgress{Query: q.id, Attempt: rng.IntN(3), Kind: ProgressKind(rng.IntN(6)), Value: rng.Float64() / 9}, nil))
			m.apply(g.Handle(m.now, LoadReportReceived{Engine: fmt.Sprintf("e%d", rng.IntN(7)), Load: LoadReport{Reported: true, InFlight: rng.Float64()*900 - 9, CPUUtilization: 1}}, nil))
		case rng.IntN(3) == 0:
			list(ListFull, engine(), engine())
		default:
			list(ListChanges, engine())
		}
	}
	m.finish(g)
}

// outcome ends one attempt that is out, or repeats one that has ended.
func (m *model) outcome(g *Gateway, rng *rand.Rand) {
	q := m.all[rng.IntN(len(m.all))]
	if len(q.tries) == 0 {
		return
	}
	n := rng.IntN(len(q.tries))
	try := &q.tries[n]
	res := Result(rng.IntN(int(ResultConnectTimeout) + 1))
	if try.out {
		try.out, try.ended = false, m.now
		try.ran = res != ResultRejected && res != ResultConnectFailed && res != ResultNotSent && res != ResultConnectTimeout
		try.doubt = res == ResultTimeout || res == ResultConnectionLost || res == ResultCancelled || res == ResultUnknown
		if res == ResultSuccess {
			q.over = true
		}
	}
	m.apply(g.Handle(m.now, AttemptEnded{Query: q.id, Attempt: n, Result: res, Elapsed: m.now - try.at, Final: q.over}, nil))
}

// finish lets all clients' times run out: each query must then be over.
func (m *model) finish(g *Gateway) {
	for _, q := range m.all {
		m.now = max(m.now, q.due)
	}
	for _, q := range m.all {
		m.apply(g.Handle(m.now, TimerFired{Token: q.id + 1}, nil))
		if !q.over {
			m.fail("query %d has no final answer", q.id)
		}
	}
}
