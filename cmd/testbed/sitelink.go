package main

import (
	"fmt"
	"os"
	"time"

	"gannetspur/internal/testbed/report"
	"gannetspur/internal/testbed/sitelink"
	"gannetspur/policy"
)

// sitelinkCommand measures the link between sites.
type sitelinkCommand struct {
	Out     string        `placeholder:"FOLDER" help:"Write table, figures and chart to this folder, as site-link.*." name:"out"`
	For     time.Duration `default:"3s" help:"Duration of each measurement, 100ms to 1m." name:"for"`
	Rounds  int           `default:"5" help:"Number of measurements of each load and path, taken in turn, 1 to 50; the median is reported." name:"rounds"`
	Streams int           `default:"10000" help:"Number of streams open at the same time, 1 to 16000." name:"streams"`
}

// Run measures the link between sites and a plain TCP relay in turn, then the memory of open streams and the
// cost of compression.
func (c *sitelinkCommand) Run() error {
	if c.For < 100*time.Millisecond || c.For > time.Minute || c.Rounds < 1 || c.Rounds > 50 || c.Streams < 1 || c.Streams > 16000 {
		return fmt.Errorf("--for %v, --rounds %d, --streams %d: out of range, want 100ms to 1m, 1 to 50 and 1 to 16000", c.For, c.Rounds, c.Streams)
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
	fmt.Printf("\n%d open streams: %.1f MB of heap in both gateways together, %.0f bytes per stream\n\n", open.Streams, open.HeapMB, open.PerStream)
	return reportPacking()
}

// measureRates measures each load over a plain relay and over the link, in turn so that changes of the machine
// affect both alike, and writes tables and chart.
func (c *sitelinkCommand) measureRates(dir string, settings policy.Settings) error {
	t := report.Table{Columns: []string{"load", "path", "requests/s", "MB/s", "p50 (ms)", "p99 (ms)", "rounds"}}
	raw := report.Table{Columns: []string{"load", "way", "round", "per_s", "mb_per_s", "p50_ms", "p99_ms"}}
	chart := report.Bars{Title: "One link between sites", Axis: "request rate / rate of a bare relay", Series: []string{"link", "link, zstd"}, Values: make([][]float64, 2)}
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

// reportPacking prints the cost and the benefit of compressing bodies of several sizes.
func reportPacking() error {
	packed, err := sitelink.Packed([]int{400, 1 << 10, 4 << 10, 20_000, 64 << 10, 1 << 20})
	if err != nil {
		return err
	}
	p := report.Table{Columns: []string{"body (bytes)", "compressed size (share of body)", "compress (us)", "decompress (us)", "saves time on links up to (MB/s)"}}
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
