package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	decide "gannetspur/internal/decide/costmodel"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
)

type shapesCommand struct {
	Explain explainCommand `cmd:"" help:"Show how a statement is read, classed and costed, and why."`
	Top     topCommand     `cmd:"" help:"List the shapes of a snapshot that take the most work."`
	Diff    diffCommand    `cmd:"" help:"List the shapes whose cost differs most between two snapshots."`
}

type explainCommand struct {
	SQL      string    `arg:"" help:"The statement."`
	Bind     []string  `sep:"none" placeholder:"VALUE" help:"A bound value as text, in order; NULL is null. May be given again."`
	Snapshot string    `placeholder:"FILE" help:"What is known; without it, only what the text shows."`
	Hint     float64   `placeholder:"MS" help:"The client's estimate of the work."`
	Known    int       `default:"-1" help:"Place of the class that is known already, from 0; -1: none."`
	Bounds   []float64 `default:"800" help:"Where one class of reading statements ends and the next begins, in ms."`
	Readers  []string  `help:"Functions that only read, beside PostgreSQL's own."`
}

// Run prints what a gateway would make of the statement.
func (c *explainCommand) Run() error {
	cfg := decide.Config{}
	for i, bound := range c.Bounds {
		cfg.Classes = append(cfg.Classes, decide.Class{Name: fmt.Sprintf("class %d", i), MaxWorkMS: bound})
	}
	cfg.Classes = append(cfg.Classes, decide.Class{Name: fmt.Sprintf("class %d", len(c.Bounds))})
	opts := queryshape.Options{Model: cfg, Bytes: 64 << 20}
	book, err := queryshape.New(opts)
	if err == nil && c.Snapshot != "" {
		var snap *queryshape.Snapshot
		if snap, err = queryshape.ReadSnapshot(c.Snapshot); err == nil {
			book, err = queryshape.Restore(opts, snap)
		}
	}
	if err != nil {
		return err
	}
	var binds sqltext.Binds
	for _, v := range c.Bind {
		if v == "NULL" {
			binds.Values = append(binds.Values, nil)
		} else {
			binds.Values = append(binds.Values, []byte(v))
		}
	}
	readers := sqltext.Functions{}
	for _, name := range c.Readers {
		readers[name] = true
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	reader := sqltext.NewReader()
	reader.Judge, reader.Functions = true, readers
	r := reader.Read(c.SQL)
	fmt.Fprintf(w, "tokens\t%s\n", tokens(c.SQL))
	fmt.Fprintf(w, "shape\t%s\n", r.Norm)
	if r.Grouped {
		fmt.Fprintf(w, "group\t%d\n", r.Group)
	}
	fmt.Fprintf(w, "may do\t%v (%v)\n", r.Effect.Effect, r.Effect)
	fmt.Fprintf(w, "features\t%+v\n", r.Features)
	p := r.Profile(c.SQL, &binds, 0)
	fmt.Fprintf(w, "profile\t%s\n", profile(&p))
	s := book.Read(c.SQL)
	x := book.Estimate(s, &binds, c.Known, queryshape.Hint{Work: c.Hint})
	e := x.Estimate
	if e.Known {
		fmt.Fprintf(w, "expected\t%.4g ms, nine tenths under %.4g ms\n", e.Work, e.Work*e.P90Factor)
		if e.MemoryMB > 0 {
			fmt.Fprintf(w, "memory\t%.3g MB\n", e.MemoryMB)
		}
		if r.Effect.Effect == sqltext.Reads && e.Class >= 0 {
			fmt.Fprintf(w, "class\t%s\n", cfg.Classes[e.Class].Name)
		}
	}
	fmt.Fprintf(w, "why\t%s\n", e.Explain())
	return w.Flush()
}

func tokens(text string) string {
	l := sqltext.Lexer{Src: text}
	var b strings.Builder
	for t := l.Next(); t.Kind != sqltext.End; t = l.Next() {
		if b.Len() > 0 {
			b.WriteString(" · ")
		}
		if b.Len() > 2000 {
			b.WriteString("…")
			break
		}
		b.WriteString(strings.Join(strings.Fields(l.Text(t)), " "))
	}
	return b.String()
}

func profile(p *sqltext.Profile) string {
	var parts []string
	add := func(ok bool, format string, args ...any) {
		if ok {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(p.Alternatives > 0, "%d alternatives", p.Alternatives)
	add(p.Span > 0, "a range of %.4g", p.Span)
	add(p.HalfOpen, "a range with one end")
	add(p.Wild == sqltext.Prefix, "a pattern with a fixed beginning")
	add(p.Wild == sqltext.Leading, "a pattern with a wildcard in front")
	add(p.Limit > 0, "at most %.0f rows", p.Limit)
	add(p.Off > 0, "%d restrictions switched off by null", p.Off)
	add(p.Rows > 0, "%d rows to write", p.Rows)
	add(p.Open, "nothing narrows what is read")
	if len(parts) == 0 {
		return "nothing of note"
	}
	return strings.Join(parts, ", ")
}

type topCommand struct {
	Snapshot string `arg:"" help:"The file."`
	Most     int    `default:"20" help:"How many."`
}

// Run lists shapes by the work that all their executions took together.
func (c *topCommand) Run() error {
	snap, err := queryshape.ReadSnapshot(c.Snapshot)
	if err != nil {
		return err
	}
	all := func(s *queryshape.SavedShape) float64 { return float64(s.Record.Executions) * cost(s) }
	slices.SortStableFunc(snap.Shapes, func(a, b queryshape.SavedShape) int { return compare(all(&b), all(&a)) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seen\twork ms\tprofiles\tshape\n")
	for i := range snap.Shapes[:min(c.Most, len(snap.Shapes))] {
		s := &snap.Shapes[i]
		n := 0
		for _, b := range s.Record.Buckets {
			if b.Work.Samples > 0 {
				n++
			}
		}
		fmt.Fprintf(w, "%d\t%.4g\t%d\t%s\n", s.Record.Executions, cost(s), n, short(s.NormalForm))
	}
	fmt.Fprintf(w, "\n%d shapes\t\t\t%d more were too long to keep\n", len(snap.Shapes), snap.TruncatedShapes)
	return w.Flush()
}

func cost(s *queryshape.SavedShape) float64 {
	if s.Record.Work.Samples == 0 {
		return 0
	}
	return math.Exp2(float64(s.Record.Work.Center))
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func short(s string) string {
	if len(s) > 160 {
		return s[:157] + "..."
	}
	return s
}

type diffCommand struct {
	Old  string  `arg:"" help:"The older file."`
	New  string  `arg:"" help:"The newer file."`
	Most int     `default:"20" help:"How many."`
	Over float64 `default:"1.5" help:"The least factor between the two that is told."`
}

// Run lists what has changed, what has come and what has gone.
func (c *diffCommand) Run() error {
	old, err := queryshape.ReadSnapshot(c.Old)
	if err != nil {
		return err
	}
	now, err := queryshape.ReadSnapshot(c.New)
	if err != nil {
		return err
	}
	before := map[string]*queryshape.SavedShape{}
	for i := range old.Shapes {
		before[old.Shapes[i].NormalForm] = &old.Shapes[i]
	}
	type change struct {
		s        *queryshape.SavedShape
		was, is_ float64
	}
	var changes []change
	come := 0
	for i := range now.Shapes {
		s := &now.Shapes[i]
		b := before[s.NormalForm]
		if b == nil {
			come++
			continue
		}
		delete(before, s.NormalForm)
		if was, is := cost(b), cost(s); was > 0 && is > 0 && math.Abs(math.Log(is/was)) >= math.Log(max(c.Over, 1)) {
			changes = append(changes, change{s, was, is})
		}
	}
	far := func(x change) float64 { return math.Abs(math.Log(x.is_ / x.was)) }
	slices.SortStableFunc(changes, func(a, b change) int { return compare(far(b), far(a)) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "was ms\tis ms\tfactor\tshape\n")
	for _, x := range changes[:min(c.Most, len(changes))] {
		fmt.Fprintf(w, "%.4g\t%.4g\t%s\t%s\n", x.was, x.is_, strconv.FormatFloat(x.is_/x.was, 'g', 3, 64), short(x.s.NormalForm))
	}
	fmt.Fprintf(w, "\n%d changed\t%d came\t%d went\t\n", len(changes), come, len(before))
	return w.Flush()
}
