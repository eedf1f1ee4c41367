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
	// explainCacheBytes bounds the cache that a snapshot is loaded into.
	explainCacheBytes = 64 << 20
	// maxTokensLength bounds the printed list of tokens, in bytes.
	maxTokensLength = 2000
)

type explainCommand struct {
	SQL      string    `arg:"" help:"SQL statement." name:"sql"`
	Bind     []string  `sep:"none" placeholder:"VALUE" help:"Value of a parameter, as text; NULL stands for a null value. Repeat the flag for each parameter, in order." name:"bind"`
	Snapshot string    `placeholder:"FILE" help:"Snapshot of observed shapes. Without it, the estimate uses the statement text alone." name:"snapshot"`
	Hint     float64   `placeholder:"MS" help:"Work estimated by the client." name:"hint"`
	Known    int       `default:"-1" help:"Index of the statement's class, from 0, if it is already known; -1 means unknown." name:"known"`
	Bounds   []float64 `default:"800" help:"Upper bounds of the work of read-only statements by class, in ms. One more class has no bound." name:"bounds"`
	Readers  []string  `help:"Additional read-only functions, besides PostgreSQL's built-in ones." name:"readers"`
}

// Run prints how a gateway would parse, classify and cost the statement.
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
	fmt.Fprintf(w, "effect\t%v (%v)\n", statement.Effect.Effect, statement.Effect)
	fmt.Fprintf(w, "features\t%+v\n", statement.Features)
	binds := c.binds()
	profile := statement.Profile(c.SQL, &binds, 0)
	fmt.Fprintf(w, "profile\t%s\n", describeProfile(&profile))
	estimate := cache.Estimate(cache.Read(c.SQL), &binds, c.Known, queryshape.Hint{Work: c.Hint}).Estimate
	if estimate.Known {
		fmt.Fprintf(w, "estimate\t%.4g ms, 90th percentile %.4g ms\n", estimate.Work, estimate.Work*estimate.P90Factor)
	}
	if estimate.Known && estimate.MemoryMB > 0 {
		fmt.Fprintf(w, "memory\t%.3g MB\n", estimate.MemoryMB)
	}
	if estimate.Known && statement.Effect.Effect == sqltext.Reads && estimate.Class >= 0 {
		fmt.Fprintf(w, "class\t%s\n", model.Classes[estimate.Class].Name)
	}
	fmt.Fprintf(w, "reason\t%s\n", estimate.Explain())
	return w.Flush()
}

// model returns a cost model with one class for each bound and one above the last bound.
func (c *explainCommand) model() costmodel.Config {
	var model costmodel.Config
	for i, bound := range c.Bounds {
		model.Classes = append(model.Classes, costmodel.Class{Name: fmt.Sprintf("class %d", i), MaxWorkMS: bound})
	}
	last := fmt.Sprintf("class %d", len(c.Bounds))
	model.Classes = append(model.Classes, costmodel.Class{Name: last})
	return model
}

// cache returns an estimator that holds the snapshot, or an empty one if no snapshot is given.
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

// binds returns the parameter values given on the command line.
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

// tokens lists the tokens of a statement, cut off after maxTokensLength bytes.
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

// describeProfile describes what the values of a statement say about the amount of data it reads or writes.
func describeProfile(p *sqltext.Profile) string {
	var parts []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(p.Alternatives > 0, "%d alternatives", p.Alternatives)
	add(p.Span > 0, "range of %.4g", p.Span)
	add(p.HalfOpen, "one-sided range")
	add(p.Pattern == sqltext.PrefixPattern, "pattern with a fixed prefix")
	add(p.Pattern == sqltext.LeadingWildcard, "pattern with a leading wildcard")
	add(p.Limit > 0, "at most %.0f rows", p.Limit)
	add(p.DisabledRestrictions > 0, "restrictions disabled by NULL: %d", p.DisabledRestrictions)
	add(p.Rows > 0, "%d rows to write", p.Rows)
	add(p.Unrestricted, "unrestricted read")
	if len(parts) == 0 {
		return "nothing notable"
	}
	return strings.Join(parts, ", ")
}
