// Package shape decides what a statement is likely to cost, and of which class it is,
// from what executions of its shape have cost before. It is pure: no clock, no I/O, and
// the same calls give the same results.
//
// Four voices are heard, each with the error that it has been seen to make, and weighed
// by the inverse of its square (the best linear combination of independent unbiased
// estimates):
//
//   - the shape's own record, one for each bucket of profiles of its values;
//   - values like these: how executions with such values have differed from what their
//     own shapes usually cost, over all shapes;
//   - the prior, a model over features that learns from all shapes, corrected by how
//     this shape has differed from it;
//   - the client's hint, corrected by how right it has been for this shape.
//
// Work is in milliseconds on one core, memory in megabytes; within, both are powers of
// two. Figures told by engines are not trusted one by one: see Track.
package costmodel

import (
	"fmt"
	"math"
	"strings"

	"gannetspur/internal/sqltext"
)

// Bounds of what a finished query may tell; what lies outside is no figure and is left
// out. An hour of work on one core is more than any class waits for.
const (
	leastWork   = 0.01  // ms
	mostWork    = 3.6e6 // ms
	leastMemory = 0.01  // MB
	mostMemory  = 1e6   // MB
)

// Class is a class that reading statements can be found to have.
type Class struct {
	Name string
	UpTo float64 // expected work in ms; 0: no end
}

// Config says how to learn and decide.
type Config struct {
	// Classes are those of reading statements, from the cheapest on; the last has no
	// end. None: classes are not decided.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the bound between two
	// classes before a shape changes over. 1: none; at least 1.
	Hysteresis float64
	// The parts that can be switched off, to measure what each is worth.
	NoParameters, NoPrior, NoForgetting, NoHint bool
}

// DefaultHysteresis is used where a configuration names none.
const DefaultHysteresis = 1.3

// likeUntil is how often values must have come to a shape before its own record of them
// stands alone.
const likeUntil = 5

// settled is how many until errors on values like these say no more than its own.
const settled = 10

// The prior serves shapes and values that are new, and learning costs it some microseconds:
// it takes each of the first executions of a shape, and a share of the others.
const (
	priorEach  = 24
	priorShare = 16
)

// wellKnown is how often a bucket must have run until its own record and the hint say all,
// and until no more than a share of its executions is learned from, as long as these go on
// as expected. Most traffic is of such shapes; the rest of the machinery is for others.
const (
	wellKnown  = 200
	learnShare = 4
)

// mostBuckets bounds the profiles that one shape keeps apart.
const mostBuckets = 8

// Entry is what is kept of one shape. Its size does not depend on the shape.
type Entry struct {
	Seen    uint32              `cbor:"Seen"`   // executions, saturating
	All     Track               `cbor:"All"`    // of the cost, whatever the values
	Offset  Track               `cbor:"Offset"` // of the cost against the prior
	Usual   Track               `cbor:"Usual"`  // of what the prior says of its executions
	Hint    Track               `cbor:"Hint"`   // of the cost against the hint
	Memory  Track               `cbor:"Memory"` // of the memory against its hint
	Buckets [mostBuckets]Bucket `cbor:"Buckets"`
}

// Bucket is the record of the executions of one shape whose values look alike.
type Bucket struct {
	Key    uint32 `cbor:"Key"`
	Used   uint32 `cbor:"Used"` // Seen of the entry when it was last used
	Work   Track  `cbor:"Work"`
	Memory Track  `cbor:"Memory"`
	Class  uint8  `cbor:"Class"` // 1 and up: place of the class last decided; 0: none yet
}

// Query is one execution as the decision sees it.
type Query struct {
	Entry    *Entry // nil: the shape is not kept
	Features *sqltext.Features
	Profile  sqltext.Profile
	Known    int     // place of the class that is already known, or -1
	Hint     float64 // the client's estimate of the work; 0: none
	HintMB   float64 // and of the memory

	// What Estimate worked out, for Learn: an execution is read once.
	x    vector
	read bool
	said Estimate
}

// Voice is one part of an estimate.
type Voice struct {
	Mid, Dev float64 // powers of two
	N        float64 // values it rests on
	Weight   float64 // its share; 0: not heard
}

// Estimate is what to expect of an execution.
type Estimate struct {
	Known    bool    // there is one
	Work     float64 // ms, the middle
	Spread   float64 // factor from the middle to the nine tenths
	MemoryMB float64 // 0: not known
	Class    int     // place among the configured classes; -1: not decided

	Record, Like, Prior, Hint Voice
	Key                       Voice // of a value that is asked for often and costs otherwise
}

// Model learns and decides.
type Model struct {
	cfg   Config
	prior *prior
	state
	none Track // of no errors at all
}

// state is what a model has learned, but for its prior.
type state struct {
	All   [knownClasses]common `cbor:"All"`   // by known class, for shapes without a record
	Heavy heavy                `cbor:"Heavy"` // values that come often
	Like  heavy                `cbor:"Like"`  // values that look alike
	Fresh [3]fresh             `cbor:"Fresh"` // errors on values new to a shape, by how strange these are
}

type common struct {
	Hint   Track `cbor:"Hint"`
	HintMB Track `cbor:"HintMB"`
	Memory Track `cbor:"Memory"`
}

type fresh struct {
	Prior Track `cbor:"Prior"`
	Hint  Track `cbor:"Hint"`
}

// strangeness sorts how far the prior finds an execution from the shape's usual ones.
func strangeness(unusual float64) int {
	switch d := math.Abs(unusual); {
	case d < 0.7:
		return 0
	case d < 2:
		return 1
	}
	return 2
}

// widen has a voice count for no more than its errors of this kind allow.
func (t *Track) widen(v *Voice, unusual float64) {
	switch {
	case v.N == 0:
	case t.N >= 2:
		v.Mid += float64(t.Mid)
		v.Dev = math.Max(v.Dev, math.Sqrt(t.Variance()))
	default:
		v.Dev = math.Hypot(v.Dev, unusual)
	}
}

// knownClasses is how many classes have a track of their own; the last is for all else.
const knownClasses = 5

// New returns a model that knows nothing.
func New(cfg Config) *Model {
	if cfg.Hysteresis < 1 {
		cfg.Hysteresis = DefaultHysteresis
	}
	return &Model{cfg: cfg, prior: newPrior()}
}

func (m *Model) common(known int) *common {
	if known < 0 || known >= knownClasses-1 {
		known = knownClasses - 1
	}
	return &m.All[known]
}

func (m *Model) bucketKey(q *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return q.Profile.Bucket()
}

func (m *Model) vector(q *Query) *vector {
	if !q.read {
		p := &q.Profile
		if m.cfg.NoParameters {
			p = &sqltext.Profile{}
		}
		q.x, q.read = features(q.Features, p, q.Known), true
	}
	return &q.x
}

// find is the bucket of the profile, or nil.
func (e *Entry) find(key uint32) *Bucket {
	for i := range e.Buckets {
		if b := &e.Buckets[i]; b.Work.N > 0 && b.Key == key {
			return b
		}
	}
	return nil
}

// bucket is the bucket of the profile; where there is none, an empty one or the one
// that was not used for longest becomes it.
func (e *Entry) bucket(key uint32) *Bucket {
	if b := e.find(key); b != nil {
		return b
	}
	oldest := &e.Buckets[0]
	for i := range e.Buckets {
		b := &e.Buckets[i]
		if b.Work.N == 0 {
			oldest = b
			break
		}
		if b.Used < oldest.Used {
			oldest = b
		}
	}
	*oldest = Bucket{Key: key}
	return oldest
}

// Estimate tells what to expect of an execution. It changes nothing but the class that
// the bucket holds on to.
func (m *Model) Estimate(q *Query) Estimate {
	q.said = m.estimate(q)
	return q.said
}

func (m *Model) estimate(q *Query) Estimate {
	est := Estimate{Class: -1}
	var b *Bucket
	if q.Entry != nil {
		b = q.Entry.find(m.bucketKey(q))
	}
	if b != nil {
		est.Record = voice(&b.Work, 0)
	}
	known := b != nil && b.Work.N >= wellKnown
	unusual := 0.0
	if !known && !m.cfg.NoPrior && m.prior.ready() {
		y := m.prior.predict(m.vector(q))
		est.Prior = voice(&m.prior.Track, y)
		if q.Entry != nil && q.Entry.Offset.N >= 2 {
			est.Prior = voice(&q.Entry.Offset, y)
			unusual = y - float64(q.Entry.Usual.Mid)
		}
	}
	if !m.cfg.NoHint && q.Hint >= leastWork && q.Hint <= mostWork {
		y := math.Log2(q.Hint)
		switch common := m.common(q.Known); {
		case q.Entry != nil && q.Entry.Hint.N >= 3:
			est.Hint = voice(&q.Entry.Hint, y)
		case common.Hint.N >= 3:
			est.Hint = voice(&common.Hint, y)
		default:
			est.Hint = Voice{Mid: y, Dev: 2, N: 1}
		}
	}
	var alike *heavyKey
	if !m.cfg.NoParameters {
		alike = m.Like.find(likeKey(m.bucketKey(q), q.Profile.Column))
	}
	if e := q.Entry; e != nil && e.All.N >= 2 && alike != nil && alike.Offset.N >= 2 {
		est.Like = voice(&alike.Offset, float64(e.All.Mid))
	}
	// How right a voice has been for a shape says little of values that are unlike those
	// before: what counts then is how right it has been of such values. Guards against a
	// broad report that passes for the lookup whose shape it has.
	prior, hint := &m.none, &m.none
	if q.Entry != nil && (b == nil || b.Work.N < likeUntil) {
		f := &m.Fresh[strangeness(unusual)]
		prior, hint = &f.Prior, &f.Hint
	}
	if young := b == nil || b.Work.N < settled; young && alike != nil {
		if alike.Prior.N >= 2 {
			prior = &alike.Prior
		}
		if alike.Hint.N >= 2 {
			hint = &alike.Hint
		}
	}
	if !known {
		prior.widen(&est.Prior, unusual)
		hint.widen(&est.Hint, unusual)
	}
	mid, variance, ok := combine(&est.Record, &est.Like, &est.Prior, &est.Hint)
	if !ok {
		return est
	}
	if h := m.Heavy.find(q.Profile.Key); !m.cfg.NoParameters && h != nil && h.telling() {
		est.Key = Voice{Mid: float64(h.Offset.Mid), Dev: float64(h.Offset.Dev), N: float64(h.Offset.N), Weight: 1}
		mid += est.Key.Mid
	}
	est.Known = true
	est.Work = math.Exp2(max(min(mid, math.Log2(mostWork)), math.Log2(leastWork)))
	est.Spread = math.Exp2(1.28 * math.Sqrt(variance))
	est.MemoryMB = m.memory(q, b)
	est.Class = m.class(est.Work, b)
	return est
}

func voice(t *Track, base float64) Voice {
	return Voice{Mid: base + float64(t.Mid), Dev: math.Sqrt(t.Variance()), N: float64(t.N)}
}

// combine weighs the voices that were raised by the inverse of their variances.
func combine(voices ...*Voice) (mid, variance float64, ok bool) {
	sum := 0.0
	for _, v := range voices {
		if v.N > 0 {
			v.Weight = 1 / (v.Dev * v.Dev)
			sum += v.Weight
		}
	}
	if sum == 0 {
		return 0, 0, false
	}
	for _, v := range voices {
		v.Weight /= sum
		mid += v.Weight * v.Mid
	}
	return mid, 1 / sum, true
}

// memory is the expected memory: the bucket's record and the corrected hint.
func (m *Model) memory(q *Query, b *Bucket) float64 {
	var record, hint Voice
	common := m.common(q.Known)
	switch {
	case b != nil && b.Memory.N > 0:
		record = voice(&b.Memory, 0)
	case common.Memory.N >= 3:
		record = voice(&common.Memory, 0)
	}
	if !m.cfg.NoHint && q.HintMB >= leastMemory && q.HintMB <= mostMemory {
		y := math.Log2(q.HintMB)
		switch {
		case q.Entry != nil && q.Entry.Memory.N >= 3:
			hint = voice(&q.Entry.Memory, y)
		case common.HintMB.N >= 3:
			hint = voice(&common.HintMB, y)
		default:
			hint = Voice{Mid: y, Dev: 2, N: 1}
		}
	}
	mid, _, ok := combine(&record, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(mid)
}

// class finds the class of an expected work. A bucket holds on to the one that it has
// until the estimate is well past the bound.
func (m *Model) class(work float64, b *Bucket) int {
	n := len(m.cfg.Classes)
	if n == 0 {
		return -1
	}
	place := func(w float64) int {
		for i, c := range m.cfg.Classes {
			if c.UpTo <= 0 || w <= c.UpTo {
				return i
			}
		}
		return n - 1
	}
	c := place(work)
	if b == nil {
		return c
	}
	if held := int(b.Class) - 1; held >= 0 && held < n && held != c {
		h := m.cfg.Hysteresis
		if c > held && place(work/h) <= held || c < held && place(work*h) >= held {
			return held
		}
	}
	b.Class = uint8(c + 1)
	return c
}

// Truth is what a finished execution told; 0 where it told nothing.
type Truth struct {
	Work, MemoryMB float64
	// AtLeast: it was given up before its end, so the work is a lower bound. Guards
	// against learning of broad reports from those alone that came to an end.
	AtLeast bool
}

// Learn takes what an execution has cost. What is no figure is left out.
func (m *Model) Learn(q *Query, t Truth) {
	forget := !m.cfg.NoForgetting
	e := q.Entry
	if e != nil && e.Seen < math.MaxUint32 {
		e.Seen++
	}
	if !(t.Work >= leastWork && t.Work <= mostWork) {
		return
	}
	if e != nil && e.Seen%learnShare != 0 {
		if b := e.find(m.bucketKey(q)); b != nil && b.Work.N >= wellKnown && b.Work.Run > -2 && b.Work.Run < 2 {
			return
		}
	}
	y := math.Log2(t.Work)
	before := q.said
	if !before.Known {
		before = m.estimate(q)
	}
	if t.AtLeast && before.Known && before.Work >= t.Work {
		return
	}
	x := m.vector(q)
	if e != nil {
		m.learnAlike(q, x, y, before.Record.N < likeUntil, forget)
		if m.prior.ready() {
			says := m.prior.predict(x)
			e.Offset.Add(y-says, forget)
			e.Usual.Add(says, forget)
		}
		e.All.Add(y, forget)
		b := e.bucket(m.bucketKey(q))
		b.Used = e.Seen
		b.Work.Add(y, forget)
		if t.MemoryMB >= leastMemory && t.MemoryMB <= mostMemory {
			b.Memory.Add(math.Log2(t.MemoryMB), forget)
		}
	}
	if e == nil || e.Seen < priorEach || e.Seen%priorShare == 0 {
		m.prior.learn(x, y, forget)
	}
	common := m.common(q.Known)
	if q.Hint >= leastWork && q.Hint <= mostWork {
		d := y - math.Log2(q.Hint)
		common.Hint.Add(d, forget)
		if e != nil {
			e.Hint.Add(d, forget)
		}
	}
	if t.MemoryMB >= leastMemory && t.MemoryMB <= mostMemory {
		z := math.Log2(t.MemoryMB)
		common.Memory.Add(z, forget)
		if q.HintMB >= leastMemory && q.HintMB <= mostMemory {
			common.HintMB.Add(z-math.Log2(q.HintMB), forget)
			if e != nil {
				e.Memory.Add(z-math.Log2(q.HintMB), forget)
			}
		}
	}
	if before.Known && q.Profile.Key != 0 && !m.cfg.NoParameters {
		m.Heavy.add(q.Profile.Key).Offset.Add(y-(math.Log2(before.Work)-before.Key.Mid), forget)
	}
}

// learnAlike takes the errors made on values that look alike, and on values that are new
// to their shape.
func (m *Model) learnAlike(q *Query, x *vector, y float64, fresh, forget bool) {
	e := q.Entry
	if e.All.N < 2 {
		return
	}
	alike := &heavyKey{}
	if !m.cfg.NoParameters {
		alike = m.Like.add(likeKey(m.bucketKey(q), q.Profile.Column))
		alike.Offset.Add(y-float64(e.All.Mid), forget)
	}
	if !m.prior.ready() || e.Offset.N < 2 {
		return
	}
	says := m.prior.predict(x)
	f := &m.Fresh[strangeness(says-float64(e.Usual.Mid))]
	miss := y - says - float64(e.Offset.Mid)
	alike.Prior.Add(miss, forget)
	if fresh {
		f.Prior.Add(miss, forget)
	}
	if e.Hint.N >= 3 && q.Hint >= leastWork && q.Hint <= mostWork {
		miss = y - math.Log2(q.Hint) - float64(e.Hint.Mid)
		alike.Hint.Add(miss, forget)
		if fresh {
			f.Hint.Add(miss, forget)
		}
	}
}

// Why says in words what an estimate rests on.
func (e Estimate) Why() string {
	if !e.Known {
		return "nothing is known: no record, no hint, and the prior has seen too little"
	}
	var parts []string
	for _, v := range []struct {
		name string
		v    Voice
	}{{"record of the shape", e.Record}, {"values like these", e.Like}, {"prior over features", e.Prior}, {"hint as it has been right", e.Hint}} {
		if v.v.N > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g ms, within a factor of %.2g, from %.0f values: %.0f %%",
				v.name, math.Exp2(v.v.Mid), math.Exp2(v.v.Dev), v.v.N, 100*v.v.Weight))
		}
	}
	if e.Key.N > 0 {
		parts = append(parts, fmt.Sprintf("its value is asked for often and costs %.2g times the usual", math.Exp2(e.Key.Mid)))
	}
	return strings.Join(parts, "; ")
}
