package policy

import (
	"testing"
	"time"
)

func TestRetryBudgetLimitsRetries(t *testing.T) {
	s := testSettings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetBase, s.Rules.RetryBudgetRatio = time.Second, 1, 0.1
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	d.arrive(1, "idempotent")
	d.arrive(2, "idempotent")
	d.wantSend(d.endAttempt(1, 0, ResultRejected), "")
	d.wantNoSend(d.endAttempt(2, 0, ResultRejected))
}

func TestRetryBudgetWindowEdges(t *testing.T) {
	b := newRetryBudget(&Rules{RetryBudgetBase: 1, RetryBudgetRatio: 0.5, RetryBudgetWindow: time.Second})
	now := time.Minute
	b.recordArrival(now)
	b.recordArrival(now)
	b.recordRetry(now)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{
		{0, true},                             // one retry of two permitted
		{time.Second - 1, true},               // the same
		{time.Second, false},                  // the arrivals are out of the window, but not the retry
		{time.Second + time.Nanosecond, true}, // the retry is out of the window, too
	} {
		if got := b.allows(now + c.after); got != c.want {
			t.Errorf("allows() after %v = %v, want %v", c.after, got, c.want)
		}
	}
}

func TestUnlimitedRetryBudgetKeepsNoHistory(t *testing.T) {
	b := newRetryBudget(&Rules{})
	for range 100 {
		b.recordArrival(time.Minute)
		b.recordRetry(time.Minute)
	}
	if !b.allows(time.Minute) || len(b.arrivals)+len(b.retries) > 0 {
		t.Errorf("allows() = %v with %d arrivals and %d retries, want true with none", b.allows(time.Minute), len(b.arrivals), len(b.retries))
	}
}
