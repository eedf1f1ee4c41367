package remotesite

import (
	"testing"
	"time"
)

// TestAfterFailure checks the next step for a query whose forwarding has failed, by its idempotency, its
// attempts and its dedup window.
func TestAfterFailure(t *testing.T) {
	cfg := Defaults()
	for name, tt := range map[string]struct {
		q       Query
		failure Failure
		want    NextStep
	}{
		"read, in doubt":                        {Query{Idempotency: Idempotent, Attempts: 1}, InDoubt, RunLocally},
		"read, no attempts left":                {Query{Idempotency: Idempotent, Attempts: 3}, InDoubt, ReportRejected},
		"write, in doubt":                       {Query{Idempotency: NotIdempotent, Attempts: 1}, InDoubt, ReportInDoubt},
		"write, never ran":                      {Query{Idempotency: NotIdempotent}, NeverRan, RunLocally},
		"never ran, no capacity here":           {Query{Idempotency: Idempotent, RejectedLocally: true}, NeverRan, ReportRejected},
		"in doubt, no capacity here":            {Query{Idempotency: Idempotent, RejectedLocally: true, Attempts: 1}, InDoubt, RunLocally},
		"load, in doubt":                        {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: time.Second, DedupWindow: 12 * time.Second}, InDoubt, RunLocally},
		"load, first attempt 11 s ago":          {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: 11 * time.Second, DedupWindow: 12 * time.Second}, InDoubt, RunLocally},
		"load, first attempt 13 s ago":          {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: 13 * time.Second, DedupWindow: 12 * time.Second}, InDoubt, ReportInDoubt},
		"load, dedup not shared":                {Query{Idempotency: IdempotentWithKey, Attempts: 1, SinceFirstAttempt: time.Second, DedupWindow: 12 * time.Second, DedupNotShared: true}, InDoubt, ReportInDoubt},
		"load, never ran, dedup window expired": {Query{Idempotency: IdempotentWithKey, SinceFirstAttempt: time.Hour, DedupWindow: 12 * time.Second}, NeverRan, RunLocally},
	} {
		t.Run(name, func(t *testing.T) {
			if got := AfterFailure(cfg, &tt.q, tt.failure); got != tt.want {
				t.Errorf("next step = %d, want %d", got, tt.want)
			}
		})
	}
}
