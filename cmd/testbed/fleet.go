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

// multiSiteSettings are the settings that all experiments with several sites have in common.
type multiSiteSettings struct {
	Name            string   `toml:"name"`
	Title           string   `toml:"title"`
	Kind            string   `toml:"kind"`
	Seeds           []uint64 `toml:"seeds"`
	Gateways        int      `toml:"gateways"`      // gateways per site
	Engines         int      `toml:"engines"`       // engines per site
	Rate            float64  `toml:"rate"`          // requests per second at each site
	Loads           float64  `toml:"loads"`         // share of requests that are loads
	Reports         float64  `toml:"reports"`       // share of requests that are reports
	Writes          float64  `toml:"writes"`        // share of requests that are other writes
	Elsewhere       float64  `toml:"elsewhere"`     // share of a load's retries that go to a gateway of another site
	Estimates       bool     `toml:"estimates"`     // clients send estimates of work and memory
	DelayMS         float64  `toml:"delay_ms"`      // one-way delay between sites, in milliseconds
	Stall           float64  `toml:"stall"`         // share of the data between sites that is delayed by StallMS
	StallMS         float64  `toml:"stall_ms"`      // additional delay of a stall, in milliseconds
	MBps            float64  `toml:"mb_per_s"`      // bandwidth of a link between sites, in MB/s
	WarmS           float64  `toml:"warm_s"`        // warm-up in seconds, excluded from the results
	SpanS           float64  `toml:"span_s"`        // measured time in seconds
	NotifiedAfterMS float64  `toml:"told_after_ms"` // delay until discovery reports a change of an engine, in milliseconds
}

// check reports settings that are missing or out of range.
func (f *multiSiteSettings) check(require requireFunc) {
	requireCommon(require, f.Name, f.Seeds, f.Engines, f.Rate)
	require(f.Gateways >= 1 && f.Gateways <= 64, "gateways: %d is out of range, want 1 to 64", f.Gateways)
	require(f.SpanS >= 10 && f.SpanS <= 864000, "span_s: %g is out of range, want 10 to 864000 s", f.SpanS)
	require(f.WarmS >= 0 && f.WarmS <= 3600, "warm_s: %g is out of range, want 0 to 3600 s", f.WarmS)
	require(f.DelayMS >= 0 && f.DelayMS <= 5000, "delay_ms: %g is out of range, want 0 to 5000 ms", f.DelayMS)
	for _, s := range []float64{f.Loads, f.Reports, f.Writes, f.Elsewhere, f.Stall, f.Loads + f.Reports + f.Writes} {
		require(s >= 0 && s <= 1, "loads, reports, writes, elsewhere, stall: a share, or loads + reports + writes, is %g; want 0 to 1", s)
	}
}

// options returns the simulation options of one run.
func (f *multiSiteSettings) options(set config.Site) simulation.Options {
	ms := config.FromMS
	cfg := decide.Defaults()
	cfg.SharedDedup = true
	return simulation.Options{
		Site: set, Config: cfg, Way: simulation.Ours, Sites: 2, Gateways: f.Gateways, Engines: f.Engines, Engine: enginemodel.Usual(), Rate: f.Rate,
		Loads: f.Loads, Reports: f.Reports, Writes: f.Writes, Elsewhere: f.Elsewhere, Estimates: f.Estimates, Delay: ms(f.DelayMS),
		Stall: f.Stall, StallFor: ms(f.StallMS), Bandwidth: f.MBps * 1e6, Pack: true, ToldAfter: ms(f.NotifiedAfterMS),
		Warm: ms(1000 * f.WarmS), Span: ms(1000 * f.SpanS),
	}
}

// siteConfig returns the settings that the PostgreSQL front end is deployed with.
func siteConfig() (config.Site, error) {
	p, err := config.LoadPostgres("deploy/postgres.toml")
	if err != nil {
		return config.Site{}, fmt.Errorf("cannot read the deployed settings; run this command from the root of the repository: %w", err)
	}
	return p.SiteSettings, nil
}

// fleetExperiment simulates several sites in virtual time and compares strategies of cooperation.
type fleetExperiment struct {
	multiSiteSettings
	Sites      int      `toml:"sites"`     // number of sites, 2 to 50
	Strategies []string `toml:"ways"`      // names of strategies, such as simulation.Ours
	Scenarios  []string `toml:"scenarios"` // names of scenarios, as known to simulation.ScenarioOf
}

// runJobs runs n jobs, at most parallel at a time, and shows a progress bar. It returns the errors of all jobs.
func (c *runCommand) runJobs(name string, n, parallel int, job func(i int) error) error {
	bar := c.newProgressBar(name, n)
	defer bar.end()
	var running sync.WaitGroup
	errs := make([]error, n)
	slots := make(chan struct{}, parallel)
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = job(i)
			bar.step()
		})
	}
	running.Wait()
	return errors.Join(errs...)
}

// fleetRun is one run of a fleet experiment.
type fleetRun struct {
	scenario, strategy string
	seed               uint64
	res                *simulation.Result
}

// readFleet reads and checks a fleet experiment.
func readFleet(path string) (*fleetExperiment, error) {
	var e fleetExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		e.check(require)
		require(e.Sites >= 2 && e.Sites <= 50, "sites: %d is out of range, want 2 to 50", e.Sites)
		for _, w := range e.Strategies {
			require(slices.Contains([]string{simulation.Alone, simulation.Ours, simulation.Random, simulation.Nearest}, w), "ways: unknown strategy %q, want %s, %s, %s or %s", w, simulation.Alone, simulation.Ours, simulation.Random, simulation.Nearest)
		}
		for _, s := range e.Scenarios {
			require(simulation.ScenarioOf(s) != nil, "scenarios: unknown scenario %q", s)
		}
		require(len(e.Strategies) > 0 && len(e.Scenarios) > 0, "ways, scenarios: at least one of each is required")
	})
}

// runFleet simulates several sites in virtual time, for each scenario, strategy and seed.
func runFleet(c *runCommand) error {
	e, err := readFleet(c.File)
	if err != nil {
		return err
	}
	set, err := siteConfig()
	if err != nil {
		return err
	}
	var runs []*fleetRun
	for _, s := range e.Scenarios {
		for _, w := range e.Strategies {
			for _, seed := range e.Seeds {
				runs = append(runs, &fleetRun{scenario: s, strategy: w, seed: seed})
			}
		}
	}
	err = c.runJobs(e.Name, len(runs), runtime.NumCPU(), func(i int) (err error) {
		r := runs[i]
		o := e.options(set)
		o.Way, o.Seed, o.Sites = r.strategy, r.seed, e.Sites
		o.Events = simulation.ScenarioOf(r.scenario).Events(o.Span, o.Sites)
		r.res, err = simulation.Play(o)
		return err
	})
	if err != nil {
		return err
	}
	faults, err := e.report(c.Out, runs)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d rules broken:\n%s", len(faults), strings.Join(faults, "\n"))
	}
	fmt.Println("no rule was broken")
	return nil
}

// report writes the tables and the chart of all runs. It returns the rules broken with the strategy of the
// product only; the other strategies are baselines.
func (e *fleetExperiment) report(dir string, runs []*fleetRun) (faults []string, err error) {
	t := report.Table{Columns: []string{"scenario", "strategy", "service (share of value), median (min to max)", "service in the worst 10 s", "share of requests sent to another site", "share of engine time wasted", "rules broken"}}
	raw := report.Table{Columns: []string{"scenario", "way", "seed", "service", "worst", "requests", "crossed", "spent_s", "wasted_s", "messages", "bytes", "faults"}}
	chart := report.Bars{Title: e.Title, Axis: "service: value answered in time / value requested", Series: e.Strategies, Values: make([][]float64, len(e.Strategies))}
	for _, s := range e.Scenarios {
		chart.Groups = append(chart.Groups, s)
		for i, w := range e.Strategies {
			var service, worst, crossed, wasted []float64
			broken := 0
			for _, r := range runs {
				if r.scenario != s || r.strategy != w {
					continue
				}
				service, worst = append(service, r.res.Service()), append(worst, r.res.Worst)
				crossed = append(crossed, float64(r.res.Crossed)/float64(max(r.res.Requests, 1)))
				wasted = append(wasted, r.res.Wasted/max(r.res.Spent, 1e-9))
				broken += len(r.res.Faults)
				raw.Add(s, w, r.seed, fmt.Sprintf("%.4f", r.res.Service()), fmt.Sprintf("%.4f", r.res.Worst), r.res.Requests, r.res.Crossed,
					fmt.Sprintf("%.1f", r.res.Spent), fmt.Sprintf("%.1f", r.res.Wasted), r.res.Messages, r.res.Bytes, len(r.res.Faults))
				if w != simulation.Ours { // baselines may break rules: sites that work alone do not share idempotency keys
					continue
				}
				for _, f := range r.res.Faults {
					faults = append(faults, fmt.Sprintf("%s, %s, seed %d: %s", s, w, r.seed, f))
				}
			}
			t.Add(s, w, medianAndRange(service), fmt.Sprintf("%.3f", median(worst)), fmt.Sprintf("%.3f", median(crossed)), fmt.Sprintf("%.3f", median(wasted)), broken)
			chart.Values[i] = append(chart.Values[i], median(service))
		}
	}
	return faults, keep(dir, e.Name, &t, &raw, chart.SVG)
}

// median returns the median of values in any order.
func median(x []float64) float64 {
	y := slices.Clone(x)
	slices.Sort(y)
	return stat.Quantile(0.5, stat.Empirical, y, nil)
}

// medianAndRange formats the median, the minimum and the maximum of values.
func medianAndRange(x []float64) string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", median(x), slices.Min(x), slices.Max(x))
}

// growthExperiment measures how cost grows with the number of sites.
type growthExperiment struct {
	multiSiteSettings
	Sites     []int   `toml:"sites"`     // numbers of sites to simulate, each 1 to 50
	Neighbour int     `toml:"neighbour"` // on a ring of sites, the number of neighbours on each side that a site is linked to; 0: all sites
	DayS      float64 `toml:"day_s"`     // length of the simulated day in seconds; the load follows a sine curve over it
	Swing     float64 `toml:"swing"`     // relative amplitude of the load curve, from 0 to below 1; each site has its peak at another time
	Lose      float64 `toml:"lose"`      // time, as a share of the day, when one site in ten loses all its engines for a tenth of a day; 0: never
}

// repeated marks a second run of the first seed, whose results must be identical byte for byte.
const repeated = "again"

// growthRun is one run of a growth experiment.
type growthRun struct {
	sites          int
	seed           uint64
	strategy       string
	res            *simulation.Result
	decisions      int
	decisionMicros float64 // mean time of a decision, in microseconds
	elapsedSeconds float64
}

// readGrowth reads and checks a growth experiment.
func readGrowth(path string) (*growthExperiment, error) {
	var e growthExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		e.check(require)
		require(len(e.Sites) > 0 && slices.Min(e.Sites) >= 1 && slices.Max(e.Sites) <= 50, "sites: got %v, want one or more numbers from 1 to 50", e.Sites)
		require(e.DayS >= 10, "day_s: %g is out of range, want at least 10 s", e.DayS)
		require(e.Swing >= 0 && e.Swing < 1, "swing: %g is out of range, want 0 to below 1", e.Swing)
	})
}

// runGrowth simulates growing numbers of sites in virtual time.
func runGrowth(c *runCommand) error {
	e, err := readGrowth(c.File)
	if err != nil {
		return err
	}
	set, err := siteConfig()
	if err != nil {
		return err
	}
	var runs []*growthRun
	for _, n := range slices.Backward(e.Sites) { // the longest runs start first
		for i, seed := range e.Seeds {
			runs = append(runs, &growthRun{sites: n, seed: seed, strategy: simulation.Ours}, &growthRun{sites: n, seed: seed, strategy: simulation.Alone})
			if i == 0 {
				runs = append(runs, &growthRun{sites: n, seed: seed, strategy: repeated})
			}
		}
	}
	err = c.runJobs(e.Name, len(runs), runtime.NumCPU(), func(i int) error { return e.play(set, runs[i]) })
	if err != nil {
		return err
	}
	return e.report(c.Out, runs)
}

// play runs one simulation and measures the time that its decisions take.
func (e *growthExperiment) play(set config.Site, r *growthRun) (err error) {
	o := e.options(set)
	o.Sites, o.Seed, o.Neighbour = r.sites, r.seed, e.Neighbour
	if r.strategy == simulation.Alone {
		o.Way = r.strategy
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
	r.elapsedSeconds = time.Since(began).Seconds()
	r.decisionMicros = float64(spent.Nanoseconds()) / 1000 / float64(max(r.decisions, 1))
	return err
}

// report writes the tables and the chart of all runs. It fails if a rule was broken or a repeated run differs.
func (e *growthExperiment) report(dir string, runs []*growthRun) error {
	t := report.Table{Columns: []string{"sites", "gateways", "engines", "requests", "service, median (min to max)", "service without other sites, median (min to max)", "share of requests sent to another site", "messages per request", "bytes per request",
		"bytes/s per link", "mean time of a site decision (us)", "wall time (s)", "repeat is identical", "rules broken"}}
	raw := report.Table{Columns: []string{"sites", "seed", "way", "requests", "service", "crossed", "messages", "bytes", "decisions", "decision_us", "played_s", "faults"}}
	var points [3][][2]float64
	broken := 0
	for _, n := range e.Sites {
		var service, alone, crossed, messages, bytes, line, cost, played []float64
		var first *growthRun
		requests, faults, same := 0, 0, true
		for _, r := range runs {
			if r.sites != n {
				continue
			}
			raw.Add(n, r.seed, r.strategy, r.res.Requests, fmt.Sprintf("%.4f", r.res.Service()), r.res.Crossed, r.res.Messages, r.res.Bytes, r.decisions,
				fmt.Sprintf("%.3f", r.decisionMicros), fmt.Sprintf("%.1f", r.elapsedSeconds), len(r.res.Faults))
			switch r.strategy {
			case repeated:
				same = first != nil && first.res.Sum() == r.res.Sum()
			case simulation.Alone:
				alone = append(alone, r.res.Service())
			default:
				if first == nil {
					first = r
				}
				per, links := float64(max(r.res.Requests, 1)), float64(max(linkedPairs(n, e.Neighbour)*e.Gateways, 1))
				requests += r.res.Requests
				service, crossed, messages = append(service, r.res.Service()), append(crossed, float64(r.res.Crossed)/per), append(messages, float64(r.res.Messages)/per)
				bytes, line = append(bytes, float64(r.res.Bytes)/per), append(line, float64(r.res.Bytes)/(e.SpanS+e.WarmS)/links)
				cost, played = append(cost, r.decisionMicros), append(played, r.elapsedSeconds)
				faults += len(r.res.Faults)
			}
		}
		broken += faults
		if !same {
			return fmt.Errorf("%d sites: two runs with the same seed gave different results, want identical ones", n)
		}
		t.Add(n, n*e.Gateways, n*e.Engines, requests, medianAndRange(service), medianAndRange(alone), median(crossed), median(messages), fmt.Sprintf("%.0f", median(bytes)),
			fmt.Sprintf("%.0f", median(line)), median(cost), fmt.Sprintf("%.1f", median(played)), same, faults)
		for i, v := range [][]float64{service, messages, cost} {
			points[i] = append(points[i], [2]float64{float64(n), median(v)})
		}
	}
	chart := report.Lines{Title: e.Title, X: "sites", Y: "service; messages per request; time of a site decision (us)",
		Series: []string{"service", "messages per request", "site decision (us)"}, Points: points[:]}
	if err := keep(dir, e.Name, &t, &raw, chart.SVG); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d rules broken", broken)
	}
	return nil
}

// linkedPairs returns the number of pairs of linked sites, if each site on a ring is linked to that many
// neighbours on each side. With 0 neighbours, all pairs are linked.
func linkedPairs(sites, neighbour int) int {
	if neighbour <= 0 || 2*neighbour >= sites-1 {
		return sites * (sites - 1) / 2
	}
	return sites * neighbour
}
