package costmodel

import "math"

const (
	// wellKnownSamples is how often a bucket must have run until its own history and the hint
	// alone make the estimate. Most traffic is of such shapes; the other components are for the
	// rest.
	wellKnownSamples = 200
	// minOwnSamples is how often values must have come to a shape before its own history of
	// them counts without regard to errors on novel values.
	minOwnSamples = 5
	// settledSamples is how many samples of a bucket replace the errors made on similar values.
	settledSamples = 10
	// minErrorSamples is how many errors of one kind must be known to correct by them.
	minErrorSamples = 2
	// minHintSamples is how many errors of hints must be known to correct a hint by them.
	minHintSamples = 3
	// minMemorySamples is how many reports of a class stand for the memory of an unknown shape.
	minMemorySamples = 3
	// defaultHintDeviation is the deviation of a hint of unknown accuracy, log2.
	defaultHintDeviation = 2
	// p90Deviations is how many standard deviations the 90th percentile of a normal distribution
	// lies above its mean.
	p90Deviations = 1.28
)

// Component is one part of an estimate.
type Component struct {
	Center, Deviation float64 // log2
	Samples           float64 // observations that it rests on; 0: the component is absent
	Weight            float64 // its share of the estimate
}

// Estimate is the expected cost of an execution.
type Estimate struct {
	Known     bool    // there is an estimate
	Work      float64 // median, ms
	P90Factor float64 // from the median to the 90th percentile
	MemoryMB  float64 // 0: unknown
	Class     int     // index among the configured classes; -1: not classified

	History, SimilarValues, Prior, Hint Component
	FrequentValue                       Component // offset of a frequent value with an unusual cost
}

// Estimate returns the expected cost of an execution. The only state that it changes is the class
// that the bucket holds on to.
func (m *Model) Estimate(q *Query) Estimate {
	q.lastEstimate = m.estimate(q)
	return q.lastEstimate
}

func (m *Model) estimate(q *Query) Estimate {
	est := Estimate{Class: -1}
	bucket := m.bucketOf(q)
	if bucket != nil {
		est.History = componentOf(&bucket.Work, 0)
	}
	wellKnown := bucket != nil && bucket.Work.Samples >= wellKnownSamples
	unusual := 0.0
	if !wellKnown {
		est.Prior, unusual = m.priorComponent(q)
	}
	est.Hint = m.hintComponent(q)
	similar := m.similarValues(q)
	if r := q.Record; r != nil && r.Work.Samples >= minErrorSamples && similar != nil && similar.Offset.Samples >= minErrorSamples {
		est.SimilarValues = componentOf(&similar.Offset, float64(r.Work.Center))
	}
	if !wellKnown {
		m.correctForNovelty(q, &est, bucket, similar, unusual)
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

// bucketOf returns the bucket of a query's values, or nil.
func (m *Model) bucketOf(q *Query) *Bucket {
	if q.Record == nil {
		return nil
	}
	return q.Record.findBucket(m.bucketKey(q))
}

// similarValues returns what is known of values that look like those of the query, or nil.
func (m *Model) similarValues(q *Query) *heavyHitter {
	if m.cfg.NoParameters {
		return nil
	}
	return m.SimilarValues.find(m.similarityKey(q))
}

// priorComponent returns the prior's prediction, corrected for the shape, and how far it lies
// from the predictions for earlier executions of the shape (0: unknown).
func (m *Model) priorComponent(q *Query) (c Component, unusual float64) {
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

// hintComponent returns the client's hint, corrected by the errors of earlier hints.
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

// correctForNovelty widens prior and hint by the errors that they have made on such values.
// How accurate a component has been for a shape says little of values unlike those before.
// Guards against a broad report that has the shape of a lookup and is classified as one.
func (m *Model) correctForNovelty(q *Query, est *Estimate, bucket *Bucket, similar *heavyHitter, unusual float64) {
	prior, hint := &m.noErrors, &m.noErrors
	if q.Record != nil && (bucket == nil || bucket.Work.Samples < minOwnSamples) {
		novel := &m.NovelValueErrors[noveltyLevel(unusual)]
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
	prior.widen(&est.Prior, unusual)
	hint.widen(&est.Hint, unusual)
}

// estimateMemory returns the expected memory from the bucket's history and the corrected hint,
// MB; 0: unknown.
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
		y := math.Log2(q.MemoryHint)
		switch {
		case q.Record != nil && q.Record.MemoryHintError.Samples >= minHintSamples:
			hint = componentOf(&q.Record.MemoryHintError, y)
		case class.MemoryHintError.Samples >= minHintSamples:
			hint = componentOf(&class.MemoryHintError, y)
		default:
			hint = Component{Center: y, Deviation: defaultHintDeviation, Samples: 1}
		}
	}
	center, _, ok := combineComponents(&history, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(center)
}

// componentOf returns a component that lies at a base, corrected by a tracker.
func componentOf(t *LogTracker, base float64) Component {
	return Component{Center: base + float64(t.Center), Deviation: math.Sqrt(t.Variance()), Samples: float64(t.Samples)}
}

// combineComponents weights the components that are present by the inverse of their variances.
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
