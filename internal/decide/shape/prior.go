package shape

import (
	"math"

	"gannetspur/internal/sqltext"
)

// dims is the number of features of the prior.
const dims = 26

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
	if class >= 0 && class < 4 {
		x[22+class] = 1
	}
	return x
}

// prior predicts the cost of shapes never seen from their features: recursive least
// squares with forgetting (Haykin, "Adaptive Filter Theory", chapter on RLS), with
// errors clipped so that one voice moves little.
type prior struct {
	w     vector
	p     [dims][dims]float64
	n     int
	track Track // of its own errors
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
		r.p[i][i] = 1 / priorRidge
	}
	return r
}

func (r *prior) ready() bool { return r.n >= priorWarm }

func (r *prior) predict(x *vector) (y float64) {
	for i := range x {
		y += r.w[i] * x[i]
	}
	return y
}

func (r *prior) learn(x *vector, y float64, forget bool) {
	e := y - r.predict(x)
	if r.n > 0 {
		r.track.Add(e, forget)
	}
	if r.ready() {
		e = max(min(e, priorClip), -priorClip)
	}
	r.n++
	lambda := 1.0
	if forget {
		lambda = priorForget
	}
	var px vector
	s, trace := lambda, 0.0
	for i := range dims {
		for j := range dims {
			px[i] += r.p[i][j] * x[j]
		}
		s += px[i] * x[i]
		trace += r.p[i][i]
	}
	if trace > traceMost { // Guards against wind-up: forgetting what no traffic shows any more.
		lambda = 1
	}
	for i := range dims {
		r.w[i] += px[i] / s * e
		for j := range dims {
			r.p[i][j] = (r.p[i][j] - px[i]*px[j]/s) / lambda
		}
	}
}
