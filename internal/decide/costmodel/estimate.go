package costmodel

import "math"

const (
	// wellKnownSamples is the number of samples of a bucket from which its estimate no longer uses the
	// prior and the corrections for novel values. Most traffic has such buckets.
	wellKnownSamples = 200
	// minOwnSamples is the number of samples of a bucket from which its values no longer count as novel
	// to the shape.
	minOwnSamples = 5
	// settledSamples is the number of samples of a bucket from which the errors made on similar values
	// are no longer used.
	settledSamples = 10
	// minErrorSamples is the number of errors of one kind needed for a correction by them.
	minErrorSamples = 2
	// minHintSamples is the number of errors of hints needed to correct a hint by them.
	minHintSamples = 3
	// minMemorySamples is the number of reports of a class needed to estimate the memory of an unknown
	// shape by them.
	minMemorySamples = 3
	// defaultHintDeviation is the standard deviation assumed for a hint of unknown accuracy, log2.
	defaultHintDeviation = 2
	// p90Deviations is how many standard deviations the 90th percentile of a normal distribution
	// lies above its mean.
	p90Deviations = 1.28
)

// Component is one of the estimates that are combined into an Estimate.
type Component struct {
	Center, Deviation float64 // median and standard deviation, log2
	Samples           float64 // number of observations that it is based on; 0 means that it is absent
	Weight            float64 // its weight in the combined estimate, 0 to 1
}

// Estimate is the expected cost of an execution.
type Estimate struct {
	Known     bool    // there is an estimate; if false, Class is -1 and the other fields are meaningless
	Work      float64 // median of the work, ms on one core
	P90Factor float64 // ratio of the 90th percentile of the work to its median
	MemoryMB  float64 // expected memory; 0 means unknown
	Class     int     // index in Config.Classes, or -1 if not classified

	// History, SimilarValues, Prior and Hint are the components that Work is combined from.
	History, SimilarValues, Prior, Hint Component
	// FrequentValue is the offset added for a frequent value with an unusual cost. Unlike that of the
	// others, its Deviation is a mean absolute one.
	FrequentValue Component
}

// Estimate returns the expected cost of an execution and stores it in q for Learn. In the model and
// the shape's record it changes nothing but the current class of the bucket.
func (m *Model) Estimate(q *Query) Estimate {
	q.lastEstimate = m.estimate(q)
	return q.lastEstimate
}

// estimate computes the expected cost of an execution.
func (m *Model) estimate(q *Query) Estimate {
	est := Estimate{Class: -1}
	bucket := m.bucketOf(q)
	if bucket != nil {
		est.History = componentOf(&bucket.Work, 0)
	}
	wellKnown := bucket != nil && bucket.Work.Samples >= wellKnownSamples
	predictionShift := 0.0
	if !wellKnown {
		est.Prior, predictionShift = m.priorComponent(q)
	}
	est.Hint = m.hintComponent(q)
	similar := m.similarValues(q)
	if r := q.Record; r != nil && r.Work.Samples >= minErrorSamples && similar != nil && similar.Offset.Samples >= minErrorSamples {
		est.SimilarValues = componentOf(&similar.Offset, float64(r.Work.Center))
	}
	if !wellKnown {
		m.correctForNovelty(q, &est, bucket, similar, predictionShift)
	}
	center, variance, ok := combineComponents(&est.History, &est.SimilarValues, &est.Prior, &est.Hint)
	if !ok {
		return est
	}
	if frequent := m.FrequentValues.find(q.Profile.Key); !m.cfg.NoParameters && frequent != nil && frequent.significant() {
		offset := &frequent.Offset
		est.FrequentValue = Component{Center: float64(offset.Center), Deviation: float64(offset.Deviation), Samples: float64(offset.Samples), Weight: 1}
		center += est.FrequentValue.Center
	}
	est.Known = true
	est.Work = math.Exp2(max(min(center, math.Log2(maxWorkMS)), math.Log2(minWorkMS)))
	est.P90Factor = math.Exp2(p90Deviations * math.Sqrt(variance))
	est.MemoryMB = m.estimateMemory(q, bucket)
	est.Class = m.classify(est.Work, bucket)
	return est
}

// bucketOf returns the bucket for a query's values, or nil if there is none.
func (m *Model) bucketOf(q *Query) *Bucket {
	if q.Record == nil {
		return nil
	}
	return q.Record.findBucket(m.bucketKey(q))
}

// similarValues returns what is known of values similar to those of the query, or nil.
func (m *Model) similarValues(q *Query) *heavyHitter {
	if m.cfg.NoParameters {
		return nil
	}
	return m.SimilarValues.find(m.similarityKey(q))
}

// priorComponent returns the prior's prediction, corrected by its errors for the shape. predictionShift
// is the uncorrected prediction minus the prior's usual one for the shape, log2; 0 if that is unknown.
func (m *Model) priorComponent(q *Query) (c Component, predictionShift float64) {
	if m.cfg.NoPrior || !m.prior.ready() {
		return Component{}, 0
	}
	prediction := m.prior.predict(m.featuresOf(q))
	r := q.Record
	if r == nil || r.PriorError.Samples < minErrorSamples {
		return componentOf(&m.prior.Error, prediction), 0
	}
	return componentOf(&r.PriorError, prediction), prediction - float64(r.PriorPrediction.Center)
}

// hintComponent returns the client's hint, corrected by the errors of earlier hints for the shape, or
// else for the class.
func (m *Model) hintComponent(q *Query) Component {
	if m.cfg.NoHint || !validWork(q.WorkHint) {
		return Component{}
	}
	hint := math.Log2(q.WorkHint)
	class := m.classErrorsFor(q.KnownClass)
	switch {
	case q.Record != nil && q.Record.HintError.Samples >= minHintSamples:
		return componentOf(&q.Record.HintError, hint)
	case class.HintError.Samples >= minHintSamples:
		return componentOf(&class.HintError, hint)
	}
	return Component{Center: hint, Deviation: defaultHintDeviation, Samples: 1}
}

// correctForNovelty corrects and widens the prior and the hint of an estimate by the errors that they
// have made on similar values, or else on values as novel to their shape. If no such errors are known
// or the values are no longer novel, it only widens them by predictionShift. The accuracy for earlier
// values of a shape says little about different ones: without the correction a broad report with the
// shape of a lookup would be classified as a lookup.
func (m *Model) correctForNovelty(q *Query, est *Estimate, bucket *Bucket, similar *heavyHitter, predictionShift float64) {
	prior, hint := &m.emptyTracker, &m.emptyTracker
	if q.Record != nil && (bucket == nil || bucket.Work.Samples < minOwnSamples) {
		novel := &m.NovelValueErrors[noveltyLevel(predictionShift)]
		prior, hint = &novel.PriorError, &novel.HintError
	}
	settled := bucket != nil && bucket.Work.Samples >= settledSamples
	if !settled && similar != nil {
		if similar.PriorError.Samples >= minErrorSamples {
			prior = &similar.PriorError
		}
		if similar.HintError.Samples >= minErrorSamples {
			hint = &similar.HintError
		}
	}
	prior.widen(&est.Prior, predictionShift)
	hint.widen(&est.Hint, predictionShift)
}

// estimateMemory returns the expected memory in MB from the history of the bucket, or else of the class,
// and from the corrected hint; 0 means unknown.
func (m *Model) estimateMemory(q *Query, bucket *Bucket) float64 {
	var history, hint Component
	class := m.classErrorsFor(q.KnownClass)
	switch {
	case bucket != nil && bucket.Memory.Samples > 0:
		history = componentOf(&bucket.Memory, 0)
	case class.Memory.Samples >= minMemorySamples:
		history = componentOf(&class.Memory, 0)
	}
	if !m.cfg.NoHint && validMemory(q.MemoryHint) {
		hinted := math.Log2(q.MemoryHint)
		switch {
		case q.Record != nil && q.Record.MemoryHintError.Samples >= minHintSamples:
			hint = componentOf(&q.Record.MemoryHintError, hinted)
		case class.MemoryHintError.Samples >= minHintSamples:
			hint = componentOf(&class.MemoryHintError, hinted)
		default:
			hint = Component{Center: hinted, Deviation: defaultHintDeviation, Samples: 1}
		}
	}
	center, _, ok := combineComponents(&history, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(center)
}

// componentOf returns a component with its center at base plus that of the tracker, log2, and with the
// standard deviation of the tracker's values. The tracker must not be empty.
func componentOf(t *LogTracker, base float64) Component {
	return Component{Center: base + float64(t.Center), Deviation: math.Sqrt(t.Variance()), Samples: float64(t.Samples)}
}

// combineComponents returns the mean of the components weighted by the inverse of their variances, and
// its variance. It sets their weights. ok is false if all components are absent.
func combineComponents(components ...*Component) (center, variance float64, ok bool) {
	sum := 0.0
	for _, c := range components {
		if c.Samples > 0 {
			c.Weight = 1 / (c.Deviation * c.Deviation)
			sum += c.Weight
		}
	}
	if sum == 0 {
		return 0, 0, false
	}
	for _, c := range components {
		c.Weight /= sum
		center += c.Weight * c.Center
	}
	return center, 1 / sum, true
}
