package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/sitelink"
	"gannetspur/policy"
)

type sitelinkCommand struct {
	Out     string        `placeholder:"FOLDER" help:"Keep table, figures and chart there, as site-link." name:"out"`
	For     time.Duration `default:"3s" help:"Length of each measurement, 100 ms to 1 min." name:"for"`
	Rounds  int           `default:"5" help:"Measurements of each, by turns; the median counts." name:"rounds"`
	Streams int           `default:"10000" help:"Streams that are opened at once." name:"streams"`
}

// Run measures the link between sites against a bare relay, by turns.
func (c *sitelinkCommand) Run() error {
	if c.For < 100*time.Millisecond || c.For > time.Minute || c.Rounds < 1 || c.Rounds > 50 || c.Streams < 1 || c.Streams > 16000 {
		return errors.New("--for, --rounds, --streams: out of their ranges")
	}
	set, err := siteConfig()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "testbed-sitelink-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if _, _, err := sitelink.Keys(dir); err != nil {
		return err
	}
	if err := c.measureRates(dir, set.Policy); err != nil {
		return err
	}
	open, err := sitelink.OpenStreams(dir, set.Policy, c.Streams)
	if err != nil {
		return err
	}
	fmt.Printf("\n%d open streams: %.1f MB of heap in both gateways together, %.0f bytes a stream\n\n", open.Streams, open.HeapMB, open.PerStream)
	return reportPacking()
}

// measureRates measures each load by turns over a bare relay and over the link, and writes tables and chart.
func (c *sitelinkCommand) measureRates(dir string, settings policy.Settings) error {
	t := report.Table{Columns: []string{"load", "way", "per second", "MB/s", "p50 (ms)", "p99 (ms)", "rounds"}}
	raw := report.Table{Columns: []string{"load", "way", "round", "per_s", "mb_per_s", "p50_ms", "p99_ms"}}
	chart := report.Bars{Title: "One link between sites", Axis: "of a bare relay's rate", Series: []string{"link", "link, zstd"}, Values: make([][]float64, 2)}
	for _, l := range []struct {
		name string
		load sitelink.Load
	}{
		{"one at a time, 300 B there, 400 B back", sitelink.Load{AtOnce: 1, Ask: 300, Answer: 400, For: c.For}},
		{"64 at a time, 300 B there, 400 B back", sitelink.Load{AtOnce: 64, Ask: 300, Answer: 400, For: c.For}},
		{"64 at a time, 300 B there, 20 KB back", sitelink.Load{AtOnce: 64, Ask: 300, Answer: 20_000, For: c.For}},
		{"8 at a time, 300 B there, 1 MB back", sitelink.Load{AtOnce: 8, Ask: 300, Answer: 1 << 20, For: c.For}},
	} {
		var rates [3][]sitelink.Rate
		ways := []string{"bare relay", "link", "link, zstd"}
		for round := range c.Rounds {
			for i, way := range ways {
				var r sitelink.Rate
				var err error
				if i == 0 {
					r, err = sitelink.OverTCP(l.load)
				} else {
					r, err = sitelink.OverLink(dir, settings, l.load, i == 2, 0)
				}
				if err != nil {
					return fmt.Errorf("%s, %s: %w", l.name, way, err)
				}
				rates[i] = append(rates[i], r)
				raw.Add(l.name, way, round+1, fmt.Sprintf("%.0f", r.PerSecond), fmt.Sprintf("%.1f", r.MBps), fmt.Sprintf("%.3f", r.P50), fmt.Sprintf("%.3f", r.P99))
			}
		}
		medianOf := func(i int, of func(sitelink.Rate) float64) float64 {
			var x []float64
			for _, r := range rates[i] {
				x = append(x, of(r))
			}
			return median(x)
		}
		for i, way := range ways {
			per := medianOf(i, func(r sitelink.Rate) float64 { return r.PerSecond })
			t.Add(l.name, way, fmt.Sprintf("%.0f", per), fmt.Sprintf("%.1f", medianOf(i, func(r sitelink.Rate) float64 { return r.MBps })),
				fmt.Sprintf("%.3f", medianOf(i, func(r sitelink.Rate) float64 { return r.P50 })), fmt.Sprintf("%.3f", medianOf(i, func(r sitelink.Rate) float64 { return r.P99 })), c.Rounds)
			if i > 0 {
				chart.Values[i-1] = append(chart.Values[i-1], per/medianOf(0, func(r sitelink.Rate) float64 { return r.PerSecond }))
			}
		}
		chart.Groups = append(chart.Groups, fmt.Sprintf("%d x %d B", l.load.AtOnce, l.load.Answer))
	}
	return keep(c.Out, "site-link", &t, &raw, chart.SVG)
}

// reportPacking prints what compression does to bodies of several sizes.
func reportPacking() error {
	packed, err := sitelink.Packed([]int{400, 1 << 10, 4 << 10, 20_000, 64 << 10, 1 << 20})
	if err != nil {
		return err
	}
	p := report.Table{Columns: []string{"body, bytes", "travels", "pack (us)", "read (us)", "pays on lines up to (MB/s)"}}
	for _, body := range packed {
		p.Add(body.Size, body.Part, body.Pack, body.Read, body.Pays)
	}
	md, err := p.Markdown()
	if err != nil {
		return err
	}
	fmt.Print(md)
	return nil
}
