package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// rulesModel checks the actions of a gateway against the rules, using its own record of events and actions.
type rulesModel struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	byID     map[uint64]*modelQuery
	queries  []*modelQuery // in the order of arrival
	state    map[string]EngineState
	entries  map[string]Engine
	arrivals []time.Duration
	retries  []time.Duration
}

type modelQuery struct {
	id       uint64
	class    Class
	key      string
	deadline time.Duration
	attempts []modelAttempt
	answered bool
}

type modelAttempt struct {
	engine      string
	sentAt      time.Duration
	endedAt     time.Duration
	inFlight    bool
	mayHaveRun  bool
	mayStillRun bool // ended without a message from the engine
}

func newRulesModel(t *testing.T, s Settings) *rulesModel {
	t.Helper()
	return &rulesModel{t: t, settings: s, now: time.Minute, byID: map[uint64]*modelQuery{},
		state: map[string]EngineState{}, entries: map[string]Engine{}}
}

func (m *rulesModel) add(q *modelQuery) {
	m.byID[q.id] = q
	m.queries = append(m.queries, q)
}

func (m *rulesModel) failf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("at %v: %s", m.now, fmt.Sprintf(format, args...))
}

func (m *rulesModel) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			m.send(a)
		case Grant:
			if a.Priority < 0 || a.Priority > 3 || !(a.MemoryMB >= 0) {
				m.failf("query %d: priority %d, grant %v MB, want a priority from 0 to 3 and a grant of at least 0", a.Query, a.Priority, a.MemoryMB)
			}
		case RequestLoadReport:
			if !m.settings.Limits.AllowLoadRequests || m.state[a.Engine] != EngineLive {
				m.failf("load report requested from %s, want none: not permitted or not live", a.Engine)
			}
		case Reject:
			q := m.endQuery(a.Query)
			isRepeatable := q.class.Idempotency == Idempotent ||
				q.class.Idempotency == IdempotentWithKey && q.class.DedupScope == DedupAll
			for _, attempt := range q.attempts {
				if attempt.mayHaveRun && !isRepeatable {
					m.failf("query %d rejected, want a Fail: an attempt may have run", q.id)
				}
			}
		case Fail:
			m.endQuery(a.Query)
		}
	}
}

func (m *rulesModel) endQuery(id uint64) *modelQuery {
	q := m.byID[id]
	if q == nil || q.answered {
		m.failf("query %d has a second final answer or is unknown, want exactly one answer", id)
	}
	q.answered = true
	return q
}

func (m *rulesModel) send(a Send) {
	q := m.byID[a.Query]
	if q == nil || q.answered {
		m.failf("query %d sent after its final answer, want no send", a.Query)
	}
	if m.state[a.Engine] != EngineLive {
		m.failf("query %d sent to %s in state %d, want only live engines (%d)", a.Query, a.Engine, m.state[a.Engine], EngineLive)
	}
	e := m.entries[a.Engine]
	if !isAllowed(q.class.Zones, e.Zone) {
		m.failf("query %d sent to %s in zone %q, want one of %q", a.Query, a.Engine, e.Zone, q.class.Zones)
	}
	for _, attempt := range q.attempts {
		if attempt.inFlight {
			m.failf("query %d has two attempts in flight, want at most one", a.Query)
		}
		if attempt.mayHaveRun && q.class.Idempotency == NotIdempotent {
			m.failf("query %d sent again, want a single attempt that runs: it is not idempotent", a.Query)
		}
		isDeduped := m.entries[attempt.engine].Cell == e.Cell && m.now-attempt.sentAt <= q.class.DedupWindow
		if attempt.mayHaveRun && q.class.Idempotency == IdempotentWithKey && !isDeduped {
			m.failf("query %d with a key sent again outside its deduplication scope or window, want no send", a.Query)
		}
	}
	m.checkOrder(q)
	if len(q.attempts) > 0 {
		m.retries = append(m.retries, m.now)
		m.checkRetryBudget()
	}
	if len(q.attempts) >= m.settings.Limits.MaxAttempts {
		m.failf("query %d has %d attempts, want at most %d", a.Query, len(q.attempts)+1, m.settings.Limits.MaxAttempts)
	}
	q.attempts = append(q.attempts, modelAttempt{engine: a.Engine, sentAt: m.now, inFlight: true, mayHaveRun: true})
}

func (m *rulesModel) checkRetryBudget() {
	rules := m.settings.Rules
	since := m.now - rules.RetryBudgetWindow
	retries := count(m.retries, since)
	allowed := rules.RetryBudgetBase + rules.RetryBudgetRatio*float64(count(m.arrivals, since))
	if float64(retries) > allowed {
		m.failf("%d retries within the window, want at most %v", retries, allowed)
	}
}

func count(list []time.Duration, since time.Duration) (n int) {
	for _, at := range list {
		if at > since {
			n++
		}
	}
	return n
}

func (m *rulesModel) checkOrder(q *modelQuery) {
	if !q.class.Ordered {
		return
	}
	for _, other := range m.queries {
		if other == q {
			return
		}
		if !other.class.Ordered || other.key != q.key {
			continue
		}
		if !other.answered {
			m.failf("query %d sent before earlier query %d of its key was answered, want it to wait", q.id, other.id)
		}
		for _, attempt := range other.attempts {
			if attempt.inFlight || attempt.mayStillRun && m.now-attempt.endedAt < m.settings.Rules.SettleTime {
				m.failf("query %d sent while earlier query %d of its key may still run, want it to wait", q.id, other.id)
			}
		}
	}
}

// TestRulesHoldOnRandomEvents feeds valid events in random order, including stale and repeated ones, and
// checks the actions against each rule.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		checkRules(t, seed)
	}
}

func checkRules(t *testing.T, seed uint64) {
	t.Helper()
	s := testSettings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetBase, s.Rules.RetryBudgetRatio = 2*time.Second, 3, 0.2
	if seed%2 == 0 { // without progress but with load reports, retries come in bursts, at ticks and after pauses
		s.ProgressInterval, s.HonorsPriority, s.HonorsGrants = 0, true, true
		s.Limits.AllowLoadRequests, s.ReportsLoad = true, true
	}
	g, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	m := newRulesModel(t, s)
	list := func(mode ListMode, engines ...Engine) {
		if mode != ListChanges {
			clear(m.state)
		}
		for _, e := range engines {
			m.state[e.ID], m.entries[e.ID] = e.State, e
		}
		m.check(g.Handle(m.now, EngineList{Mode: mode, Engines: engines}, nil))
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
		switch choice := rng.IntN(10); {
		case choice < 4:
			c := s.Classes[rng.IntN(len(s.Classes))]
			q := &modelQuery{id: next, class: c, deadline: m.now + c.Timeout, key: string(rune('x' + rng.IntN(2)))}
			m.add(q)
			m.arrivals = append(m.arrivals, m.now)
			m.check(g.Handle(m.now, QueryArrived{Query: next, Class: c.Name, Key: q.key, Deadline: q.deadline,
				Work: time.Duration(rng.IntN(3000)) * time.Millisecond, MemoryMB: rng.Float64() * 500}, nil))
			next++
		case choice < 7 && len(m.queries) > 0:
			m.endAttempt(g, rng)
		case choice < 8:
			m.check(g.Handle(m.now, TimerFired{}, nil))
			m.check(g.Handle(m.now, TimerFired{Token: rng.Uint64N(next + 2)}, nil))
		case choice < 9 && len(m.queries) > 0:
			q := m.queries[rng.IntN(len(m.queries))]
			m.check(g.Handle(m.now, AttemptProgress{Query: q.id, Attempt: rng.IntN(3),
				Kind: ProgressKind(rng.IntN(6)), Value: rng.Float64() / 9}, nil))
			m.check(g.Handle(m.now, LoadReportReceived{Engine: fmt.Sprintf("e%d", rng.IntN(7)),
				Load: LoadReport{Reported: true, InFlight: rng.Float64()*900 - 9, CPUUtilization: 1}}, nil))
		case rng.IntN(3) == 0:
			list(ListFull, engine(), engine())
		default:
			list(ListChanges, engine())
		}
	}
	m.finish(g)
}

// endAttempt ends one attempt that is in flight, or repeats the end of one that has ended.
func (m *rulesModel) endAttempt(g *Gateway, rng *rand.Rand) {
	q := m.queries[rng.IntN(len(m.queries))]
	if len(q.attempts) == 0 {
		return
	}
	n := rng.IntN(len(q.attempts))
	attempt := &q.attempts[n]
	result := Result(rng.IntN(int(ResultConnectTimeout) + 1))
	if attempt.inFlight {
		attempt.inFlight = false
		attempt.endedAt = m.now
		attempt.mayHaveRun = !slices.Contains(
			[]Result{ResultRejected, ResultConnectFailed, ResultNotSent, ResultConnectTimeout}, result)
		attempt.mayStillRun = slices.Contains(
			[]Result{ResultTimeout, ResultConnectionLost, ResultCancelled, ResultUnknown}, result)
		if result == ResultSuccess {
			q.answered = true
		}
	}
	m.check(g.Handle(m.now, AttemptEnded{Query: q.id, Attempt: n, Result: result, Elapsed: m.now - attempt.sentAt, Final: q.answered}, nil))
}

// finish advances past all deadlines, after which each query must have its final answer.
func (m *rulesModel) finish(g *Gateway) {
	for _, q := range m.queries {
		m.now = max(m.now, q.deadline)
	}
	for _, q := range m.queries {
		m.check(g.Handle(m.now, TimerFired{Token: q.id + 1}, nil))
		if !q.answered {
			m.failf("query %d has no final answer after its deadline, want one", q.id)
		}
	}
}
