package costmodel

import (
	"math"

	"gannetspur/internal/sqltext"
)

// dims is the number of features of the prior.
const dims = 29

type vector [dims]float64

// features turns what a statement and its values show into a vector. class is the
// place of the class that is already known, or -1.
func features(f *sqltext.Features, p *sqltext.Profile, class int) (x vector) {
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	x = vector{
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
type prior struct {
	W     vector              `cbor:"W"`
	P     [dims][dims]float64 `cbor:"P"`
	N     int                 `cbor:"N"`
	Track Track               `cbor:"Track"` // of its own errors
}

const (
	priorForget = 0.9995
	priorRidge  = 0.05
	priorClip   = 3
	priorWarm   = 30 // values before it has a say
	traceMost   = 1e4
)

func newPrior() *prior {
	r := &prior{}
	for i := range dims {
		r.P[i][i] = 1 / priorRidge
	}
	return r
}

func (r *prior) ready() bool { return r.N >= priorWarm }

func (r *prior) predict(x *vector) (y float64) {
	for i := range x {
		y += r.W[i] * x[i]
	}
	return y
}

func (r *prior) learn(x *vector, y float64, forget bool) {
	e := y - r.predict(x)
	if r.N > 0 {
		r.Track.Add(e, forget)
	}
	if r.ready() {
		e = max(min(e, priorClip), -priorClip)
	}
	r.N++
	lambda := 1.0
	if forget {
		lambda = priorForget
	}
	var px vector
	s, trace := lambda, 0.0
	for i := range dims {
		for j := range dims {
			px[i] += r.P[i][j] * x[j]
		}
		s += px[i] * x[i]
		trace += r.P[i][i]
	}
	if trace > traceMost { // Guards against wind-up: forgetting what no traffic shows any more.
		lambda = 1
	}
	for i := range dims {
		r.W[i] += px[i] / s * e
		for j := range dims {
			r.P[i][j] = (r.P[i][j] - px[i]*px[j]/s) / lambda
		}
	}
}
