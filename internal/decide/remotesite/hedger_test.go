package remotesite

import (
	"testing"
	"time"
)

// TestHedger checks that only idempotent queries with attempts left are hedged, only with free capacity
// at this site, and only within the budget.
func TestHedger(t *testing.T) {
	cfg, now := Defaults(), time.Hour
	var h Hedger
	if _, ok := h.Delay("lookup"); ok {
		t.Error("Delay before any latency: ok = true, want false")
	}
	for range 30 {
		h.RecordLatency("lookup", 200*ms)
		h.RecordForward(now)
	}
	if d, ok := h.Delay("lookup"); !ok || d < 200*ms || d > 500*ms {
		t.Errorf("Delay = %v, %v, want 200 to 500 ms, true", d, ok)
	}
	n := 0
	for range 20 {
		if h.Allow(cfg, now, &Query{Idempotency: Idempotent, Attempts: 1}, 0.5) {
			n++
		}
	}
	if n != 1 {
		t.Errorf("hedged requests for 30 forwarded ones = %d, want 1", n)
	}
	now += 10 * time.Minute
	for _, q := range []*Query{{Idempotency: IdempotentWithKey}, {Idempotency: NotIdempotent}, {Idempotency: Idempotent, Attempts: 3}} {
		if h.Allow(cfg, now, q, 0.5) {
			t.Errorf("Allow(%+v) = true, want false", q)
		}
	}
	overloaded := h.Allow(cfg, now, &Query{Idempotency: Idempotent}, 0.01)
	if free := h.Allow(cfg, now, &Query{Idempotency: Idempotent}, 0.5); overloaded || !free {
		t.Errorf("Allow = %v with free capacity 0.01 and %v with 0.5, want false and true", overloaded, free)
	}
}
