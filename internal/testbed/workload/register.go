// Package register models the Board's register and the programs that ask it: districts,
// wholesalers, parts of very different popularity, ten years of days, and what each
// statement truly costs there. The cost comes from what a statement means (how many rows
// it reaches, by which way, and what is done with them), never from its text: nothing
// that ringwood's classifier looks at has a part in it.
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
	time string // column of its day
}

var tables = []table{
	{"parts", 4000, []string{"part", "name", "maker", "kind"}, "listed"},
	{"stock", 40000, []string{"part", "wholesaler", "n", "bin"}, "counted"},
	{"orders", 200000, []string{"part", "wholesaler", "district", "n", "price"}, "day"},
	{"shipments", 120000, []string{"part", "number", "district", "state"}, "sent"},
	{"prices", 80000, []string{"part", "wholesaler", "price"}, "day"},
	{"returns", 20000, []string{"part", "district", "reason"}, "day"},
}

// Options say what world is made.
type Options struct {
	Seed      uint64
	Templates int     // recurring shapes; 0: 200
	OneOff    float64 // share of statements whose shape never comes again
	Hard      float64 // share of lookups whose values make them broad reports
	Writes    float64 // share of statements that write and are no loads
	// DriftAt is when the table of orders has grown, as a share of the statements; from
	// then on what reaches it costs Drift times as much. 0: never.
	DriftAt float64
	Drift   float64
	// HintNoise is the scatter of hints, as a standard deviation of the natural
	// logarithm; HintMissing the share of statements without one. Hints are made from
	// what the shape usually costs, so they know nothing of the values.
	HintNoise   float64
	HintMissing float64
}

// Defaults are the figures of the Board's brief, as far as it gives them.
func Defaults(seed uint64) Options {
	return Options{
		Seed: seed, Templates: 200, OneOff: 0.05, Hard: 0.04, Writes: 0.02,
		DriftAt: 0.6, Drift: 3, HintNoise: 0.7, HintMissing: 0.15,
	}
}

// ReportWork is the true work from which a reading statement is a report, in milliseconds.
const ReportWork = 800

// Statement is one statement with what is true of it.
type Statement struct {
	SQL      string
	Values   [][]byte // bound; nil: null
	Formats  []byte   // as in a Bind message
	Types    []byte   // object ids
	Class    string   // lookup, report, load or write
	Hard     string   // the hard case it is, or ""
	Template int      // -1: a one-off shape
	Work     float64  // ms on one core
	MemoryMB float64
	HintWork float64 // 0: none
	HintMB   float64
	Value    float64
	Key      int // number of the bound value that is a load's key; 0: none
}

// World asks.
type World struct {
	opts      Options
	rng       *rand.Rand
	templates []*template
	pick      []float64 // cumulated weights
	partZipf  *rand.Zipf
	groupZipf *rand.Zipf
	noise     distuv.LogNormal
	hint      distuv.LogNormal
	bias      map[string]float64 // of hints, by class
	asked     int
	total     int
}

// New makes a world that will be asked for so many statements.
func New(opts Options, total int) *World {
	if opts.Templates <= 0 {
		opts.Templates = 200
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
		w.pick = append(w.pick, sum)
	}
	return w
}

// Next is the next statement.
func (w *World) Next() Statement {
	at := float64(w.asked) / float64(w.total)
	w.asked++
	grown := 1.0
	if w.opts.DriftAt > 0 && at >= w.opts.DriftAt {
		grown = w.opts.Drift
	}
	var t *template
	id := -1
	switch u := w.rng.Float64(); {
	case u < w.opts.OneOff:
		t = w.template(1 << 20)
		t.oneOff = true
	case u < w.opts.OneOff+w.opts.Writes:
		return w.write(grown)
	default:
		x := w.rng.Float64() * w.pick[len(w.pick)-1]
		for id = 0; w.pick[id] < x; id++ {
		}
		t = w.templates[id]
	}
	a, usual := w.instance(t, grown)
	a.Template = id
	return w.finish(a, usual)
}

// finish adds scatter, hint and worth.
func (w *World) finish(a Statement, usual float64) Statement {
	truth := a.Work
	a.Work *= w.noise.Rand()
	a.MemoryMB = math.Max(2, 6*math.Pow(truth/200, 0.7)*w.noise.Rand())
	if w.rng.Float64() >= w.opts.HintMissing {
		class := "lookup"
		if usual > ReportWork {
			class = "report"
		}
		if a.Class == "load" || a.Class == "write" {
			class = a.Class
		}
		a.HintWork = usual * w.bias[class] * w.hint.Rand()
		a.HintMB = a.MemoryMB * w.hint.Rand() * 1.2
	}
	a.Value = map[string]float64{"lookup": 1, "report": 4, "load": 5, "write": 4}[a.Class]
	return a
}

// reach is how a statement reaches its rows, and what it does with them.
type reach struct {
	indexed float64 // rows found by an index
	scanned float64 // rows read in turn
	joined  float64
	sorted  float64
	grouped float64
	out     float64
}

// Unit costs in milliseconds on one core. With them lookups lie about 200 ms and reports
// about 3 s, as the brief has it.
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
