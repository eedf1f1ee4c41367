package policy

import (
	"fmt"
	"testing"
	"time"
)

// driver feeds events to one gateway, with a clock of its own.
type driver struct {
	t       *testing.T
	g       *Gateway
	now     time.Duration
	actions []Action // of the latest event
}

// testSettings returns settings for two gateways and engines of eight cores, with one query class for each
// combination of rules that the tests need.
func testSettings() Settings {
	return Settings{
		Gateways: 2, Zone: "a", ProgressInterval: 500 * time.Millisecond, CallInterval: 5 * time.Millisecond,
		Kinds: []Kind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []Class{
			{Name: "idempotent", LatencyObjective: 300 * time.Millisecond, Timeout: 2 * time.Second,
				PriorityWeight: 1, Threads: 1, Idempotency: Idempotent},
			{Name: "wide", LatencyObjective: 3 * time.Second, Timeout: 15 * time.Second,
				PriorityWeight: 9, Threads: 4, Idempotency: Idempotent},
			{Name: "non-idempotent", LatencyObjective: time.Second, Timeout: 9 * time.Second,
				PriorityWeight: 5, Threads: 2, Idempotency: NotIdempotent},
			{Name: "keyed", LatencyObjective: time.Second, Timeout: 9 * time.Second,
				PriorityWeight: 5, Threads: 2, Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: time.Second},
			{Name: "ordered", LatencyObjective: time.Second, Timeout: 9 * time.Second,
				PriorityWeight: 1, Threads: 1, Idempotency: Idempotent, Ordered: true},
			{Name: "placed", LatencyObjective: time.Second, Timeout: 9 * time.Second,
				PriorityWeight: 1, Threads: 1, Idempotency: Idempotent, Zones: []string{"b"}},
		},
		Rules: Rules{
			AnswerGracePeriod: 20 * time.Millisecond, DrainTimeout: time.Second, WarmUpMinCapacity: 0.3,
			WarmUpPeriod: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
			SettleTime: 700 * time.Millisecond,
		},
		Limits: Limits{MaxAttempts: 4, AllowCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
	}
}

// manyGateways returns the settings and engines of a deployment with so many gateways that an equal share
// of an engine is much less than one query.
func manyGateways(engines int) (Settings, []Engine) {
	s := testSettings()
	s.Gateways = 200
	list := make([]Engine, engines)
	for i := range list {
		list[i] = liveEngine(fmt.Sprintf("e%02d", i), "a", 1)
	}
	return s, list
}

func liveEngine(id, zone string, cell int64) Engine {
	return Engine{ID: id, Zone: zone, Kind: "k", Cell: cell, State: EngineLive}
}

func newDriver(t *testing.T, s Settings, engines ...Engine) *driver {
	t.Helper()
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, g: g, now: time.Minute}
	d.handle(EngineList{Mode: ListCached, Engines: engines})
	return d
}

func (d *driver) handle(ev Event) []Action {
	d.actions = d.g.Handle(d.now, ev, nil)
	return d.actions
}

func (d *driver) advance(by time.Duration) *driver {
	d.now += by
	return d
}

// runTicks fires the periodic timer for the given time and returns all actions of the gateway.
func (d *driver) runTicks(duration time.Duration) (all []Action) {
	for end := d.now + duration; d.now < end; {
		all = append(all, d.advance(tickInterval).handle(TimerFired{})...)
	}
	return all
}

func (d *driver) arrive(id uint64, class string) []Action {
	deadline := d.now + d.g.classes["non-idempotent"].Timeout
	return d.handle(QueryArrived{Query: id, Class: class, Deadline: deadline})
}

func (d *driver) endAttempt(id uint64, attempt int, result Result) []Action {
	return d.handle(AttemptEnded{Query: id, Attempt: attempt, Result: result, Elapsed: 100 * time.Millisecond,
		Final: result == ResultSuccess})
}

func (d *driver) wantSend(actions []Action, engine string) {
	d.t.Helper()
	if sends := sendsIn(actions); len(sends) != 1 || engine != "" && sends[0].Engine != engine {
		d.t.Fatalf("actions = %+v, want exactly one send to %q (empty: any engine)", actions, engine)
	}
}

func (d *driver) wantNoSend(actions []Action) {
	d.t.Helper()
	if sends := sendsIn(actions); len(sends) != 0 {
		d.t.Fatalf("sends = %+v, want none", sends)
	}
}

func sendsIn(actions []Action) (sends []Send) {
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

func contains[T Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}
