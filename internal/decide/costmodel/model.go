// Package costmodel estimates the cost of a statement, and classifies it, from the cost of
// earlier executions of its shape (its fingerprint without the values). It is pure: no clock, no
// I/O, and the same calls give the same results.
//
// An estimate combines up to four components, each weighted by the inverse of its variance (the
// best linear combination of independent unbiased estimates):
//
//   - the history of the shape, one record for each bucket of profiles of its values;
//   - similar values: how executions with such values have differed from what their own shapes
//     usually cost, over all shapes;
//   - the prior, a regression over features that learns from all shapes, corrected by how this
//     shape has differed from it;
//   - the client's hint, corrected by how accurate it has been for this shape.
//
// Work is in milliseconds on one core and memory in megabytes; the statistics are of their
// base-2 logarithms. Costs reported by engines are not trusted one by one: see LogTracker.
package costmodel

import "gannetspur/internal/sqltext"

// Bounds of a reported cost or hint; a figure outside them is ignored. An hour of work on one
// core is more than any class waits for.
const (
	minWorkMS   = 0.01
	maxWorkMS   = 3.6e6
	minMemoryMB = 0.01
	maxMemoryMB = 1e6
)

func validWork(ms float64) bool   { return ms >= minWorkMS && ms <= maxWorkMS }
func validMemory(mb float64) bool { return mb >= minMemoryMB && mb <= maxMemoryMB }

// Config configures a Model.
type Config struct {
	// Classes are those of reading statements, from the cheapest on; the last is unbounded.
	// Without any, statements are not classified.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the bound between two classes
	// before a shape changes its class: at least 1, which is none.
	Hysteresis float64
	// Components that can be switched off, to measure what each contributes.
	NoParameters, NoPrior, NoForgetting, NoHint bool
}

// DefaultHysteresis is used where a configuration names none.
const DefaultHysteresis = 1.3

func (c *Config) decay() Decay {
	if c.NoForgetting {
		return WithoutDecay
	}
	return WithDecay
}

// Query is one execution of a statement.
type Query struct {
	Record     *ShapeRecord // nil: the shape is not cached
	Features   *sqltext.Features
	Profile    sqltext.Profile
	KnownClass int     // index of the class that is already known, or -1
	WorkHint   float64 // the client's estimate of the work, ms; 0: none
	MemoryHint float64 // and of the memory, MB; 0: none

	// Computed by Model.Estimate and used again by Model.Learn.
	featureVector featureVector
	hasFeatures   bool
	lastEstimate  Estimate
}

// Outcome is the reported cost of an execution that has ended; 0 where nothing was reported.
type Outcome struct {
	Work     float64 // ms
	MemoryMB float64
	// LowerBound says that the execution was cancelled before its end, so that Work is a lower
	// bound. Guards against learning the cost of broad reports only from those that completed.
	LowerBound bool
}

// Model estimates costs and learns from them. It belongs to one goroutine.
type Model struct {
	cfg   Config
	prior *priorModel
	sharedState
	noErrors LogTracker // stays empty: corrects nothing
}

// New returns a model that has learned nothing.
func New(cfg Config) *Model {
	if cfg.Hysteresis < 1 {
		cfg.Hysteresis = DefaultHysteresis
	}
	return &Model{cfg: cfg, prior: newPriorModel()}
}

func (m *Model) bucketKey(q *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return q.Profile.Bucket()
}

// similarityKey identifies the values of a query that look alike in all shapes.
func (m *Model) similarityKey(q *Query) uint64 {
	return similarityKey(m.bucketKey(q), q.Profile.Column)
}

func (m *Model) featuresOf(q *Query) *featureVector {
	if q.hasFeatures {
		return &q.featureVector
	}
	profile := &q.Profile
	if m.cfg.NoParameters {
		profile = &sqltext.Profile{}
	}
	q.featureVector = newFeatureVector(q.Features, profile, q.KnownClass)
	q.hasFeatures = true
	return &q.featureVector
}
