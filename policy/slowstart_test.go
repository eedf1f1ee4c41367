package policy

import (
	"testing"
	"time"
)

func TestWarmUpBudgetLimitsWork(t *testing.T) {
	s := testSettings()
	d := newDriver(t, s, liveEngine("warm", "a", 1))
	cold := liveEngine("cold", "a", 1)
	cold.Started, cold.StartKnown = d.now+5*time.Second, true
	d.advance(5 * time.Second).handle(EngineList{Mode: ListFull, Engines: []Engine{cold}})
	work := 0.0
	for id := uint64(1); id < 200; id++ {
		for range sendsIn(d.arrive(id, "idempotent")) {
			work += d.g.classes["idempotent"].workMS
			d.endAttempt(id, 0, ResultSuccess)
		}
	}
	if budget := s.Rules.OverloadMultiple * s.Rules.WarmUpMinCapacity * 8 * 2000 / 2; work == 0 || work > budget {
		t.Fatalf("sent %v ms of work, want more than 0 and at most %v", work, budget)
	}
}

// TestWarmUpBudgetOfManyGateways sums what all gateways send to one warming engine within any overload
// window, with plenty of queries of all sizes. If the engine was down before, a failed connection has
// already begun a warm-up at each gateway, and the start that the list reports must begin a new one.
func TestWarmUpBudgetOfManyGateways(t *testing.T) {
	for _, c := range []struct {
		gateways int
		wasDown  bool
	}{{2, false}, {9, false}, {40, false}, {200, false}, {9, true}, {40, true}, {200, true}} {
		n, down := c.gateways, c.wasDown
		s := testSettings()
		s.Gateways = n
		cold := liveEngine("cold", "a", 1)
		cold.Started, cold.StartKnown = time.Minute, true
		type sent struct {
			at   time.Duration
			work float64
		}
		var all []sent
		gateways := make([]*Gateway, n)
		for i := range gateways {
			gateways[i], _ = New(s, uint64(i))
			gateways[i].Handle(30*time.Second, TimerFired{}, nil)
			if down {
				gateways[i].Handle(30*time.Second, EngineList{Mode: ListFull, Engines: []Engine{liveEngine("cold", "a", 1)}}, nil)
				gateways[i].Handle(51*time.Second, QueryArrived{Query: 1 << 40, Class: "idempotent", Deadline: 55 * time.Second}, nil)
				gateways[i].Handle(51*time.Second, AttemptEnded{Query: 1 << 40, Result: ResultConnectFailed}, nil)
			}
			gateways[i].Handle(time.Minute, EngineList{Mode: ListFull, Engines: []Engine{cold}}, nil)
		}
		id := uint64(0)
		for now := time.Minute; now < time.Minute+s.Rules.WarmUpPeriod; now += 100 * time.Millisecond {
			for _, g := range gateways {
				for _, class := range []string{"idempotent", "wide", "non-idempotent"} {
					id++
					for range sendsIn(g.Handle(now, QueryArrived{Query: id, Class: class, Deadline: now + 9*time.Second}, nil)) {
						all = append(all, sent{now, g.classes[class].workMS})
						g.Handle(now, AttemptEnded{Query: id, Result: ResultSuccess, Elapsed: s.Classes[0].LatencyObjective, Final: true}, nil)
					}
				}
			}
		}
		largest, total := 0.0, 0.0
		for i, from := range all {
			sum := 0.0
			for _, a := range all[i:] {
				if a.at < from.at+s.Rules.OverloadWindow {
					sum += a.work
				}
			}
			largest = max(largest, sum)
			total += from.work
		}
		limit := s.Rules.OverloadMultiple * s.Rules.WarmUpMinCapacity * 8 * milliseconds(s.Rules.OverloadWindow)
		if largest > limit || total < 0.1*limit*float64(s.Rules.WarmUpPeriod/s.Rules.OverloadWindow) {
			t.Errorf("%d gateways: %.0f ms of work within a window, %.0f in all, want at most %.0f in any window and at least a tenth of that on average", n, largest, total, limit)
		}
	}
}

// TestWorkSentBeforeAStartIsReportedCounts has an engine that gets a whole window's budget while it counts as warm. When
// its start is reported, it must get nothing until a part of that work is a window old.
func TestWorkSentBeforeAStartIsReportedCounts(t *testing.T) {
	s := testSettings()
	d := newDriver(t, s, liveEngine("e", "a", 1))
	d.advance(3 * time.Second).handle(TimerFired{})
	id := uint64(0)
	sendMany := func() (sent int) {
		for range 400 {
			id++
			sent += len(sendsIn(d.arrive(id, "idempotent")))
			d.endAttempt(id, 0, ResultSuccess)
		}
		return sent
	}
	if sent := sendMany(); sent == 0 {
		t.Fatal("a warm engine got nothing, want many queries")
	}
	started := liveEngine("e", "a", 1)
	started.Started, started.StartKnown = d.now, true
	d.advance(10 * time.Millisecond).handle(EngineList{Mode: ListChanges, Engines: []Engine{started}})
	if sent := sendMany(); sent != 0 {
		t.Errorf("right after the report: got %d queries sent, want none", sent)
	}
	if sent := func() int { d.advance(s.Rules.OverloadWindow); return sendMany() }(); sent == 0 {
		t.Error("a window after the report: got no query sent, want some")
	}
}

// TestFurtherStatementsOfAStreamCount has a transaction at an engine in slow start whose further statements spend the
// budget: it must get no new query until they are paid for.
func TestFurtherStatementsOfAStreamCount(t *testing.T) {
	d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
	d.advance(3 * time.Second).handle(TimerFired{})
	started := liveEngine("e", "a", 1)
	started.Started, started.StartKnown = d.now, true
	d.handle(EngineList{Mode: ListChanges, Engines: []Engine{started}})
	d.wantSend(d.arrive(1, "idempotent"), "e")
	d.handle(StreamStarted{Query: 1})
	for range 1000 {
		d.handle(StreamContinued{Query: 1})
	}
	d.advance(testSettings().Rules.OverloadWindow)
	d.wantNoSend(d.arrive(2, "idempotent"))
}

// TestFastRestartWhileTheListIsLost has an engine answer soon after its connection broke. That disproves a restart only
// while the engine list would report it.
func TestFastRestartWhileTheListIsLost(t *testing.T) {
	lost := EngineList{Mode: ListFailed, SilentFor: time.Second}
	for name, c := range map[string]struct {
		beforeAnswer, afterAnswer, late bool // whether the list is lost then; late: long after the answer
		want                            bool // in slow start in the end
	}{
		"list is current":            {},
		"lost before the answer":     {beforeAnswer: true, want: true},
		"lost right after":           {afterAnswer: true, want: true},
		"lost long after the answer": {late: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
			d.advance(3 * time.Second).handle(TimerFired{})
			d.arrive(1, "idempotent")
			d.endAttempt(1, 0, ResultConnectionLost)
			if c.beforeAnswer {
				d.handle(lost)
			}
			d.advance(100 * time.Millisecond)
			d.arrive(2, "idempotent")
			d.endAttempt(2, 0, ResultSuccess)
			if c.afterAnswer {
				d.advance(time.Second).handle(lost)
			}
			d.advance(maxReportDelay + 1100*time.Millisecond)
			if c.late {
				d.handle(lost)
			}
			if got := d.now < d.g.engines[0].warmUp.until; got != c.want {
				t.Errorf("in slow start = %v, want %v", got, c.want)
			}
		})
	}
}

func TestFailedConnectionPresumesRestart(t *testing.T) {
	s, list := manyGateways(1)
	d := newDriver(t, s, list...)
	d.advance(3 * time.Second).handle(TimerFired{})
	d.arrive(1, "idempotent")
	d.endAttempt(1, 0, ResultConnectionLost)
	work := 0.0
	for id := uint64(2); id < 200; id++ { // all at once, while the engine may have restarted
		for range sendsIn(d.arrive(id, "idempotent")) {
			work += d.g.classes["idempotent"].workMS
			d.endAttempt(id, 0, ResultSuccess)
		}
	}
	budget := s.Rules.OverloadMultiple * s.Rules.WarmUpMinCapacity * 8 * 2000 / 200
	if work > budget+d.g.classes["idempotent"].workMS {
		t.Fatalf("sent %v ms of work after a broken connection, want at most this gateway's part of the warm-up budget, %v, and one query", work, budget)
	}
}

// TestConnectTimeoutPresumesNoRestartAfterContact has a connection that times out while being established.
// The engine may have restarted, unless it has just responded on another connection.
func TestConnectTimeoutPresumesNoRestartAfterContact(t *testing.T) {
	for silence, want := range map[time.Duration]bool{500 * time.Millisecond: false, 3 * time.Second: true} {
		d := newDriver(t, testSettings(), liveEngine("e", "a", 1))
		d.advance(3 * time.Second).handle(TimerFired{})
		d.arrive(1, "idempotent")
		d.endAttempt(1, 0, ResultSuccess)
		d.advance(silence)
		d.arrive(2, "idempotent")
		d.endAttempt(2, 0, ResultConnectTimeout)
		if got := d.now < d.g.engines[0].warmUp.until; got != want {
			t.Errorf("latest contact %v ago: warming up = %v, want %v", silence, got, want)
		}
	}
}
