package costmodel

import "math"

const (
	// The prior learns from each of the first priorLearnsFirst executions of a shape and from one in
	// priorLearnsEvery of the later ones. It is needed for new shapes and values only, and learning
	// takes it some microseconds.
	priorLearnsFirst = 24
	priorLearnsEvery = 16
	// The model learns from one in wellKnownLearnsEvery executions of a well-known bucket, as long as
	// their cost is as expected.
	wellKnownLearnsEvery = 4
	// maxSteadyRun is the longest run of errors on one side at which costs still count as expected.
	maxSteadyRun = 1
)

// Learn updates the model and the shape's record with the reported cost of an execution. Values outside
// the bounds are ignored, and so is a lower bound that is not above the estimate. The record counts the
// execution in any case.
func (m *Model) Learn(q *Query, outcome Outcome) {
	r := q.Record
	if r != nil && r.Executions < math.MaxUint32 {
		r.Executions++
	}
	if !validWork(outcome.Work) || m.skipsLearning(q) {
		return
	}
	estimated := q.lastEstimate
	if !estimated.Known {
		estimated = m.estimate(q)
	}
	if outcome.LowerBound && estimated.Known && estimated.Work >= outcome.Work {
		return
	}
	work := math.Log2(outcome.Work)
	features := m.featuresOf(q)
	if r != nil {
		m.learnSimilar(q, features, work, estimated.History.Samples)
		m.learnShape(q, features, work, outcome.MemoryMB)
	}
	if r == nil || r.Executions < priorLearnsFirst || r.Executions%priorLearnsEvery == 0 {
		m.prior.learn(features, work, m.cfg.decay())
	}
	m.learnHint(q, work)
	m.learnMemory(q, outcome.MemoryMB)
	if estimated.Known && q.Profile.Key != 0 && !m.cfg.NoParameters {
		usual := math.Log2(estimated.Work) - estimated.FrequentValue.Center
		m.FrequentValues.count(q.Profile.Key).Offset.Add(work-usual, m.cfg.decay())
	}
}

// skipsLearning reports whether to learn nothing from an execution. That holds for most executions of a
// well-known bucket whose costs are as expected.
func (m *Model) skipsLearning(q *Query) bool {
	if q.Record == nil || q.Record.Executions%wellKnownLearnsEvery == 0 {
		return false
	}
	bucket := m.bucketOf(q)
	if bucket == nil || bucket.Work.Samples < wellKnownSamples {
		return false
	}
	run := bucket.Work.SameSideRun
	return run >= -maxSteadyRun && run <= maxSteadyRun
}

// learnShape adds a cost to the record of the query's shape. work is log2 of ms.
func (m *Model) learnShape(q *Query, features *featureVector, work, memoryMB float64) {
	r, decay := q.Record, m.cfg.decay()
	if m.prior.ready() {
		prediction := m.prior.predict(features)
		r.PriorError.Add(work-prediction, decay)
		r.PriorPrediction.Add(prediction, decay)
	}
	r.Work.Add(work, decay)
	bucket := r.bucketFor(m.bucketKey(q))
	bucket.LastUsed = r.Executions
	bucket.Work.Add(work, decay)
	if validMemory(memoryMB) {
		bucket.Memory.Add(math.Log2(memoryMB), decay)
	}
}

// learnSimilar records the errors made on values similar to those of the query. If the values are novel
// to their shape, which means that their bucket had few samples, it also records the errors made on
// such values. work is log2 of ms; ownSamples is the number of samples of the bucket.
func (m *Model) learnSimilar(q *Query, features *featureVector, work, ownSamples float64) {
	r, decay := q.Record, m.cfg.decay()
	if r.Work.Samples < minErrorSamples {
		return
	}
	similar := &heavyHitter{}
	if !m.cfg.NoParameters {
		similar = m.SimilarValues.count(m.similarityKey(q))
		similar.Offset.Add(work-float64(r.Work.Center), decay)
	}
	if !m.prior.ready() || r.PriorError.Samples < minErrorSamples {
		return
	}
	prediction := m.prior.predict(features)
	novel := &novelValueErrors{}
	if ownSamples < minOwnSamples {
		novel = &m.NovelValueErrors[noveltyLevel(prediction-float64(r.PriorPrediction.Center))]
	}
	priorError := work - prediction - float64(r.PriorError.Center)
	similar.PriorError.Add(priorError, decay)
	novel.PriorError.Add(priorError, decay)
	if r.HintError.Samples >= minHintSamples && validWork(q.WorkHint) {
		hintError := work - math.Log2(q.WorkHint) - float64(r.HintError.Center)
		similar.HintError.Add(hintError, decay)
		novel.HintError.Add(hintError, decay)
	}
}

// learnHint records the error of the client's hint. work is log2 of ms.
func (m *Model) learnHint(q *Query, work float64) {
	if !validWork(q.WorkHint) {
		return
	}
	hintError := work - math.Log2(q.WorkHint)
	m.classErrorsFor(q.KnownClass).HintError.Add(hintError, m.cfg.decay())
	if q.Record != nil {
		q.Record.HintError.Add(hintError, m.cfg.decay())
	}
}

// learnMemory records the reported memory and the error of its hint.
func (m *Model) learnMemory(q *Query, memoryMB float64) {
	if !validMemory(memoryMB) {
		return
	}
	class, decay := m.classErrorsFor(q.KnownClass), m.cfg.decay()
	memory := math.Log2(memoryMB)
	class.Memory.Add(memory, decay)
	if !validMemory(q.MemoryHint) {
		return
	}
	hintError := memory - math.Log2(q.MemoryHint)
	class.MemoryHintError.Add(hintError, decay)
	if q.Record != nil {
		q.Record.MemoryHintError.Add(hintError, decay)
	}
}
