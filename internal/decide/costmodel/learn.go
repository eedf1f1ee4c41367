package costmodel

import "math"

const (
	// The prior serves new shapes and values, and learning costs it some microseconds: it takes
	// each of the first executions of a shape, and one of so many later ones.
	priorLearnsFirst = 24
	priorLearnsEvery = 16
	// wellKnownLearnsEvery is how many executions of a well-known bucket there are for each that
	// is learned from, as long as they cost what is expected.
	wellKnownLearnsEvery = 4
	// maxSteadyRun is the longest run of errors on one side that counts as being as expected.
	maxSteadyRun = 1
)

// Learn takes the reported cost of an execution. Figures outside the bounds are ignored.
func (m *Model) Learn(q *Query, outcome Outcome) {
	r := q.Record
	if r != nil && r.Executions < math.MaxUint32 {
		r.Executions++
	}
	if !validWork(outcome.Work) || m.skips(q) {
		return
	}
	before := q.lastEstimate
	if !before.Known {
		before = m.estimate(q)
	}
	if outcome.LowerBound && before.Known && before.Work >= outcome.Work {
		return
	}
	work := math.Log2(outcome.Work)
	features := m.featuresOf(q)
	if r != nil {
		m.learnSimilar(q, features, work, before.History.Samples)
		m.learnShape(q, features, work, outcome.MemoryMB)
	}
	if r == nil || r.Executions < priorLearnsFirst || r.Executions%priorLearnsEvery == 0 {
		m.prior.learn(features, work, m.cfg.decay())
	}
	m.learnHint(q, work)
	m.learnMemory(q, outcome.MemoryMB)
	if before.Known && q.Profile.Key != 0 && !m.cfg.NoParameters {
		usual := math.Log2(before.Work) - before.FrequentValue.Center
		m.FrequentValues.count(q.Profile.Key).Offset.Add(work-usual, m.cfg.decay())
	}
}

// skips tells whether an execution is not learned from: most of those of a well-known bucket
// whose costs are as expected.
func (m *Model) skips(q *Query) bool {
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

// learnShape takes a cost into the record of the query's shape.
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

// learnSimilar takes the errors made on values that look alike, and on values that are novel to
// their shape: those with few samples of their own.
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

// learnHint takes the error of the client's hint.
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

// learnMemory takes the reported memory and the error of its hint.
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
