package remotesite

import (
	"math"
	"time"
)

// classLoad is what a CapacityMeter knows of a class.
type classLoad struct {
	arrivals, rejections float64 // recent; they decay
	decayedAt            time.Duration
	fastLatency          float64 // of the fastest answers, s for typical work
	typicalWork          float64 // s of one core
	samples              int     // of the latency
}

const (
	loadDecay       = 2 * time.Second // time constant of arrivals and rejections
	rejectionWeight = 2.0             // half rejected counts as no free capacity at all
	fasterGain      = 0.2             // weight of an answer that was faster than the fastest usual
	slowerGain      = 0.02            // and of one that was slower: some tenth of all are faster
	typicalWorkGain = 20              // inverse weight of one query's work
	minTimeFraction = 0.7             // of fastLatency, below which a query is not begun for another site
	minFastSamples  = 10              // answers before fastLatency is known
	minWorkScale    = 0.1             // bounds of a query's work relative to the typical one
	maxWorkScale    = 10
)

func (c *classLoad) decay(now time.Duration) {
	factor := math.Exp(-float64(max(now-c.decayedAt, 0)) / float64(loadDecay))
	c.arrivals *= factor
	c.rejections *= factor
	c.decayedAt = now
}

func (c *classLoad) admission() float64 {
	return max(1-rejectionWeight*c.rejections/max(c.arrivals, 1), 0)
}

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

// workScale returns the work of a query relative to the typical one.
func (c *classLoad) workScale(work float64) float64 {
	if work <= 0 || c.typicalWork <= 0 {
		return 1
	}
	return min(max(work/c.typicalWork, minWorkScale), maxWorkScale)
}

// canAnswerWithin tells whether an answer is likely within so many seconds.
func (c *classLoad) canAnswerWithin(seconds, work float64) bool {
	return c.samples < minFastSamples || seconds >= minTimeFraction*c.fastLatency*c.workScale(work)
}
