package costmodel

import "math"

// Track follows the middle of a figure and how far its values stray, both in powers of
// two: costs spread over decades, and an error counts by its ratio. It is robust (one
// voice moves the middle by a bounded step) and forgets (a changed table is noticed
// within some ten values), in 16 bytes. The update is a Robbins-Monro step on a clipped
// error (Huber, "Robust Estimation of a Location Parameter", 1964); a run of errors on
// one side raises the step, as a CUSUM chart would (Page, "Continuous Inspection
// Schemes", 1954).
type Track struct {
	Mid float32 `cbor:"Mid"` // log2
	Dev float32 `cbor:"Dev"` // mean distance from it, in powers of two
	N   float32 `cbor:"N"`   // values seen, at most trackMost
	Run int8    `cbor:"Run"` // errors in a row on one side; the sign is the side's
}

const (
	trackMost = 1000
	gainFloor = 0.06 // the step on an old track: some 16 values count
	runStep   = 5    // so many errors in a row on one side are a change
	runGain   = 0.35
	devFloor  = 0.15 // no figure is known better than this
	devStart  = 1.5  // what one value leaves open
)

// Add takes one more value, as a power of two.
func (t *Track) Add(x float64, forget bool) {
	if t.N == 0 {
		t.Mid, t.Dev, t.N = float32(x), devStart, 1
		return
	}
	e := x - float64(t.Mid)
	dev := max(float64(t.Dev), devFloor)
	gain := 1 / (float64(t.N) + 1)
	clip := 3 * dev
	if t.N < 4 {
		clip = 6
	}
	if forget {
		gain = max(gain, gainFloor)
		switch {
		case math.Abs(e) < dev:
			t.Run = 0
		case e > 0:
			t.Run = max(t.Run, 0) + 1
		default:
			t.Run = min(t.Run, 0) - 1
		}
		if t.Run >= runStep || t.Run <= -runStep {
			gain, clip = runGain, 4
			t.Run = max(min(t.Run, 100), -100)
		}
	}
	step := max(min(e, clip), -clip)
	t.Mid += float32(gain * step)
	t.Dev += float32(max(gain, 0.03) * (math.Abs(step) - dev))
	t.N = min(t.N+1, trackMost)
}

// Variance is the square of the error to expect of the middle for one value.
func (t *Track) Variance() float64 {
	d := 1.25 * max(float64(t.Dev), devFloor) // of the mean distance of a normal distribution
	return d * d * (1 + 4/float64(t.N))
}
