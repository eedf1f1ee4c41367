package costmodel

import "math"

// sharedState is what a model has learned over all shapes, but for its prior.
type sharedState struct {
	ClassErrors      [trackedClasses]classErrors     `cbor:"All"` // by known class, for shapes without a record
	FrequentValues   heavyHitters                    `cbor:"Heavy"`
	SimilarValues    heavyHitters                    `cbor:"Like"`
	NovelValueErrors [noveltyLevels]novelValueErrors `cbor:"Fresh"`
}

// trackedClasses is how many classes have trackers of their own; the last is for all others.
const trackedClasses = 5

// classErrors holds the errors of hints, and the memory, of the queries of one class.
type classErrors struct {
	HintError       LogTracker `cbor:"Hint"`
	MemoryHintError LogTracker `cbor:"HintMB"`
	Memory          LogTracker `cbor:"Memory"`
}

func (m *Model) classErrorsFor(knownClass int) *classErrors {
	if knownClass < 0 || knownClass >= trackedClasses-1 {
		knownClass = trackedClasses - 1
	}
	return &m.ClassErrors[knownClass]
}

// novelValueErrors holds the errors made on values that were new to their shape.
type novelValueErrors struct {
	PriorError LogTracker `cbor:"Prior"`
	HintError  LogTracker `cbor:"Hint"`
}

// noveltyLevels is how many levels noveltyLevel distinguishes.
const noveltyLevels = 3

// Distances between predictions from which values are of the next novelty level, log2.
const (
	mediumNovelty = 0.7
	highNovelty   = 2
)

// noveltyLevel returns how novel values are for a shape, by the distance of the prior's
// prediction from its usual one.
func noveltyLevel(unusual float64) int {
	switch distance := math.Abs(unusual); {
	case distance < mediumNovelty:
		return 0
	case distance < highNovelty:
		return 1
	}
	return noveltyLevels - 1
}

// widen corrects a component by tracked errors, and widens its deviation to at least theirs.
// Without tracked errors the distance from the usual prediction widens it.
func (t *LogTracker) widen(c *Component, unusual float64) {
	switch {
	case c.Samples == 0:
	case t.Samples >= minErrorSamples:
		c.Center += float64(t.Center)
		c.Deviation = math.Max(c.Deviation, math.Sqrt(t.Variance()))
	default:
		c.Deviation = math.Hypot(c.Deviation, unusual)
	}
}
