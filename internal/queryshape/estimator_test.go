package queryshape

import (
	"fmt"
	"testing"

	decide "gannetspur/internal/decide/costmodel"
)

// newTestEstimator returns an estimator with fixtureOptions that has learned nothing.
func newTestEstimator(t *testing.T) *Estimator {
	t.Helper()
	e, err := New(fixtureOptions())
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// execute lets the estimator learn n executions of a statement, each with the given work in ms, and
// estimate one more.
func execute(e *Estimator, text string, n int, work float64) {
	for range n {
		e.Learn(e.Estimate(e.Read(text), nil, -1, Hint{}), decide.Outcome{Work: work, MemoryMB: 20})
	}
	e.Estimate(e.Read(text), nil, -1, Hint{})
}

// TestFloodKeepsRecurringShapes checks that a flood of one-off shapes neither exceeds the cache's
// bound nor evicts recurring shapes.
func TestFloodKeepsRecurringShapes(t *testing.T) {
	e := newTestEstimator(t)
	recurring := func(i int) string { return fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i) }
	hits, lookups := uint64(0), 0
	for i := range 20000 {
		execute(e, fmt.Sprintf("SELECT a FROM stock_1.tmp_%dx t%dx WHERE part = 'p'", i, i), 1, 200)
		if i%4 == 0 {
			before := e.Stats.Hits
			e.Learn(e.Estimate(e.Read(recurring(i/4%50)), nil, -1, Hint{}), decide.Outcome{Work: 200})
			if i > 5000 {
				hits += e.Stats.Hits - before
				lookups++
			}
		}
	}
	if e.Bytes() > 256<<10 {
		t.Errorf("cache size = %d bytes, want at most %d", e.Bytes(), 256<<10)
	}
	if rate := float64(hits) / float64(lookups); rate < 0.95 {
		t.Errorf("hit rate of recurring shapes = %.2f, want at least 0.95", rate)
	}
}

// BenchmarkRequest measures one request: reading, estimating and learning.
func BenchmarkRequest(b *testing.B) {
	e, err := New(Options{Bytes: 2 << 20})
	if err != nil {
		b.Fatal(err)
	}
	texts := make([]string, 200)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT part, c%d FROM stock_%d.stock WHERE part = 'p-%05d'", i%40, i%30, i)
	}
	for i := range 20000 {
		e.Learn(e.Estimate(e.Read(texts[i%200]), nil, -1, Hint{Work: 50}), decide.Outcome{Work: 100 + float64(i%7)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		e.Learn(e.Estimate(e.Read(texts[i%200]), nil, -1, Hint{Work: 50}), decide.Outcome{Work: 100 + float64(i%7)})
	}
}
