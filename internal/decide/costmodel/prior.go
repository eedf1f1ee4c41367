package costmodel

import (
	"math"

	"gannetspur/internal/sqltext"
)

// dims is the number of features of the prior.
const featureCount = 29

type featureVector [featureCount]float64

// features turns what a statement and its values show into a vector. class is the
// place of the class that is already known, or -1.
func newFeatureVector(f *sqltext.Features, p *sqltext.Profile, class int) (x featureVector) {
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	x = featureVector{
		1, math.Log2(1 + float64(f.Tables)), float64(min(f.Joins, 6)), math.Log2(1 + float64(f.Aggregates)),
		flag(f.Windows > 0), flag(f.Groups > 0), flag(f.Sorts > 0), flag(f.Distincts > 0),
		math.Log2(1 + float64(max(f.Selects-1, 0))), flag(f.Verb == 'i'), flag(f.Verb != 'i' && f.Verb != 's'), flag(f.Where), flag(f.Limited),
		math.Log2(1+float64(p.Alternatives)) / 4, math.Log2(1+p.Span) / 4, flag(p.HalfOpen), flag(p.Wild == sqltext.Prefix),
		flag(p.Wild == sqltext.Leading), math.Log2(1+p.Limit) / 8, flag(p.Off > 0), flag(p.Open), math.Log2(1+float64(p.Rows)) / 4,
	}
	// Beyond some size each doubling counts for more: short lists are found by an index,
	// long ones are not.
	x[22] = math.Max(0, math.Log2(1+float64(p.Alternatives))-4) / 2
	x[23] = math.Max(0, math.Log2(1+p.Span)-4) / 2
	x[24] = math.Max(0, math.Log2(1+p.Limit)-8) / 4
	if class >= 0 && class < 4 {
		x[25+class] = 1
	}
	return x
}

// prior predicts the cost of shapes never seen from their features: recursive least
// squares with forgetting (Haykin, "Adaptive Filter Theory", chapter on RLS), with
// errors clipped so that one voice moves little.
type priorModel struct {
	Weights    featureVector                       `cbor:"W"`
	Covariance [featureCount][featureCount]float64 `cbor:"P"`
	Samples    int                                 `cbor:"N"`
	Error      LogTracker                          `cbor:"Track"` // of its own errors
}

const (
	priorForgetting    = 0.9995
	priorRidge         = 0.05
	maxPriorError      = 3
	minPriorSamples    = 30 // values before it has a say
	maxCovarianceTrace = 1e4
)

func newPriorModel() *priorModel {
	r := &priorModel{}
	for i := range featureCount {
		r.Covariance[i][i] = 1 / priorRidge
	}
	return r
}

func (r *priorModel) ready() bool { return r.Samples >= minPriorSamples }

func (r *priorModel) predict(x *featureVector) (y float64) {
	for i := range x {
		y += r.Weights[i] * x[i]
	}
	return y
}

func (r *priorModel) learn(x *featureVector, y float64, forget bool) {
	e := y - r.predict(x)
	if r.Samples > 0 {
		r.Error.Add(e, forget)
	}
	if r.ready() {
		e = max(min(e, maxPriorError), -maxPriorError)
	}
	r.Samples++
	lambda := 1.0
	if forget {
		lambda = priorForgetting
	}
	var px featureVector
	s, trace := lambda, 0.0
	for i := range featureCount {
		for j := range featureCount {
			px[i] += r.Covariance[i][j] * x[j]
		}
		s += px[i] * x[i]
		trace += r.Covariance[i][i]
	}
	if trace > maxCovarianceTrace { // Guards against wind-up: forgetting what no traffic shows any more.
		lambda = 1
	}
	for i := range featureCount {
		r.Weights[i] += px[i] / s * e
		for j := range featureCount {
			r.Covariance[i][j] = (r.Covariance[i][j] - px[i]*px[j]/s) / lambda
		}
	}
}
