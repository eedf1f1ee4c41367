package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"gannetspur/internal/testbed/report"

	"gonum.org/v1/gonum/stat"
)

type compareCommand struct {
	A  string   `arg:"" help:"Figures of one run, as testbed run keeps them (CSV)." name:"a"`
	B  string   `arg:"" help:"Figures of another." name:"b"`
	By []string `default:"front,connections,phase" help:"Columns whose values make a row." name:"by"`
	Of string   `default:"latency_ms" help:"Column that is compared." name:"of"`
}

// Run sets two runs of an experiment side by side.
func (c *compareCommand) Run() error {
	a, order, err := c.read(c.A, nil)
	if err != nil {
		return err
	}
	b, order, err := c.read(c.B, order)
	if err != nil {
		return err
	}
	t := report.Table{Columns: append(slices.Clone(c.By), "number", "p50", "p99", "worst", "p99, B / A", "farthest apart")}
	for _, key := range order {
		x, y := a[key], b[key]
		row := make([]any, 0, len(t.Columns))
		for _, v := range strings.Split(key, "\x00") {
			row = append(row, v)
		}
		if len(x) == 0 || len(y) == 0 {
			row = append(row, fmt.Sprintf("%d, %d", len(x), len(y)), "-", "-", "-", "-", "-")
			t.Add(row...)
			continue
		}
		slices.Sort(x)
		slices.Sort(y)
		at := func(p float64) string {
			return fmt.Sprintf("%.2f, %.2f", stat.Quantile(p, stat.Empirical, x, nil), stat.Quantile(p, stat.Empirical, y, nil))
		}
		ratio := stat.Quantile(0.99, stat.Empirical, y, nil) / stat.Quantile(0.99, stat.Empirical, x, nil)
		row = append(row, fmt.Sprintf("%d, %d", len(x), len(y)), at(0.5), at(0.99), at(1), fmt.Sprintf("%.3f", ratio),
			fmt.Sprintf("%.3f", stat.KolmogorovSmirnov(x, nil, y, nil)))
		t.Add(row...)
	}
	md, err := t.Markdown()
	if err != nil {
		return err
	}
	fmt.Print(md)
	fmt.Println("A, B in each cell. Farthest apart: the largest distance between the two distributions, 0 to 1 (Kolmogorov and Smirnov).")
	return nil
}

// read reads the figures of a run by key, and adds keys that are new to the order.
func (c *compareCommand) read(path string, order []string) (by map[string][]float64, keys []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(rows) < 2 {
		return nil, nil, fmt.Errorf("%s: no figures", path)
	}
	var faults []error
	place := func(name string) int {
		i := slices.Index(rows[0], name)
		if i < 0 {
			faults = append(faults, fmt.Errorf("%s: there is no column %q among %s", path, name, strings.Join(rows[0], ", ")))
		}
		return i
	}
	of := place(c.Of)
	places := make([]int, len(c.By))
	for i, name := range c.By {
		places[i] = place(name)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, nil, err
	}
	by = map[string][]float64{}
	for n, row := range rows[1:] {
		x, err := strconv.ParseFloat(row[of], 64)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: row %d: %w", path, n+2, err)
		}
		parts := make([]string, len(places))
		for i, p := range places {
			parts[i] = row[p]
		}
		key := strings.Join(parts, "\x00")
		if !slices.Contains(order, key) {
			order = append(order, key)
		}
		by[key] = append(by[key], x)
	}
	return by, order, nil
}
