// Package costmodel estimates the cost of a statement, and classifies it, from the cost of earlier
// executions of statements with the same query shape. The shape is the fingerprint of a statement
// without its values. The package does no I/O and reads no clock, and the same calls give the same
// results.
//
// An estimate combines up to four components, each weighted by the inverse of its variance, which
// is the best linear combination of independent unbiased estimates:
//
//   - history: the cost of earlier executions of the shape with a similar profile of values; a shape
//     has a bucket for each group of similar profiles;
//   - similar values: how much executions with similar values differ from the usual cost of their
//     shapes, over all shapes;
//   - prior: a regression over features of the statement that learns from all shapes, corrected by
//     its typical error for this shape;
//   - hint: the client's estimate, corrected by the typical error of hints for this shape.
//
// Work is measured in milliseconds on one core and memory in megabytes. All statistics are over
// base-2 logarithms ("log2" in comments). A single cost reported by an engine has a bounded effect:
// see LogTracker.
package costmodel

import "gannetspur/internal/sqltext"

// Bounds of a reported cost or hint. Values outside them are ignored.
const (
	minWorkMS   = 0.01
	maxWorkMS   = 3.6e6 // an hour on one core, which is more than the clients of any class wait for
	minMemoryMB = 0.01
	maxMemoryMB = 1e6
)

// validWork reports whether a reported or hinted work is within bounds. It is false for NaN.
func validWork(ms float64) bool { return ms >= minWorkMS && ms <= maxWorkMS }

// validMemory reports whether a reported or hinted memory is within bounds. It is false for NaN.
func validMemory(mb float64) bool { return mb >= minMemoryMB && mb <= maxMemoryMB }

// Config configures a Model.
type Config struct {
	// Classes are the classes of reading statements, from the cheapest to the most expensive. The
	// last one has no upper bound. If empty, statements are not classified.
	Classes []Class
	// Hysteresis is the factor by which an estimate must exceed the bound between two classes before
	// a shape changes its class. 1 means no hysteresis; New replaces smaller values, such as 0, by
	// DefaultHysteresis.
	Hysteresis float64
	// Each of these switches off a part of the model, to measure what it contributes: the profiles of
	// values, the prior, the decay of older costs, and the client's hint.
	NoParameters, NoPrior, NoDecay, NoHint bool
}

// DefaultHysteresis is the hysteresis of a configuration that sets none.
const DefaultHysteresis = 1.3

// decay returns whether older costs lose weight under this configuration.
func (c *Config) decay() Decay {
	if c.NoDecay {
		return WithoutDecay
	}
	return WithDecay
}

// Query is one execution of a statement.
type Query struct {
	Record     *ShapeRecord      // cost history of its shape; nil means that the shape is not cached
	Features   *sqltext.Features // features of its shape
	Profile    sqltext.Profile   // profile of its values
	KnownClass int               // index of its class if already known, or -1
	WorkHint   float64           // the client's estimate of the work in ms; 0 means none
	MemoryHint float64           // the client's estimate of the memory in MB; 0 means none

	// Set by Model.Estimate and reused by Model.Learn.
	featureVector featureVector
	hasFeatures   bool     // featureVector is set
	lastEstimate  Estimate // Known is false before the first estimate
}

// Outcome is the reported cost of an execution that has ended.
type Outcome struct {
	Work     float64 // ms on one core; 0 means not reported
	MemoryMB float64 // 0 means not reported
	// LowerBound says that the execution was cancelled, so that its full work is at least Work. If
	// such executions were ignored, the cost of broad reports would be learned only from those that
	// completed, and be underestimated.
	LowerBound bool
}

// Model estimates costs and learns from reported ones. It must be used by one goroutine only.
type Model struct {
	cfg          Config
	prior        *priorModel
	sharedState             // learned over all shapes
	emptyTracker LogTracker // never added to; stands for errors that are not known
}

// New returns a model that has learned nothing.
func New(cfg Config) *Model {
	if cfg.Hysteresis < 1 {
		cfg.Hysteresis = DefaultHysteresis
	}
	return &Model{cfg: cfg, prior: newPriorModel()}
}

// bucketKey returns the key of the bucket for the profile of the query's values.
func (m *Model) bucketKey(q *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return q.Profile.Bucket()
}

// similarityKey returns the key under which the values of a query are tracked over all shapes.
func (m *Model) similarityKey(q *Query) uint64 {
	return similarityKey(m.bucketKey(q), q.Profile.Column)
}

// featuresOf returns the feature vector of a query, computed on the first call.
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
