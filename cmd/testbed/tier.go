package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/testbed/cluster"
	"gannetspur/internal/testbed/faultproxy"
	"gannetspur/internal/testbed/load"
	"gannetspur/internal/testbed/report"
)

// tierExperiment plays front ends of one tier as processes of the program, with faults between them.
type tierExperiment struct {
	Kind, Name, Title string
	Seeds             []uint64
	Processes         int
	Engines           int
	Rate              float64
	Plays             []tierPlay `toml:"play"`
}

type tierPlay struct {
	Name      string
	Processes int         // 0: as many as the experiment says
	SpanS     float64     `toml:"span_s"`
	Alone     bool        // they are no members, to compare with
	Drawn     int         // so many troubles are drawn from the seed, beside those that are listed
	Faults    []tierFault `toml:"fault"`
}

type tierFault struct {
	AtS    float64 `toml:"at_s"` // from when all have found each other
	ForS   float64 `toml:"for_s"`
	Do     cluster.Do
	Who    []int           // front ends, from 1
	To     []int           // of ways; none: all others
	Back   bool            // and the way back
	Share  float64         // of datagrams
	SlowMS float64         `toml:"slow_ms"`
	Side   cluster.Side    // of "link": "engines" (To: their numbers, from 1; none: all), "bus" or "clients"
	Kind   faultproxy.Kind // and what happens there, as upgrade experiments name it
}

func readTier(path string) (*tierExperiment, error) {
	var e tierExperiment
	return &e, readFile(path, &e, func(bad func(ok bool, format string, args ...any)) {
		named(bad, e.Name, e.Seeds, e.Engines, e.Rate)
		bad(len(e.Plays) > 0, "play: none")
		for i, p := range e.Plays {
			n := e.processes(p)
			bad(n >= 3 && n <= 24, "play[%d].processes: %d is not from 3 to 24", i, n)
			bad(p.SpanS >= 1 && p.SpanS <= 600, "play[%d].span_s: %g is not from 1 to 600", i, p.SpanS)
			for j, f := range p.Faults {
				at := fmt.Sprintf("play[%d].fault[%d].", i, j)
				bad(slices.Contains(cluster.Kinds, f.Do), "%sdo: there is no %q", at, f.Do)
				bad(len(f.Who) > 0, "%swho: none", at)
				most := e.processes(p)
				for _, n := range f.Who {
					bad(n >= 1 && n <= most, "%swho: %d is not from 1 to %d", at, n, most)
				}
				if f.Do == cluster.Link {
					bad(slices.Contains(cluster.Sides, f.Side), "%sside: there is no %q", at, f.Side)
					bad(slices.Contains(faultproxy.Kinds, f.Kind), "%skind: there is no %q", at, f.Kind)
					most = e.Engines
				}
				for _, n := range f.To {
					bad(n >= 1 && n <= most, "%sto: %d is not from 1 to %d", at, n, most)
				}
				bad(f.AtS >= 0 && f.AtS+f.ForS <= p.SpanS, "%sat_s: it is not over by span_s", at)
				bad(f.Share >= 0 && f.Share <= 1, "%sshare: %g is not from 0 to 1", at, f.Share)
			}
		}
	})
}

func (e *tierExperiment) processes(p tierPlay) int {
	if p.Processes > 0 {
		return p.Processes
	}
	return e.Processes
}

func (p tierPlay) faults(seed uint64, processes, engines int) (all []cluster.Fault) {
	less := func(in []int) (out []int) {
		for _, n := range in {
			out = append(out, n-1)
		}
		return out
	}
	s := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	for _, f := range p.Faults {
		all = append(all, cluster.Fault{
			At: s(f.AtS), For: s(f.ForS), Do: f.Do, Who: less(f.Who), To: less(f.To), Back: f.Back, Share: f.Share, Slow: s(f.SlowMS / 1000),
			Side: f.Side, Kind: f.Kind,
		})
	}
	if p.Drawn > 0 {
		all = append(all, cluster.Drawn(seed, processes, engines, p.Drawn, s(p.SpanS))...)
	}
	return all
}

func (e *tierExperiment) run(ctx context.Context, c *runCommand, program, dir string, log io.Writer) error {
	table := report.Table{Columns: []string{"play", "front ends", "seed", "found each other (s)", "deaths known by the last (s)", "changes of one's view, at most",
		"datagrams", "lost on the way", "requests", "served", "refused", "failed", "CPU of a process (ms a second)", "memory (MB)", "rules broken"}}
	raw := report.Table{Columns: []string{"play", "seed", "at_ms", "front_end", "event", "member", "state", "view", "size", "why"}}
	chart := report.Bars{Title: e.Title, Axis: "until the last survivor knew of a death, s", Series: []string{"worst"}, Values: make([][]float64, 1)}
	broken := 0
	for _, p := range e.Plays {
		worst := 0.0
		for _, seed := range e.Seeds {
			sub := filepath.Join(dir, fmt.Sprintf("%s-%d", p.Name, seed))
			n := e.processes(p)
			res, err := cluster.Run(ctx, cluster.Options{
				Root: ".", Program: program, Dir: sub, Processes: n, Engines: e.Engines, Alone: p.Alone, Rate: e.Rate, Seed: seed,
				Faults: p.faults(seed, n, e.Engines), Span: time.Duration(p.SpanS * float64(time.Second)), Log: log,
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
					raw.Add(p.Name, seed, ev.At.Sub(res.Began).Milliseconds(), ev.From+1, ev.Name, cell(ev, "member"), cell(ev, "state"), cell(ev, "digest"), cell(ev, "size"), cell(ev, "why"))
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

func cell(e cluster.Event, field string) any {
	if v, ok := e.Fields[field]; ok {
		return v
	}
	return ""
}
