// Package shape decides what a statement is likely to cost, and of which class it is,
// from what executions of its shape have cost before. It is pure: no clock, no I/O, and
// the same calls give the same results.
//
// Four voices are heard, each with the error that it has been seen to make, and weighed
// by the inverse of its square (the best linear combination of independent unbiased
// estimates):
//
//   - the shape's own record, one for each bucket of profiles of its values;
//   - values like these: how executions with such values have differed from what their
//     own shapes usually cost, over all shapes;
//   - the prior, a model over features that learns from all shapes, corrected by how
//     this shape has differed from it;
//   - the client's hint, corrected by how right it has been for this shape.
//
// Work is in milliseconds on one core, memory in megabytes; within, both are powers of
// two. Figures told by engines are not trusted one by one: see Track.
package costmodel

import (
	"fmt"
	"math"
	"strings"

	"gannetspur/internal/sqltext"
)

// Bounds of what a finished query may tell; what lies outside is no figure and is left
// out. An hour of work on one core is more than any class waits for.
const (
	minWorkMS   = 0.01  // ms
	maxWorkMS   = 3.6e6 // ms
	minMemoryMB = 0.01  // MB
	maxMemoryMB = 1e6   // MB
)

// Class is a class that reading statements can be found to have.
type Class struct {
	Name      string
	MaxWorkMS float64 // expected work in ms; 0: no end
}

// Config says how to learn and decide.
type Config struct {
	// Classes are those of reading statements, from the cheapest on; the last has no
	// end. None: classes are not decided.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the bound between two
	// classes before a shape changes over. 1: none; at least 1.
	Hysteresis float64
	// The parts that can be switched off, to measure what each is worth.
	NoParameters, NoPrior, NoForgetting, NoHint bool
}

// DefaultHysteresis is used where a configuration names none.
const DefaultHysteresis = 1.3

// likeUntil is how often values must have come to a shape before its own record of them
// stands alone.
const minOwnSamples = 5

// settled is how many until errors on values like these say no more than its own.
const settledSamples = 10

// The prior serves shapes and values that are new, and learning costs it some microseconds:
// it takes each of the first executions of a shape, and a share of the others.
const (
	priorLearnsFirst = 24
	priorLearnsEvery = 16
)

// wellKnown is how often a bucket must have run until its own record and the hint say all,
// and until no more than a share of its executions is learned from, as long as these go on
// as expected. Most traffic is of such shapes; the rest of the machinery is for others.
const (
	wellKnownSamples     = 200
	wellKnownLearnsEvery = 4
)

// mostBuckets bounds the profiles that one shape keeps apart.
const maxBuckets = 8

// Entry is what is kept of one shape. Its size does not depend on the shape.
type ShapeRecord struct {
	Executions      uint32             `cbor:"Seen"`   // executions, saturating
	Work            LogTracker         `cbor:"All"`    // of the cost, whatever the values
	PriorError      LogTracker         `cbor:"Offset"` // of the cost against the prior
	PriorPrediction LogTracker         `cbor:"Usual"`  // of what the prior says of its executions
	HintError       LogTracker         `cbor:"Hint"`   // of the cost against the hint
	MemoryHintError LogTracker         `cbor:"Memory"` // of the memory against its hint
	Buckets         [maxBuckets]Bucket `cbor:"Buckets"`
}

// Bucket is the record of the executions of one shape whose values look alike.
type Bucket struct {
	Key       uint32     `cbor:"Key"`
	LastUsed  uint32     `cbor:"Used"` // Seen of the entry when it was last used
	Work      LogTracker `cbor:"Work"`
	Memory    LogTracker `cbor:"Memory"`
	HeldClass uint8      `cbor:"Class"` // 1 and up: place of the class last decided; 0: none yet
}

// Query is one execution as the decision sees it.
type Query struct {
	Record     *ShapeRecord // nil: the shape is not kept
	Features   *sqltext.Features
	Profile    sqltext.Profile
	KnownClass int     // place of the class that is already known, or -1
	WorkHint   float64 // the client's estimate of the work; 0: none
	MemoryHint float64 // and of the memory

	// What Estimate worked out, for Learn: an execution is read once.
	featureVector featureVector
	hasFeatures   bool
	lastEstimate  Estimate
}

// Voice is one part of an estimate.
type Component struct {
	Center, Deviation float64 // powers of two
	Samples           float64 // values it rests on
	Weight            float64 // its share; 0: not heard
}

// Estimate is what to expect of an execution.
type Estimate struct {
	Known     bool    // there is one
	Work      float64 // ms, the middle
	P90Factor float64 // factor from the middle to the nine tenths
	MemoryMB  float64 // 0: not known
	Class     int     // place among the configured classes; -1: not decided

	History, SimilarValues, Prior, Hint Component
	FrequentValue                       Component // of a value that is asked for often and costs otherwise
}

// Model learns and decides.
type Model struct {
	cfg   Config
	prior *priorModel
	sharedState
	noErrors LogTracker // of no errors at all
}

// state is what a model has learned, but for its prior.
type sharedState struct {
	ClassErrors      [knownClasses]classErrors `cbor:"All"`   // by known class, for shapes without a record
	FrequentValues   heavyHitters              `cbor:"Heavy"` // values that come often
	SimilarValues    heavyHitters              `cbor:"Like"`  // values that look alike
	NovelValueErrors [3]novelValueErrors       `cbor:"Fresh"` // errors on values new to a shape, by how strange these are
}

type classErrors struct {
	HintError       LogTracker `cbor:"Hint"`
	MemoryHintError LogTracker `cbor:"HintMB"`
	Memory          LogTracker `cbor:"Memory"`
}

type novelValueErrors struct {
	PriorError LogTracker `cbor:"Prior"`
	HintError  LogTracker `cbor:"Hint"`
}

// strangeness sorts how far the prior finds an execution from the shape's usual ones.
func noveltyLevel(unusual float64) int {
	switch d := math.Abs(unusual); {
	case d < 0.7:
		return 0
	case d < 2:
		return 1
	}
	return 2
}

// widen has a voice count for no more than its errors of this kind allow.
func (t *LogTracker) widenComponent(v *Component, unusual float64) {
	switch {
	case v.Samples == 0:
	case t.Samples >= 2:
		v.Center += float64(t.Center)
		v.Deviation = math.Max(v.Deviation, math.Sqrt(t.Variance()))
	default:
		v.Deviation = math.Hypot(v.Deviation, unusual)
	}
}

// knownClasses is how many classes have a track of their own; the last is for all else.
const knownClasses = 5

// New returns a model that knows nothing.
func New(cfg Config) *Model {
	if cfg.Hysteresis < 1 {
		cfg.Hysteresis = DefaultHysteresis
	}
	return &Model{cfg: cfg, prior: newPriorModel()}
}

func (m *Model) classErrorsFor(known int) *classErrors {
	if known < 0 || known >= knownClasses-1 {
		known = knownClasses - 1
	}
	return &m.ClassErrors[known]
}

func (m *Model) bucketKey(q *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return q.Profile.Bucket()
}

func (m *Model) featuresOf(q *Query) *featureVector {
	if !q.hasFeatures {
		p := &q.Profile
		if m.cfg.NoParameters {
			p = &sqltext.Profile{}
		}
		q.featureVector, q.hasFeatures = newFeatureVector(q.Features, p, q.KnownClass), true
	}
	return &q.featureVector
}

// find is the bucket of the profile, or nil.
func (e *ShapeRecord) findBucket(key uint32) *Bucket {
	for i := range e.Buckets {
		if b := &e.Buckets[i]; b.Work.Samples > 0 && b.Key == key {
			return b
		}
	}
	return nil
}

// bucket is the bucket of the profile; where there is none, an empty one or the one
// that was not used for longest becomes it.
func (e *ShapeRecord) bucketFor(key uint32) *Bucket {
	if b := e.findBucket(key); b != nil {
		return b
	}
	oldest := &e.Buckets[0]
	for i := range e.Buckets {
		b := &e.Buckets[i]
		if b.Work.Samples == 0 {
			oldest = b
			break
		}
		if b.LastUsed < oldest.LastUsed {
			oldest = b
		}
	}
	*oldest = Bucket{Key: key}
	return oldest
}

// Estimate tells what to expect of an execution. It changes nothing but the class that
// the bucket holds on to.
func (m *Model) Estimate(q *Query) Estimate {
	q.lastEstimate = m.estimate(q)
	return q.lastEstimate
}

func (m *Model) estimate(q *Query) Estimate {
	est := Estimate{Class: -1}
	var b *Bucket
	if q.Record != nil {
		b = q.Record.findBucket(m.bucketKey(q))
	}
	if b != nil {
		est.History = componentOf(&b.Work, 0)
	}
	known := b != nil && b.Work.Samples >= wellKnownSamples
	unusual := 0.0
	if !known && !m.cfg.NoPrior && m.prior.ready() {
		y := m.prior.predict(m.featuresOf(q))
		est.Prior = componentOf(&m.prior.Error, y)
		if q.Record != nil && q.Record.PriorError.Samples >= 2 {
			est.Prior = componentOf(&q.Record.PriorError, y)
			unusual = y - float64(q.Record.PriorPrediction.Center)
		}
	}
	if !m.cfg.NoHint && q.WorkHint >= minWorkMS && q.WorkHint <= maxWorkMS {
		y := math.Log2(q.WorkHint)
		switch common := m.classErrorsFor(q.KnownClass); {
		case q.Record != nil && q.Record.HintError.Samples >= 3:
			est.Hint = componentOf(&q.Record.HintError, y)
		case common.HintError.Samples >= 3:
			est.Hint = componentOf(&common.HintError, y)
		default:
			est.Hint = Component{Center: y, Deviation: 2, Samples: 1}
		}
	}
	var alike *heavyHitter
	if !m.cfg.NoParameters {
		alike = m.SimilarValues.find(similarityKey(m.bucketKey(q), q.Profile.Column))
	}
	if e := q.Record; e != nil && e.Work.Samples >= 2 && alike != nil && alike.Offset.Samples >= 2 {
		est.SimilarValues = componentOf(&alike.Offset, float64(e.Work.Center))
	}
	// How right a voice has been for a shape says little of values that are unlike those
	// before: what counts then is how right it has been of such values. Guards against a
	// broad report that passes for the lookup whose shape it has.
	prior, hint := &m.noErrors, &m.noErrors
	if q.Record != nil && (b == nil || b.Work.Samples < minOwnSamples) {
		f := &m.NovelValueErrors[noveltyLevel(unusual)]
		prior, hint = &f.PriorError, &f.HintError
	}
	if young := b == nil || b.Work.Samples < settledSamples; young && alike != nil {
		if alike.PriorError.Samples >= 2 {
			prior = &alike.PriorError
		}
		if alike.HintError.Samples >= 2 {
			hint = &alike.HintError
		}
	}
	if !known {
		prior.widenComponent(&est.Prior, unusual)
		hint.widenComponent(&est.Hint, unusual)
	}
	mid, variance, ok := combineComponents(&est.History, &est.SimilarValues, &est.Prior, &est.Hint)
	if !ok {
		return est
	}
	if h := m.FrequentValues.find(q.Profile.Key); !m.cfg.NoParameters && h != nil && h.significant() {
		est.FrequentValue = Component{Center: float64(h.Offset.Center), Deviation: float64(h.Offset.Deviation), Samples: float64(h.Offset.Samples), Weight: 1}
		mid += est.FrequentValue.Center
	}
	est.Known = true
	est.Work = math.Exp2(max(min(mid, math.Log2(maxWorkMS)), math.Log2(minWorkMS)))
	est.P90Factor = math.Exp2(1.28 * math.Sqrt(variance))
	est.MemoryMB = m.estimateMemory(q, b)
	est.Class = m.classify(est.Work, b)
	return est
}

func componentOf(t *LogTracker, base float64) Component {
	return Component{Center: base + float64(t.Center), Deviation: math.Sqrt(t.Variance()), Samples: float64(t.Samples)}
}

// combine weighs the voices that were raised by the inverse of their variances.
func combineComponents(voices ...*Component) (mid, variance float64, ok bool) {
	sum := 0.0
	for _, v := range voices {
		if v.Samples > 0 {
			v.Weight = 1 / (v.Deviation * v.Deviation)
			sum += v.Weight
		}
	}
	if sum == 0 {
		return 0, 0, false
	}
	for _, v := range voices {
		v.Weight /= sum
		mid += v.Weight * v.Center
	}
	return mid, 1 / sum, true
}

// memory is the expected memory: the bucket's record and the corrected hint.
func (m *Model) estimateMemory(q *Query, b *Bucket) float64 {
	var record, hint Component
	common := m.classErrorsFor(q.KnownClass)
	switch {
	case b != nil && b.Memory.Samples > 0:
		record = componentOf(&b.Memory, 0)
	case common.Memory.Samples >= 3:
		record = componentOf(&common.Memory, 0)
	}
	if !m.cfg.NoHint && q.MemoryHint >= minMemoryMB && q.MemoryHint <= maxMemoryMB {
		y := math.Log2(q.MemoryHint)
		switch {
		case q.Record != nil && q.Record.MemoryHintError.Samples >= 3:
			hint = componentOf(&q.Record.MemoryHintError, y)
		case common.MemoryHintError.Samples >= 3:
			hint = componentOf(&common.MemoryHintError, y)
		default:
			hint = Component{Center: y, Deviation: 2, Samples: 1}
		}
	}
	mid, _, ok := combineComponents(&record, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(mid)
}

// class finds the class of an expected work. A bucket holds on to the one that it has
// until the estimate is well past the bound.
func (m *Model) classify(work float64, b *Bucket) int {
	n := len(m.cfg.Classes)
	if n == 0 {
		return -1
	}
	place := func(w float64) int {
		for i, c := range m.cfg.Classes {
			if c.MaxWorkMS <= 0 || w <= c.MaxWorkMS {
				return i
			}
		}
		return n - 1
	}
	c := place(work)
	if b == nil {
		return c
	}
	if held := int(b.HeldClass) - 1; held >= 0 && held < n && held != c {
		h := m.cfg.Hysteresis
		if c > held && place(work/h) <= held || c < held && place(work*h) >= held {
			return held
		}
	}
	b.HeldClass = uint8(c + 1)
	return c
}

// Truth is what a finished execution told; 0 where it told nothing.
type Outcome struct {
	Work, MemoryMB float64
	// AtLeast: it was given up before its end, so the work is a lower bound. Guards
	// against learning of broad reports from those alone that came to an end.
	LowerBound bool
}

// Learn takes what an execution has cost. What is no figure is left out.
func (m *Model) Learn(q *Query, t Outcome) {
	forget := !m.cfg.NoForgetting
	e := q.Record
	if e != nil && e.Executions < math.MaxUint32 {
		e.Executions++
	}
	if !(t.Work >= minWorkMS && t.Work <= maxWorkMS) {
		return
	}
	if e != nil && e.Executions%wellKnownLearnsEvery != 0 {
		if b := e.findBucket(m.bucketKey(q)); b != nil && b.Work.Samples >= wellKnownSamples && b.Work.SameSideRun > -2 && b.Work.SameSideRun < 2 {
			return
		}
	}
	y := math.Log2(t.Work)
	before := q.lastEstimate
	if !before.Known {
		before = m.estimate(q)
	}
	if t.LowerBound && before.Known && before.Work >= t.Work {
		return
	}
	x := m.featuresOf(q)
	if e != nil {
		m.learnSimilar(q, x, y, before.History.Samples < minOwnSamples, forget)
		if m.prior.ready() {
			says := m.prior.predict(x)
			e.PriorError.Add(y-says, forget)
			e.PriorPrediction.Add(says, forget)
		}
		e.Work.Add(y, forget)
		b := e.bucketFor(m.bucketKey(q))
		b.LastUsed = e.Executions
		b.Work.Add(y, forget)
		if t.MemoryMB >= minMemoryMB && t.MemoryMB <= maxMemoryMB {
			b.Memory.Add(math.Log2(t.MemoryMB), forget)
		}
	}
	if e == nil || e.Executions < priorLearnsFirst || e.Executions%priorLearnsEvery == 0 {
		m.prior.learn(x, y, forget)
	}
	common := m.classErrorsFor(q.KnownClass)
	if q.WorkHint >= minWorkMS && q.WorkHint <= maxWorkMS {
		d := y - math.Log2(q.WorkHint)
		common.HintError.Add(d, forget)
		if e != nil {
			e.HintError.Add(d, forget)
		}
	}
	if t.MemoryMB >= minMemoryMB && t.MemoryMB <= maxMemoryMB {
		z := math.Log2(t.MemoryMB)
		common.Memory.Add(z, forget)
		if q.MemoryHint >= minMemoryMB && q.MemoryHint <= maxMemoryMB {
			common.MemoryHintError.Add(z-math.Log2(q.MemoryHint), forget)
			if e != nil {
				e.MemoryHintError.Add(z-math.Log2(q.MemoryHint), forget)
			}
		}
	}
	if before.Known && q.Profile.Key != 0 && !m.cfg.NoParameters {
		m.FrequentValues.count(q.Profile.Key).Offset.Add(y-(math.Log2(before.Work)-before.FrequentValue.Center), forget)
	}
}

// learnAlike takes the errors made on values that look alike, and on values that are new
// to their shape.
func (m *Model) learnSimilar(q *Query, x *featureVector, y float64, fresh, forget bool) {
	e := q.Record
	if e.Work.Samples < 2 {
		return
	}
	alike := &heavyHitter{}
	if !m.cfg.NoParameters {
		alike = m.SimilarValues.count(similarityKey(m.bucketKey(q), q.Profile.Column))
		alike.Offset.Add(y-float64(e.Work.Center), forget)
	}
	if !m.prior.ready() || e.PriorError.Samples < 2 {
		return
	}
	says := m.prior.predict(x)
	f := &m.NovelValueErrors[noveltyLevel(says-float64(e.PriorPrediction.Center))]
	miss := y - says - float64(e.PriorError.Center)
	alike.PriorError.Add(miss, forget)
	if fresh {
		f.PriorError.Add(miss, forget)
	}
	if e.HintError.Samples >= 3 && q.WorkHint >= minWorkMS && q.WorkHint <= maxWorkMS {
		miss = y - math.Log2(q.WorkHint) - float64(e.HintError.Center)
		alike.HintError.Add(miss, forget)
		if fresh {
			f.HintError.Add(miss, forget)
		}
	}
}

// Why says in words what an estimate rests on.
func (e Estimate) Explain() string {
	if !e.Known {
		return "nothing is known: no record, no hint, and the prior has seen too little"
	}
	var parts []string
	for _, v := range []struct {
		name string
		v    Component
	}{{"record of the shape", e.History}, {"values like these", e.SimilarValues}, {"prior over features", e.Prior}, {"hint as it has been right", e.Hint}} {
		if v.v.Samples > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g ms, within a factor of %.2g, from %.0f values: %.0f %%",
				v.name, math.Exp2(v.v.Center), math.Exp2(v.v.Deviation), v.v.Samples, 100*v.v.Weight))
		}
	}
	if e.FrequentValue.Samples > 0 {
		parts = append(parts, fmt.Sprintf("its value is asked for often and costs %.2g times the usual", math.Exp2(e.FrequentValue.Center)))
	}
	return strings.Join(parts, "; ")
}
