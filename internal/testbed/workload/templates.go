package workload

import (
	"fmt"
	"math"
)

// family is a kind of statement that programs send.
type family int

const (
	byPart family = iota
	byPartWholesaler
	partList
	dayRange
	search
	districts
	latest
	optional
	months
	topParts
	ranking
	everything
	batch
	families
)

// template is a statement as one program writes it.
type template struct {
	family  family
	table   *table
	cols    []string
	style   style
	weight  float64
	lower   bool // key words in lower case
	oneOff  bool
	aliased bool
}

// template draws a template. Those with a low number are more frequent.
func (w *World) template(i int) *template {
	r := w.rng
	var f family
	switch u := r.Float64(); {
	case u < 0.72:
		f = family(r.IntN(int(months)))
	case u < 0.92:
		f = months + family(r.IntN(int(batch-months)))
	default:
		f = batch
	}
	t := &template{family: f, style: style(r.IntN(int(styles))), lower: r.IntN(2) == 0, aliased: r.IntN(3) == 0}
	t.table = &tables[r.IntN(len(tables))]
	switch f {
	case districts, months, topParts, ranking, everything:
		t.table = &tables[[]int{2, 3}[r.IntN(2)]] // where there are enough rows and a district
	case dayRange, latest, search, optional:
		t.table = &tables[2+r.IntN(3)]
	case byPartWholesaler:
		t.table = &tables[[]int{1, 2, 4}[r.IntN(3)]]
	}
	n := 1 + r.IntN(len(t.table.cols))
	for _, j := range r.Perm(len(t.table.cols))[:n] {
		t.cols = append(t.cols, t.table.cols[j])
	}
	t.weight = 1 / math.Pow(float64(i+1), 0.6)
	switch f { // shares of the brief: lookups 81 %, reports 14 %, loads 5 %
	case months, topParts, ranking, everything:
		t.weight *= 0.7
	case batch:
		t.weight *= 0.65
	}
	return t
}

// part draws a part, and returns by how much its rows exceed those of an average one.
func (w *World) part() (name string, rowFactor float64) {
	n := int(w.partZipf.Uint64())
	rowFactor = 1
	if n < 12 { // the parts that every shop sells have by far the most rows
		rowFactor = 30
	}
	return fmt.Sprintf("p-%05d", n), rowFactor
}
