package core

import (
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// fixture is a core between links and other sites that do what a test says. It records what the
// core calls.
type fixture struct {
	now          time.Duration
	timers       *timerqueue.Queue
	core         *Core
	calls        []string
	forward      func(r *Request, rejected bool) bool // of the remote sites; nil: they take nothing
	sent         []*Attempt
	disconnected bool // the client has, and the core does not know yet
}

// newFixture returns a core with so many live engines.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	f := &fixture{now: time.Hour, timers: timerqueue.New()}
	var err error
	f.core, err = New(fixtureSettings(), 1, f, f.timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f.core.SetLinks(fixtureLinks{f})
	f.core.SetRemoteSites(fixtureSites{f})
	var all []Engine
	for i := range engines {
		all = append(all, Engine{Engine: policy.Engine{ID: strconv.Itoa(i), Kind: "k", State: policy.EngineLive}})
	}
	f.core.UpdateEndpoints(policy.ListFull, all)
	return f
}

func fixtureSettings() policy.Settings {
	return policy.Settings{
		Gateways: 1, CallInterval: time.Millisecond, Kinds: []policy.Kind{{Name: "k", Cores: 8, MemoryMB: 1000}},
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.Idempotent},
			{Name: "load", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupAll, DedupWindow: 12 * time.Second},
			{Name: "write", LatencyObjective: time.Second, Timeout: 5 * time.Second, PriorityWeight: 1, Threads: 1},
		},
		Limits:    policy.Limits{MaxAttempts: 3, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
		Objective: policy.Objective{Overall: 1},
	}
}

// accept has the core take a request.
func (f *fixture) accept(class string) *Request {
	r := &Request{ID: "r", Class: class, IdempotencyKey: "key", Deadline: f.now + 5*time.Second, Client: f}
	f.core.Accept(r)
	return r
}

// advance lets time pass.
func (f *fixture) advance(d time.Duration) {
	f.now += d
	f.timers.Sweep(f.now)
}

func (f *fixture) record(format string, args ...any) {
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

// Now makes it a Clock.
func (f *fixture) Now() time.Duration { return f.now }

// Answer and Disconnected make it a client.
func (f *fixture) Answer(_ *Request, a Answer) {
	f.record("%s doubt=%v late=%v", a.Verdict, a.InDoubt, a.DeadlinePassed)
}
func (f *fixture) Disconnected() bool { return f.disconnected }

// UpdateEngine is that of the links and of the sites.
func (f *fixture) UpdateEngine(Engine) {}

type fixtureLinks struct{ *fixture }

func (l fixtureLinks) Send(a *Attempt) {
	l.sent = append(l.sent, a)
	if !l.core.BeginWrite(a) {
		l.core.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	l.record("send")
}

func (l fixtureLinks) SetPriority(*Attempt, int) {}

func (l fixtureLinks) Cancel(*Attempt) bool {
	l.record("cancel attempt")
	return true
}

type fixtureSites struct{ *fixture }

func (s fixtureSites) ForwardOnArrival(r *Request) bool {
	return s.forward != nil && s.forward(r, false)
}
func (s fixtureSites) ForwardRejected(r *Request) bool { return s.forward != nil && s.forward(r, true) }
func (s fixtureSites) Drop(*Request)                   { s.record("drop forwarded") }
func (s fixtureSites) AttemptStarted(*Attempt)         {}
func (s fixtureSites) AttemptEnded(_ *Attempt, outcome Outcome, _ Report) {
	s.record("ended %s", outcome)
}
