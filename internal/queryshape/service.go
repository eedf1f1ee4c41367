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
	Decide   decide.Config
	Bytes    int
	Correct  bool          // what is expected goes to the decisions in place of the hint
	OnlyTold bool          // and where there is no hint, nothing does
	Snapshot string        // file; "": none
	Every    time.Duration // between snapshots
	WorkTold bool          // engines tell the work; else times stand for it
}

var _ core.CostObserver = (*Service)(nil)

// Service is a book at work in a gateway: fronts ask it when a request comes, and the
// core tells it what served ones have cost. It belongs to the loop's goroutine.
type Service struct {
	book    *Book
	set     Settings
	places  map[string]int // of the classes of the settings
	reading []policy.Class // that shapes are sorted into
	threads map[string]float64
	loop    *netio.Loop
	stats   *metrics.Counters
	log     *slog.Logger
	writing bool

	corrected int64
	free      []*Execution // to be used again
}

// mostFree bounds the executions that are kept to be used again; as many requests are
// seldom open at once, and the collector has the others.
const mostFree = 512

// execution is one to be filled.
func (s *Service) execution() *Execution {
	if n := len(s.free); n > 0 {
		x := s.free[n-1]
		s.free = s.free[:n-1]
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
	if len(s.free) < mostFree {
		*x = Execution{}
		s.free = append(s.free, x)
	}
}

// NewService returns a service that goes on from the snapshot, where there is one. One
// that can't be used is named in the log and put aside as FILE.unusable.
func NewService(set Settings, classes []policy.Class, loop *netio.Loop, counters *metrics.Counters, log *slog.Logger) (*Service, error) {
	s := &Service{set: set, places: map[string]int{}, threads: map[string]float64{}, loop: loop, stats: counters, log: log}
	for i, c := range classes {
		s.places[c.Name] = i
		s.threads[c.Name] = max(c.Threads, 1)
	}
	for _, c := range set.Decide.Classes {
		s.reading = append(s.reading, classes[s.places[c.Name]])
	}
	opts := Options{Decide: set.Decide, Bytes: set.Bytes}
	if set.Snapshot != "" {
		snap, err := ReadSnapshot(set.Snapshot)
		if err == nil {
			s.book, err = Restore(opts, snap)
		}
		switch {
		case err == nil:
			log.Info("shapes.restored", "file", set.Snapshot, "shapes", s.book.Len())
		case errors.Is(err, fs.ErrNotExist):
		default:
			counters.Add("shapes.snapshot-unusable")
			aside := set.Snapshot + ".unusable"
			log.Warn("shapes.snapshot-unusable", "file", set.Snapshot, "error", err, "aside", aside, "rename", os.Rename(set.Snapshot, aside))
		}
	}
	if s.book == nil {
		var err error
		if s.book, err = New(opts); err != nil {
			return nil, err
		}
	}
	if set.Snapshot != "" {
		s.later()
	}
	return s, nil
}

func (s *Service) later() {
	s.loop.Timers.Add(s.loop.Now()+s.set.Every, func() {
		s.Save()
		s.later()
	})
}

// Save writes a snapshot in the background, where the settings name a file. One at a
// time: a disk that hangs costs one goroutine.
func (s *Service) Save() {
	if s.set.Snapshot == "" || s.writing {
		return
	}
	s.writing = true
	snap := s.book.Snapshot()
	go func() {
		err := snap.Write(s.set.Snapshot)
		s.loop.Post(func() {
			s.writing = false
			if err != nil {
				s.stats.Add("shapes.snapshot-failed")
				s.log.Warn("shapes.snapshot-failed", "file", s.set.Snapshot, "error", err)
			} else {
				s.stats.Add("shapes.snapshots")
			}
		})
	}()
}

// Encode is what is known now, as a snapshot's file would hold it.
func (s *Service) Encode() ([]byte, error) { return s.book.Snapshot().Encode() }

// Take goes on from what Encode told in another process.
func (s *Service) Take(b []byte) error {
	snap, err := DecodeSnapshot(b)
	if err != nil {
		return err
	}
	book, err := Restore(Options{Decide: s.set.Decide, Bytes: s.set.Bytes}, snap)
	if err == nil {
		s.book = book
	}
	return err
}

// Read reads a statement. more are functions that the operators know to read only.
func (s *Service) Read(text string, more sqltext.Functions) *Statement {
	s.book.reader.Judge, s.book.reader.Functions = true, more
	defer func() { s.book.reader.Judge = false }()
	return s.book.Read(text)
}

// ReadOnce reads a statement of which there will be one execution, as of a Query: what is
// read lies within that execution, so that it takes no memory of its own. It holds until
// the core is through with the request.
func (s *Service) ReadOnce(text string, more sqltext.Functions) *Statement {
	s.book.reader.Judge, s.book.reader.Functions = true, more
	defer func() { s.book.reader.Judge = false }()
	x := s.execution()
	s.book.readInto(&x.own, text)
	x.own.once = x
	return &x.own
}

// executionOf is an execution to be filled for a statement: its own where it has one.
func (s *Service) executionOf(st *Statement) *Execution {
	if st.once != nil {
		return st.once
	}
	return s.execution()
}

// Expect estimates a request of a class that is already known, and puts the estimate into
// it where the settings say so.
func (s *Service) Expect(r *core.Request, st *Statement, binds *sqltext.Binds) {
	s.expect(r, s.executionOf(st), st, binds)
}

// ExpectText reads a text for one request of a class that is already known.
func (s *Service) ExpectText(r *core.Request, text string) {
	x := s.execution()
	s.book.readInto(&x.own, text)
	r.TableGroup, _ = x.own.Group()
	s.expect(r, x, &x.own, nil)
}

func (s *Service) expect(r *core.Request, x *Execution, st *Statement, binds *sqltext.Binds) {
	place, ok := s.places[r.Class]
	if !ok {
		place = -1
	}
	hint := Hint{Work: float64(r.Work) / float64(time.Millisecond), MemoryMB: r.MemoryMB}
	threads := 1.0
	if !s.set.WorkTold {
		threads = s.threads[r.Class]
	}
	s.book.estimate(x, st, binds, place, hint)
	s.put(r, x, threads)
}

func (s *Service) put(r *core.Request, x *Execution, threads float64) {
	r.CostContext = x
	if !s.set.Correct || !x.Estimate.Known || s.set.OnlyTold && r.Work == 0 {
		return
	}
	s.corrected++
	r.Work = time.Duration(x.Estimate.Work * threads * float64(time.Millisecond))
	if x.Estimate.MemoryMB > 0 {
		r.MemoryMB = x.Estimate.MemoryMB
	}
}

// Sort finds the class of a reading statement that nobody has named one for.
func (s *Service) Sort(st *Statement, binds *sqltext.Binds) (class policy.Class, x *Execution, ok bool) {
	x = s.executionOf(st)
	s.book.estimate(x, st, binds, -1, Hint{})
	if x.Estimate.Class < 0 {
		return policy.Class{}, x, false
	}
	return s.reading[x.Estimate.Class], x, true
}

// Sorted puts what Sort found into the request. Where engines tell no work, times stand
// for it, and the decisions take the work of all threads.
func (s *Service) Sorted(r *core.Request, x *Execution) { s.put(r, x, s.threads[r.Class]) }

// AttemptServed learns what a request has cost. It is the core's Learner.
func (s *Service) AttemptServed(r *core.Request, rep core.Report, elapsed time.Duration) {
	s.learn(r, decide.Outcome{Work: told(rep.Work, elapsed), MemoryMB: rep.MemoryMB})
}

// AttemptTimedOut learns that a request would have cost more than it was let have.
func (s *Service) AttemptTimedOut(r *core.Request, elapsed time.Duration) {
	if !s.set.WorkTold { // on a crowded engine a time says little of the work
		s.learn(r, decide.Outcome{Work: told(0, elapsed), LowerBound: true})
	}
}

func (s *Service) learn(r *core.Request, t decide.Outcome) {
	if x, ok := r.CostContext.(*Execution); ok {
		s.book.Learn(x, t)
	}
}

func told(work, elapsed time.Duration) float64 {
	if work <= 0 {
		work = elapsed
	}
	return float64(work) / float64(time.Millisecond)
}

// Count writes the service's own figures among the counters.
func (s *Service) Count() {
	s.stats.Set("shapes.corrected", s.corrected)
	s.stats.Set("shapes.held", int64(s.book.Len()))
	s.stats.Set("shapes.bytes", int64(s.book.Bytes()))
	s.stats.Set("shapes.hits", int64(s.book.Stats.Hits))
	s.stats.Set("shapes.misses", int64(s.book.Stats.Misses))
	s.stats.Set("shapes.learned", int64(s.book.Stats.Learned))
}
