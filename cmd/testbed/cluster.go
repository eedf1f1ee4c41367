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

// clusterExperiment runs several gateway processes of one cluster, with faults between them. Its kind in a file is "tier".
type clusterExperiment struct {
	Kind      string        `toml:"kind"`
	Name      string        `toml:"name"`
	Title     string        `toml:"title"`
	Seeds     []uint64      `toml:"seeds"`
	Processes int           `toml:"processes"`
	Engines   int           `toml:"engines"`
	Rate      float64       `toml:"rate"`
	Plays     []clusterPlay `toml:"play"`
}

type clusterPlay struct {
	Name      string         `toml:"name"`
	Processes int            `toml:"processes"` // 0: as many as the experiment says
	SpanS     float64        `toml:"span_s"`
	Alone     bool           `toml:"alone"` // without membership, to compare with
	Drawn     int            `toml:"drawn"` // so many faults are drawn from the seed, beside those that are listed
	Faults    []clusterFault `toml:"fault"`
}

type clusterFault struct {
	AtS            float64         `toml:"at_s"` // from when all have found each other
	ForS           float64         `toml:"for_s"`
	Do             cluster.Do      `toml:"do"`
	Who            []int           `toml:"who"`   // front ends, from 1
	To             []int           `toml:"to"`    // of ways; none: all others
	BothDirections bool            `toml:"back"`  // and the way back
	DroppedShare   float64         `toml:"share"` // of datagrams
	SlowMS         float64         `toml:"slow_ms"`
	Side           cluster.Side    `toml:"side"` // of "link": "engines" (To: their numbers, from 1; none: all), "bus" or "clients"
	Kind           faultproxy.Kind `toml:"kind"` // and what happens there, as upgrade experiments name it
}

func readCluster(path string) (*clusterExperiment, error) {
	var e clusterExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, e.Engines, e.Rate)
		require(len(e.Plays) > 0, "play: none")
		for i, p := range e.Plays {
			n := e.processes(p)
			require(n >= 3 && n <= 24, "play[%d].processes: %d is not from 3 to 24", i, n)
			require(p.SpanS >= 1 && p.SpanS <= 600, "play[%d].span_s: %g is not from 1 to 600", i, p.SpanS)
			for j, f := range p.Faults {
				at := fmt.Sprintf("play[%d].fault[%d].", i, j)
				require(slices.Contains(cluster.Kinds, f.Do), "%sdo: there is no %q", at, f.Do)
				require(len(f.Who) > 0, "%swho: none", at)
				maxNumber := e.processes(p)
				for _, n := range f.Who {
					require(n >= 1 && n <= maxNumber, "%swho: %d is not from 1 to %d", at, n, maxNumber)
				}
				if f.Do == cluster.Link {
					require(slices.Contains(cluster.Sides, f.Side), "%sside: there is no %q", at, f.Side)
					require(slices.Contains(faultproxy.Kinds, f.Kind), "%skind: there is no %q", at, f.Kind)
					maxNumber = e.Engines
				}
				for _, n := range f.To {
					require(n >= 1 && n <= maxNumber, "%sto: %d is not from 1 to %d", at, n, maxNumber)
				}
				require(f.AtS >= 0 && f.AtS+f.ForS <= p.SpanS, "%sat_s: it is not over by span_s", at)
				require(f.DroppedShare >= 0 && f.DroppedShare <= 1, "%sshare: %g is not from 0 to 1", at, f.DroppedShare)
			}
		}
	})
}

func (e *clusterExperiment) processes(p clusterPlay) int {
	if p.Processes > 0 {
		return p.Processes
	}
	return e.Processes
}

func (p clusterPlay) faults(seed uint64, processes, engines int) (all []cluster.Fault) {
	less := func(in []int) (out []int) {
		for _, n := range in {
			out = append(out, n-1)
		}
		return out
	}
	for _, f := range p.Faults {
		all = append(all, cluster.Fault{
			At: seconds(f.AtS), For: seconds(f.ForS), Do: f.Do, Who: less(f.Who), To: less(f.To), Back: f.BothDirections, Share: f.DroppedShare, Slow: seconds(f.SlowMS / 1000),
			Side: f.Side, Kind: f.Kind,
		})
	}
	if p.Drawn > 0 {
		all = append(all, cluster.Drawn(seed, processes, engines, p.Drawn, seconds(p.SpanS))...)
	}
	return all
}

func (e *clusterExperiment) run(ctx context.Context, c *runCommand, env environment) error {
	table := report.Table{Columns: []string{"play", "front ends", "seed", "found each other (s)", "deaths known by the last (s)", "changes of one's view, at most",
		"datagrams", "lost on the way", "requests", "served", "refused", "failed", "CPU of a process (ms a second)", "memory (MB)", "rules broken"}}
	raw := report.Table{Columns: []string{"play", "seed", "at_ms", "front_end", "event", "member", "state", "view", "size", "why"}}
	chart := report.Bars{Title: e.Title, Axis: "until the last survivor knew of a death, s", Series: []string{"worst"}, Values: make([][]float64, 1)}
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
	fmt.Println("every request had its one answer; no rule was broken")
	return nil
}

// eventField returns a field of an event, or "" where it has none.
func eventField(e cluster.Event, field string) any {
	if v, ok := e.Fields[field]; ok {
		return v
	}
	return ""
}
