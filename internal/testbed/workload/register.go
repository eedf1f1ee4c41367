// Package workload models a register of parts and the programs that query it: districts,
// wholesalers, parts of very different popularity and ten years of days. It generates their statements
// with the cost of each. The cost follows from the meaning of a statement (how many rows it reads, by
// which access path, and how it processes them) and never from its text, so that it is independent of
// everything that the gateway's classifier looks at.
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
	Parts       = 4000 // per group of tables
	Days        = 3650 // days that the tables cover
	Groups      = 30   // groups of tables, each a schema of its own
)

// table is a table that every group has.
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

// Options configure a generator. Files of recorded traffic contain the field names: renaming a field
// changes the files.
type Options struct {
	Seed      uint64  // of all random choices
	Templates int     // number of recurring shapes; 0: defaultTemplates
	OneOff    float64 // fraction of statements whose shape never recurs
	Hard      float64 // probability that a lookup gets values that make it a broad report, if its family has such values
	Writes    float64 // fraction of statements that write, apart from bulk loads
	// DriftAt is the fraction of the statements after which the table of orders grows to Drift
	// times as many rows. 0: it never grows.
	DriftAt float64
	Drift   float64
	// HintNoise is the standard deviation of the natural logarithm of the error of hints.
	// HintMissing is the fraction of statements without a hint. Work hints derive from the usual
	// cost of the shape, so they ignore the values.
	HintNoise   float64
	HintMissing float64
}

// Defaults returns the options of typical traffic with the given seed.
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

// values holds the value of an answer by class, relative to that of a lookup.
var values = map[string]float64{"lookup": 1, "report": 4, "load": 5, "write": 4}

// ReportWork is the work, in milliseconds on one core and before noise is applied, from which a reading
// statement is a report.
const ReportWork = 800

// Statement is one statement, with its actual class and cost.
type Statement struct {
	SQL      string   // text
	Values   [][]byte // bound values; a nil value is null
	Formats  []byte   // format codes of the values, 16 bits each, as in a Bind message
	Types    []byte   // type object ids of the values, 32 bits each
	Class    string   // lookup, report, load or write
	Hard     string   // hard case for a classifier that it represents, or ""
	Template int      // template number; -1: one-off shape, -2: statement that writes
	Work     float64  // actual work, ms on one core
	MemoryMB float64  // actual memory
	HintWork float64  // hinted work, ms on one core; 0: no hint
	HintMB   float64  // hinted memory; 0: no hint
	Value    float64  // value of an answer
	Key      int      // number of the bound value that is a load's idempotency key, from 1; 0: none
}

// Generator generates the statements of a workload.
type Generator struct {
	opts       Options
	rng        *rand.Rand
	templates  []*template
	cumulative []float64 // cumulative weights of the templates
	partZipf   *rand.Zipf
	groupZipf  *rand.Zipf
	noise      distuv.LogNormal
	hint       distuv.LogNormal
	bias       map[string]float64 // factor by which hints are systematically wrong, by class
	generated  int                // number of statements generated so far
	total      int                // number of statements that the workload has
}

// New returns a generator of a workload of total statements. total only determines when the table of
// orders grows.
func New(opts Options, total int) *Generator {
	if opts.Templates <= 0 {
		opts.Templates = defaultTemplates
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x7265676973746572))
	g := &Generator{
		opts: opts, rng: rng, total: max(total, 1),
		partZipf:  rand.NewZipf(rng, 1.25, 8, Parts-1),
		groupZipf: rand.NewZipf(rng, 1.2, 3, Groups-1),
		noise:     distuv.LogNormal{Sigma: 0.3, Src: rng},
		hint:      distuv.LogNormal{Sigma: max(opts.HintNoise, 1e-9), Src: rng},
		bias:      map[string]float64{"lookup": 0.45, "report": 2.4, "load": 0.7, "write": 1},
	}
	sum := 0.0
	for i := range opts.Templates {
		t := g.template(i)
		g.templates = append(g.templates, t)
		sum += t.weight
		g.cumulative = append(g.cumulative, sum)
	}
	return g
}

// Next returns the next statement.
func (g *Generator) Next() Statement {
	progress := float64(g.generated) / float64(g.total)
	g.generated++
	growth := 1.0
	if g.opts.DriftAt > 0 && progress >= g.opts.DriftAt {
		growth = g.opts.Drift
	}
	draw := g.rng.Float64()
	if draw >= g.opts.OneOff && draw < g.opts.OneOff+g.opts.Writes {
		return g.write(growth)
	}
	var t *template
	number := oneOffTemplate
	if draw < g.opts.OneOff {
		t = g.template(1 << 20)
		t.oneOff = true
	} else {
		number = g.pickTemplate()
		t = g.templates[number]
	}
	s, usual := g.instance(t, growth)
	s.Template = number
	return g.finish(s, usual)
}

// pickTemplate draws a recurring template by weight.
func (g *Generator) pickTemplate() int {
	x := g.rng.Float64() * g.cumulative[len(g.cumulative)-1]
	number := 0
	for g.cumulative[number] < x {
		number++
	}
	return number
}

// finish applies noise to the work and sets memory, hints and value. usual is the work that the shape
// usually needs, in ms on one core.
func (g *Generator) finish(s Statement, usual float64) Statement {
	exact := s.Work
	s.Work *= g.noise.Rand()
	s.MemoryMB = math.Max(2, 6*math.Pow(exact/200, 0.7)*g.noise.Rand())
	if g.rng.Float64() >= g.opts.HintMissing {
		class := "lookup"
		if usual > ReportWork {
			class = "report"
		}
		if s.Class == "load" || s.Class == "write" {
			class = s.Class
		}
		s.HintWork = usual * g.bias[class] * g.hint.Rand()
		s.HintMB = s.MemoryMB * g.hint.Rand() * 1.2
	}
	s.Value = values[s.Class]
	return s
}

// rowCounts counts the rows that a statement reads, by access path, and those that it processes, by
// operation.
type rowCounts struct {
	indexed float64 // rows found by an index
	scanned float64 // rows read sequentially
	joined  float64
	sorted  float64
	grouped float64
	out     float64 // rows returned
}

// Costs per statement (base) and per row, in milliseconds on one core. With them lookups take about
// 200 ms and reports about 3 s.
const (
	base       = 110
	perIndexed = 0.03
	perScanned = 0.014
	perJoined  = 0.006
	perSorted  = 0.0003 // times the binary logarithm of the number of sorted rows
	perGrouped = 0.004
	perOut     = 0.004
	coldFactor = 1.5 // multiple of the work when the group of tables is not in the engine's memory
)

// work returns the work of a statement, in ms on one core.
func (r rowCounts) work() float64 {
	w := base + perIndexed*r.indexed + perScanned*r.scanned + perJoined*r.joined + perGrouped*r.grouped + perOut*r.out
	if r.sorted > 1 {
		w += perSorted * r.sorted * math.Log2(r.sorted)
	}
	return w
}
