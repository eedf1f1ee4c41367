package queryshape

import (
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/sqltext"
	"gannetspur/policy"
)

// maxFreeExecutions is the maximum number of executions that are kept for reuse. More requests are
// rarely open at once.
const maxFreeExecutions = 512

// newExecution returns a zero Execution, reusing a free one if possible.
func (s *Service) newExecution() *Execution {
	n := len(s.freeExecutions)
	if n == 0 {
		return &Execution{}
	}
	x := s.freeExecutions[n-1]
	s.freeExecutions = s.freeExecutions[:n-1]
	return x
}

// executionOf returns the execution to use for a statement: its only one, if it was read by
// ReadOnce, or else a new one.
func (s *Service) executionOf(st *Statement) *Execution {
	if st.execution != nil {
		return st.execution
	}
	return s.newExecution()
}

// RequestDone releases a request's execution for reuse.
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

// Read reads a statement and classifies its effect. readOnly are the functions that operators
// have declared to be read-only.
func (s *Service) Read(text string, readOnly sqltext.FunctionSet) *Statement {
	s.enableEffectClassification(readOnly)
	defer s.disableEffectClassification()
	return s.estimator.Read(text)
}

// ReadOnce reads a statement that will have one execution, such as that of a Query message, and
// classifies its effect. The statement is stored in the execution to avoid an allocation; it is
// valid until RequestDone.
func (s *Service) ReadOnce(text string, readOnly sqltext.FunctionSet) *Statement {
	s.enableEffectClassification(readOnly)
	defer s.disableEffectClassification()
	x := s.newExecution()
	s.estimator.readInto(&x.own, text)
	x.own.execution = x
	return &x.own
}

// enableEffectClassification makes the reader classify effects until disableEffectClassification.
func (s *Service) enableEffectClassification(readOnly sqltext.FunctionSet) {
	s.estimator.reader.ClassifyEffect = true
	s.estimator.reader.ReadOnlyFunctions = readOnly
}

func (s *Service) disableEffectClassification() { s.estimator.reader.ClassifyEffect = false }

// EstimateRequest estimates the cost of a request whose class is already known, and replaces the
// hint of the request by the estimate if the settings allow it.
func (s *Service) EstimateRequest(r *core.Request, st *Statement, binds *sqltext.Binds) {
	s.estimate(r, s.executionOf(st), st, binds)
}

// EstimateText reads the text of a request whose class is already known, sets the request's data
// set and does the same as EstimateRequest.
func (s *Service) EstimateText(r *core.Request, text string) {
	x := s.newExecution()
	s.estimator.readInto(&x.own, text)
	r.DataSet, _ = x.own.DataSet()
	s.estimate(r, x, &x.own, nil)
}

// estimate estimates the cost of a request with the class and the hints that it has.
func (s *Service) estimate(r *core.Request, x *Execution, st *Statement, binds *sqltext.Binds) {
	class, ok := s.classes.index[r.Class]
	if !ok {
		class = -1
	}
	hint := Hint{Work: milliseconds(r.Work), MemoryMB: r.MemoryMB}
	s.estimator.estimate(x, st, binds, class, hint)
	threads := 1.0
	if !s.settings.WorkReported {
		threads = s.classes.threads[r.Class]
	}
	s.apply(r, x, threads)
}

// Classify determines the class of a reading statement whose client has not named one. ok is false
// if the cost model gives none.
func (s *Service) Classify(st *Statement, binds *sqltext.Binds) (class policy.Class, x *Execution, ok bool) {
	x = s.executionOf(st)
	s.estimator.estimate(x, st, binds, -1, Hint{})
	if x.Estimate.Class < 0 {
		return policy.Class{}, x, false
	}
	return s.classes.reading[x.Estimate.Class], x, true
}

// ApplyEstimate applies the estimate of a classified execution to its request. Classes are defined
// by elapsed time while policies use the work of all threads, so the estimate is multiplied by the
// threads of the class.
func (s *Service) ApplyEstimate(r *core.Request, x *Execution) {
	s.apply(r, x, s.classes.threads[r.Class])
}

// apply links the execution to its request and, if the settings allow it, replaces the request's
// hints by the estimate. The estimated work is multiplied by threads.
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

// AttemptServed learns the cost of a request from its served attempt.
func (s *Service) AttemptServed(r *core.Request, report core.Report, elapsed time.Duration) {
	work := report.Work
	if work <= 0 {
		work = elapsed
	}
	s.learn(r, decide.Outcome{Work: milliseconds(work), MemoryMB: report.MemoryMB})
}

// AttemptTimedOut learns the elapsed time of an attempt that timed out as a lower bound of the
// request's cost.
func (s *Service) AttemptTimedOut(r *core.Request, elapsed time.Duration) {
	if s.settings.WorkReported { // on an overloaded engine the elapsed time is a poor measure of the work
		return
	}
	s.learn(r, decide.Outcome{Work: milliseconds(elapsed), LowerBound: true})
}

// learn learns the outcome of a request's execution, if the request has one.
func (s *Service) learn(r *core.Request, outcome decide.Outcome) {
	if x, ok := r.CostContext.(*Execution); ok {
		s.estimator.Learn(x, outcome)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
