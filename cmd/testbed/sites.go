package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"gannetspur/internal/config"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/simulation"
	"gannetspur/internal/testbed/sites"

	"gonum.org/v1/gonum/stat"
)

// sitesExperiment runs two sites as processes connected by sockets, for each scenario and strategy,
// and on request simulates the same in virtual time for comparison.
type sitesExperiment struct {
	multiSiteSettings
	Fronts      []string `toml:"fronts"`      // front ends to test: "rest", "postgres"
	Strategies  []string `toml:"ways"`        // simulation.Alone or simulation.Ours
	Scenarios   []string `toml:"scenarios"`   // names of scenarios, as known to socketScenario
	Connections int      `toml:"connections"` // client connections at each site
	Virtual     bool     `toml:"virtual"`     // also simulate the same runs in virtual time
	Parallel    int      `toml:"at_once"`     // number of runs at the same time
}

// readSites reads and checks a sites experiment.
func readSites(path string) (*sitesExperiment, error) {
	var e sitesExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		e.check(require)
		require(e.Gateways == 1, "gateways: %d, want 1: experiments on sockets have one gateway per site", e.Gateways)
		require(e.Connections > 0 && e.Connections <= 2000, "connections: %d is out of range, want 1 to 2000", e.Connections)
		require(e.Parallel > 0 && e.Parallel <= 32, "at_once: %d is out of range, want 1 to 32", e.Parallel)
		require(len(e.Fronts) > 0 && len(e.Strategies) > 0 && len(e.Scenarios) > 0, "fronts, ways, scenarios: at least one of each is required")
		for _, f := range e.Fronts {
			require(f == "rest" || f == "postgres", "fronts: unknown front end %q, want rest or postgres", f)
		}
		for _, w := range e.Strategies {
			require(w == simulation.Alone || w == simulation.Ours, "ways: unknown strategy %q on sockets, want %s or %s", w, simulation.Alone, simulation.Ours)
		}
		for _, s := range e.Scenarios {
			require(socketScenario(s) != nil, "scenarios: unknown scenario %q", s)
		}
	})
}

// socketOnlyScenarios are scenarios that exist only on sockets, in addition to those of the simulation.
var socketOnlyScenarios = []simulation.Scenario{
	{Name: "upgrades", What: "both gateways are upgraded in turn while the first site is overloaded", Events: func(span time.Duration, _ int) []simulation.Event {
		return []simulation.Event{{At: span / 6, Do: simulation.Load, Part: 2}, {At: span / 3, Do: sites.Upgrade, Site: 1}, {At: span / 2, Do: sites.Upgrade},
			{At: span * 2 / 3, Do: sites.Upgrade, Site: 1}, {At: span * 5 / 6, Do: simulation.Load, Part: 1}}
	}},
	{Name: "lost-replies", What: "replies of the second site are lost for a while, then the link is cut", Events: func(span time.Duration, _ int) []simulation.Event {
		return []simulation.Event{{At: span / 6, Do: simulation.Load, Part: 2}, {At: span / 3, Do: string(faultproxy.DroppedReplies)}, {At: span / 2, Do: simulation.Mend},
			{At: span / 2, Do: string(faultproxy.Reset)}, {At: span * 5 / 6, Do: simulation.Load, Part: 1}}
	}},
}

// socketScenario returns the scenario of that name; nil: there is none.
func socketScenario(name string) *simulation.Scenario {
	for i := range socketOnlyScenarios {
		if socketOnlyScenarios[i].Name == name {
			return &socketOnlyScenarios[i]
		}
	}
	return simulation.ScenarioOf(name)
}

// events translates the events of a simulated scenario to those of the socket experiment.
func (e *sitesExperiment) events(all []simulation.Event) (out []sites.Event) {
	for i, ev := range all {
		one := sites.Event{At: ev.At, Do: ev.Do, Site: ev.Site, Factor: ev.Part}
		until := time.Duration(0) // duration of a link fault, until the next Mend; 0: there is none
		for _, later := range all[i+1:] {
			if later.Do == simulation.Mend {
				until = later.At - ev.At
				break
			}
		}
		engines := func(do string, n int, after time.Duration) {
			for j := range n {
				out = append(out, sites.Event{At: ev.At + after, Do: do, Site: ev.Site, Engine: j + 1})
			}
		}
		switch ev.Do {
		case simulation.Lose:
			engines("die", int(float64(e.Engines)*ev.Part+0.5), 0)
		case simulation.Return:
			n := 0
			for _, before := range all[:i] {
				if before.Do == simulation.Lose && before.Site == ev.Site {
					n = int(float64(e.Engines)*before.Part + 0.5)
				}
			}
			engines("return", n, 0)
		case simulation.Chill:
			engines("die", e.Engines, 0)
			engines("return", e.Engines, 3*time.Second)
		case simulation.Load:
			one.Do = sites.Busy
			out = append(out, one)
		case simulation.Cut, simulation.Mute, simulation.OneWay, string(faultproxy.DroppedReplies):
			one.Do = map[string]string{simulation.Cut: string(faultproxy.Cut), simulation.Mute: string(faultproxy.Silence), simulation.OneWay: string(faultproxy.HeldRequests), string(faultproxy.DroppedReplies): string(faultproxy.DroppedReplies)}[ev.Do]
			one.For = until
			out = append(out, one)
		case simulation.Kill:
			one.Do = sites.GatewayDies
			out = append(out, one)
		case simulation.Drain:
			one.Do = sites.SiteDrain
			out = append(out, one)
		case simulation.Back:
			one.Do = sites.SiteBack
			out = append(out, one)
		case simulation.Mend:
		default:
			out = append(out, one)
		}
	}
	return out
}

// siteRun is one run of a sites experiment.
type siteRun struct {
	front, scenario, strategy string
	seed                      uint64
	res                       *sites.Result
	virtual                   *simulation.Result // the same run in virtual time; nil: not simulated
}

// run runs every combination of front end, scenario, strategy and seed, and fails if a rule was broken.
func (e *sitesExperiment) run(ctx context.Context, c *runCommand, env environment) error {
	set, err := siteConfig()
	if err != nil {
		return err
	}
	var runs []*siteRun
	for _, f := range e.Fronts {
		for _, s := range e.Scenarios {
			for _, w := range e.Strategies {
				for _, seed := range e.Seeds {
					runs = append(runs, &siteRun{front: f, scenario: s, strategy: w, seed: seed})
				}
			}
		}
	}
	err = c.runJobs(e.Name, len(runs), e.Parallel, func(i int) error { return e.play(ctx, env, set, i, runs[i]) })
	if err != nil {
		return err
	}
	faults, err := e.report(c.Out, runs)
	if err != nil {
		return err
	}
	return reportViolations(faults, 0)
}

// play executes run n on sockets and, if the experiment asks for it, in virtual time.
func (e *sitesExperiment) play(ctx context.Context, env environment, set config.Site, n int, r *siteRun) (err error) {
	sub := filepath.Join(env.dir, strconv.Itoa(n))
	if err := os.Mkdir(sub, 0o700); err != nil {
		return err
	}
	o := e.options(set)
	events := socketScenario(r.scenario).Events(o.Span, 2)
	r.res, err = sites.Play(ctx, sites.Options{
		Front: r.front, Root: ".", Dir: sub, Program: env.program, Together: r.strategy == simulation.Ours, Engines: e.Engines, Engine: enginemodel.Usual(),
		Rate: e.Rate, Loads: e.Loads, Reports: e.Reports, Writes: e.Writes, Connections: e.Connections,
		Link:   faultproxy.Options{Delay: o.Delay, Bandwidth: int(o.Bandwidth), Stall: o.Stall, StallFor: o.StallFor, Seed: r.seed},
		Events: e.events(events), Warm: o.Warm, Span: o.Span, Seed: r.seed, Log: env.log,
	})
	if err != nil {
		return fmt.Errorf("%s, %s, seed %d: %w", r.scenario, r.strategy, r.seed, err)
	}
	if e.Virtual && simulation.ScenarioOf(r.scenario) != nil {
		o.Way, o.Seed, o.Events = r.strategy, r.seed, events
		r.virtual, err = simulation.Play(o)
	}
	return err
}

// report writes the tables and the chart of all runs, and returns the rules broken.
func (e *sitesExperiment) report(dir string, runs []*siteRun) (faults []load.Fault, err error) {
	t := report.Table{Columns: []string{"front", "scenario", "strategy", "requests", "service (share of value), median (min to max)", "service in the worst 10 s", "latency of served requests, p50, p99 (ms)", "requests sent to another site", "requests run locally after a failure at the other site", "rules broken"}}
	raw := report.Table{Columns: []string{"front", "scenario", "way", "seed", "requests", "service", "worst", "crossed", "virtual_service", "virtual_worst", "virtual_crossed", "faults"}}
	chart := report.Bars{Title: e.Title, Axis: "service: value answered in time / value requested", Series: slices.Clone(e.Strategies), Values: make([][]float64, len(e.Strategies))}
	if e.Virtual {
		t.Columns = slices.Insert(t.Columns, 6, "service in virtual time, median (min to max)", "worst 10 s in virtual time")
		for _, w := range e.Strategies {
			chart.Series = append(chart.Series, w+", virtual")
			chart.Values = append(chart.Values, nil)
		}
	}
	for _, f := range e.Fronts {
		for _, s := range e.Scenarios {
			chart.Groups = append(chart.Groups, s)
			for i, w := range e.Strategies {
				var service, worst, latencies, virtual, virtualWorst []float64
				requests, crossed, taken, broken := 0, int64(0), int64(0), 0
				for _, r := range runs {
					if r.front != f || r.scenario != s || r.strategy != w {
						continue
					}
					service, worst, latencies = append(service, r.res.Service), append(worst, r.res.Worst), append(latencies, r.res.Took...)
					requests += r.res.Requests
					mine := int64(0)
					for _, class := range []string{"lookup", "report", "load", "write"} {
						mine += r.res.Counters["site.crossed."+class]
						taken += r.res.Counters["site.run-here."+class]
					}
					crossed += mine
					broken += len(r.res.Faults)
					faults = append(faults, r.res.Faults...)
					row := []any{f, s, w, r.seed, r.res.Requests, fmt.Sprintf("%.4f", r.res.Service), fmt.Sprintf("%.4f", r.res.Worst), mine, "", "", "", len(r.res.Faults)}
					if v := r.virtual; v != nil {
						virtual, virtualWorst = append(virtual, v.Service()), append(virtualWorst, v.Worst)
						row[8], row[9], row[10] = fmt.Sprintf("%.4f", v.Service()), fmt.Sprintf("%.4f", v.Worst), v.Crossed
					}
					raw.Add(row...)
				}
				slices.Sort(latencies)
				at := func(p float64) float64 {
					if len(latencies) == 0 {
						return 0
					}
					return stat.Quantile(p, stat.Empirical, latencies, nil)
				}
				row := []any{f, s, w, requests, medianAndRange(service), fmt.Sprintf("%.3f", median(worst))}
				if e.Virtual {
					if len(virtual) > 0 {
						row = append(row, medianAndRange(virtual), fmt.Sprintf("%.3f", median(virtualWorst)))
						chart.Values[len(e.Strategies)+i] = append(chart.Values[len(e.Strategies)+i], median(virtual))
					} else {
						row = append(row, "-", "-")
						chart.Values[len(e.Strategies)+i] = append(chart.Values[len(e.Strategies)+i], 0)
					}
				}
				t.Add(append(row, fmt.Sprintf("%.0f, %.0f", at(0.5), at(0.99)), crossed, taken, broken)...)
				chart.Values[i] = append(chart.Values[i], median(service))
			}
		}
	}
	return faults, keep(dir, e.Name, &t, &raw, chart.SVG)
}
