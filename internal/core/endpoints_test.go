package core

import (
	"log/slog"
	"testing"
	"time"

	"gannetspur/internal/metrics"
	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// startCase is a core with one engine, whose start it hears of by another clock.
type startCase struct {
	*fixture
	reported time.Duration
}

// newStartCase returns a core whose settings give engines a slow start.
func newStartCase(t *testing.T, clockError time.Duration) *startCase {
	t.Helper()
	settings := fixtureSettings()
	settings.Rules = policy.Rules{WarmUpMinCapacity: 0.3, WarmUpPeriod: 15 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}
	f := &fixture{now: 100 * time.Hour, timers: timerqueue.New()}
	var err error
	if f.core, err = New(settings, 1, f, f.timers, metrics.New(), slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	f.core.SetBackend(fixtureBackend{f})
	return &startCase{f, f.now + clockError}
}

func (c *startCase) list(startKnown bool) {
	c.core.UpdateEndpoints(policy.ListChanges, []Engine{{Engine: policy.Engine{ID: "e", Kind: "k", State: policy.EngineLive, Started: c.reported, StartKnown: startKnown}}})
}

// remainingWarmUp returns the time until the engine counts as warm.
func (c *startCase) remainingWarmUp() time.Duration {
	return max(c.core.Snapshot().Learned.Engines[0].WarmUpUntil-c.now, 0)
}

// TestStartByAnotherClockBeginsAWholeSlowStart guards against engines that count as warm right after a start, or as cold
// for as long as another clock is ahead.
func TestStartByAnotherClockBeginsAWholeSlowStart(t *testing.T) {
	for _, clockError := range []time.Duration{-time.Hour, -20 * time.Second, -5 * time.Second, 0, 5 * time.Second, time.Hour} {
		c := newStartCase(t, clockError)
		c.list(false)
		c.advance(time.Minute)
		c.list(true)
		if got := c.remainingWarmUp(); got != 15*time.Second {
			t.Errorf("clock error %v: got a slow start of %v, want one of 15s", clockError, got)
		}
		c.advance(10 * time.Second)
		c.reported -= time.Minute // the engine's clock has gone back
		c.list(true)
		if got := c.remainingWarmUp(); got != 15*time.Second {
			t.Errorf("clock error %v: got a slow start of %v after a second start, want one of 15s", clockError, got)
		}
	}
}

// TestFirstListWithARecentStart guards against a process that starts with a clock of its own and takes an engine that has
// just started for a warm one.
func TestFirstListWithARecentStart(t *testing.T) {
	for clockError, want := range map[time.Duration]time.Duration{-time.Hour: 15 * time.Second, time.Hour: 15 * time.Second, -5 * time.Hour: 0} {
		c := newStartCase(t, clockError)
		c.list(true)
		if got := c.remainingWarmUp(); got != want {
			t.Errorf("start of the first list at %v: got a slow start of %v, want one of %v", clockError, got, want)
		}
	}
}

// TestRestoredStartIsNoNewOne guards against a slow start that begins again with each replacement of the process.
func TestRestoredStartIsNoNewOne(t *testing.T) {
	old, replacement := newStartCase(t, -time.Hour), newStartCase(t, -time.Hour)
	old.list(false)
	old.list(true)
	old.advance(10 * time.Second)
	replacement.advance(10 * time.Second)
	replacement.core.Restore(old.core.Snapshot())
	if got := replacement.remainingWarmUp(); got != 5*time.Second {
		t.Errorf("after the replacement: got a slow start of %v, want the remaining 5s", got)
	}
}

// TestFurtherStatementsReachThePolicy guards against statements of a transaction that the budget of an engine in slow start
// does not count.
func TestFurtherStatementsReachThePolicy(t *testing.T) {
	c := newStartCase(t, 0)
	c.core.SetBackend(streamingFixture{fixtureBackend{c.fixture}})
	c.list(false)
	c.advance(time.Minute)
	c.list(true)
	c.advance(time.Second)
	r := c.accept("read")
	if len(c.sent) != 1 {
		t.Fatalf("got %d attempts, want 1", len(c.sent))
	}
	r.Client = streamingClient{c.fixture}
	c.core.RelayPart(c.sent[0], Report{})
	spent := func() time.Duration { return c.core.Snapshot().Learned.Engines[0].BudgetSpentUntil }
	before := spent()
	if !c.core.Continue(r, nil, time.Second) || spent() <= before {
		t.Errorf("a further statement left the budget spent until %v, want later than %v", spent(), before)
	}
}

type streamingFixture struct{ fixtureBackend }

func (streamingFixture) Continue(*Attempt) {}

type streamingClient struct{ *fixture }

func (streamingClient) PartialAnswer(*Request, Answer) {}
