package queryshape

import (
	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/sqltext"
)

// Statement is the text of a statement with its reading. It can have any number of executions.
type Statement struct {
	text      string
	reading   sqltext.Reading // without its normal form
	slots     [4]sqltext.Slot // storage of reading.Slots if they fit, which saves an allocation
	execution *Execution      // the only execution of the statement; nil: it can have several
}

// Effect returns whether the statement may write.
func (s *Statement) Effect() sqltext.EffectVerdict { return s.reading.Effect }

// FirstWord returns the statement's first word as written, or "(" if the statement begins with
// another token.
func (s *Statement) FirstWord() string { return s.reading.FirstWord }

// MultipleStatements reports whether the text has a second statement.
func (s *Statement) MultipleStatements() bool { return s.reading.MultipleStatements }

// DataSet returns the data set of the statement, if its text names one.
func (s *Statement) DataSet() (dataSet int64, ok bool) {
	return s.reading.TableGroup, s.reading.HasTableGroup
}

// Execution is one execution of a statement with its estimate. Its actual cost is passed to
// Estimator.Learn.
type Execution struct {
	Estimate decide.Estimate

	statement *Statement
	own       Statement // storage of a statement that is read for this execution only
	query     decide.Query
	cached    *CachedShape // shape found in the cache; nil: the shape was not cached
}

// Fingerprint identifies the query shape of the statement.
func (x *Execution) Fingerprint() Fingerprint { return x.statement.reading.Fingerprint }

// Hint is the client's estimate of the cost of an execution. A zero field is no estimate.
type Hint struct {
	Work     float64 // ms on one core
	MemoryMB float64 // MB
}
