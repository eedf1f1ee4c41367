package policy

import (
	"slices"
	"time"
)

// retryBudget limits the retries within a sliding window to a base plus a fraction of the arrivals. The
// times in arrivals and retries are in ascending order.
type retryBudget struct {
	base     float64
	ratio    float64
	window   time.Duration // 0: retries are not limited
	arrivals []time.Duration
	retries  []time.Duration
}

func newRetryBudget(r *Rules) retryBudget {
	return retryBudget{base: r.RetryBudgetBase, ratio: r.RetryBudgetRatio, window: r.RetryBudgetWindow}
}

func (b *retryBudget) isLimited() bool { return b.window > 0 }

func (b *retryBudget) recordArrival(now time.Duration) {
	if b.isLimited() {
		b.arrivals = append(b.arrivals, now)
	}
}

func (b *retryBudget) recordRetry(now time.Duration) {
	if b.isLimited() {
		b.retries = append(b.retries, now)
	}
}

// allows reports whether the budget permits one more retry now.
func (b *retryBudget) allows(now time.Duration) bool {
	if !b.isLimited() {
		return true
	}
	b.prune(now)
	return float64(len(b.retries)+1) <= b.base+b.ratio*float64(len(b.arrivals))
}

// prune drops entries that are older than the window. An arrival at the very start of the window is dropped
// and a retry is kept, which is the stricter choice in both cases.
func (b *retryBudget) prune(now time.Duration) {
	start := now - b.window
	b.arrivals = slices.DeleteFunc(b.arrivals, func(at time.Duration) bool { return at <= start })
	b.retries = slices.DeleteFunc(b.retries, func(at time.Duration) bool { return at < start })
}
