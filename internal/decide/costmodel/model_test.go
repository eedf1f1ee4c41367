package costmodel

import (
	"math"
	"math/rand/v2"
	"testing"

	"gannetspur/internal/sqltext"

	"pgregory.net/rapid"
)

// classes returns two classes with their bound at 800 ms.
func classes() []Class { return []Class{{Name: "lookup", MaxWorkMS: 800}, {Name: "report"}} }

// workload runs executions of one shape with one profile of values through a model.
type workload struct {
	model *Model
	query Query // template of each execution
}

// newWorkload returns a workload for a model that has learned nothing.
func newWorkload(cfg Config) *workload {
	return &workload{
		model: New(cfg),
		query: Query{Record: &ShapeRecord{}, Features: &sqltext.Features{Command: sqltext.CommandSelect, Tables: 1, Where: true}, KnownClass: -1},
	}
}

// learn reports n executions with the same work in ms.
func (w *workload) learn(n int, work float64) {
	for range n {
		q := w.query
		w.model.Learn(&q, Outcome{Work: work, MemoryMB: 10})
	}
}

// estimate returns the estimate for the next execution.
func (w *workload) estimate() Estimate {
	q := w.query
	return w.model.Estimate(&q)
}

// checkEstimate checks that the numbers of a known estimate are within bounds, that its class is one of
// classes, and that it can be explained.
func checkEstimate(t *rapid.T, e Estimate) {
	t.Helper()
	if !e.Known {
		return
	}
	if !(e.Work >= minWorkMS*0.99 && e.Work <= maxWorkMS*1.01) || !(e.P90Factor >= 1) || math.IsInf(e.P90Factor, 0) || !(e.MemoryMB >= 0) || math.IsInf(e.MemoryMB, 0) {
		t.Fatalf("estimate = %+v, want work from %g to %g ms, a 90th percentile factor of at least 1 and memory of at least 0, all finite", e, minWorkMS, maxWorkMS)
	}
	if e.Class < 0 || e.Class > 1 || e.Explain() == "" {
		t.Fatalf("class = %d, explanation = %q, want class 0 or 1 and a non-empty explanation", e.Class, e.Explain())
	}
}

// TestEstimateWithinBounds checks for arbitrary reported costs that an estimate is within bounds and has a
// configured class, that an invalid cost changes nothing, and that the state can be restored.
func TestEstimateWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(Config{Classes: classes()})
		anyCost := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0.01, 1e5), rapid.SampledFrom([]float64{0, -5, 1e12, math.NaN(), math.Inf(1)}))
		for range rapid.IntRange(1, 60).Draw(t, "executions") {
			q := w.query
			q.WorkHint = anyCost.Draw(t, "hint")
			q.Profile = sqltext.Profile{
				Alternatives: rapid.IntRange(0, 1e6).Draw(t, "alternatives"), Span: rapid.Float64Range(0, 1e12).Draw(t, "span"),
				Limit: rapid.Float64Range(0, 1e9).Draw(t, "limit"), Key: rapid.Uint64Range(0, 5).Draw(t, "key"),
			}
			outcome := Outcome{Work: anyCost.Draw(t, "work"), MemoryMB: anyCost.Draw(t, "memory"), LowerBound: rapid.Bool().Draw(t, "lower bound")}
			want := *w.query.Record
			w.model.Learn(&q, outcome)
			if !(outcome.Work >= minWorkMS && outcome.Work <= maxWorkMS) {
				want.Executions++
				if got := *w.query.Record; got != want {
					t.Fatalf("record after an invalid cost of %g = %+v, want %+v", outcome.Work, got, want)
				}
			}
			checkEstimate(t, w.model.Estimate(&q))
		}
		if err := w.query.Record.Validate(); err != nil {
			t.Fatalf("Validate of the record: %v, want no error", err)
		}
		if _, err := Restore(Config{}, w.model.State()); err != nil {
			t.Fatalf("Restore of the state: %v, want no error", err)
		}
	})
}

// TestDeterministic checks that two models give the same estimate after the same calls.
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
		t.Errorf("estimates after the same calls = %+v and %+v, want equal ones", a, b)
	}
}

// TestCostShiftIsFollowed checks that the estimate follows a shift of the cost by a factor of ten within 25
// executions, and that it doesn't without decay.
func TestCostShiftIsFollowed(t *testing.T) {
	for _, decay := range []bool{true, false} {
		w := newWorkload(Config{Classes: classes(), NoDecay: !decay})
		w.learn(200, 150)
		w.learn(25, 1500)
		if got := w.estimate().Work; decay && (got < 1000 || got > 2000) || !decay && got > 1000 {
			t.Errorf("decay %v: estimate after the cost went from 150 to 1500 ms = %.0f ms, want 1000 to 2000 with decay and at most 1000 without", decay, got)
		}
	}
}

// TestOutlierMovesLittle checks that a single extreme cost changes the estimate little. Such a cost comes
// from an engine that reports wrong numbers or from a single bad query plan.
func TestOutlierMovesLittle(t *testing.T) {
	for _, outlier := range []float64{-1, 0, math.NaN(), math.Inf(1), 1e12, 3.5e6, 0.011} {
		w := newWorkload(Config{Classes: classes()})
		w.learn(40, 200)
		before := w.estimate().Work
		w.learn(1, outlier)
		if got := w.estimate().Work; math.Abs(math.Log2(got/before)) > 0.25 {
			t.Errorf("estimate after one cost of %g ms = %.0f ms, want about %.0f as before", outlier, got, before)
		}
	}
}

// TestHintIsCorrected checks that hints that are too low by a factor of ten are corrected.
func TestHintIsCorrected(t *testing.T) {
	m := New(Config{Classes: classes()})
	rng := rand.New(rand.NewPCG(3, 4))
	f := &sqltext.Features{Command: sqltext.CommandSelect, Tables: 1}
	for range 300 {
		work := math.Exp(5 + rng.NormFloat64()*1.2) // widely spread, and the hint follows it
		m.Learn(&Query{Features: f, KnownClass: 0, WorkHint: work / 10}, Outcome{Work: work})
	}
	e := m.Estimate(&Query{Features: f, KnownClass: 0, WorkHint: 50})
	if e.Work < 350 || e.Work > 700 {
		t.Errorf("estimate with a hint of 50 ms that is a tenth of the work = %.0f ms, want 350 to 700: %s", e.Work, e.Explain())
	}
}

// TestHysteresis checks that a shape with a cost near the bound between two classes keeps its class until
// the cost is well past the bound.
func TestHysteresis(t *testing.T) {
	w := newWorkload(Config{Classes: classes(), Hysteresis: 1.3})
	rng := rand.New(rand.NewPCG(5, 6))
	w.learn(20, 700)
	changes, lastClass := 0, -1
	for range 500 {
		w.learn(1, 800*math.Exp(0.1*rng.NormFloat64()))
		q := w.query
		if class := w.model.Estimate(&q).Class; class != lastClass {
			changes++
			lastClass = class
		}
	}
	if changes > 2 {
		t.Errorf("class changes = %d, want at most 2", changes)
	}
	w.learn(60, 2500)
	q := w.query
	if e := w.model.Estimate(&q); e.Class != 1 {
		t.Errorf("class with an estimate of %.0f ms = %d, want 1", e.Work, e.Class)
	}
}

// TestLowerBoundOutcome checks that a cancelled execution raises an estimate that is below its work so far,
// and doesn't lower one that is above.
func TestLowerBoundOutcome(t *testing.T) {
	w := newWorkload(Config{Classes: classes()})
	w.learn(30, 200)
	for range 20 {
		q := w.query
		w.model.Learn(&q, Outcome{Work: 100, LowerBound: true})
	}
	if got := w.estimate().Work; got < 150 {
		t.Errorf("estimate after 20 executions of 200 ms were cancelled at 100 ms = %.0f ms, want at least 150", got)
	}
	for range 30 {
		q := w.query
		w.model.Learn(&q, Outcome{Work: 6000, LowerBound: true})
	}
	if got := w.estimate().Work; got < 2000 {
		t.Errorf("estimate after 30 executions were cancelled at 6000 ms = %.0f ms, want at least 2000", got)
	}
}

// TestFrequentValue checks that a frequent value that costs ten times as much as others gets an estimate
// of its own, which doesn't affect other values.
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
		t.Errorf("estimate for the frequent value = %.0f ms, want at least 900: %s", e.Work, e.Explain())
	}
	q.Profile.Key = 7
	if e := w.model.Estimate(&q); e.Work > 300 {
		t.Errorf("estimate for another value = %.0f ms, want at most 300: %s", e.Work, e.Explain())
	}
}
