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
	Model            decide.Config // settings of the cost model
	Bytes            int           // maximum size of the cached records
	ReplaceHints     bool          // policies get the estimate instead of the client's hint
	RequireHint      bool          // ReplaceHints applies only to requests with a hint
	SnapshotFile     string        // path; "": no snapshots
	SnapshotInterval time.Duration // time between snapshots
	WorkReported     bool          // engines report the work of attempts; if not, the elapsed time is used
}

var _ core.CostObserver = (*Service)(nil)

// Service is the estimator of a gateway: frontends ask it for an estimate of each request, and the
// core reports the cost of attempts to it. It belongs to the loop's goroutine.
type Service struct {
	estimator *Estimator
	settings  Settings
	classes   classTable
	loop      *netio.Loop
	counters  *metrics.Counters
	log       *slog.Logger

	saving         bool         // a snapshot is being written
	replacedHints  int64        // requests whose hint was replaced by an estimate
	freeExecutions []*Execution // executions for reuse
}

// classTable maps the configured classes to those of the cost model.
type classTable struct {
	index   map[string]int     // index of each configured class by name
	threads map[string]float64 // threads that a statement of the class uses on its engine, by name
	reading []policy.Class     // classes of reading statements by the cost model's index
}

// newClassTable returns the table for the configured classes and those of the cost model, which
// must be among the configured ones.
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

// NewService returns a service that starts from the snapshot file, if it exists. A snapshot that
// can't be used is logged and renamed to FILE.unusable, and the service starts empty.
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
