package workload

import (
	"fmt"
	"math"
)

// family is a kind of statement that programs send; a method of the same name writes it.
type family int

// Families. The template method relies on their order: first lookups, which broad values may turn into
// reports, from months on reports, and at last bulk loads. families is the number of families.
const (
	byPart family = iota
	byPartWholesaler
	partList
	dayRange
	search
	districts
	latest
	optionalFilter
	months
	topParts
	ranking
	distinctRows
	batch
	families
)

// template is the form of a statement as one program writes it.
type template struct {
	family  family
	table   *table
	cols    []string // selected columns
	style   style
	weight  float64 // relative frequency
	lower   bool    // keywords in lower case
	oneOff  bool    // whether the shape never recurs: table name and alias are random
	aliased bool    // whether the table has an alias
}

// template draws template number i. Templates with a low number are more frequent.
func (g *Generator) template(i int) *template {
	r := g.rng
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
	case districts, months, topParts, ranking, distinctRows:
		t.table = &tables[[]int{2, 3}[r.IntN(2)]] // tables with enough rows and a district
	case dayRange, latest, search, optionalFilter:
		t.table = &tables[2+r.IntN(3)]
	case byPartWholesaler:
		t.table = &tables[[]int{1, 2, 4}[r.IntN(3)]]
	}
	n := 1 + r.IntN(len(t.table.cols))
	for _, j := range r.Perm(len(t.table.cols))[:n] {
		t.cols = append(t.cols, t.table.cols[j])
	}
	t.weight = 1 / math.Pow(float64(i+1), 0.6)
	switch f { // adjusts the weights to the specified shares: lookups 81 %, reports 14 %, loads 5 %
	case months, topParts, ranking, distinctRows:
		t.weight *= 0.7
	case batch:
		t.weight *= 0.65
	}
	return t
}

// part draws a part. rowFactor is its number of rows relative to that of an average part.
func (g *Generator) part() (name string, rowFactor float64) {
	n := int(g.partZipf.Uint64())
	rowFactor = 1
	if n < 12 { // the parts that every shop sells have by far the most rows
		rowFactor = 30
	}
	return fmt.Sprintf("p-%05d", n), rowFactor
}
