// Package queryshape estimates the cost of statements from earlier executions of the same query
// shape. It reads statements for the frontends, caches the cost records of recurring shapes in a
// bounded amount of memory, obtains cost estimates and classes from internal/decide/costmodel, and
// stores snapshots. What it has learned affects only estimates and classes: whether a statement
// may write is decided by package sqltext, and nothing here relaxes that decision.
package queryshape

import (
	"fmt"
	"math/rand/v2"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/sqltext"
)

// Options configure an Estimator.
type Options struct {
	Model decide.Config // settings of the cost model
	Bytes int           // maximum size of the cached records with their overhead; at least MinBytes unless Cache is set
	Cache Cache         // cache to use, for which Bytes is ignored; nil: a W-TinyLFU cache of Bytes bytes
}

// MinBytes is the minimum of Options.Bytes. It holds the records of a few dozen shapes.
const MinBytes = 64 << 10

// Estimator estimates the cost of statements by their query shapes. It belongs to one goroutine.
type Estimator struct {
	reader   *sqltext.Reader
	model    *decide.Model
	cache    Cache
	hashSeed uint64 // seed of the hashes of values
	Stats    Stats
}

// Stats counts the operations of an Estimator since it was created.
type Stats struct {
	Hits    uint64 // estimated executions whose shape was cached
	Misses  uint64 // estimated executions whose shape was not cached
	Learned uint64 // executions whose reported cost was learned
}

// New returns an estimator that has learned nothing.
func New(opts Options) (*Estimator, error) {
	if opts.Bytes < MinBytes && opts.Cache == nil {
		return nil, fmt.Errorf("shapes: cache size of %d bytes is too small, want at least %d", opts.Bytes, MinBytes)
	}
	e := &Estimator{reader: sqltext.NewReader(), model: decide.New(opts.Model), cache: opts.Cache, hashSeed: rand.Uint64()}
	if e.cache == nil {
		var err error
		if e.cache, err = NewTinyLFU(opts.Bytes); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Read reads the text of a statement. The result keeps a reference to the text.
func (e *Estimator) Read(text string) *Statement {
	s := &Statement{}
	e.readInto(s, text)
	return s
}

// readInto is Read into an existing Statement, whose storage is reused.
func (e *Estimator) readInto(s *Statement, text string) {
	s.text = text
	s.reading = *e.reader.Read(text)
	s.execution = nil
	s.reading.Slots = append(s.slots[:0], s.reading.Slots...)
	s.reading.NormalForm = nil
}

// noBinds are the values of an execution without parameters.
var noBinds sqltext.Binds

// Estimate returns an execution of a statement with its estimated cost. knownClass is the index of
// its class if that is already decided, else -1. binds may be nil.
func (e *Estimator) Estimate(s *Statement, binds *sqltext.Binds, knownClass int, hint Hint) *Execution {
	x := &Execution{}
	e.estimate(x, s, binds, knownClass, hint)
	return x
}

// estimate is Estimate into an existing Execution.
func (e *Estimator) estimate(x *Execution, s *Statement, binds *sqltext.Binds, knownClass int, hint Hint) {
	if binds == nil {
		binds = &noBinds
	}
	x.statement = s
	x.query = decide.Query{
		Features:   &s.reading.Features,
		Profile:    s.reading.Profile(s.text, binds, e.hashSeed),
		KnownClass: knownClass,
		WorkHint:   hint.Work,
		MemoryHint: hint.MemoryMB,
	}
	x.cached = e.cache.Get(s.reading.Fingerprint)
	if x.cached != nil {
		e.Stats.Hits++
		x.query.Record = &x.cached.ShapeRecord
	} else {
		e.Stats.Misses++
	}
	x.Estimate = e.model.Estimate(&x.query)
}

// Learn updates the model and the record of the shape with the reported cost of an execution. A
// shape that is not cached is offered to the cache, which may not admit it.
func (e *Estimator) Learn(x *Execution, outcome decide.Outcome) {
	e.Stats.Learned++
	fingerprint := x.statement.reading.Fingerprint
	shape := x.cached
	if shape == nil {
		shape = e.cache.Get(fingerprint)
	}
	if shape == nil {
		shape = e.newCachedShape(x.statement)
		e.cache.Add(fingerprint, shape)
	}
	x.query.Record = &shape.ShapeRecord
	e.model.Learn(&x.query, outcome)
}

// newCachedShape returns an empty record for the shape of a statement. It reads the text again,
// because a Statement does not keep the normal form.
func (e *Estimator) newCachedShape(s *Statement) *CachedShape {
	r := e.reader.Read(s.text)
	return &CachedShape{
		NormalForm: string(r.NormalForm[:min(len(r.NormalForm), MaxNormalForm)]),
		Truncated:  r.Truncated || len(r.NormalForm) > MaxNormalForm,
	}
}

// Len returns the number of cached shapes.
func (e *Estimator) Len() int { return e.cache.Len() }

// Bytes returns the size of the cached shapes with their overhead.
func (e *Estimator) Bytes() int { return e.cache.Bytes() }
