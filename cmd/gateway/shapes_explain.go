package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"gannetspur/internal/decide/costmodel"
	"gannetspur/internal/queryshape"
	"gannetspur/internal/sqltext"
)

const (
	// explainCacheBytes bounds the cache that a snapshot is read into.
	explainCacheBytes = 64 << 20
	maxTokensLength   = 2000
)

type explainCommand struct {
	SQL      string    `arg:"" help:"The statement." name:"sql"`
	Bind     []string  `sep:"none" placeholder:"VALUE" help:"A bound value as text, in order; NULL is null. May be given again." name:"bind"`
	Snapshot string    `placeholder:"FILE" help:"What is known; without it, only what the text shows." name:"snapshot"`
	Hint     float64   `placeholder:"MS" help:"The client's estimate of the work." name:"hint"`
	Known    int       `default:"-1" help:"Place of the class that is known already, from 0; -1: none." name:"known"`
	Bounds   []float64 `default:"800" help:"Where one class of reading statements ends and the next begins, in ms." name:"bounds"`
	Readers  []string  `help:"Functions that only read, beside PostgreSQL's own." name:"readers"`
}

// Run prints what a gateway would make of the statement.
func (c *explainCommand) Run() error {
	model := c.model()
	cache, err := c.cache(model)
	if err != nil {
		return err
	}
	reader := sqltext.NewReader()
	reader.ClassifyEffect = true
	reader.ReadOnlyFunctions = sqltext.FunctionSet{}
	for _, name := range c.Readers {
		reader.ReadOnlyFunctions[name] = true
	}
	statement := reader.Read(c.SQL)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "tokens\t%s\n", tokens(c.SQL))
	fmt.Fprintf(w, "shape\t%s\n", statement.NormalForm)
	if statement.HasTableGroup {
		fmt.Fprintf(w, "group\t%d\n", statement.TableGroup)
	}
	fmt.Fprintf(w, "may do\t%v (%v)\n", statement.Effect.Effect, statement.Effect)
	fmt.Fprintf(w, "features\t%+v\n", statement.Features)
	binds := c.binds()
	profile := statement.Profile(c.SQL, &binds, 0)
	fmt.Fprintf(w, "profile\t%s\n", describe(&profile))
	estimate := cache.Estimate(cache.Read(c.SQL), &binds, c.Known, queryshape.Hint{Work: c.Hint}).Estimate
	if estimate.Known {
		fmt.Fprintf(w, "expected\t%.4g ms, nine tenths under %.4g ms\n", estimate.Work, estimate.Work*estimate.P90Factor)
	}
	if estimate.Known && estimate.MemoryMB > 0 {
		fmt.Fprintf(w, "memory\t%.3g MB\n", estimate.MemoryMB)
	}
	if estimate.Known && statement.Effect.Effect == sqltext.Reads && estimate.Class >= 0 {
		fmt.Fprintf(w, "class\t%s\n", model.Classes[estimate.Class].Name)
	}
	fmt.Fprintf(w, "why\t%s\n", estimate.Explain())
	return w.Flush()
}

// model has a class for each bound and one above the last.
func (c *explainCommand) model() costmodel.Config {
	var model costmodel.Config
	for i, bound := range c.Bounds {
		model.Classes = append(model.Classes, costmodel.Class{Name: fmt.Sprintf("class %d", i), MaxWorkMS: bound})
	}
	last := fmt.Sprintf("class %d", len(c.Bounds))
	model.Classes = append(model.Classes, costmodel.Class{Name: last})
	return model
}

// cache holds the snapshot, or nothing.
func (c *explainCommand) cache(model costmodel.Config) (*queryshape.Estimator, error) {
	options := queryshape.Options{Model: model, Bytes: explainCacheBytes}
	if c.Snapshot == "" {
		return queryshape.New(options)
	}
	snapshot, err := queryshape.ReadSnapshot(c.Snapshot)
	if err != nil {
		return nil, err
	}
	return queryshape.Restore(options, snapshot)
}

func (c *explainCommand) binds() sqltext.Binds {
	var binds sqltext.Binds
	for _, value := range c.Bind {
		if value == "NULL" {
			binds.Values = append(binds.Values, nil)
			continue
		}
		binds.Values = append(binds.Values, []byte(value))
	}
	return binds
}

// tokens lists the tokens of a statement.
func tokens(text string) string {
	lexer := sqltext.Lexer{Src: text}
	var b strings.Builder
	for t := lexer.Next(); t.Kind != sqltext.End; t = lexer.Next() {
		if b.Len() > 0 {
			b.WriteString(" · ")
		}
		if b.Len() > maxTokensLength {
			b.WriteString("…")
			break
		}
		b.WriteString(strings.Join(strings.Fields(lexer.Text(t)), " "))
	}
	return b.String()
}

// describe words what the values of a statement say of its size.
func describe(p *sqltext.Profile) string {
	var parts []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(p.Alternatives > 0, "%d alternatives", p.Alternatives)
	add(p.Span > 0, "a range of %.4g", p.Span)
	add(p.HalfOpen, "a range with one end")
	add(p.Pattern == sqltext.PrefixPattern, "a pattern with a fixed beginning")
	add(p.Pattern == sqltext.LeadingWildcard, "a pattern with a wildcard in front")
	add(p.Limit > 0, "at most %.0f rows", p.Limit)
	add(p.DisabledRestrictions > 0, "%d restrictions switched off by null", p.DisabledRestrictions)
	add(p.Rows > 0, "%d rows to write", p.Rows)
	add(p.Unrestricted, "nothing narrows what is read")
	if len(parts) == 0 {
		return "nothing of note"
	}
	return strings.Join(parts, ", ")
}
