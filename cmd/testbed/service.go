package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/upgrades"

	"gonum.org/v1/gonum/stat"
)

// serviceExperiment measures the service (value answered in time / value requested) before and after an operation
// such as an upgrade or a restart.
type serviceExperiment struct {
	Name        string   `toml:"name"`
	Title       string   `toml:"title"`
	Kind        string   `toml:"kind"`
	Seeds       []uint64 `toml:"seeds"`
	Operations  []string `toml:"ways"` // operations to compare, such as upgrades.TakeOver
	Engines     int      `toml:"engines"`
	Crowded     int      `toml:"crowded"` // number of engines of which another program takes a share
	Share       float64  `toml:"share"`   // share of a crowded engine that the other program takes, from 0 to below 1
	Rate        float64  `toml:"rate"`    // requests per second
	Connections int      `toml:"connections"`
	WarmS       float64  `toml:"warm_s"`  // warm-up in seconds, before the measured time
	SpanS       float64  `toml:"span_s"`  // measured time before the operation, and again after it, in seconds
	Parallel    int      `toml:"at_once"` // number of rounds run at the same time
}

// readService reads and checks a service experiment.
func readService(path string) (*serviceExperiment, error) {
	var e serviceExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, e.Engines, e.Rate)
		require(e.Crowded >= 0 && e.Crowded <= e.Engines, "crowded: %d is out of range, want 0 to engines = %d", e.Crowded, e.Engines)
		require(e.Share >= 0 && e.Share < 1, "share: %g is out of range, want 0 to below 1", e.Share)
		require(e.Connections > 0 && e.Connections <= 10000, "connections: %d is out of range, want 1 to 10000", e.Connections)
		require(e.WarmS >= 0 && e.WarmS <= 600, "warm_s: %g is out of range, want 0 to 600 s", e.WarmS)
		require(e.SpanS >= 1 && e.SpanS <= 600, "span_s: %g is out of range, want 1 to 600 s", e.SpanS)
		require(e.Parallel > 0 && e.Parallel <= 16, "at_once: %d is out of range, want 1 to 16", e.Parallel)
		for _, w := range e.Operations {
			require(slices.Contains([]string{upgrades.Nothing, upgrades.TakeOver, upgrades.Forget, upgrades.Restart}, w), "ways: unknown operation %q, want %s, %s, %s or %s", w, upgrades.Nothing, upgrades.TakeOver, upgrades.Forget, upgrades.Restart)
		}
	})
}

// run runs every operation with every seed, writes the results, and fails if a rule was broken.
func (e *serviceExperiment) run(ctx context.Context, c *runCommand, env environment) error {
	type round struct {
		way  string
		seed uint64
		res  *upgrades.Service
	}
	var rounds []*round
	for _, seed := range e.Seeds {
		for _, way := range e.Operations {
			rounds = append(rounds, &round{way: way, seed: seed})
		}
	}
	err := c.runJobs(e.Name, len(rounds), e.Parallel, func(i int) (err error) {
		r := rounds[i]
		sub := filepath.Join(env.dir, strconv.Itoa(i))
		if err := os.Mkdir(sub, 0o700); err != nil {
			return err
		}
		r.res, err = upgrades.PlayService(ctx, upgrades.ServiceOptions{
			Way: r.way, Root: ".", Dir: sub, Program: env.program, Lab: env.testbed, Engines: e.Engines, Crowded: e.Crowded, Share: e.Share, Rate: e.Rate,
			Connections: e.Connections, Warm: seconds(e.WarmS), Span: seconds(e.SpanS), Seed: r.seed, Log: env.log,
		})
		return err
	})
	if err != nil {
		return err
	}
	t := report.Table{Columns: []string{"operation", "rounds", "service before, median", "service after, median", "after / before, median (min to max)", "requests", "requests without an answer"}}
	raw := report.Table{Columns: []string{"way", "seed", "before", "after", "requests", "lost"}}
	chart := report.Bars{Title: e.Title, Axis: "service: value answered in time / value requested", Series: []string{"before", "after"}, Values: make([][]float64, 2)}
	var faults []load.Fault
	for _, way := range e.Operations {
		var before, after, ratio []float64
		requests, lost := 0, 0
		for _, r := range rounds {
			if r.way != way {
				continue
			}
			before, after, ratio = append(before, r.res.Before), append(after, r.res.After), append(ratio, r.res.After/r.res.Before)
			requests, lost = requests+r.res.Requests, lost+r.res.Lost
			faults = append(faults, r.res.Faults...)
			raw.Add(way, r.seed, fmt.Sprintf("%.4f", r.res.Before), fmt.Sprintf("%.4f", r.res.After), r.res.Requests, r.res.Lost)
		}
		for _, x := range [][]float64{before, after, ratio} {
			slices.Sort(x)
		}
		mid := func(x []float64) float64 { return stat.Quantile(0.5, stat.Empirical, x, nil) }
		t.Add(way, len(ratio), fmt.Sprintf("%.3f", mid(before)), fmt.Sprintf("%.3f", mid(after)),
			fmt.Sprintf("%.3f (%.3f to %.3f)", mid(ratio), ratio[0], ratio[len(ratio)-1]), requests, lost)
		chart.Groups = append(chart.Groups, way)
		chart.Values[0], chart.Values[1] = append(chart.Values[0], mid(before)), append(chart.Values[1], mid(after))
	}
	if err := keep(c.Out, e.Name, &t, &raw, chart.SVG); err != nil {
		return err
	}
	return reportViolations(faults, 0)
}
