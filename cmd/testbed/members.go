package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"gannetspur/internal/testbed/membershipsim"
	"gannetspur/internal/testbed/report"
)

// membersExperiment simulates membership protocols in virtual time, the product's own and baselines, on the same
// network model.
type membersExperiment struct {
	Kind  string        `toml:"kind"`
	Name  string        `toml:"name"`
	Title string        `toml:"title"`
	Seeds []uint64      `toml:"seeds"`
	Plays []membersPlay `toml:"play"`
}

// membersPlay is one scenario; it runs for each number of members, protocol and seed.
type membersPlay struct {
	Name            string   `toml:"name"`
	Protocols       []string `toml:"ways"`    // names of protocols, as in membershipsim.Ways
	Members         []int    `toml:"members"` // cluster sizes to simulate
	Loss            float64  `toml:"loss"`    // share of datagrams lost, from 0 to below 1
	Seeds           int      `toml:"seeds"`   // number of members that each member knows at its start; 0: all
	WarmS           float64  `toml:"warm_s"`  // time allowed for all members to find each other, in seconds
	RestS           float64  `toml:"rest_s"`  // time without faults other than loss, in seconds
	PauseS          float64  `toml:"pause_s"` // time in seconds for which one process is paused; 0: none
	Crashes         int      `toml:"crashes"` // number of crashes, one after the other
	FinalCrashShare float64  `toml:"most"`    // share of the members that crash together at the end; 0: none
}

// readMembers reads and checks a members experiment.
func readMembers(path string) (*membersExperiment, error) {
	var e membersExperiment
	return &e, readFile(path, &e, func(require requireFunc) {
		requireCommon(require, e.Name, e.Seeds, 1, 1)
		require(len(e.Plays) > 0, "play: at least one is required")
		for i, p := range e.Plays {
			for _, w := range p.Protocols {
				require(membershipsim.Ways[w] != nil, "play[%d].ways: unknown protocol %q", i, w)
			}
			for _, n := range p.Members {
				require(n >= 3 && n <= 2000, "play[%d].members: %d is out of range, want 3 to 2000", i, n)
			}
			require(p.Loss >= 0 && p.Loss < 1 && p.FinalCrashShare >= 0 && p.FinalCrashShare < 1, "play[%d].loss, most: got %g and %g, want 0 to below 1", i, p.Loss, p.FinalCrashShare)
			require(p.Seeds >= 0, "play[%d].seeds: %d is out of range, want 0 or more", i, p.Seeds)
			require(p.WarmS > 0 && p.RestS > 0 && p.WarmS+p.RestS <= 200000, "play[%d].warm_s, rest_s: got %g and %g, want above 0 and together at most 200000 s", i, p.WarmS, p.RestS)
		}
	})
}

// membersJob is one run of a members experiment.
type membersJob struct {
	play  membersPlay
	m     membershipsim.Measure
	found membershipsim.Found
}

// jobs returns all runs; runs that share a row of the table are adjacent, as report requires.
func (e *membersExperiment) jobs() (jobs []*membersJob) {
	for _, p := range e.Plays {
		for _, n := range p.Members {
			for _, way := range p.Protocols {
				for _, seed := range e.Seeds {
					jobs = append(jobs, &membersJob{play: p, m: membershipsim.Measure{
						Way: way, Members: n, Seed: seed, Loss: p.Loss, Seeds: p.Seeds, Warm: seconds(p.WarmS), Rest: seconds(p.RestS), Pause: seconds(p.PauseS), Crashes: p.Crashes, Most: p.FinalCrashShare,
					}})
				}
			}
		}
	}
	return jobs
}

// runMembers runs all jobs, as many at a time as there are CPUs. The CSV file is identical for the same seeds.
func runMembers(c *runCommand) error {
	e, err := readMembers(c.File)
	if err != nil {
		return err
	}
	if len(c.Seed) > 0 {
		e.Seeds = c.Seed
	}
	jobs := e.jobs()
	slots := make(chan struct{}, runtime.NumCPU())
	var running sync.WaitGroup
	for _, j := range jobs {
		slots <- struct{}{}
		running.Go(func() {
			j.found = j.m.Play()
			if !c.Quiet {
				fmt.Printf("%s, %d members, %s, seed %d\n", j.play.Name, j.m.Members, j.m.Way, j.m.Seed)
			}
			<-slots
		})
	}
	running.Wait()

	return e.report(c.Out, jobs)
}

// report writes the tables and the chart of all jobs.
func (e *membersExperiment) report(dir string, jobs []*membersJob) error {
	table := report.Table{Columns: []string{"play", "members", "protocol", "runs", "all found after start, worst (s)", "crash known to a survivor, p50, p99 (s)", "crash known to the last survivor, worst (s)", "crash not known to a survivor within 15 s (cases)", "false deaths per member and day",
		"false deaths reported by the paused member", "view changes per survivor and crash", "bytes/s per member, at rest", "bytes/s per member, busiest 10 s", "datagrams/s per member", "CPU per member (ms/s)", "CPU per decision (us)",
		"after the mass crash: until survivors agree (s)", "view changes of one survivor, most"}}
	raw := report.Table{Columns: []string{"play", "members", "way", "seed", "agreed", "settled_s", "p50_s", "p99_s", "last_s", "never", "wrong", "wrong_by_paused", "changes", "bytes", "busy_bytes", "datagrams", "most_s", "most_changes"}}
	chart := report.Lines{Title: e.Title, X: "members", Y: "until the last survivor knows of a crash (s)"}
	for i := 0; i < len(jobs); {
		first := jobs[i]
		var detected, last, most, settled []time.Duration
		var wrong, by, n, views, never int
		var changes, bytes, busy, packets, span float64
		var cpu, each time.Duration
		for ; i < len(jobs) && jobs[i].m.Way == first.m.Way && jobs[i].m.Members == first.m.Members && jobs[i].play.Name == first.play.Name; i++ {
			f, m := jobs[i].found, jobs[i].m
			late := 0
			for _, d := range f.Detected {
				if d >= 15*time.Second {
					late++
				}
			}
			raw.Add(jobs[i].play.Name, m.Members, m.Way, m.Seed, f.Agreed, f.Settled.Seconds(), quantileSeconds(f.Detected, 0.5), quantileSeconds(f.Detected, 0.99), longestSeconds(f.Last), late, f.Wrong, f.WrongBy,
				f.Changes, f.Bytes, f.BytesAll, f.Packets, f.MostLast.Seconds(), f.MostViews)
			detected, last, most = append(detected, f.Detected...), append(last, f.Last...), append(most, f.MostLast)
			settled = append(settled, f.Settled)
			wrong, by, never, views, n = wrong+f.Wrong, by+f.WrongBy, never+late, max(views, f.MostViews), n+1
			changes, bytes, busy, packets = changes+f.Changes, bytes+f.Bytes, max(busy, f.BytesAll), packets+f.Packets
			cpu, each = cpu+f.CPU, each+f.Each
			span += float64(m.Members) * (m.Rest + m.Pause + time.Duration(m.Crashes)*15*time.Second).Hours() / 24
		}
		slices.Sort(detected)
		slices.Sort(last)
		began := "never"
		if slices.Min(settled) > 0 {
			began = longestSeconds(settled)
		}
		rest := "-"
		if first.m.Most > 0 {
			if rest = "never"; slices.Min(most) > 0 {
				rest = fmt.Sprintf("%.1f", slices.Max(most).Seconds())
			}
		}
		k := float64(n)
		table.Add(first.play.Name, first.m.Members, first.m.Way, n, began, fmt.Sprintf("%s, %s", quantileSeconds(detected, 0.5), quantileSeconds(detected, 0.99)), quantileSeconds(last, 1), never,
			fmt.Sprintf("%.2f", float64(wrong)/span), by, fmt.Sprintf("%.2f", changes/k), fmt.Sprintf("%.0f", bytes/k), fmt.Sprintf("%.0f", busy), fmt.Sprintf("%.1f", packets/k),
			fmt.Sprintf("%.2f", float64(cpu.Microseconds())/1000/k), fmt.Sprintf("%.1f", float64(each.Nanoseconds())/1000/k), rest, views)
		if first.m.Crashes > 0 && len(last) > 0 {
			at := slices.Index(chart.Series, first.play.Name+" "+first.m.Way)
			if at < 0 {
				at = len(chart.Series)
				chart.Series, chart.Points = append(chart.Series, first.play.Name+" "+first.m.Way), append(chart.Points, nil)
			}
			chart.Points[at] = append(chart.Points[at], [2]float64{float64(first.m.Members), slices.Max(last).Seconds()})
		}
	}
	chart.LogX = len(chart.Points) > 0 // a logarithmic axis needs at least one point
	return keep(dir, e.Name, &table, &raw, chart.SVG)
}

// longestSeconds formats the longest duration in seconds, or "-" if there is none.
func longestSeconds(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", slices.Max(all).Seconds())
}

// quantileSeconds formats quantile q (0 to 1) of sorted durations in seconds, or "-" if there is none.
func quantileSeconds(all []time.Duration, q float64) string {
	if len(all) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", all[min(int(q*float64(len(all))), len(all)-1)].Seconds())
}
