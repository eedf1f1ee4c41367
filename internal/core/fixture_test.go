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

// fixture is a core with fakes of its clock, backend, remote sites and client. It records the calls
// that the core makes to them.
type fixture struct {
	now          time.Duration
	timers       *timerqueue.Queue
	core         *Core
	calls        []string                             // calls of the core, in order
	forward      func(r *Request, rejected bool) bool // implements the remote sites; nil: they forward nothing
	sent         []*Attempt                           // attempts passed to the backend, in order
	disconnected bool                                 // result of Disconnected
}

// newFixture returns a fixture with the given number of live engines.
func newFixture(t *testing.T, engines int) *fixture {
	t.Helper()
	f := &fixture{now: time.Hour, timers: timerqueue.New()}
	var err error
	f.core, err = New(fixtureSettings(), 1, f, f.timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	f.core.SetBackend(fixtureBackend{f})
	f.core.SetRemoteSites(fixtureSites{f})
	var list []Engine
	for i := range engines {
		list = append(list, Engine{Engine: policy.Engine{ID: strconv.Itoa(i), Kind: "k", State: policy.EngineLive}})
	}
	f.core.UpdateEndpoints(policy.ListFull, list)
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

// accept passes a new request of the class to the core.
func (f *fixture) accept(class string) *Request {
	r := &Request{ID: "r", Class: class, IdempotencyKey: "key", Deadline: f.now + 5*time.Second, Client: f}
	f.core.Accept(r)
	return r
}

// advance moves the clock forward and runs the timers that are due.
func (f *fixture) advance(d time.Duration) {
	f.now += d
	f.timers.RunDue(f.now)
}

func (f *fixture) record(format string, args ...any) {
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

// Now implements Clock.
func (f *fixture) Now() time.Duration { return f.now }

// Answer and Disconnected implement Client and DisconnectDetector.
func (f *fixture) Answer(_ *Request, a Answer) {
	f.record("%s doubt=%v late=%v", a.Verdict, a.InDoubt, a.DeadlinePassed)
}
func (f *fixture) Disconnected() bool { return f.disconnected }

// UpdateEngine implements the method that Backend and RemoteSites share.
func (f *fixture) UpdateEngine(Engine) {}

type fixtureBackend struct{ *fixture }

func (b fixtureBackend) Send(a *Attempt) {
	b.sent = append(b.sent, a)
	if !b.core.BeginWrite(a) {
		b.core.EndAttempt(a, OutcomeNotSent, Report{})
		return
	}
	b.record("send")
}

func (b fixtureBackend) SetPriority(*Attempt, int) {}

func (b fixtureBackend) Cancel(*Attempt) bool {
	b.record("cancel attempt")
	return true
}

type fixtureSites struct{ *fixture }

func (s fixtureSites) ForwardOnArrival(r *Request) bool {
	return s.forward != nil && s.forward(r, false)
}
func (s fixtureSites) SharesDeduplication() bool       { return true }
func (s fixtureSites) ForwardRejected(r *Request) bool { return s.forward != nil && s.forward(r, true) }
func (s fixtureSites) Drop(*Request)                   { s.record("drop forwarded") }
func (s fixtureSites) AttemptStarted(*Attempt)         {}
func (s fixtureSites) AttemptEnded(_ *Attempt, outcome Outcome, _ Report) {
	s.record("ended %s", outcome)
}
