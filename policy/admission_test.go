package policy

import (
	"math"
	"testing"
	"time"
)

func TestRejectsBeyondLimitWithRetryAfter(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	for id := uint64(1); id < 100; id++ {
		actions := d.arrive(id, "idempotent")
		if len(sendsIn(actions)) > 0 {
			continue
		}
		for _, a := range actions {
			if reject, ok := a.(Reject); ok && reject.RetryAfter > 0 && reject.RetryAfter <= time.Second {
				return
			}
		}
		t.Fatalf("query %d: actions = %+v, want a send or a rejection with RetryAfter of at most 1s", id, actions)
	}
	t.Fatal("none of 99 queries was rejected, want at least one")
}

func TestManyGatewaysStayNearEngineCapacity(t *testing.T) {
	s, list := manyGateways(40)
	d := newDriver(t, s, list...)
	inFlight := 0.0 // threads
	for id := uint64(1); id < 200; id++ {
		for range sendsIn(d.arrive(id, "wide")) {
			inFlight += 4
		}
	}
	if share := 4 * 40 * 8 / 200.0; inFlight == 0 || inFlight > 4*share {
		t.Fatalf("one of 200 gateways has %v threads in flight at 40 engines, want more than 0 and at most four times its share of four per core, %v", inFlight, share)
	}
}

func TestHeavyQueryThreadsAreBounded(t *testing.T) {
	s := testSettings()
	d := newDriver(t, s, liveEngine("e", "a", 1))
	for id := uint64(1); id <= 100; id++ {
		d.handle(QueryArrived{Query: id, Class: "wide", Work: time.Millisecond, Deadline: d.now + 9*time.Second})
		d.endAttempt(id, 0, ResultSuccess)
	}
	d.handle(QueryArrived{Query: 200, Class: "wide", Work: time.Second, Deadline: d.now + 9*time.Second})
	if got, largest := d.g.queries[200], 2*4.0; got == nil || got.threads > largest {
		t.Fatalf("query of 1000 times the usual work = %+v, want at most %v threads", got, largest)
	}
}

func TestLimitFollowsValueOverEstimatedWork(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1), liveEngine("f", "a", 2))
	id := uint64(0)
	limit := func(class string, work time.Duration) float64 {
		id++
		d.handle(QueryArrived{Query: id, Class: class, Work: work, Deadline: d.now + time.Second})
		q := d.g.queries[id]
		if q == nil {
			t.Fatalf("query %d with work %v was rejected by an idle gateway, want it in flight", id, work)
		}
		got := d.g.queryLimit(q, &d.g.aggregate)
		d.endAttempt(id, 0, ResultSuccess)
		return got
	}
	for range 50 {
		limit("idempotent", 100*time.Millisecond)
	}
	short := limit("idempotent", 20*time.Millisecond)
	usual := limit("idempotent", 100*time.Millisecond)
	long := limit("idempotent", 900*time.Millisecond)
	if short <= usual || usual <= long || short > 3.1*long {
		t.Fatalf("limits of a short, a usual and a long query = %.1f, %.1f, %.1f, want them in descending order", short, usual, long)
	}
	if got := limit("idempotent", 0); math.Abs(got-usual) > usual/10 {
		t.Fatalf("limit without an estimate = %.1f, want that of a usual query, %.1f, within a tenth", got, usual)
	}
	for range 50 { // the mean must stay finite for a class of priority weight 0
		d.g.classes["idempotent"].PriorityWeight = 0
		limit("idempotent", 100*time.Millisecond)
	}
	if math.IsNaN(d.g.meanLogValue) || math.IsInf(d.g.meanLogValue, 0) {
		t.Fatalf("meanLogValue = %v, want a finite number", d.g.meanLogValue)
	}
}

// TestHungAttemptsDoNotFillAggregate fills three engines with attempts that hang and may not be cancelled.
// If these still counted against the aggregate limit, the fourth engine could not be used.
func TestHungAttemptsDoNotFillAggregate(t *testing.T) {
	s := testSettings()
	s.Limits.AllowCancel = false
	s.Gateways = 1
	d := newDriver(t, s, liveEngine("f", "a", 1), liveEngine("h1", "a", 1), liveEngine("h2", "a", 1), liveEngine("h3", "a", 1))
	hung, done := 0, []uint64{}
	for id := range uint64(60) {
		for _, a := range sendsIn(d.arrive(id, "non-idempotent")) {
			if a.Engine == "f" {
				done = append(done, id)
			} else {
				hung++
			}
		}
	}
	for _, id := range done {
		d.endAttempt(id, 0, ResultSuccess)
	}
	d.runTicks(8 * time.Second)
	served := 0
	for n := range uint64(40) {
		for range sendsIn(d.arrive(1000+n, "idempotent")) {
			served++
			d.endAttempt(1000+n, 0, ResultSuccess)
		}
		d.runTicks(20 * time.Millisecond)
	}
	if !d.g.enginesByID["h1"].health.ejected || served < 36 {
		t.Errorf("with %d attempts hung at three engines (ejected: %v, want true), %d of 40 queries went to the fourth, want at least 36",
			hung, d.g.enginesByID["h1"].health.ejected, served)
	}
}
