package costmodel

import "math"

// LogTracker tracks the center of a positive quantity and the deviation of its values, as base-2
// logarithms: costs spread over decades, and an error counts by its ratio. It is robust (one value
// moves the center by a bounded step) and forgets (a changed table is followed within some ten
// values), in 16 bytes. The update is a Robbins-Monro step on a clipped error (Huber, "Robust
// Estimation of a Location Parameter", 1964); a run of errors on one side raises the step, as a
// CUSUM chart would (Page, "Continuous Inspection Schemes", 1954).
type LogTracker struct {
	Center      float32 `cbor:"Mid"`
	Deviation   float32 `cbor:"Dev"` // mean distance of the values from the center
	Samples     float32 `cbor:"N"`   // at most maxTrackedSamples
	SameSideRun int8    `cbor:"Run"` // consecutive errors on one side; its sign is the side
}

// Decay says whether older values lose weight.
type Decay uint8

// Decays.
const (
	WithDecay Decay = iota
	WithoutDecay
)

const (
	maxTrackedSamples = 1000
	minGain           = 0.06 // step of an old tracker with decay: some 16 values count
	minDeviationGain  = 0.03
	shiftRun          = 5 // consecutive errors on one side that are a shift
	shiftGain         = 0.35
	shiftClip         = 4   // log2, largest step's error during a shift
	maxRun            = 100 // bounds SameSideRun to its type
	minDeviation      = 0.15
	initialDeviation  = 1.5 // after one value
	youngSamples      = 4   // below so many, errors are clipped at youngClip
	youngClip         = 6   // log2
	clipDeviations    = 3   // later, at so many deviations
	// normalRatio is the ratio of the standard deviation of a normal distribution to its mean
	// absolute deviation.
	normalRatio = 1.25
	// centerUncertainty widens the variance of a center that rests on few values.
	centerUncertainty = 4
)

// Add takes one more value, log2.
func (t *LogTracker) Add(value float64, decay Decay) {
	if t.Samples == 0 {
		t.Center, t.Deviation, t.Samples = float32(value), initialDeviation, 1
		return
	}
	err := value - float64(t.Center)
	deviation := max(float64(t.Deviation), minDeviation)
	gain := 1 / (float64(t.Samples) + 1)
	clip := clipDeviations * deviation
	if t.Samples < youngSamples {
		clip = youngClip
	}
	if decay == WithDecay {
		gain = max(gain, minGain)
		t.countRun(err, deviation)
		if t.SameSideRun >= shiftRun || t.SameSideRun <= -shiftRun {
			gain, clip = shiftGain, shiftClip
			t.SameSideRun = max(min(t.SameSideRun, maxRun), -maxRun)
		}
	}
	step := max(min(err, clip), -clip)
	t.Center += float32(gain * step)
	t.Deviation += float32(max(gain, minDeviationGain) * (math.Abs(step) - deviation))
	t.Samples = min(t.Samples+1, maxTrackedSamples)
}

// countRun continues or ends the run of errors on one side.
func (t *LogTracker) countRun(err, deviation float64) {
	switch {
	case math.Abs(err) < deviation:
		t.SameSideRun = 0
	case err > 0:
		t.SameSideRun = max(t.SameSideRun, 0) + 1
	default:
		t.SameSideRun = min(t.SameSideRun, 0) - 1
	}
}

// Variance returns the variance of one value around the center, with the uncertainty of the
// center itself.
func (t *LogTracker) Variance() float64 {
	d := normalRatio * max(float64(t.Deviation), minDeviation)
	return d * d * (1 + centerUncertainty/float64(t.Samples))
}
