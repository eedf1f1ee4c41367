package costmodel

import "math"

// LogTracker tracks the center of a positive quantity and the deviation of its values, both as base-2
// logarithms, since costs span several orders of magnitude and the ratio of an error is what matters.
// It takes 16 bytes. One value moves the center by a bounded step, and the center follows a shift, as
// after a table has changed, within about ten values. The update is a Robbins-Monro step on a clipped
// error (Huber, "Robust Estimation of a Location Parameter", 1964). A run of errors on one side
// increases the step, similar to a CUSUM chart (Page, "Continuous Inspection Schemes", 1954).
type LogTracker struct {
	Center      float32 `cbor:"Mid"` // robust mean of the values, log2
	Deviation   float32 `cbor:"Dev"` // mean absolute distance of the values from the center, log2
	Samples     float32 `cbor:"N"`   // number of values, up to maxTrackedSamples; 0 means that the tracker is empty
	SameSideRun int8    `cbor:"Run"` // number of consecutive errors on one side; negative for errors below the center
}

// Decay says whether older values lose weight as new ones are added.
type Decay uint8

// Kinds of decay.
const (
	WithDecay    Decay = iota // the weight of older values decays exponentially
	WithoutDecay              // all values have the same weight, up to maxTrackedSamples
)

const (
	maxTrackedSamples = 1000
	minGain           = 0.06 // smallest weight of a new value with decay, so about the last 16 values count
	minDeviationGain  = 0.03 // smallest weight of a new value in the deviation
	shiftRun          = 5    // number of consecutive errors on one side that counts as a shift
	shiftGain         = 0.35 // weight of a new value during a shift
	shiftClip         = 4    // largest error during a shift, log2
	maxRun            = 100  // bounds SameSideRun so that it fits its type
	minDeviation      = 0.15 // smallest deviation used, log2
	initialDeviation  = 1.5  // deviation after a single value, log2
	fewSamples        = 4    // with fewer values, errors are clipped at fewSamplesClip
	fewSamplesClip    = 6    // log2
	clipDeviations    = 3    // with more values, errors are clipped at this many deviations
	// stdDevPerMeanDeviation is the ratio of the standard deviation of a normal distribution to its
	// mean absolute deviation.
	stdDevPerMeanDeviation = 1.25
	// centerUncertainty is the uncertainty of the center after one value, relative to the variance of a
	// value. It is divided by the number of values.
	centerUncertainty = 4
)

// Add adds a value, log2.
func (t *LogTracker) Add(value float64, decay Decay) {
	if t.Samples == 0 {
		t.Center, t.Deviation, t.Samples = float32(value), initialDeviation, 1
		return
	}
	err := value - float64(t.Center)
	deviation := max(float64(t.Deviation), minDeviation)
	gain := 1 / (float64(t.Samples) + 1)
	clip := clipDeviations * deviation
	if t.Samples < fewSamples {
		clip = fewSamplesClip
	}
	if decay == WithDecay {
		gain = max(gain, minGain)
		t.updateRun(err, deviation)
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

// updateRun continues, starts or ends the run of errors on one side. An error within the deviation ends
// it.
func (t *LogTracker) updateRun(err, deviation float64) {
	switch {
	case math.Abs(err) < deviation:
		t.SameSideRun = 0
	case err > 0:
		t.SameSideRun = max(t.SameSideRun, 0) + 1
	default:
		t.SameSideRun = min(t.SameSideRun, 0) - 1
	}
}

// Variance returns the variance of a value around the center, including the uncertainty of the center
// itself. The tracker must not be empty.
func (t *LogTracker) Variance() float64 {
	d := stdDevPerMeanDeviation * max(float64(t.Deviation), minDeviation)
	return d * d * (1 + centerUncertainty/float64(t.Samples))
}
