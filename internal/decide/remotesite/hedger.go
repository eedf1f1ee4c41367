package remotesite

import (
	"math"
	"time"
)

// Hedger decides which forwarded queries are also run at this site while their answer is outstanding:
// idempotent ones that take far longer than usual, within a budget. The zero value is ready for use.
// See Dean and Barroso, "The Tail at Scale", 2013.
type Hedger struct {
	forwarded float64                     // number of recently forwarded queries, decayed exponentially
	hedged    float64                     // number of recent hedged requests, decayed exponentially
	decayedAt time.Duration               // when forwarded and hedged were last decayed
	latencies map[string]*latencyEstimate // by class
}

// latencyEstimate is the estimated latency of the forwarded queries of a class.
type latencyEstimate struct {
	mean, deviation float64 // moving averages of the latency and of its absolute deviation, in seconds
	samples         int     // number of latencies recorded
}

const (
	hedgeDecay        = 30 * time.Second // time constant of the counts that make up the budget
	hedgeBudgetBase   = 1.1              // part of the budget that doesn't depend on the forwarded queries; allows one hedged request
	hedgeDeviations   = 4.0              // number of mean deviations above the mean latency from which a query is late
	minLatencySamples = 8                // latencies of a class needed before its estimate is used
	latencyGain       = 20               // inverse weight of one latency in the estimate
)

// decay reduces the counts of recent queries by the time since the last call.
func (h *Hedger) decay(now time.Duration) {
	factor := math.Exp(-float64(max(now-h.decayedAt, 0)) / float64(hedgeDecay))
	h.forwarded *= factor
	h.hedged *= factor
	h.decayedAt = now
}

// RecordForward counts a forwarded query.
func (h *Hedger) RecordForward(now time.Duration) {
	h.decay(now)
	h.forwarded++
}

// RecordLatency records the latency of a forwarded query that was served.
func (h *Hedger) RecordLatency(class string, latency time.Duration) {
	if h.latencies == nil {
		h.latencies = map[string]*latencyEstimate{}
	}
	seconds := latency.Seconds()
	e := h.latencies[class]
	if e == nil {
		e = &latencyEstimate{mean: seconds, deviation: seconds / 2}
		h.latencies[class] = e
	}
	err := seconds - e.mean
	e.samples++
	e.mean += err / latencyGain
	e.deviation += (math.Abs(err) - e.deviation) / latencyGain
}

// Delay returns the time after which a forwarded query of a class is late and a hedged request may be
// sent; ok is false while too few latencies are known.
func (h *Hedger) Delay(class string) (delay time.Duration, ok bool) {
	e := h.latencies[class]
	if e == nil || e.samples < minLatencySamples {
		return 0, false
	}
	return time.Duration((e.mean + hedgeDeviations*e.deviation) * float64(time.Second)), true
}

// Allow reports whether a forwarded query that is late is also run here, and counts it if so.
// freeCapacity is this site's free capacity for the query's class, as a fraction.
func (h *Hedger) Allow(cfg Config, now time.Duration, q *Query, freeCapacity float64) bool {
	h.decay(now)
	if q.Idempotency != Idempotent || !MayAttempt(cfg, q, 0) || freeCapacity < cfg.SpillBelow {
		return false
	}
	if h.hedged+1 > hedgeBudgetBase+cfg.HedgeRatio*h.forwarded {
		return false
	}
	h.hedged++
	return true
}
