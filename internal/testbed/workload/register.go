// Package workload models a register of parts and the programs that query it: districts,
// wholesalers, parts of very different popularity, ten years of days, and what each statement
// costs there. The cost follows from what a statement means (how many rows it reaches, by which
// access path, and what is done with them) and never from its text: it is independent of anything
// that ringwood's classifier looks at.
package workload

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Sizes of the register.
const (
	Districts   = 77
	Wholesalers = 400
	Parts       = 4000 // of one group
	Days        = 3650
	Groups      = 30
)

// table is one table of a group.
type table struct {
	name string
	rows float64
	cols []string
	time string // name of its date column
}

var tables = []table{
	{"parts", 4000, []string{"part", "name", "maker", "kind"}, "listed"},
	{"stock", 40000, []string{"part", "wholesaler", "n", "bin"}, "counted"},
	{"orders", 200000, []string{"part", "wholesaler", "district", "n", "price"}, "day"},
	{"shipments", 120000, []string{"part", "number", "district", "state"}, "sent"},
	{"prices", 80000, []string{"part", "wholesaler", "price"}, "day"},
	{"returns", 20000, []string{"part", "district", "reason"}, "day"},
}

// Options configure a world. Recorded traffic names its fields: renaming one changes the files.
type Options struct {
	Seed      uint64
	Templates int     // recurring shapes; 0: defaultTemplates
	OneOff    float64 // fraction of statements whose shape never recurs
	Hard      float64 // fraction of lookups whose values make them broad reports
	Writes    float64 // fraction of statements that write and are no bulk loads
	// DriftAt is when the table of orders grows, as a fraction of the statements; from then on
	// it has Drift times as many rows. 0: never.
	DriftAt float64
	Drift   float64
	// HintNoise is the scatter of hints, as a standard deviation of the natural
	// logarithm; HintMissing the fraction of statements without one. Hints are made from
	// what the shape usually costs, so they know nothing of the values.
	HintNoise   float64
	HintMissing float64
}

// Defaults returns the options of the usual traffic.
func Defaults(seed uint64) Options {
	return Options{
		Seed: seed, Templates: defaultTemplates, OneOff: 0.05, Hard: 0.04, Writes: 0.02,
		DriftAt: 0.6, Drift: 3, HintNoise: 0.7, HintMissing: 0.15,
	}
}

const (
	defaultTemplates = 200
	oneOffTemplate   = -1 // the template number of statements whose shape never recurs
)

// values are what answers are worth, by class.
var values = map[string]float64{"lookup": 1, "report": 4, "load": 5, "write": 4}

// ReportWork is the actual work, in milliseconds, from which a statement that reads is a report.
const ReportWork = 800

// Statement is one statement, with its actual class and cost.
type Statement struct {
	SQL      string
	Values   [][]byte // bound; nil: null
	Formats  []byte   // as in a Bind message
	Types    []byte   // object ids
	Class    string   // lookup, report, load or write
	Hard     string   // the hard case it is, or ""
	Template int      // -1: a one-off shape, -2: a statement that writes
	Work     float64  // ms on one core
	MemoryMB float64
	HintWork float64 // 0: none
	HintMB   float64
	Value    float64
	Key      int // number of the bound value that is a load's key; 0: none
}

// World generates statements.
type World struct {
	opts       Options
	rng        *rand.Rand
	templates  []*template
	cumulative []float64 // cumulative weights of the templates
	partZipf   *rand.Zipf
	groupZipf  *rand.Zipf
	noise      distuv.LogNormal
	hint       distuv.LogNormal
	bias       map[string]float64 // of hints, by class
	generated  int                // statements so far
	total      int
}

// New returns a world that generates total statements.
func New(opts Options, total int) *World {
	if opts.Templates <= 0 {
		opts.Templates = defaultTemplates
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x7265676973746572))
	w := &World{
		opts: opts, rng: rng, total: max(total, 1),
		partZipf:  rand.NewZipf(rng, 1.25, 8, Parts-1),
		groupZipf: rand.NewZipf(rng, 1.2, 3, Groups-1),
		noise:     distuv.LogNormal{Sigma: 0.3, Src: rng},
		hint:      distuv.LogNormal{Sigma: max(opts.HintNoise, 1e-9), Src: rng},
		bias:      map[string]float64{"lookup": 0.45, "report": 2.4, "load": 0.7, "write": 1},
	}
	sum := 0.0
	for i := range opts.Templates {
		t := w.template(i)
		w.templates = append(w.templates, t)
		sum += t.weight
		w.cumulative = append(w.cumulative, sum)
	}
	return w
}

// Next returns the next statement.
func (w *World) Next() Statement {
	progress := float64(w.generated) / float64(w.total)
	w.generated++
	growth := 1.0
	if w.opts.DriftAt > 0 && progress >= w.opts.DriftAt {
		growth = w.opts.Drift
	}
	draw := w.rng.Float64()
	if draw >= w.opts.OneOff && draw < w.opts.OneOff+w.opts.Writes {
		return w.write(growth)
	}
	var t *template
	number := oneOffTemplate
	if draw < w.opts.OneOff {
		t = w.template(1 << 20)
		t.oneOff = true
	} else {
		number = w.pickTemplate()
		t = w.templates[number]
	}
	s, usual := w.instance(t, growth)
	s.Template = number
	return w.finish(s, usual)
}

// pickTemplate draws a recurring template by weight.
func (w *World) pickTemplate() int {
	x := w.rng.Float64() * w.cumulative[len(w.cumulative)-1]
	number := 0
	for w.cumulative[number] < x {
		number++
	}
	return number
}

// finish adds noise, hints and value. usual is the work that the shape usually needs.
func (w *World) finish(s Statement, usual float64) Statement {
	exact := s.Work
	s.Work *= w.noise.Rand()
	s.MemoryMB = math.Max(2, 6*math.Pow(exact/200, 0.7)*w.noise.Rand())
	if w.rng.Float64() >= w.opts.HintMissing {
		class := "lookup"
		if usual > ReportWork {
			class = "report"
		}
		if s.Class == "load" || s.Class == "write" {
			class = s.Class
		}
		s.HintWork = usual * w.bias[class] * w.hint.Rand()
		s.HintMB = s.MemoryMB * w.hint.Rand() * 1.2
	}
	s.Value = values[s.Class]
	return s
}

// reach is how a statement reaches its rows, and what it does with them.
type reach struct {
	indexed float64 // rows found by an index
	scanned float64 // rows read sequentially
	joined  float64
	sorted  float64
	grouped float64
	out     float64
}

// Unit costs in milliseconds on one core. With them lookups take about 200 ms and reports about
// 3 s.
const (
	base       = 110
	perIndexed = 0.03
	perScanned = 0.014
	perJoined  = 0.006
	perSorted  = 0.0003 // times the logarithm
	perGrouped = 0.004
	perOut     = 0.004
	coldTimes  = 1.5
)

func (r reach) work() float64 {
	w := base + perIndexed*r.indexed + perScanned*r.scanned + perJoined*r.joined + perGrouped*r.grouped + perOut*r.out
	if r.sorted > 1 {
		w += perSorted * r.sorted * math.Log2(r.sorted)
	}
	return w
}
