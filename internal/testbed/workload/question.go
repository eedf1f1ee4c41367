package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// coldFraction is the fraction of statements whose group is not in the engine's memory.
const coldFraction = 0.15

// question is a statement being made from a template.
type question struct {
	text
	world       *World
	random      *rand.Rand
	template    *template
	group       int
	table       string // with its schema
	from        string // the table, with its alias
	alias       string
	columns     string // a list
	rows        float64
	rowsPerPart float64
	broad       bool   // whether its values make it a report, where the family has such values
	hard        string // the hard case that it is, or ""
	actual      reach
	usual       reach   // with the values that are usual for the shape
	loadWork    float64 // of a bulk load, ms on one core
}

// newQuestion draws what all families have in common.
func (w *World) newQuestion(t *template, growth float64) *question {
	q := &question{text: text{style: t.style, lower: t.lower}, world: w, random: w.rng, template: t}
	q.group = 1 + int(w.groupZipf.Uint64())
	q.rows = t.table.rows
	if t.table.name == "orders" {
		q.rows *= growth
	}
	q.rowsPerPart = q.rows / Parts
	q.broad = q.random.Float64() < w.opts.Hard
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
func (q *question) column(name string) string {
	if q.alias == "" {
		return name
	}
	return q.alias + "." + name
}

// instance makes a statement from a template, with values of its own. usual is what the shape
// costs with the usual values: what a planner that ignores the values would say.
func (w *World) instance(t *template, growth float64) (s Statement, usual float64) {
	q := w.newQuestion(t, growth)
	writeFamily[t.family](q)
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
	if w.rng.Float64() < coldFraction {
		s.Work *= coldTimes
	}
	if s.Work < ReportWork { // even broad values may reach few rows of a small table
		s.Class = "lookup"
		return s, q.usual.work()
	}
	s.Class = "report"
	s.Hard = q.hard
	return s, q.usual.work()
}
