package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gannetspur/internal/testbed/traffic"
	"gannetspur/internal/testbed/workload"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// trafficCommand groups the commands for recorded traffic.
type trafficCommand struct {
	Generate generateCommand `cmd:"" help:"Generate a traffic file from a seed, with statements of the register of parts and wholesalers." name:"generate"`
	Show     showCommand     `cmd:"" help:"Print records of a traffic file." name:"show"`
	Stats    statsCommand    `cmd:"" help:"Summarise a traffic file." name:"stats"`
}

// workloadFlags are the flags that configure the workload model.
type workloadFlags struct {
	Seed        uint64  `default:"1" help:"Random seed of the generated traffic."`
	Number      int     `default:"20000" help:"Number of statements."`
	Templates   int     `default:"200" help:"Number of shapes that recur."`
	OneOff      float64 `default:"0.05" help:"Share of statements whose shape occurs only once, 0 to 1."`
	Hard        float64 `default:"0.04" help:"Share of lookups whose parameter values make them as expensive as broad reports, 0 to 1."`
	Writes      float64 `default:"0.02" help:"Share of statements that write but are not loads, 0 to 1."`
	DriftAt     float64 `default:"0.6" help:"Point at which the table of orders has grown, as a share of the statements; 0: never."`
	Drift       float64 `default:"3" help:"Factor by which the table of orders grows."`
	HintNoise   float64 `default:"0.7" help:"Standard deviation of the natural logarithm of the error in clients' estimates."`
	HintMissing float64 `default:"0.15" help:"Share of statements without a client's estimate, 0 to 1."`
}

func (w workloadFlags) options() workload.Options {
	return workload.Options{
		Seed: w.Seed, Templates: w.Templates, OneOff: w.OneOff, Hard: w.Hard, Writes: w.Writes,
		DriftAt: w.DriftAt, Drift: w.Drift, HintNoise: w.HintNoise, HintMissing: w.HintMissing,
	}
}

// generateCommand writes a file of generated traffic.
type generateCommand struct {
	workloadFlags
	File     string  `arg:"" help:"Traffic file to write." name:"file"`
	Rate     float64 `default:"99" help:"Average statements per second." name:"rate"`
	Arrivals string  `name:"comes" enum:"poisson,bursts,season" default:"season" help:"Arrival pattern: ${enum}."`
}

func (c *generateCommand) Run() (err error) {
	f, err := os.Create(c.File)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	bars := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(40))
	bar := bars.AddBar(int64(c.Number), mpb.PrependDecorators(decor.Name("statements ")), mpb.AppendDecorators(decor.CountersNoUnit("%d of %d")))
	err = traffic.Generate(w, c.options(), c.Number, c.Rate, traffic.Arrivals(c.Arrivals), func(n int) { bar.IncrBy(n) })
	bar.SetCurrent(int64(c.Number))
	bars.Wait()
	if e := w.Flush(); err == nil {
		err = e
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		fmt.Printf("wrote %d statements, generated with seed %d, to %s\n", c.Number, c.Seed, c.File)
	}
	return err
}

// records passes the records of a file to the function each, until that returns false. A truncated file is read
// up to its last complete record, and the error reports the truncation.
func records(path string, each func(*traffic.Record) bool) (traffic.Head, error) {
	f, err := os.Open(path)
	if err != nil {
		return traffic.Head{}, err
	}
	defer func() { _ = f.Close() }()
	t, err := traffic.NewReader(bufio.NewReader(f))
	if err != nil {
		return traffic.Head{}, fmt.Errorf("%s: %w", path, err)
	}
	defer t.Close()
	for {
		var r traffic.Record
		switch err := t.Next(&r); {
		case errors.Is(err, io.EOF):
			return t.Head, nil
		case err != nil:
			return t.Head, fmt.Errorf("%s: %w", path, err)
		}
		if !each(&r) {
			return t.Head, nil
		}
	}
}

// showCommand prints records of a traffic file.
type showCommand struct {
	File string `arg:"" help:"Traffic file to read." name:"file"`
	From int    `default:"0" help:"Number of the first record to print, counted from 0." name:"from"`
	Max  int    `name:"most" default:"20" help:"Maximum number of records to print."`
	Hard bool   `help:"Print only hard cases: statements whose parameter values make them much more expensive than others of their kind." name:"hard"`
}

func (c *showCommand) Run() error {
	n, shown := 0, 0
	_, err := records(c.File, func(r *traffic.Record) bool {
		if n++; n > c.From && (!c.Hard || r.Hard != "") {
			text := r.Statement
			if len(text) > 200 {
				text = text[:197] + "..."
			}
			fmt.Printf("%10.3fs %-7s %6.0f ms %5.0f MB  hint %6.0f  %s", float64(r.At)/1e6, r.Class, r.Work, r.MemoryMB, r.HintWork, text)
			if len(r.Values) > 0 {
				fmt.Printf("  [%d bound]", len(r.Values))
			}
			if r.Hard != "" {
				fmt.Printf("  (%s)", r.Hard)
			}
			fmt.Println()
			shown++
		}
		return shown < c.Max
	})
	return err
}

// statsCommand summarises a traffic file.
type statsCommand struct {
	File string `arg:"" help:"Traffic file to read." name:"file"`
}

func (c *statsCommand) Run() error {
	type sum struct {
		n, value float64
		work     *hdrhistogram.Histogram // microseconds
		hard     int
	}
	classes := map[string]*sum{}
	hard := map[string]int{}
	shapes := map[int]bool{}
	total, oneOff, bytes, last := 0, 0, 0, int64(0)
	head, err := records(c.File, func(r *traffic.Record) bool {
		s := classes[r.Class]
		if s == nil {
			s = &sum{work: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
			classes[r.Class] = s
		}
		s.n++
		s.value += r.Value
		_ = s.work.RecordValue(max(int64(r.Work*1000), 1)) // values above an hour exceed the histogram's range and are left out
		if r.Hard != "" {
			s.hard++
			hard[r.Hard]++
		}
		if r.Template >= 0 {
			shapes[r.Template] = true
		} else if r.Template == -1 {
			oneOff++
		}
		total++
		bytes += len(r.Statement)
		last = r.At
		return true
	})
	fmt.Printf("seed %d, %s arrivals, %d statements in %s; %d shapes recur, %d occur once; %d bytes per statement on average\n%s\n\n",
		head.Seed, head.Arrivals, total, time.Duration(last)*time.Microsecond, len(shapes), oneOff, bytes/max(total, 1), head.Model)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "class\tshare\ttotal value\twork p50 (ms)\twork p90 (ms)\twork p99 (ms)\thard cases\n")
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := classes[name]
		ms := func(q float64) float64 { return float64(s.work.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%s\t%.1f %%\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", name, 100*s.n/float64(total), s.value, ms(50), ms(90), ms(99), s.hard)
	}
	_ = w.Flush() // an error on standard output has nowhere to be reported
	cases := make([]string, 0, len(hard))
	for name, n := range hard {
		cases = append(cases, fmt.Sprintf("%s (%d)", name, n))
	}
	slices.Sort(cases)
	if len(cases) > 0 {
		fmt.Printf("\nhard cases (count): %s\n", strings.Join(cases, ", "))
	}
	return err
}
