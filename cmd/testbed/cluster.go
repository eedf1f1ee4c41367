package main

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"gannetspur/internal/testbed/cluster"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
)

// clusterExperiment runs several gateway processes that are members of one cluster and injects
// faults between them. In an experiment file its kind is "tier".
type clusterExperiment struct {
	Kind      string        `toml:"kind"`
	Name      string        `toml:"name"`
	Title     string        `toml:"title"`
	Seeds     []uint64      `toml:"seeds"`
	Processes int           `toml:"processes"` // number of gateway processes of plays that set none
	Engines   int           `toml:"engines"`
	Rate      float64       `toml:"rate"` // requests per second at each front end
	Plays     []clusterPlay `toml:"play"`
}

// clusterPlay is one scenario of a cluster experiment; it runs once per seed.
type clusterPlay struct {
	Name      string         `toml:"name"`
	Processes int            `toml:"processes"` // number of gateway processes; 0: the experiment's number
	SpanS     float64        `toml:"span_s"`    // length in seconds, from when all members have found each other
	Alone     bool           `toml:"alone"`     // run without membership, as a baseline
	Drawn     int            `toml:"drawn"`     // number of random faults, drawn from the seed, in addition to the listed ones
	Faults    []clusterFault `toml:"fault"`
}

// clusterFault is one fault of a play.
type clusterFault struct {
	AtS            float64         `toml:"at_s"`    // start in seconds, from when all members have found each other
	ForS           float64         `toml:"for_s"`   // duration in seconds; 0: until the end of the play
	Do             cluster.Do      `toml:"do"`      // kind of fault, one of cluster.Kinds
	Who            []int           `toml:"who"`     // affected front ends, numbered from 1
	To             []int           `toml:"to"`      // for faults of datagrams: front ends to which those from Who are affected, numbered from 1; empty: all others
	BothDirections bool            `toml:"back"`    // the fault also affects the opposite direction
	DroppedShare   float64         `toml:"share"`   // share of datagrams affected, or for "starve" of the time in which the process is stopped, 0 to 1
	SlowMS         float64         `toml:"slow_ms"` // for "slow": added delay of datagrams, in milliseconds
	Side           cluster.Side    `toml:"side"`    // for "link": "engines" (To holds engine numbers from 1; empty: all), "bus" or "clients"
	Kind           faultproxy.Kind `toml:"kind"`    // for "link": kind of fault, named as in upgrade experiments
}

// readCluster reads and checks a cluster experiment.
func readCluster(path string) (*clusterExperiment, error) {
	var e clusterExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, e.Engines, e.Rate)
		require(len(e.Plays) > 0, "play: at least one is required")
		for i, p := range e.Plays {
			n := e.processes(p)
			require(n >= 3 && n <= 24, "play[%d].processes: %d is out of range, want 3 to 24", i, n)
			require(p.SpanS >= 1 && p.SpanS <= 600, "play[%d].span_s: %g is out of range, want 1 to 600 s", i, p.SpanS)
			for j, f := range p.Faults {
				at := fmt.Sprintf("play[%d].fault[%d].", i, j)
				require(slices.Contains(cluster.Kinds, f.Do), "%sdo: unknown fault %q, want one of %q", at, f.Do, cluster.Kinds)
				require(len(f.Who) > 0, "%swho: at least one front end is required", at)
				maxNumber := e.processes(p)
				for _, n := range f.Who {
					require(n >= 1 && n <= maxNumber, "%swho: %d is out of range, want 1 to %d", at, n, maxNumber)
				}
				if f.Do == cluster.Link {
					require(slices.Contains(cluster.Sides, f.Side), "%sside: unknown side %q, want one of %q", at, f.Side, cluster.Sides)
					require(slices.Contains(faultproxy.Kinds, f.Kind), "%skind: unknown kind %q, want one of %q", at, f.Kind, faultproxy.Kinds)
					maxNumber = e.Engines
				}
				for _, n := range f.To {
					require(n >= 1 && n <= maxNumber, "%sto: %d is out of range, want 1 to %d", at, n, maxNumber)
				}
				require(f.AtS >= 0 && f.AtS+f.ForS <= p.SpanS, "%sat_s: must be at least 0, and at_s + for_s at most span_s = %g; got %g + %g", at, p.SpanS, f.AtS, f.ForS)
				require(f.DroppedShare >= 0 && f.DroppedShare <= 1, "%sshare: %g is out of range, want 0 to 1", at, f.DroppedShare)
			}
		}
	})
}

// processes returns the number of gateway processes of a play.
func (e *clusterExperiment) processes(p clusterPlay) int {
	if p.Processes > 0 {
		return p.Processes
	}
	return e.Processes
}

// faults returns the listed and the random faults of a play, with numbers counted from 0.
func (p clusterPlay) faults(seed uint64, processes, engines int) (all []cluster.Fault) {
	zeroBased := func(in []int) (out []int) {
		for _, n := range in {
			out = append(out, n-1)
		}
		return out
	}
	for _, f := range p.Faults {
		all = append(all, cluster.Fault{
			At: seconds(f.AtS), For: seconds(f.ForS), Do: f.Do, Who: zeroBased(f.Who), To: zeroBased(f.To), Back: f.BothDirections, Share: f.DroppedShare, Slow: seconds(f.SlowMS / 1000),
			Side: f.Side, Kind: f.Kind,
		})
	}
	if p.Drawn > 0 {
		all = append(all, cluster.Drawn(seed, processes, engines, p.Drawn, seconds(p.SpanS))...)
	}
	return all
}

// run runs every play with every seed, writes the results, and fails if a rule was broken.
func (e *clusterExperiment) run(ctx context.Context, c *runCommand, env environment) error {
	table := report.Table{Columns: []string{"play", "front ends", "seed", "all members found (s)", "crash known to the last survivor, worst so far (s)", "view changes of one front end, most",
		"datagrams", "datagrams lost", "requests", "served", "refused", "failed", "CPU per process (ms/s)", "resident memory per process (MiB)", "rules broken"}}
	raw := report.Table{Columns: []string{"play", "seed", "at_ms", "front_end", "event", "member", "state", "view", "size", "why"}}
	chart := report.Bars{Title: e.Title, Axis: "until the last survivor knew of a crash (s)", Series: []string{"worst"}, Values: make([][]float64, 1)}
	broken := 0
	for _, p := range e.Plays {
		worst := 0.0
		for _, seed := range e.Seeds {
			sub := filepath.Join(env.dir, fmt.Sprintf("%s-%d", p.Name, seed))
			n := e.processes(p)
			res, err := cluster.Run(ctx, cluster.Options{
				Root: ".", Program: env.program, Dir: sub, Processes: n, Engines: e.Engines, Alone: p.Alone, Rate: e.Rate, Seed: seed,
				Faults: p.faults(seed, n, e.Engines), Span: seconds(p.SpanS), Log: env.log,
			})
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", p.Name, seed, err)
			}
			broken += len(res.Broken)
			for _, b := range res.Broken[:min(len(res.Broken), 10)] {
				fmt.Printf("%s, seed %d: %s\n", p.Name, seed, b)
			}
			known := "-"
			for _, k := range res.Known {
				worst = max(worst, k.Seconds())
				known = fmt.Sprintf("%.2f", worst)
			}
			other := res.Requests - res.Verdicts[load.Served] - res.Verdicts[load.Refused]
			table.Add(p.Name, n, seed, res.Found.Seconds(), known, res.Views, res.Passed, res.Lost, res.Requests, res.Verdicts[load.Served], res.Verdicts[load.Refused], other,
				fmt.Sprintf("%.1f", float64(res.CPU.Microseconds())/1000), fmt.Sprintf("%.1f", float64(res.Memory)/(1<<20)), len(res.Broken))
			for _, ev := range res.Events {
				if strings.HasPrefix(ev.Name, "members") {
					raw.Add(p.Name, seed, ev.At.Sub(res.Began).Milliseconds(), ev.From+1, ev.Name, eventField(ev, "member"), eventField(ev, "state"), eventField(ev, "digest"), eventField(ev, "size"), eventField(ev, "why"))
				}
			}
		}
		chart.Groups = append(chart.Groups, p.Name)
		chart.Values[0] = append(chart.Values[0], worst)
	}
	if err := keep(c.Out, e.Name, &table, &raw, chart.SVG); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d rules broken", broken)
	}
	fmt.Println("every request got exactly one answer; no rule was broken")
	return nil
}

// eventField returns a field of an event, or "" if the event does not have it.
func eventField(e cluster.Event, field string) any {
	if v, ok := e.Fields[field]; ok {
		return v
	}
	return ""
}
