package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/shapes"
	"gannetspur/internal/testbed/traffic"
	"gannetspur/internal/testbed/workload"

	"gonum.org/v1/gonum/stat"
)

// shapesCommand groups the measurements of the statement classifier.
type shapesCommand struct {
	Evaluate evaluateCommand `cmd:"" help:"Measure the accuracy of classes and estimates on recorded traffic, with each component switched off in turn." name:"evaluate"`
	Flood    floodCommand    `cmd:"" help:"Measure the cache's hit rate and memory under a flood of shapes that occur once, while others recur." name:"flood"`
	Cost     costCommand     `cmd:"" help:"Measure the CPU time that reading shapes adds to a request through the PostgreSQL front end." name:"cost"`
}

// evaluateCommand measures the accuracy of learned classes and estimates.
type evaluateCommand struct {
	Files  []string `arg:"" optional:"" name:"file" help:"Traffic files, as written by testbed traffic generate; if omitted, traffic is generated from the seeds."`
	Seeds  []uint64 `default:"1,2,3,4,5" help:"Seeds of generated traffic." name:"seeds"`
	Number int      `default:"20000" help:"Generated statements per seed." name:"number"`
	Train  float64  `default:"0.5" help:"Share of the records, from the start, that is used for learning but not evaluated, 0 to 1; learning continues after it." name:"train"`
	Kbytes int      `default:"2048" help:"Memory limit of the cache, in KiB." name:"kbytes"`
	Out    string   `placeholder:"FOLDER" help:"Write table, figures and chart to this folder, as shapes-evaluate.*." name:"out"`
}

// spread formats the median, minimum and maximum of a figure over the results of one variant.
func spread(results []shapes.Result, of func(shapes.Result) float64) string {
	x := make([]float64, len(results))
	for i, r := range results {
		x[i] = of(r)
	}
	slices.Sort(x)
	return fmt.Sprintf("%.3f (%.3f to %.3f)", stat.Quantile(0.5, stat.Empirical, x, nil), x[0], x[len(x)-1])
}

// Run evaluates every variant of the classifier on every file or seed.
func (c *evaluateCommand) Run() error {
	var traces [][]traffic.Record
	var seeds []uint64
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		all, head, err := shapes.Records(bufio.NewReader(f))
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		traces, seeds = append(traces, all), append(seeds, head.Seed)
	}
	if len(c.Files) == 0 {
		for _, seed := range c.Seeds {
			traces, seeds = append(traces, shapes.Generated(workload.Defaults(seed), c.Number)), append(seeds, seed)
		}
	}
	t := report.Table{Columns: []string{"variant", "correct class (share of statements), median (min to max)", "correct class (share of value)", "correct class (share of hard cases)", "writes taken as reads", "median absolute error (log2 of estimate / actual)", "p90 absolute error (log2)"}}
	raw := report.Table{Columns: []string{"variant", "seed", "judged", "by_count", "by_worth", "hard", "hard_judged", "writes_safe", "writes_seen", "reads_denied",
		"median", "p90", "hint_median", "hint_p90", "mean_median", "mean_p90", "hint_class", "shapes", "bytes", "hit_rate"}}
	chart := report.Bars{Title: "Correctly classified statements, median of the seeds", Axis: "share", Series: []string{"by count", "by value", "hard cases"}, Values: make([][]float64, 3)}
	var first []shapes.Result
	for _, v := range shapes.Variants() {
		var results []shapes.Result
		for i, w := range traces {
			r, err := shapes.Evaluate(w, v, shapes.Options{Train: c.Train, Bytes: c.Kbytes << 10})
			if err != nil {
				return err
			}
			results = append(results, r)
			raw.Add(v.Name, seeds[i], r.Judged, fmt.Sprintf("%.5f", r.ByCount), fmt.Sprintf("%.5f", r.ByWorth), fmt.Sprintf("%.5f", r.Hard), r.HardJudged, r.WritesSafe, r.WritesSeen,
				r.ReadsDenied, r.Median, r.P90, r.HintMedian, r.HintP90, r.MeanMedian, r.MeanP90, fmt.Sprintf("%.5f", r.HintClass), r.Shapes, r.Bytes, r.HitRate)
		}
		if first == nil {
			first = results
		}
		safe, seen := 0, 0
		for _, r := range results {
			safe, seen = safe+r.WritesSafe, seen+r.WritesSeen
		}
		figures := []func(shapes.Result) float64{
			func(r shapes.Result) float64 { return r.ByCount }, func(r shapes.Result) float64 { return r.ByWorth }, func(r shapes.Result) float64 { return r.Hard },
		}
		t.Add(v.Name, spread(results, figures[0]), spread(results, figures[1]), spread(results, figures[2]), fmt.Sprintf("%d of %d", safe, seen),
			spread(results, func(r shapes.Result) float64 { return r.Median }), spread(results, func(r shapes.Result) float64 { return r.P90 }))
		chart.Groups = append(chart.Groups, v.Name)
		for i, f := range figures {
			x := make([]float64, len(results))
			for j, r := range results {
				x[j] = f(r)
			}
			slices.Sort(x)
			chart.Values[i] = append(chart.Values[i], stat.Quantile(0.5, stat.Empirical, x, nil))
		}
	}
	t.Add("the client's hint", spread(first, func(r shapes.Result) float64 { return r.HintClass }), "", "", "",
		spread(first, func(r shapes.Result) float64 { return r.HintMedian }), spread(first, func(r shapes.Result) float64 { return r.HintP90 }))
	t.Add("mean of the true class", "", "", "", "",
		spread(first, func(r shapes.Result) float64 { return r.MeanMedian }), spread(first, func(r shapes.Result) float64 { return r.MeanP90 }))
	return keep(c.Out, "shapes-evaluate", &t, &raw, chart.SVG)
}

// keep prints a table, and writes it with its raw figures and its chart to dir unless dir is "".
func keep(dir, name string, t, raw *report.Table, svg func() ([]byte, error)) error {
	md, err := t.Markdown()
	if err != nil {
		return err
	}
	fmt.Print(md)
	if dir == "" {
		return nil
	}
	csv, err := raw.CSV()
	if err != nil {
		return err
	}
	chart, err := svg()
	if err != nil {
		return err
	}
	err = report.Write(dir, map[string][]byte{name + ".md": []byte(md), name + ".csv": []byte(csv), name + ".svg": chart})
	if err == nil {
		fmt.Println("results written to", filepath.Join(dir, name)+".*")
	}
	return err
}

// floodCommand measures the shape cache, and other cache policies, under a flood of shapes that occur once.
type floodCommand struct {
	Seeds     []uint64 `default:"1,2,3,4,5" help:"Random seeds; one run for each." name:"seeds"`
	Recurring int      `default:"200" help:"Number of shapes that recur." name:"recurring"`
	OneOff    int      `default:"1000000" help:"Number of shapes that occur once." name:"one-off"`
	Share     float64  `default:"0.2" help:"Share of statements that have a recurring shape, 0 to 1." name:"share"`
	Kbytes    int      `default:"1024" help:"Memory limit of the cache, in KiB." name:"kbytes"`
	Out       string   `placeholder:"FOLDER" help:"Write table, figures and chart to this folder, as shapes-flood.*." name:"out"`
}

// Run measures each cache policy with each seed.
func (c *floodCommand) Run() error {
	t := report.Table{Columns: []string{"cache", "hit rate of recurring shapes, median (min to max)", "shapes held", "memory counted by the cache", "heap growth", "resident memory of the process"}}
	raw := report.Table{Columns: []string{"cache", "seed", "asked", "hits", "held", "counted", "heap", "rss"}}
	chart := report.Bars{Title: fmt.Sprintf("Hit rate of recurring shapes among %d shapes that occur once", c.OneOff), Axis: "share", Series: []string{"hits"}, Values: make([][]float64, 1)}
	for _, name := range []string{"w-tinylfu", "lru", "2q"} {
		var hits, held, counted, heap, rss []float64
		for _, seed := range c.Seeds {
			r, err := shapes.Flood(name, shapes.FloodOptions{Seed: seed, Recurring: c.Recurring, OneOff: c.OneOff, Share: c.Share, Bytes: c.Kbytes << 10})
			if err != nil {
				return err
			}
			raw.Add(name, seed, r.Asked, fmt.Sprintf("%.5f", r.Hits), r.Held, r.Counted, r.HeapBytes, r.RSSBytes)
			hits, held, counted = append(hits, r.Hits), append(held, float64(r.Held)), append(counted, float64(r.Counted))
			heap, rss = append(heap, float64(r.HeapBytes)), append(rss, float64(r.RSSBytes))
		}
		for _, x := range [][]float64{hits, held, counted, heap, rss} {
			slices.Sort(x)
		}
		mid := func(x []float64) float64 { return stat.Quantile(0.5, stat.Empirical, x, nil) }
		t.Add(name, fmt.Sprintf("%.3f (%.3f to %.3f)", mid(hits), hits[0], hits[len(hits)-1]), fmt.Sprintf("%.0f", mid(held)),
			fmt.Sprintf("%.0f KB", mid(counted)/1024), fmt.Sprintf("%.0f KB", mid(heap)/1024), fmt.Sprintf("%.1f MB", mid(rss)/(1<<20)))
		chart.Groups = append(chart.Groups, name)
		chart.Values[0] = append(chart.Values[0], mid(hits))
	}
	return keep(c.Out, "shapes-flood", &t, &raw, chart.SVG)
}

// costCommand measures the CPU time that reading shapes adds to a request.
type costCommand struct {
	Program  string `placeholder:"FILE" help:"Path of the gateway's program; if omitted, it is built from this folder." name:"ringwood"`
	Clients  int    `default:"8" help:"Number of client connections." name:"clients"`
	Requests int    `default:"40000" help:"Requests per round." name:"requests"`
	Rounds   int    `default:"5" help:"Number of pairs of rounds, one without and one with shapes." name:"rounds"`
	Prepared bool   `help:"Prepare statements once and bind them again, instead of sending a Query message for each." name:"prepared"`
	Seed     uint64 `default:"1" help:"Random seed of the statements." name:"seed"`
	Out      string `placeholder:"FOLDER" help:"Write table, figures and chart to this folder, as shapes-cost-query.* or shapes-cost-prepared.*." name:"out"`
}

// Run measures rounds with and without shapes in turn and prints the ratio of their CPU times.
func (c *costCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Minute)
	defer cancel()
	program := c.Program
	if program == "" {
		dir, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		if program, err = harness.Build(ctx, ".", dir); err != nil {
			return err
		}
	}
	without, with, err := shapes.Cost(ctx, shapes.CostOptions{
		Root: ".", Program: program, Clients: c.Clients, Requests: c.Requests, Rounds: c.Rounds, Seed: c.Seed, Prepared: c.Prepared,
	})
	if err != nil {
		return err
	}
	t := report.Table{Columns: []string{"", "CPU per request (us), median (min to max)", "requests/s", "resident memory"}}
	raw := report.Table{Columns: []string{"shapes", "round", "cpu_us", "rate", "kb"}}
	chart := report.Bars{Title: "CPU time of the gateway per request", Axis: "CPU per request (us)", Series: []string{"without", "with shapes"}, Values: make([][]float64, 2)}
	var ratios []float64
	for i := range with {
		ratios = append(ratios, with[i].CPU/without[i].CPU)
		chart.Groups = append(chart.Groups, fmt.Sprintf("pair %d", i+1))
	}
	for i, rounds := range [][]shapes.CostRound{without, with} {
		var cpu, rate, kb []float64
		for j, r := range rounds {
			raw.Add(chart.Series[i], j+1, fmt.Sprintf("%.2f", r.CPU), fmt.Sprintf("%.0f", r.Rate), r.KB)
			chart.Values[i] = append(chart.Values[i], r.CPU)
			cpu, rate, kb = append(cpu, r.CPU), append(rate, r.Rate), append(kb, float64(r.KB))
		}
		for _, x := range [][]float64{cpu, rate, kb} {
			slices.Sort(x)
		}
		mid := func(x []float64) float64 { return stat.Quantile(0.5, stat.Empirical, x, nil) }
		t.Add(chart.Series[i], fmt.Sprintf("%.1f (%.1f to %.1f)", mid(cpu), cpu[0], cpu[len(cpu)-1]), fmt.Sprintf("%.0f", mid(rate)), fmt.Sprintf("%.1f MB", mid(kb)/1024))
	}
	slices.Sort(ratios)
	t.Add("with / without, by pairs", fmt.Sprintf("%.3f (%.3f to %.3f)", stat.Quantile(0.5, stat.Empirical, ratios, nil), ratios[0], ratios[len(ratios)-1]), "", "")
	name := "shapes-cost-query"
	if c.Prepared {
		name = "shapes-cost-prepared"
	}
	return keep(c.Out, name, &t, &raw, chart.SVG)
}
