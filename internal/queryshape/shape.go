// Package shape keeps what is known of the shapes of statements: it reads statements
// for the fronts, holds the records of recurring shapes within a number of bytes, asks
// internal/decide/costmodel what executions cost and of which class they are, and writes
// snapshots. What it knows is for estimates and classes alone: what a statement may do
// is sqltext's word and nothing here softens it.
package queryshape

import (
	"fmt"
	"math/rand/v2"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/sqltext"
)

// Options say what a book may use.
type Options struct {
	Model decide.Config
	Bytes int   // of records and their upkeep, at most; at least LeastBytes
	Cache Cache // in place of W-TinyLFU over Bytes
}

// LeastBytes is the smallest bound that holds the records of a few dozen shapes.
const MinBytes = 64 << 10

// Book belongs to one goroutine.
type Estimator struct {
	reader   *sqltext.Reader
	model    *decide.Model
	cache    Cache
	hashSeed uint64 // seed of the hashes of values
	bytes    int
	Stats    Stats
}

// Stats counts.
type Stats struct {
	Hits, Misses uint64 // shapes that were found, or were not, when an execution came
	Learned      uint64
}

// New returns a book that knows nothing.
func New(opts Options) (*Estimator, error) {
	if opts.Bytes < MinBytes && opts.Cache == nil {
		return nil, fmt.Errorf("shapes: %d bytes are too few, at least %d", opts.Bytes, MinBytes)
	}
	b := &Estimator{reader: sqltext.NewReader(), model: decide.New(opts.Model), cache: opts.Cache, hashSeed: rand.Uint64(), bytes: opts.Bytes}
	if b.cache == nil {
		var err error
		if b.cache, err = NewTinyLFU(opts.Bytes); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Statement is a reading of one text, to be used for many executions of it.
type Statement struct {
	text      string
	reading   sqltext.Reading // its Norm is not kept
	slots     [4]sqltext.Slot
	execution *Execution // whose own it is; nil: there may be many
}

// Read reads a text. The statement holds on to it.
func (b *Estimator) Read(text string) *Statement {
	s := &Statement{}
	b.readInto(s, text)
	return s
}

func (b *Estimator) readInto(s *Statement, text string) {
	s.text, s.reading, s.execution = text, *b.reader.Read(text), nil
	s.reading.Slots = append(s.slots[:0], s.reading.Slots...)
	s.reading.Norm = nil
}

// Effect is what the statement may do, First its first word ("(" for what is none) and
// Several whether a second statement follows, as sqltext tells.
func (s *Statement) Effect() sqltext.Verdict  { return s.reading.Effect }
func (s *Statement) FirstWord() string        { return s.reading.First }
func (s *Statement) MultipleStatements() bool { return s.reading.Several }

// Group is the statement's group of tables.
func (s *Statement) TableGroup() (int64, bool) { return s.reading.Group, s.reading.Grouped }

// Execution is one execution whose cost is awaited.
type Execution struct {
	statement *Statement
	own       Statement // where the text is read for this execution alone
	query     decide.Query
	cached    *CachedShape
	Estimate  decide.Estimate
}

// Fingerprint identifies the shape of the query.
func (x *Execution) Fingerprint() [2]uint64 { return x.statement.reading.Print }

// Hint is what the client said of an execution; 0: nothing.
type Hint struct{ Work, MemoryMB float64 }

// Estimate tells what to expect of an execution. known is the place of its class where
// that is decided already, else -1. binds may be nil.
func (b *Estimator) Estimate(s *Statement, binds *sqltext.Binds, known int, hint Hint) *Execution {
	x := &Execution{}
	b.estimate(x, s, binds, known, hint)
	return x
}

func (b *Estimator) estimate(x *Execution, s *Statement, binds *sqltext.Binds, known int, hint Hint) {
	if binds == nil {
		binds = &noBinds
	}
	x.statement = s
	x.query = decide.Query{
		Features: &s.reading.Features, Profile: s.reading.Profile(s.text, binds, b.hashSeed),
		KnownClass: known, WorkHint: hint.Work, MemoryHint: hint.MemoryMB,
	}
	if x.cached = b.cache.Get(s.reading.Print); x.cached != nil {
		b.Stats.Hits++
		x.query.Record = &x.cached.ShapeRecord
	} else {
		b.Stats.Misses++
	}
	x.Estimate = b.model.Estimate(&x.query)
}

var noBinds sqltext.Binds

// Learn takes what an execution has cost. A shape that is not held is put forward to
// the cache, which may turn it down.
func (b *Estimator) Learn(x *Execution, t decide.Outcome) {
	b.Stats.Learned++
	print := x.statement.reading.Print
	k := x.cached
	if k == nil {
		if k = b.cache.Get(print); k == nil {
			k = b.newCachedShape(x.statement)
			b.cache.Add(print, k)
		}
	}
	x.query.Record = &k.ShapeRecord
	b.model.Learn(&x.query, t)
}

func (b *Estimator) newCachedShape(s *Statement) *CachedShape {
	r := b.reader.Read(s.text)
	k := &CachedShape{Truncated: r.Cut || len(r.Norm) > MaxNormalForm}
	k.NormalForm = string(r.Norm[:min(len(r.Norm), MaxNormalForm)])
	return k
}

// Len is the number of shapes held, and Bytes what they are counted as.
func (b *Estimator) Len() int   { return b.cache.Len() }
func (b *Estimator) Bytes() int { return b.cache.Bytes() }
