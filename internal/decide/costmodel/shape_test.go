package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"

	"gannetspur/internal/sqltext"

	"pgregory.net/rapid"
)

func classes() []Class { return []Class{{Name: "lookup", MaxWorkMS: 800}, {Name: "report"}} }

// one runs executions of one shape and profile past a model.
type one struct {
	m *Model
	q Query
}

func newOne(cfg Config) *one {
	return &one{m: New(cfg), q: Query{Record: &ShapeRecord{}, Features: &sqltext.Features{Verb: 's', Tables: 1, Where: true}, KnownClass: -1}}
}

func (o *one) learn(n int, work float64) {
	for range n {
		q := o.q
		o.m.Learn(&q, Outcome{Work: work, MemoryMB: 10})
	}
}

func (o *one) work() float64 {
	q := o.q
	return o.m.Estimate(&q).Work
}

// Whatever engines tell, an estimate is a number within bounds, its class is one of those
// configured, and a figure that can be none changes nothing.
func TestEstimatesAreSane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOne(Config{Classes: classes()})
		figure := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0.01, 1e5), rapid.SampledFrom([]float64{0, -5, 1e12, math.NaN(), math.Inf(1)}))
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			q := o.q
			q.WorkHint = figure.Draw(t, "hint")
			q.Profile = sqltext.Profile{
				Alternatives: rapid.IntRange(0, 1e6).Draw(t, "alternatives"), Span: rapid.Float64Range(0, 1e12).Draw(t, "span"),
				Limit: rapid.Float64Range(0, 1e9).Draw(t, "limit"), Key: rapid.Uint64Range(0, 5).Draw(t, "key"),
			}
			truth := Outcome{Work: figure.Draw(t, "work"), MemoryMB: figure.Draw(t, "memory"), LowerBound: rapid.Bool().Draw(t, "at least")}
			before := *o.q.Record
			o.m.Learn(&q, truth)
			if !(truth.Work >= minWorkMS && truth.Work <= maxWorkMS) {
				before.Executions++
				if before != *o.q.Record {
					t.Fatalf("a cost of %g was learned", truth.Work)
				}
			}
			e := o.m.Estimate(&q)
			if !e.Known {
				continue
			}
			if !(e.Work >= minWorkMS*0.99 && e.Work <= maxWorkMS*1.01) || !(e.P90Factor >= 1) || math.IsInf(e.P90Factor, 0) || !(e.MemoryMB >= 0) || math.IsInf(e.MemoryMB, 0) {
				t.Fatalf("estimate %+v", e)
			}
			if e.Class < 0 || e.Class > 1 || e.Explain() == "" {
				t.Fatalf("class %d, why %q", e.Class, e.Explain())
			}
		}
		if err := o.q.Record.Validate(); err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(Config{}, o.m.State()); err != nil {
			t.Fatal(err)
		}
	})
}

// The same calls give the same estimates.
func TestDeterministic(t *testing.T) {
	run := func() Estimate {
		o := newOne(Config{Classes: classes()})
		rng := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			q := o.q
			q.Profile.Key, q.WorkHint = rng.Uint64N(50), 100*rng.Float64()
			o.m.Learn(&q, Outcome{Work: 100 + 900*rng.Float64(), MemoryMB: 5})
		}
		q := o.q
		q.WorkHint = 70
		return o.m.Estimate(&q)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%+v and then %+v", a, b)
	}
}

// A cost that moves by ten within a minute is followed within some ten values, and not
// without forgetting.
func TestCostMoves(t *testing.T) {
	for _, forget := range []bool{true, false} {
		o := newOne(Config{Classes: classes(), NoForgetting: !forget})
		o.learn(200, 150)
		o.learn(25, 1500)
		if got := o.work(); forget && (got < 1000 || got > 2000) || !forget && got > 1000 {
			t.Errorf("forgetting %v: %.0f ms after the cost went from 150 to 1500", forget, got)
		}
	}
}

// One engine that tells nonsense, or one plan that went wrong, moves nothing much.
func TestOneVoiceMovesLittle(t *testing.T) {
	for _, odd := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e12, 3.5e6, 0.011} {
		o := newOne(Config{Classes: classes()})
		o.learn(40, 200)
		before := o.work()
		o.learn(1, odd)
		if got := o.work(); math.Abs(math.Log2(got/before)) > 0.25 {
			t.Errorf("one cost of %g ms moved the estimate from %.0f to %.0f ms", odd, before, got)
		}
	}
}

// A hint that is wrong by ten is corrected; a client that gives none is served by the record.
func TestHintIsCorrected(t *testing.T) {
	m := New(Config{Classes: classes()})
	rng := rand.New(rand.NewPCG(3, 4))
	f := &sqltext.Features{Verb: 's', Tables: 1}
	for range 300 {
		work := math.Exp(5 + rng.NormFloat64()*1.2) // widely spread, and the hint knows of it
		m.Learn(&Query{Features: f, KnownClass: 0, WorkHint: work / 10}, Outcome{Work: work})
	}
	e := m.Estimate(&Query{Features: f, KnownClass: 0, WorkHint: 50})
	if e.Work < 350 || e.Work > 700 {
		t.Errorf("%.0f ms expected with a hint of 50 that is a tenth: %s", e.Work, e.Explain())
	}
}

// A shape whose cost lies at a bound keeps its class until it is well past it.
func TestHysteresis(t *testing.T) {
	o := newOne(Config{Classes: classes(), Hysteresis: 1.3})
	rng := rand.New(rand.NewPCG(5, 6))
	o.learn(20, 700)
	changes, last := 0, -1
	for range 500 {
		o.learn(1, 800*math.Exp(0.1*rng.NormFloat64()))
		q := o.q
		if c := o.m.Estimate(&q).Class; c != last {
			changes++
			last = c
		}
	}
	if changes > 2 {
		t.Errorf("the class changed %d times", changes)
	}
	o.learn(60, 2500)
	q := o.q
	if e := o.m.Estimate(&q); e.Class != 1 {
		t.Errorf("still class %d at %.0f ms", e.Class, e.Work)
	}
}

// Executions that are given up teach that they cost more, and only that.
func TestGivenUp(t *testing.T) {
	o := newOne(Config{Classes: classes()})
	o.learn(30, 200)
	for range 20 {
		q := o.q
		o.m.Learn(&q, Outcome{Work: 100, LowerBound: true})
	}
	if got := o.work(); got < 150 {
		t.Errorf("%.0f ms after bounds below the cost", got)
	}
	for range 30 {
		q := o.q
		o.m.Learn(&q, Outcome{Work: 6000, LowerBound: true})
	}
	if got := o.work(); got < 2000 {
		t.Errorf("%.0f ms after 30 executions were given up at 6000", got)
	}
}

// A value that is asked for often and costs ten times the usual is known by itself.
func TestHeavyValue(t *testing.T) {
	o := newOne(Config{Classes: classes()})
	for i := range 3000 {
		q := o.q
		q.Profile.Key = 1e6 + uint64(i)
		work := 150.0
		if i%20 == 0 {
			q.Profile.Key, work = 42, 1500
		}
		o.m.Learn(&q, Outcome{Work: work})
	}
	q := o.q
	q.Profile.Key = 42
	if e := o.m.Estimate(&q); e.Work < 900 {
		t.Errorf("%.0f ms for the heavy value: %s", e.Work, e.Explain())
	}
	q.Profile.Key = 7
	if e := o.m.Estimate(&q); e.Work > 300 {
		t.Errorf("%.0f ms for another: %s", e.Work, e.Explain())
	}
}
