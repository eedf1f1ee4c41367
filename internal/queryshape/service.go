package queryshape

import (
	"log/slog"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// Settings configure a Service.
type Settings struct {
	Model            decide.Config
	Bytes            int           // bound of the cached records
	ReplaceHints     bool          // policies are given the estimate in place of the client's hint
	RequireHint      bool          // and nothing where the client gives no hint
	SnapshotFile     string        // "": none
	SnapshotInterval time.Duration // between snapshots
	WorkReported     bool          // engines report the work; else elapsed times stand for it
}

var _ core.CostObserver = (*Service)(nil)

// Service is the estimator of a gateway: frontends ask it about each request, and the core reports
// to it what attempts have cost. It belongs to the loop's goroutine.
type Service struct {
	estimator *Estimator
	settings  Settings
	classes   classTable
	loop      *netio.Loop
	counters  *metrics.Counters
	log       *slog.Logger

	saving         bool  // a snapshot is being written
	replacedHints  int64 // requests whose hint was replaced by an estimate
	freeExecutions []*Execution
}

// classTable maps the classes of the settings to those of the cost model.
type classTable struct {
	index   map[string]int
	threads map[string]float64 // that a statement of the class uses at its engine
	reading []policy.Class     // by the cost model's index
}

func newClassTable(classes []policy.Class, reading []decide.Class) classTable {
	t := classTable{index: map[string]int{}, threads: map[string]float64{}}
	for i, c := range classes {
		t.index[c.Name] = i
		t.threads[c.Name] = max(c.Threads, 1)
	}
	for _, c := range reading {
		t.reading = append(t.reading, classes[t.index[c.Name]])
	}
	return t
}

// NewService returns a service that goes on from the snapshot, if there is one. A snapshot that
// can't be used is logged and renamed to FILE.unusable.
func NewService(settings Settings, classes []policy.Class, loop *netio.Loop, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{settings: settings, classes: newClassTable(classes, settings.Model.Classes), loop: loop, counters: counters, log: log}
	s.estimator = s.loadSnapshot()
	if s.estimator == nil {
		var err error
		if s.estimator, err = New(s.options()); err != nil {
			return nil, err
		}
	}
	if settings.SnapshotFile != "" {
		s.scheduleSnapshot()
	}
	return s, nil
}

func (s *Service) options() Options {
	return Options{Model: s.settings.Model, Bytes: s.settings.Bytes}
}

// UpdateMetrics sets the service's gauges.
func (s *Service) UpdateMetrics() {
	s.counters.Set("shapes.corrected", s.replacedHints)
	s.counters.Set("shapes.held", int64(s.estimator.Len()))
	s.counters.Set("shapes.bytes", int64(s.estimator.Bytes()))
	s.counters.Set("shapes.hits", int64(s.estimator.Stats.Hits))
	s.counters.Set("shapes.misses", int64(s.estimator.Stats.Misses))
	s.counters.Set("shapes.learned", int64(s.estimator.Stats.Learned))
}
