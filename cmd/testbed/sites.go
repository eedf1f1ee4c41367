package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/simulation"
	"gannetspur/internal/testbed/sites"

	"gonum.org/v1/gonum/stat"
)

// sitesExperiment plays two sites on sockets, each scenario alone and together, and in virtual
// time besides where that is asked for.
type sitesExperiment struct {
	fleetCommon
	Fronts      []string
	Ways        []string
	Scenarios   []string
	Connections int
	Virtual     bool // the same in virtual time, side by side
	AtOnce      int  `toml:"at_once"`
}

func readSites(path string) (*sitesExperiment, error) {
	var e sitesExperiment
	return &e, readFile(path, &e, func(bad func(ok bool, format string, args ...any)) {
		e.check(bad)
		bad(e.Gateways == 1, "gateways: %d is not 1: on sockets each site has one", e.Gateways)
		bad(e.Connections > 0 && e.Connections <= 2000, "connections: %d is not from 1 to 2000", e.Connections)
		bad(e.AtOnce > 0 && e.AtOnce <= 32, "at_once: %d is not from 1 to 32", e.AtOnce)
		bad(len(e.Fronts) > 0 && len(e.Ways) > 0 && len(e.Scenarios) > 0, "fronts, ways, scenarios: none")
		for _, f := range e.Fronts {
			bad(f == "rest" || f == "postgres", "fronts: there is no %q; wanted is rest or postgres", f)
		}
		for _, w := range e.Ways {
			bad(w == simulation.Alone || w == simulation.Ours, "ways: there is no %q on sockets", w)
		}
		for _, s := range e.Scenarios {
			bad(socketScenario(s) != nil, "scenarios: there is no %q", s)
		}
	})
}

// socketOnly are scenarios that sockets have beside those of virtual time.
var socketOnly = []simulation.Scenario{
	{Name: "upgrades", What: "both gateways are upgraded in turn while the first site is overloaded", Events: func(span time.Duration, _ int) []simulation.Event {
		return []simulation.Event{{At: span / 6, Do: simulation.Load, Part: 2}, {At: span / 3, Do: sites.Upgrade, Site: 1}, {At: span / 2, Do: sites.Upgrade},
			{At: span * 2 / 3, Do: sites.Upgrade, Site: 1}, {At: span * 5 / 6, Do: simulation.Load, Part: 1}}
	}},
	{Name: "lost-replies", What: "replies of the second site are lost for a while, then the link is cut", Events: func(span time.Duration, _ int) []simulation.Event {
		return []simulation.Event{{At: span / 6, Do: simulation.Load, Part: 2}, {At: span / 3, Do: string(faultproxy.DroppedReplies)}, {At: span / 2, Do: simulation.Mend},
			{At: span / 2, Do: string(faultproxy.Reset)}, {At: span * 5 / 6, Do: simulation.Load, Part: 1}}
	}},
}

func socketScenario(name string) *simulation.Scenario {
	for i := range socketOnly {
		if socketOnly[i].Name == name {
			return &socketOnly[i]
		}
	}
	return simulation.ScenarioOf(name)
}

// events are a scenario's on sockets.
func (e *sitesExperiment) events(all []simulation.Event) (out []sites.Event) {
	for i, ev := range all {
		one := sites.Event{At: ev.At, Do: ev.Do, Site: ev.Site, Factor: ev.Part}
		until := time.Duration(0) // of a link's fault
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

type socketRun struct {
	front, scenario, way string
	seed                 uint64
	res                  *sites.Result
	virtual              *simulation.Result
}

func (e *sitesExperiment) run(ctx context.Context, c *runCommand, program, dir string, log io.Writer) error {
	set, err := settings()
	if err != nil {
		return err
	}
	var runs []*socketRun
	for _, f := range e.Fronts {
		for _, s := range e.Scenarios {
			for _, w := range e.Ways {
				for _, seed := range e.Seeds {
					runs = append(runs, &socketRun{front: f, scenario: s, way: w, seed: seed})
				}
			}
		}
	}
	err = many(c.Quiet, e.Name, len(runs), e.AtOnce, func(i int) (err error) {
		r := runs[i]
		sub := filepath.Join(dir, fmt.Sprint(i))
		if err := os.Mkdir(sub, 0o700); err != nil {
			return err
		}
		o := e.options(set)
		events := socketScenario(r.scenario).Events(o.Span, 2)
		r.res, err = sites.Play(ctx, sites.Options{
			Front: r.front, Root: ".", Dir: sub, Program: program, Together: r.way == simulation.Ours, Engines: e.Engines, Engine: enginemodel.Usual(),
			Rate: e.Rate, Loads: e.Loads, Reports: e.Reports, Writes: e.Writes, Connections: e.Connections,
			Link:   faultproxy.Options{Delay: o.Delay, Bandwidth: int(o.Bandwidth), Stall: o.Stall, StallFor: o.StallFor, Seed: r.seed},
			Events: e.events(events), Warm: o.Warm, Span: o.Span, Seed: r.seed, Log: log,
		})
		if err != nil {
			return fmt.Errorf("%s, %s, seed %d: %w", r.scenario, r.way, r.seed, err)
		}
		if e.Virtual && simulation.ScenarioOf(r.scenario) != nil {
			o.Way, o.Seed, o.Events = r.way, r.seed, events
			r.virtual, err = simulation.Play(o)
		}
		return err
	})
	if err != nil {
		return err
	}
	t := report.Table{Columns: []string{"front", "what happens", "way", "requests", "service, median (least to most)", "worst 10 s", "p50, p99 of served (ms)", "crossed", "answered for here", "rules broken"}}
	raw := report.Table{Columns: []string{"front", "scenario", "way", "seed", "requests", "service", "worst", "crossed", "virtual_service", "virtual_worst", "virtual_crossed", "faults"}}
	chart := report.Bars{Title: e.Title, Axis: "worth answered in time over worth asked for", Series: slices.Clone(e.Ways), Values: make([][]float64, len(e.Ways))}
	if e.Virtual {
		t.Columns = slices.Insert(t.Columns, 6, "the same in virtual time", "worst there")
		for _, w := range e.Ways {
			chart.Series = append(chart.Series, w+", virtual")
			chart.Values = append(chart.Values, nil)
		}
	}
	var faults []load.Fault
	for _, f := range e.Fronts {
		for _, s := range e.Scenarios {
			chart.Groups = append(chart.Groups, s)
			for i, w := range e.Ways {
				var service, worst, took, virtual, vworst []float64
				requests, crossed, taken, broken := 0, int64(0), int64(0), 0
				for _, r := range runs {
					if r.front != f || r.scenario != s || r.way != w {
						continue
					}
					service, worst, took = append(service, r.res.Service), append(worst, r.res.Worst), append(took, r.res.Took...)
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
						virtual, vworst = append(virtual, v.Service()), append(vworst, v.Worst)
						row[8], row[9], row[10] = fmt.Sprintf("%.4f", v.Service()), fmt.Sprintf("%.4f", v.Worst), v.Crossed
					}
					raw.Add(row...)
				}
				slices.Sort(took)
				at := func(p float64) float64 {
					if len(took) == 0 {
						return 0
					}
					return stat.Quantile(p, stat.Empirical, took, nil)
				}
				row := []any{f, s, w, requests, around(service), fmt.Sprintf("%.3f", middle(worst))}
				if e.Virtual {
					if len(virtual) > 0 {
						row = append(row, around(virtual), fmt.Sprintf("%.3f", middle(vworst)))
						chart.Values[len(e.Ways)+i] = append(chart.Values[len(e.Ways)+i], middle(virtual))
					} else {
						row = append(row, "-", "-")
						chart.Values[len(e.Ways)+i] = append(chart.Values[len(e.Ways)+i], 0)
					}
				}
				t.Add(append(row, fmt.Sprintf("%.0f, %.0f", at(0.5), at(0.99)), crossed, taken, broken)...)
				chart.Values[i] = append(chart.Values[i], middle(service))
			}
		}
	}
	if err := keep(c.Out, e.Name, &t, &raw, chart.SVG); err != nil {
		return err
	}
	return judged(faults, 0)
}
