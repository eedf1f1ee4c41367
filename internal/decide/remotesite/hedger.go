package remotesite

import (
	"math"
	"time"
)

// Hedger decides which forwarded queries are run at this site as well, while they are still out:
// idempotent ones that take far longer than usual, within a budget. Its zero value is ready for
// use. (Dean and Barroso, "The Tail at Scale", 2013.)
type Hedger struct {
	forwarded float64 // recent queries; decays
	hedged    float64 // recent hedged requests; decays
	decayedAt time.Duration
	latencies map[string]*latencyEstimate // by class
}

// latencyEstimate tracks the latency of a class, in seconds.
type latencyEstimate struct {
	mean, deviation float64
	samples         int
}

const (
	hedgeDecay        = 30 * time.Second // time constant of the budget
	hedgeBudgetBase   = 1.1              // hedged requests that are allowed whatever was forwarded
	hedgeDeviations   = 4.0              // mean deviations above the mean latency from which a query is late
	minLatencySamples = 8                // of a class, before its latency is known
	latencyGain       = 20               // inverse weight of one latency
)

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

// RecordLatency takes how long a forwarded query took that was served.
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

// Delay returns after how long a query of a class is late, so that a hedged request of it may be
// due; ok is false where that isn't known yet.
func (h *Hedger) Delay(class string) (delay time.Duration, ok bool) {
	e := h.latencies[class]
	if e == nil || e.samples < minLatencySamples {
		return 0, false
	}
	return time.Duration((e.mean + hedgeDeviations*e.deviation) * float64(time.Second)), true
}

// Allow tells whether a forwarded query that is late is run here as well, and counts it if so.
// freeCapacity is that of this site for the class.
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
