package remotesite

import (
	"math"
	"time"
)

// classLoad is what a CapacityMeter knows of a class of queries.
type classLoad struct {
	arrivals, rejections float64       // numbers of recent queries, decayed exponentially
	decayedAt            time.Duration // when arrivals and rejections were last decayed
	fastLatency          float64       // latency of fast answers in seconds, scaled to a query of typicalWork
	typicalWork          float64       // moving average of the work of a query, in core-seconds; 0 means unknown
	samples              int           // number of latencies recorded
}

const (
	loadDecay       = 2 * time.Second // time constant of arrivals and rejections
	rejectionWeight = 2.0             // with half of the queries rejected there is no free capacity
	// fasterGain is the weight in fastLatency of an answer that was faster than it, slowerGain that of
	// a slower one. With this ratio of ten to one, fastLatency follows the expectile of the latencies at
	// 1/11, which is below their mean.
	fasterGain      = 0.2
	slowerGain      = 0.02
	typicalWorkGain = 20 // inverse weight of one query in typicalWork
	// minTimeFraction is the fraction of fastLatency that a query of another site needs as remaining
	// time to be started.
	minTimeFraction = 0.7
	minFastSamples  = 10  // latencies needed before fastLatency is used
	minWorkScale    = 0.1 // lower bound of a query's work relative to typicalWork
	maxWorkScale    = 10  // upper bound of a query's work relative to typicalWork
)

// decay reduces the counts of recent queries by the time since the last call.
func (c *classLoad) decay(now time.Duration) {
	factor := math.Exp(-float64(max(now-c.decayedAt, 0)) / float64(loadDecay))
	c.arrivals *= factor
	c.rejections *= factor
	c.decayedAt = now
}

// admittedFraction returns 1 if no recent query was rejected and falls to 0 when half of them were.
func (c *classLoad) admittedFraction() float64 {
	return max(1-rejectionWeight*c.rejections/max(c.arrivals, 1), 0)
}

// recordLatency records the latency of an answer and the work of its query in core-seconds; a work of 0
// means unknown.
func (c *classLoad) recordLatency(seconds, work float64) {
	c.samples++
	if c.samples == 1 {
		c.fastLatency = seconds
		c.typicalWork = work
	}
	if work > 0 {
		c.typicalWork += (work - c.typicalWork) / typicalWorkGain
	}
	scaled := seconds / c.workScale(work)
	if scaled < c.fastLatency {
		c.fastLatency += (scaled - c.fastLatency) * fasterGain
	} else {
		c.fastLatency += (scaled - c.fastLatency) * slowerGain
	}
}

// workScale returns the work of a query relative to typicalWork, within bounds; 1 if either is unknown.
func (c *classLoad) workScale(work float64) float64 {
	if work <= 0 || c.typicalWork <= 0 {
		return 1
	}
	return min(max(work/c.typicalWork, minWorkScale), maxWorkScale)
}

// canAnswerWithin reports whether a query with this work is likely to be answered within so many
// seconds. It is true while too few latencies are known.
func (c *classLoad) canAnswerWithin(seconds, work float64) bool {
	return c.samples < minFastSamples || seconds >= minTimeFraction*c.fastLatency*c.workScale(work)
}
