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

// compareCommand compares one column of two result files, group by group.
type compareCommand struct {
	A  string   `arg:"" help:"CSV file of the first run, as written by testbed run --out." name:"a"`
	B  string   `arg:"" help:"CSV file of the second run." name:"b"`
	By []string `default:"front,connections,phase" help:"Columns to group by: each combination of their values is one row of the comparison." name:"by"`
	Of string   `default:"latency_ms" help:"Numeric column to compare." name:"of"`
}

// Run prints quantiles of both runs for each group, and the distance between their distributions.
func (c *compareCommand) Run() error {
	a, order, err := c.read(c.A, nil)
	if err != nil {
		return err
	}
	b, order, err := c.read(c.B, order)
	if err != nil {
		return err
	}
	t := report.Table{Columns: append(slices.Clone(c.By), "values (A, B)", "p50 (A, B)", "p99 (A, B)", "max (A, B)", "p99 ratio (B / A)", "farthest apart (0 to 1)")}
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
	fmt.Println("p50, p99 and max are in the unit of the compared column. \"farthest apart\" is the Kolmogorov-Smirnov distance: the largest difference between the two cumulative distributions, from 0 (identical) to 1.")
	return nil
}

// read returns the compared values of a file by group key. keys is order, followed by the keys that
// only this file has, in the order of their first row.
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
		return nil, nil, fmt.Errorf("%s: no rows below the header; write the file with testbed run --out", path)
	}
	var faults []error
	columnIndex := func(name string) int {
		i := slices.Index(rows[0], name)
		if i < 0 {
			faults = append(faults, fmt.Errorf("%s: no column %q; the columns are %s", path, name, strings.Join(rows[0], ", ")))
		}
		return i
	}
	valueColumn := columnIndex(c.Of)
	groupColumns := make([]int, len(c.By))
	for i, name := range c.By {
		groupColumns[i] = columnIndex(name)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, nil, err
	}
	by = map[string][]float64{}
	for n, row := range rows[1:] {
		x, err := strconv.ParseFloat(row[valueColumn], 64)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: row %d: %w", path, n+2, err)
		}
		parts := make([]string, len(groupColumns))
		for i, p := range groupColumns {
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
