package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"

	"gannetspur/internal/sqltext"

	"pgregory.net/rapid"
)

func classes() []Class { return []Class{{Name: "lookup", MaxWorkMS: 800}, {Name: "report"}} }

// workload runs executions of one shape and profile through a model.
type workload struct {
	model *Model
	query Query
}

func newWorkload(cfg Config) *workload {
	return &workload{
		model: New(cfg),
		query: Query{Record: &ShapeRecord{}, Features: &sqltext.Features{Command: sqltext.CommandSelect, Tables: 1, Where: true}, KnownClass: -1},
	}
}

func (w *workload) learn(n int, work float64) {
	for range n {
		q := w.query
		w.model.Learn(&q, Outcome{Work: work, MemoryMB: 10})
	}
}

func (w *workload) estimate() Estimate {
	q := w.query
	return w.model.Estimate(&q)
}

func checkEstimate(t *rapid.T, e Estimate) {
	t.Helper()
	if !e.Known {
		return
	}
	if !(e.Work >= minWorkMS*0.99 && e.Work <= maxWorkMS*1.01) || !(e.P90Factor >= 1) || math.IsInf(e.P90Factor, 0) || !(e.MemoryMB >= 0) || math.IsInf(e.MemoryMB, 0) {
		t.Fatalf("estimate out of bounds: %+v", e)
	}
	if e.Class < 0 || e.Class > 1 || e.Explain() == "" {
		t.Fatalf("class = %d, explanation = %q", e.Class, e.Explain())
	}
}

// TestEstimateWithinBounds checks, whatever engines report, that an estimate is a number within
// bounds, that its class is a configured one, and that an invalid figure changes nothing.
func TestEstimateWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(Config{Classes: classes()})
		figure := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0.01, 1e5), rapid.SampledFrom([]float64{0, -5, 1e12, math.NaN(), math.Inf(1)}))
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			q := w.query
			q.WorkHint = figure.Draw(t, "hint")
			q.Profile = sqltext.Profile{
				Alternatives: rapid.IntRange(0, 1e6).Draw(t, "alternatives"), Span: rapid.Float64Range(0, 1e12).Draw(t, "span"),
				Limit: rapid.Float64Range(0, 1e9).Draw(t, "limit"), Key: rapid.Uint64Range(0, 5).Draw(t, "key"),
			}
			outcome := Outcome{Work: figure.Draw(t, "work"), MemoryMB: figure.Draw(t, "memory"), LowerBound: rapid.Bool().Draw(t, "lower bound")}
			before := *w.query.Record
			w.model.Learn(&q, outcome)
			if !(outcome.Work >= minWorkMS && outcome.Work <= maxWorkMS) {
				before.Executions++
				if before != *w.query.Record {
					t.Fatalf("a cost of %g was learned", outcome.Work)
				}
			}
			checkEstimate(t, w.model.Estimate(&q))
		}
		if err := w.query.Record.Validate(); err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(Config{}, w.model.State()); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDeterministic checks that the same calls give the same estimates.
func TestDeterministic(t *testing.T) {
	run := func() Estimate {
		w := newWorkload(Config{Classes: classes()})
		rng := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			q := w.query
			q.Profile.Key, q.WorkHint = rng.Uint64N(50), 100*rng.Float64()
			w.model.Learn(&q, Outcome{Work: 100 + 900*rng.Float64(), MemoryMB: 5})
		}
		q := w.query
		q.WorkHint = 70
		return w.model.Estimate(&q)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("estimates of two equal runs: %+v and %+v", a, b)
	}
}

// TestCostShiftIsFollowed checks that a cost that shifts by a factor of ten is followed within
// some ten values, and that it is not without forgetting.
func TestCostShiftIsFollowed(t *testing.T) {
	for _, forget := range []bool{true, false} {
		w := newWorkload(Config{Classes: classes(), NoForgetting: !forget})
		w.learn(200, 150)
		w.learn(25, 1500)
		if got := w.estimate().Work; forget && (got < 1000 || got > 2000) || !forget && got > 1000 {
			t.Errorf("forgetting %v: %.0f ms after the cost went from 150 to 1500", forget, got)
		}
	}
}

// TestOutlierMovesLittle checks that one engine that reports nonsense, or one plan that went
// wrong, moves the estimate little.
func TestOutlierMovesLittle(t *testing.T) {
	for _, odd := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e12, 3.5e6, 0.011} {
		w := newWorkload(Config{Classes: classes()})
		w.learn(40, 200)
		before := w.estimate().Work
		w.learn(1, odd)
		if got := w.estimate().Work; math.Abs(math.Log2(got/before)) > 0.25 {
			t.Errorf("one cost of %g ms moved the estimate from %.0f to %.0f ms", odd, before, got)
		}
	}
}

// TestHintIsCorrected checks that a hint that is wrong by a factor of ten is corrected.
func TestHintIsCorrected(t *testing.T) {
	m := New(Config{Classes: classes()})
	rng := rand.New(rand.NewPCG(3, 4))
	f := &sqltext.Features{Command: sqltext.CommandSelect, Tables: 1}
	for range 300 {
		work := math.Exp(5 + rng.NormFloat64()*1.2) // widely spread, and the hint knows of it
		m.Learn(&Query{Features: f, KnownClass: 0, WorkHint: work / 10}, Outcome{Work: work})
	}
	e := m.Estimate(&Query{Features: f, KnownClass: 0, WorkHint: 50})
	if e.Work < 350 || e.Work > 700 {
		t.Errorf("%.0f ms expected with a hint of 50 that is a tenth: %s", e.Work, e.Explain())
	}
}

// TestHysteresis checks that a shape whose cost lies at a bound keeps its class until the cost is
// well past it.
func TestHysteresis(t *testing.T) {
	w := newWorkload(Config{Classes: classes(), Hysteresis: 1.3})
	rng := rand.New(rand.NewPCG(5, 6))
	w.learn(20, 700)
	changes, last := 0, -1
	for range 500 {
		w.learn(1, 800*math.Exp(0.1*rng.NormFloat64()))
		q := w.query
		if c := w.model.Estimate(&q).Class; c != last {
			changes++
			last = c
		}
	}
	if changes > 2 {
		t.Errorf("class changes = %d, want at most 2", changes)
	}
	w.learn(60, 2500)
	q := w.query
	if e := w.model.Estimate(&q); e.Class != 1 {
		t.Errorf("class = %d at %.0f ms, want 1", e.Class, e.Work)
	}
}

// TestLowerBoundOutcome checks that cancelled executions teach that they cost more, and only that.
func TestLowerBoundOutcome(t *testing.T) {
	w := newWorkload(Config{Classes: classes()})
	w.learn(30, 200)
	for range 20 {
		q := w.query
		w.model.Learn(&q, Outcome{Work: 100, LowerBound: true})
	}
	if got := w.estimate().Work; got < 150 {
		t.Errorf("%.0f ms after bounds below the cost", got)
	}
	for range 30 {
		q := w.query
		w.model.Learn(&q, Outcome{Work: 6000, LowerBound: true})
	}
	if got := w.estimate().Work; got < 2000 {
		t.Errorf("%.0f ms after 30 executions were cancelled at 6000", got)
	}
}

// TestFrequentValue checks that a frequent value that costs ten times the usual is estimated by
// itself.
func TestFrequentValue(t *testing.T) {
	w := newWorkload(Config{Classes: classes()})
	for i := range 3000 {
		q := w.query
		q.Profile.Key = 1e6 + uint64(i)
		work := 150.0
		if i%20 == 0 {
			q.Profile.Key, work = 42, 1500
		}
		w.model.Learn(&q, Outcome{Work: work})
	}
	q := w.query
	q.Profile.Key = 42
	if e := w.model.Estimate(&q); e.Work < 900 {
		t.Errorf("%.0f ms for the frequent value: %s", e.Work, e.Explain())
	}
	q.Profile.Key = 7
	if e := w.model.Estimate(&q); e.Work > 300 {
		t.Errorf("%.0f ms for another: %s", e.Work, e.Explain())
	}
}
