package queryshape

import (
	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/sqltext"
)

// Statement is a reading of one text, for any number of executions of it.
type Statement struct {
	text      string
	reading   sqltext.Reading // without its normal form
	slots     [4]sqltext.Slot // storage of reading.Slots where these are few
	execution *Execution      // the only one that there will be; nil: there may be many
}

// Effect returns what the statement may do.
func (s *Statement) Effect() sqltext.EffectVerdict { return s.reading.Effect }

// FirstWord returns the statement's first word; "(" stands for anything but a word.
func (s *Statement) FirstWord() string { return s.reading.FirstWord }

// MultipleStatements tells whether a second statement follows in the text.
func (s *Statement) MultipleStatements() bool { return s.reading.MultipleStatements }

// DataSet returns the data set of the statement, if its text names one.
func (s *Statement) DataSet() (dataSet int64, ok bool) {
	return s.reading.TableGroup, s.reading.HasTableGroup
}

// Execution is one execution of a statement, with its estimate. Its cost is awaited.
type Execution struct {
	Estimate decide.Estimate

	statement *Statement
	own       Statement // storage of a statement that is read for this execution alone
	query     decide.Query
	cached    *CachedShape // nil: the shape was not cached
}

// Fingerprint identifies the shape of the statement.
func (x *Execution) Fingerprint() Fingerprint { return x.statement.reading.Fingerprint }

// Hint is the client's estimate of an execution; 0: none.
type Hint struct {
	Work     float64 // ms on one core
	MemoryMB float64
}
