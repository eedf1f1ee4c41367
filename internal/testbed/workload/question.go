package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// coldFraction is the fraction of reading statements whose group of tables is not in the engine's memory.
const coldFraction = 0.15

// statementBuilder builds one statement from a template.
type statementBuilder struct {
	text
	generator   *Generator
	random      *rand.Rand
	template    *template
	group       int       // number of the group of tables, from 1
	table       string    // name with its schema
	from        string    // table name with its alias, if any
	alias       string    // "": none
	columns     string    // select list
	rows        float64   // number of rows of the table
	rowsPerPart float64   // number of rows of an average part
	broad       bool      // whether to draw values that make it a report, where the family has such values
	hard        string    // hard case for a classifier that it represents, or ""
	actual      rowCounts // rows read and processed with the values drawn
	usual       rowCounts // rows read and processed with the usual values of the shape
	loadWork    float64   // work of a bulk load, in ms on one core
}

// newStatementBuilder draws the properties that all families share. growth multiplies the rows of the
// table of orders.
func (g *Generator) newStatementBuilder(t *template, growth float64) *statementBuilder {
	q := &statementBuilder{text: text{style: t.style, lower: t.lower}, generator: g, random: g.rng, template: t}
	q.group = 1 + int(g.groupZipf.Uint64())
	q.rows = t.table.rows
	if t.table.name == "orders" {
		q.rows *= growth
	}
	q.rowsPerPart = q.rows / Parts
	q.broad = q.random.Float64() < g.opts.Hard
	q.table = fmt.Sprintf("stock_%d.%s", q.group, t.table.name)
	if t.aliased {
		q.alias = t.table.name[:1]
	}
	if t.oneOff {
		q.table = fmt.Sprintf("stock_%d.%s_%d", q.group, t.table.name, q.random.IntN(1<<30))
		q.alias = fmt.Sprintf("t_%d", q.random.IntN(1<<30))
	}
	q.from = q.table
	if q.alias != "" {
		q.from += " " + q.alias
	}
	columns := make([]string, len(t.cols))
	for i, name := range t.cols {
		columns[i] = q.column(name)
	}
	q.columns = strings.Join(columns, ", ")
	return q
}

// column returns a column's name as the statement refers to it.
func (q *statementBuilder) column(name string) string {
	if q.alias == "" {
		return name
	}
	return q.alias + "." + name
}

// instance builds a statement from a template with newly drawn values. usual is the work of the shape
// with the usual values, in ms on one core: the estimate of a planner that ignores the values.
func (g *Generator) instance(t *template, growth float64) (s Statement, usual float64) {
	q := g.newStatementBuilder(t, growth)
	buildFamily[t.family](q)
	s.SQL = q.b.String()
	s.Values = q.values
	s.Formats = q.formats
	s.Types = q.types
	if t.family == batch {
		s.Class = "load"
		s.Key = 1
		s.Work = q.loadWork
		return s, loadBaseWork + loadRowWork*usualLoadRows
	}
	s.Work = q.actual.work()
	if g.rng.Float64() < coldFraction {
		s.Work *= coldFactor
	}
	if s.Work < ReportWork { // even broad values may reach few rows of a small table
		s.Class = "lookup"
		return s, q.usual.work()
	}
	s.Class = "report"
	s.Hard = q.hard
	return s, q.usual.work()
}
