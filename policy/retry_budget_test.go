package policy

import (
	"testing"
	"time"
)

func TestRetryBudgetLimitsRetries(t *testing.T) {
	s := settings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetBase, s.Rules.RetryBudgetRatio = time.Second, 1, 0.1
	d := newDriver(t, s, liveEngine("e", "a", 1), liveEngine("f", "a", 1))
	d.arrive(1, "idempotent")
	d.arrive(2, "idempotent")
	d.wantSend(d.endAttempt(1, 0, ResultRejected), "")
	d.wantNoSend(d.endAttempt(2, 0, ResultRejected))
}
