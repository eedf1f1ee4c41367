package costmodel

import "math"

// sharedState is what a model has learned over all shapes, except for its prior.
type sharedState struct {
	// ClassErrors is indexed by the known class. It is used for shapes with too little history.
	ClassErrors      [trackedClasses]classErrors     `cbor:"All"`
	FrequentValues   heavyHitters                    `cbor:"Heavy"` // by sqltext.Profile.Key
	SimilarValues    heavyHitters                    `cbor:"Like"`  // by similarityKey
	NovelValueErrors [noveltyLevels]novelValueErrors `cbor:"Fresh"` // by novelty level
}

// trackedClasses is the number of groups that classes are tracked in: one for each of the first classes,
// and the last one for all other classes and for statements whose class is not known.
const trackedClasses = 5

// classErrors tracks the errors of hints and the memory of the queries of one class, log2.
type classErrors struct {
	HintError       LogTracker `cbor:"Hint"`   // work relative to the hint
	MemoryHintError LogTracker `cbor:"HintMB"` // memory relative to its hint
	Memory          LogTracker `cbor:"Memory"` // reported memory
}

// classErrorsFor returns the errors of a class. knownClass is its index, or -1 if it is not known.
func (m *Model) classErrorsFor(knownClass int) *classErrors {
	if knownClass < 0 || knownClass >= trackedClasses-1 {
		knownClass = trackedClasses - 1
	}
	return &m.ClassErrors[knownClass]
}

// novelValueErrors tracks the errors made on values that were new to their shape, log2, beyond the usual
// errors for the shape.
type novelValueErrors struct {
	PriorError LogTracker `cbor:"Prior"` // work relative to the corrected prediction of the prior
	HintError  LogTracker `cbor:"Hint"`  // work relative to the corrected hint
}

// noveltyLevels is the number of levels that noveltyLevel returns.
const noveltyLevels = 3

// Distances from which values are of the next novelty level, log2.
const (
	mediumNovelty = 0.7
	highNovelty   = 2
)

// noveltyLevel returns how novel values are for a shape, from 0 to noveltyLevels-1. predictionShift is
// the prior's prediction for them minus its usual prediction for the shape, log2.
func noveltyLevel(predictionShift float64) int {
	switch distance := math.Abs(predictionShift); {
	case distance < mediumNovelty:
		return 0
	case distance < highNovelty:
		return 1
	}
	return noveltyLevels - 1
}

// widen corrects the center of a component by the tracked errors and widens its deviation to at least
// theirs. With too few tracked errors it widens the deviation by the shift of the prediction instead.
// An absent component stays as it is.
func (t *LogTracker) widen(c *Component, predictionShift float64) {
	switch {
	case c.Samples == 0:
	case t.Samples >= minErrorSamples:
		c.Center += float64(t.Center)
		c.Deviation = math.Max(c.Deviation, math.Sqrt(t.Variance()))
	default:
		c.Deviation = math.Hypot(c.Deviation, predictionShift)
	}
}
