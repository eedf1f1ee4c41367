package costmodel

import "math"

// Track follows the middle of a figure and how far its values stray, both in powers of
// two: costs spread over decades, and an error counts by its ratio. It is robust (one
// voice moves the middle by a bounded step) and forgets (a changed table is noticed
// within some ten values), in 16 bytes. The update is a Robbins-Monro step on a clipped
// error (Huber, "Robust Estimation of a Location Parameter", 1964); a run of errors on
// one side raises the step, as a CUSUM chart would (Page, "Continuous Inspection
// Schemes", 1954).
type LogTracker struct {
	Center      float32 `cbor:"Mid"` // log2
	Deviation   float32 `cbor:"Dev"` // mean distance from it, in powers of two
	Samples     float32 `cbor:"N"`   // values seen, at most trackMost
	SameSideRun int8    `cbor:"Run"` // errors in a row on one side; the sign is the side's
}

const (
	maxTrackedSamples = 1000
	minGain           = 0.06 // the step on an old track: some 16 values count
	shiftRun          = 5    // so many errors in a row on one side are a change
	shiftGain         = 0.35
	minDeviation      = 0.15 // no figure is known better than this
	initialDeviation  = 1.5  // what one value leaves open
)

// Add takes one more value, as a power of two.
func (t *LogTracker) Add(x float64, forget bool) {
	if t.Samples == 0 {
		t.Center, t.Deviation, t.Samples = float32(x), initialDeviation, 1
		return
	}
	e := x - float64(t.Center)
	dev := max(float64(t.Deviation), minDeviation)
	gain := 1 / (float64(t.Samples) + 1)
	clip := 3 * dev
	if t.Samples < 4 {
		clip = 6
	}
	if forget {
		gain = max(gain, minGain)
		switch {
		case math.Abs(e) < dev:
			t.SameSideRun = 0
		case e > 0:
			t.SameSideRun = max(t.SameSideRun, 0) + 1
		default:
			t.SameSideRun = min(t.SameSideRun, 0) - 1
		}
		if t.SameSideRun >= shiftRun || t.SameSideRun <= -shiftRun {
			gain, clip = shiftGain, 4
			t.SameSideRun = max(min(t.SameSideRun, 100), -100)
		}
	}
	step := max(min(e, clip), -clip)
	t.Center += float32(gain * step)
	t.Deviation += float32(max(gain, 0.03) * (math.Abs(step) - dev))
	t.Samples = min(t.Samples+1, maxTrackedSamples)
}

// Variance is the square of the error to expect of the middle for one value.
func (t *LogTracker) Variance() float64 {
	d := 1.25 * max(float64(t.Deviation), minDeviation) // of the mean distance of a normal distribution
	return d * d * (1 + 4/float64(t.Samples))
}
