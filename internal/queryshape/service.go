package queryshape

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// Settings are those of a deploy file.
type Settings struct {
	Model            decide.Config
	Bytes            int
	ReplaceHints     bool          // what is expected goes to the decisions in place of the hint
	RequireHint      bool          // and where there is no hint, nothing does
	SnapshotFile     string        // file; "": none
	SnapshotInterval time.Duration // between snapshots
	WorkReported     bool          // engines tell the work; else times stand for it
}

var _ core.CostObserver = (*Service)(nil)

// Service is a book at work in a gateway: fronts ask it when a request comes, and the
// core tells it what served ones have cost. It belongs to the loop's goroutine.
type Service struct {
	estimator   *Estimator
	settings    Settings
	classIndex  map[string]int // of the classes of the settings
	readClasses []policy.Class // that shapes are sorted into
	threads     map[string]float64
	loop        *netio.Loop
	counters    *metrics.Counters
	log         *slog.Logger
	saving      bool

	replacedHints  int64
	freeExecutions []*Execution // to be used again
}

// mostFree bounds the executions that are kept to be used again; as many requests are
// seldom open at once, and the collector has the others.
const maxFreeExecutions = 512

// execution is one to be filled.
func (s *Service) newExecution() *Execution {
	if n := len(s.freeExecutions); n > 0 {
		x := s.freeExecutions[n-1]
		s.freeExecutions = s.freeExecutions[:n-1]
		return x
	}
	return &Execution{}
}

// RequestDone takes a request's execution back.
func (s *Service) RequestDone(r *core.Request) {
	x, ok := r.CostContext.(*Execution)
	if !ok {
		return
	}
	r.CostContext = nil
	if len(s.freeExecutions) < maxFreeExecutions {
		*x = Execution{}
		s.freeExecutions = append(s.freeExecutions, x)
	}
}

// NewService returns a service that goes on from the snapshot, where there is one. One
// that can't be used is named in the log and put aside as FILE.unusable.
func NewService(set Settings, classes []policy.Class, loop *netio.Loop, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{settings: set, classIndex: map[string]int{}, threads: map[string]float64{}, loop: loop, counters: counters, log: log}
	for i, c := range classes {
		s.classIndex[c.Name] = i
		s.threads[c.Name] = max(c.Threads, 1)
	}
	for _, c := range set.Model.Classes {
		s.readClasses = append(s.readClasses, classes[s.classIndex[c.Name]])
	}
	opts := Options{Model: set.Model, Bytes: set.Bytes}
	if set.SnapshotFile != "" {
		snap, err := ReadSnapshot(set.SnapshotFile)
		if err == nil {
			s.estimator, err = Restore(opts, snap)
		}
		switch {
		case err == nil:
			log.Info("shapes.restored", "file", set.SnapshotFile, "shapes", s.estimator.Len())
		case errors.Is(err, fs.ErrNotExist):
		default:
			counters.Add("shapes.snapshot-unusable")
			aside := set.SnapshotFile + ".unusable"
			log.Warn("shapes.snapshot-unusable", "file", set.SnapshotFile, "error", err, "aside", aside, "rename", os.Rename(set.SnapshotFile, aside))
		}
	}
	if s.estimator == nil {
		var err error
		if s.estimator, err = New(opts); err != nil {
			return nil, err
		}
	}
	if set.SnapshotFile != "" {
		s.scheduleSnapshot()
	}
	return s, nil
}

func (s *Service) scheduleSnapshot() {
	s.loop.Timers.Add(s.loop.Now()+s.settings.SnapshotInterval, func() {
		s.Save()
		s.scheduleSnapshot()
	})
}

// Save writes a snapshot in the background, where the settings name a file. One at a
// time: a disk that hangs costs one goroutine.
func (s *Service) Save() {
	if s.settings.SnapshotFile == "" || s.saving {
		return
	}
	s.saving = true
	snap := s.estimator.Snapshot()
	go func() {
		err := snap.Write(s.settings.SnapshotFile)
		s.loop.Post(func() {
			s.saving = false
			if err != nil {
				s.counters.Add("shapes.snapshot-failed")
				s.log.Warn("shapes.snapshot-failed", "file", s.settings.SnapshotFile, "error", err)
			} else {
				s.counters.Add("shapes.snapshots")
			}
		})
	}()
}

// Encode is what is known now, as a snapshot's file would hold it.
func (s *Service) Encode() ([]byte, error) { return s.estimator.Snapshot().Encode() }

// Take goes on from what Encode told in another process.
func (s *Service) Restore(b []byte) error {
	snap, err := DecodeSnapshot(b)
	if err != nil {
		return err
	}
	book, err := Restore(Options{Model: s.settings.Model, Bytes: s.settings.Bytes}, snap)
	if err == nil {
		s.estimator = book
	}
	return err
}

// Read reads a statement. more are functions that the operators know to read only.
func (s *Service) Read(text string, more sqltext.Functions) *Statement {
	s.estimator.reader.Judge, s.estimator.reader.Functions = true, more
	defer func() { s.estimator.reader.Judge = false }()
	return s.estimator.Read(text)
}

// ReadOnce reads a statement of which there will be one execution, as of a Query: what is
// read lies within that execution, so that it takes no memory of its own. It holds until
// the core is through with the request.
func (s *Service) ReadOnce(text string, more sqltext.Functions) *Statement {
	s.estimator.reader.Judge, s.estimator.reader.Functions = true, more
	defer func() { s.estimator.reader.Judge = false }()
	x := s.newExecution()
	s.estimator.readInto(&x.own, text)
	x.own.execution = x
	return &x.own
}

// executionOf is an execution to be filled for a statement: its own where it has one.
func (s *Service) executionOf(st *Statement) *Execution {
	if st.execution != nil {
		return st.execution
	}
	return s.newExecution()
}

// Expect estimates a request of a class that is already known, and puts the estimate into
// it where the settings say so.
func (s *Service) EstimateRequest(r *core.Request, st *Statement, binds *sqltext.Binds) {
	s.estimate(r, s.executionOf(st), st, binds)
}

// ExpectText reads a text for one request of a class that is already known.
func (s *Service) EstimateText(r *core.Request, text string) {
	x := s.newExecution()
	s.estimator.readInto(&x.own, text)
	r.DataSet, _ = x.own.TableGroup()
	s.estimate(r, x, &x.own, nil)
}

func (s *Service) estimate(r *core.Request, x *Execution, st *Statement, binds *sqltext.Binds) {
	place, ok := s.classIndex[r.Class]
	if !ok {
		place = -1
	}
	hint := Hint{Work: float64(r.Work) / float64(time.Millisecond), MemoryMB: r.MemoryMB}
	threads := 1.0
	if !s.settings.WorkReported {
		threads = s.threads[r.Class]
	}
	s.estimator.estimate(x, st, binds, place, hint)
	s.apply(r, x, threads)
}

func (s *Service) apply(r *core.Request, x *Execution, threads float64) {
	r.CostContext = x
	if !s.settings.ReplaceHints || !x.Estimate.Known || s.settings.RequireHint && r.Work == 0 {
		return
	}
	s.replacedHints++
	r.Work = time.Duration(x.Estimate.Work * threads * float64(time.Millisecond))
	if x.Estimate.MemoryMB > 0 {
		r.MemoryMB = x.Estimate.MemoryMB
	}
}

// Sort finds the class of a reading statement that nobody has named one for.
func (s *Service) Classify(st *Statement, binds *sqltext.Binds) (class policy.Class, x *Execution, ok bool) {
	x = s.executionOf(st)
	s.estimator.estimate(x, st, binds, -1, Hint{})
	if x.Estimate.Class < 0 {
		return policy.Class{}, x, false
	}
	return s.readClasses[x.Estimate.Class], x, true
}

// Sorted puts what Sort found into the request. Where engines tell no work, times stand
// for it, and the decisions take the work of all threads.
func (s *Service) ApplyEstimate(r *core.Request, x *Execution) { s.apply(r, x, s.threads[r.Class]) }

// AttemptServed learns what a request has cost. It is the core's Learner.
func (s *Service) AttemptServed(r *core.Request, rep core.Report, elapsed time.Duration) {
	s.learn(r, decide.Outcome{Work: workMS(rep.Work, elapsed), MemoryMB: rep.MemoryMB})
}

// AttemptTimedOut learns that a request would have cost more than it was let have.
func (s *Service) AttemptTimedOut(r *core.Request, elapsed time.Duration) {
	if !s.settings.WorkReported { // on a crowded engine a time says little of the work
		s.learn(r, decide.Outcome{Work: workMS(0, elapsed), LowerBound: true})
	}
}

func (s *Service) learn(r *core.Request, t decide.Outcome) {
	if x, ok := r.CostContext.(*Execution); ok {
		s.estimator.Learn(x, t)
	}
}

func workMS(work, elapsed time.Duration) float64 {
	if work <= 0 {
		work = elapsed
	}
	return float64(work) / float64(time.Millisecond)
}

// Count writes the service's own figures among the counters.
func (s *Service) UpdateMetrics() {
	s.counters.Set("shapes.corrected", s.replacedHints)
	s.counters.Set("shapes.held", int64(s.estimator.Len()))
	s.counters.Set("shapes.bytes", int64(s.estimator.Bytes()))
	s.counters.Set("shapes.hits", int64(s.estimator.Stats.Hits))
	s.counters.Set("shapes.misses", int64(s.estimator.Stats.Misses))
	s.counters.Set("shapes.learned", int64(s.estimator.Stats.Learned))
}
