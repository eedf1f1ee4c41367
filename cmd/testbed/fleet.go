package main

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/config"
	decide "gannetspur/internal/decide/remotesite"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/simulation"

	"gonum.org/v1/gonum/stat"
)

// fleetCommon is what experiments with several sites have in common.
type fleetCommon struct {
	Name      string
	Title     string
	Kind      string
	Seeds     []uint64
	Gateways  int // of a site
	Engines   int // of a site
	Rate      float64
	Loads     float64
	Reports   float64
	Writes    float64
	Elsewhere float64
	Estimates bool
	DelayMS   float64 `toml:"delay_ms"` // between sites, one way
	Stall     float64
	StallMS   float64 `toml:"stall_ms"`
	MBps      float64 `toml:"mb_per_s"`
	WarmS     float64 `toml:"warm_s"`
	SpanS     float64 `toml:"span_s"`
	ToldMS    float64 `toml:"told_after_ms"`
}

func (f *fleetCommon) check(bad func(ok bool, format string, args ...any)) {
	named(bad, f.Name, f.Seeds, f.Engines, f.Rate)
	bad(f.Gateways >= 1 && f.Gateways <= 64, "gateways: %d is not from 1 to 64", f.Gateways)
	bad(f.SpanS >= 10 && f.SpanS <= 864000, "span_s: %g is not from 10 to 864000", f.SpanS)
	bad(f.WarmS >= 0 && f.WarmS <= 3600, "warm_s: %g is not from 0 to 3600", f.WarmS)
	bad(f.DelayMS >= 0 && f.DelayMS <= 5000, "delay_ms: %g is not from 0 to 5000", f.DelayMS)
	for _, s := range []float64{f.Loads, f.Reports, f.Writes, f.Elsewhere, f.Stall, f.Loads + f.Reports + f.Writes} {
		bad(s >= 0 && s <= 1, "loads, reports, writes, elsewhere, stall: a share is not from 0 to 1")
	}
}

// options are those of one run.
func (f *fleetCommon) options(set config.Site) simulation.Options {
	ms := config.FromMS
	cfg := decide.Defaults()
	cfg.SharedDedup = true
	return simulation.Options{
		Site: set, Config: cfg, Way: simulation.Ours, Sites: 2, Gateways: f.Gateways, Engines: f.Engines, Engine: enginemodel.Usual(), Rate: f.Rate,
		Loads: f.Loads, Reports: f.Reports, Writes: f.Writes, Elsewhere: f.Elsewhere, Estimates: f.Estimates, Delay: ms(f.DelayMS),
		Stall: f.Stall, StallFor: ms(f.StallMS), Bandwidth: f.MBps * 1e6, Pack: true, ToldAfter: ms(f.ToldMS),
		Warm: ms(1000 * f.WarmS), Span: ms(1000 * f.SpanS),
	}
}

// settings are those that the PostgreSQL front is deployed with.
func settings() (config.Site, error) {
	p, err := config.LoadPostgres("deploy/postgres.toml")
	if err != nil {
		return config.Site{}, fmt.Errorf("start this from the repository's root: %w", err)
	}
	return p.Site, nil
}

type fleetExperiment struct {
	fleetCommon
	Sites     int
	Ways      []string
	Scenarios []string
}

// many runs jobs, so many side by side, under a bar that tells how many are done.
func many(quiet bool, name string, n, atOnce int, job func(i int) error) error {
	bar := progress(quiet, name, n)
	defer bar.end()
	var wg sync.WaitGroup
	errs := make([]error, n)
	room := make(chan struct{}, atOnce)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			errs[i] = job(i)
			bar.step()
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func runFleet(c *runCommand) error {
	var e fleetExperiment
	err := readFile(c.File, &e, func(bad func(ok bool, format string, args ...any)) {
		e.check(bad)
		bad(e.Sites >= 2 && e.Sites <= 50, "sites: %d is not from 2 to 50", e.Sites)
		for _, w := range e.Ways {
			bad(slices.Contains([]string{simulation.Alone, simulation.Ours, simulation.Random, simulation.Nearest}, w), "ways: there is no %q", w)
		}
		for _, s := range e.Scenarios {
			bad(simulation.ScenarioOf(s) != nil, "scenarios: there is no %q", s)
		}
		bad(len(e.Ways) > 0 && len(e.Scenarios) > 0, "ways, scenarios: none")
	})
	if err != nil {
		return err
	}
	set, err := settings()
	if err != nil {
		return err
	}
	type run struct {
		scenario, way string
		seed          uint64
		res           *simulation.Result
	}
	var runs []*run
	for _, s := range e.Scenarios {
		for _, w := range e.Ways {
			for _, seed := range e.Seeds {
				runs = append(runs, &run{scenario: s, way: w, seed: seed})
			}
		}
	}
	err = many(c.Quiet, e.Name, len(runs), runtime.NumCPU(), func(i int) (err error) {
		r := runs[i]
		o := e.options(set)
		o.Way, o.Seed, o.Sites = r.way, r.seed, e.Sites
		o.Events = simulation.ScenarioOf(r.scenario).Events(o.Span, o.Sites)
		r.res, err = simulation.Play(o)
		return err
	})
	if err != nil {
		return err
	}
	t := report.Table{Columns: []string{"what happens", "way", "service, median (least to most)", "worst 10 s", "crossed, of requests", "wasted, of work", "rules broken"}}
	raw := report.Table{Columns: []string{"scenario", "way", "seed", "service", "worst", "requests", "crossed", "spent_s", "wasted_s", "messages", "bytes", "faults"}}
	chart := report.Bars{Title: e.Title, Axis: "worth answered in time over worth asked for", Series: e.Ways, Values: make([][]float64, len(e.Ways))}
	var faults []string
	for _, s := range e.Scenarios {
		chart.Groups = append(chart.Groups, s)
		for i, w := range e.Ways {
			var service, worst, crossed, wasted []float64
			broken := 0
			for _, r := range runs {
				if r.scenario != s || r.way != w {
					continue
				}
				service, worst = append(service, r.res.Service()), append(worst, r.res.Worst)
				crossed = append(crossed, float64(r.res.Crossed)/float64(max(r.res.Requests, 1)))
				wasted = append(wasted, r.res.Wasted/max(r.res.Spent, 1e-9))
				broken += len(r.res.Faults)
				raw.Add(s, w, r.seed, fmt.Sprintf("%.4f", r.res.Service()), fmt.Sprintf("%.4f", r.res.Worst), r.res.Requests, r.res.Crossed,
					fmt.Sprintf("%.1f", r.res.Spent), fmt.Sprintf("%.1f", r.res.Wasted), r.res.Messages, r.res.Bytes, len(r.res.Faults))
				if w != simulation.Ours { // the others are for comparison: alone, nothing is told of keys
					continue
				}
				for _, f := range r.res.Faults {
					faults = append(faults, fmt.Sprintf("%s, %s, seed %d: %s", s, w, r.seed, f))
				}
			}
			t.Add(s, w, around(service), fmt.Sprintf("%.3f", middle(worst)), fmt.Sprintf("%.3f", middle(crossed)), fmt.Sprintf("%.3f", middle(wasted)), broken)
			chart.Values[i] = append(chart.Values[i], middle(service))
		}
	}
	if err := keep(c.Out, e.Name, &t, &raw, chart.SVG); err != nil {
		return err
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d rules broken:\n%s", len(faults), strings.Join(faults, "\n"))
	}
	fmt.Println("no rule was broken")
	return nil
}

func middle(x []float64) float64 {
	y := slices.Clone(x)
	slices.Sort(y)
	return stat.Quantile(0.5, stat.Empirical, y, nil)
}

func around(x []float64) string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", middle(x), slices.Min(x), slices.Max(x))
}

// growthExperiment asks how cost grows with the number of sites.
type growthExperiment struct {
	fleetCommon
	Sites     []int
	Neighbour int     // sites on each side, on a ring, that a site is linked to
	DayS      float64 `toml:"day_s"` // length of a day, whose hours are a curve of load
	Swing     float64 // of it, 0 to 1; each site's noon is at another time
	Lose      float64 // part of a day after which a site in ten loses all its engines, for a tenth of a day
}

func runGrowth(c *runCommand) error {
	var e growthExperiment
	err := readFile(c.File, &e, func(bad func(ok bool, format string, args ...any)) {
		e.check(bad)
		bad(len(e.Sites) > 0 && slices.Min(e.Sites) >= 1 && slices.Max(e.Sites) <= 50, "sites: wanted are numbers from 1 to 50")
		bad(e.DayS >= 10, "day_s: %g is below 10", e.DayS)
		bad(e.Swing >= 0 && e.Swing < 1, "swing: %g is not from 0 to below 1", e.Swing)
	})
	if err != nil {
		return err
	}
	set, err := settings()
	if err != nil {
		return err
	}
	// again is a second play of the first seed, which must give the same bytes.
	const again = "again"
	type run struct {
		sites     int
		seed      uint64
		way       string
		res       *simulation.Result
		decisions int
		us, took  float64
	}
	var runs []*run
	for _, n := range slices.Backward(e.Sites) { // what takes longest begins first
		for i, seed := range e.Seeds {
			runs = append(runs, &run{sites: n, seed: seed, way: simulation.Ours}, &run{sites: n, seed: seed, way: simulation.Alone})
			if i == 0 {
				runs = append(runs, &run{sites: n, seed: seed, way: again})
			}
		}
	}
	err = many(c.Quiet, e.Name, len(runs), runtime.NumCPU(), func(i int) (err error) {
		r := runs[i]
		o := e.options(set)
		o.Sites, o.Seed, o.Neighbour = r.sites, r.seed, e.Neighbour
		if r.way == simulation.Alone {
			o.Way = r.way
		}
		o.Shape = func(site int, at time.Duration) float64 {
			return 1 + e.Swing*math.Sin(2*math.Pi*(at.Seconds()/e.DayS+float64(site)/float64(r.sites)))
		}
		for s := 0; e.Lose > 0 && s < r.sites; s += 10 {
			at := time.Duration(e.Lose * e.DayS * float64(time.Second))
			o.Events = append(o.Events, simulation.Event{At: at, Do: simulation.Lose, Site: s, Part: 1},
				simulation.Event{At: at + time.Duration(e.DayS/10*float64(time.Second)), Do: simulation.Return, Site: s})
		}
		spent := time.Duration(0)
		o.Cost = func(began time.Time) { r.decisions++; spent += time.Since(began) }
		began := time.Now()
		r.res, err = simulation.Play(o)
		r.took, r.us = time.Since(began).Seconds(), float64(spent.Nanoseconds())/1000/float64(max(r.decisions, 1))
		return err
	})
	if err != nil {
		return err
	}
	t := report.Table{Columns: []string{"sites", "gateways", "engines", "requests", "service", "alone", "crossed, of requests", "messages per request", "bytes per request",
		"bytes per s and link", "site decision (us)", "played in (s)", "same bytes again", "rules broken"}}
	raw := report.Table{Columns: []string{"sites", "seed", "way", "requests", "service", "crossed", "messages", "bytes", "decisions", "decision_us", "played_s", "faults"}}
	var points [3][][2]float64
	broken := 0
	for _, n := range e.Sites {
		var service, alone, crossed, messages, bytes, line, cost, played []float64
		var first *run
		requests, faults, same := 0, 0, true
		for _, r := range runs {
			if r.sites != n {
				continue
			}
			raw.Add(n, r.seed, r.way, r.res.Requests, fmt.Sprintf("%.4f", r.res.Service()), r.res.Crossed, r.res.Messages, r.res.Bytes, r.decisions,
				fmt.Sprintf("%.3f", r.us), fmt.Sprintf("%.1f", r.took), len(r.res.Faults))
			switch r.way {
			case again:
				same = first != nil && first.res.Sum() == r.res.Sum()
			case simulation.Alone:
				alone = append(alone, r.res.Service())
			default:
				if first == nil {
					first = r
				}
				per, links := float64(max(r.res.Requests, 1)), float64(max(lines(n, e.Neighbour)*e.Gateways, 1))
				requests += r.res.Requests
				service, crossed, messages = append(service, r.res.Service()), append(crossed, float64(r.res.Crossed)/per), append(messages, float64(r.res.Messages)/per)
				bytes, line = append(bytes, float64(r.res.Bytes)/per), append(line, float64(r.res.Bytes)/(e.SpanS+e.WarmS)/links)
				cost, played = append(cost, r.us), append(played, r.took)
				faults += len(r.res.Faults)
			}
		}
		broken += faults
		if !same {
			return fmt.Errorf("%d sites: the same seed gave other bytes", n)
		}
		t.Add(n, n*e.Gateways, n*e.Engines, requests, around(service), around(alone), middle(crossed), middle(messages), fmt.Sprintf("%.0f", middle(bytes)),
			fmt.Sprintf("%.0f", middle(line)), middle(cost), fmt.Sprintf("%.1f", middle(played)), same, faults)
		for i, v := range [][]float64{service, messages, cost} {
			points[i] = append(points[i], [2]float64{float64(n), middle(v)})
		}
	}
	chart := report.Lines{Title: e.Title, X: "sites", Y: "service; messages per request; us per site decision",
		Series: []string{"service", "messages per request", "site decision, us"}, Points: points[:]}
	if err := keep(c.Out, e.Name, &t, &raw, chart.SVG); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d rules broken", broken)
	}
	return nil
}

// lines is how many pairs of sites are linked.
func lines(sites, neighbour int) int {
	if neighbour <= 0 || 2*neighbour >= sites-1 {
		return sites * (sites - 1) / 2
	}
	return sites * neighbour
}
