// Package report writes what an experiment found: a table in Markdown, the raw figures
// as CSV and a chart as SVG. The same figures give the same bytes.
package report

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is a result: names of columns and rows of texts.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Add adds a row; numbers are written with three figures.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3g", v)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Markdown is the table as Markdown.
func (t *Table) Markdown() (string, error) {
	var b strings.Builder
	w := tablewriter.NewTable(&b, tablewriter.WithRenderer(renderer.NewMarkdown()),
		tablewriter.WithHeaderAutoFormat(tw.Off), tablewriter.WithRowAutoWrap(tw.WrapNone), tablewriter.WithHeaderAutoWrap(tw.WrapNone))
	w.Header(t.Columns)
	if err := w.Bulk(t.Rows); err != nil {
		return "", fmt.Errorf("table: %w", err)
	}
	if err := w.Render(); err != nil {
		return "", fmt.Errorf("table: %w", err)
	}
	return b.String(), nil
}

// CSV is the table as comma-separated values.
func (t *Table) CSV() (string, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	if err := w.Write(t.Columns); err != nil {
		return "", fmt.Errorf("csv: %w", err)
	}
	if err := w.WriteAll(t.Rows); err != nil {
		return "", fmt.Errorf("csv: %w", err)
	}
	return b.String(), nil
}

// Bars is a chart of groups of bars.
type Bars struct {
	Title, Axis string
	Groups      []string    // names along the axis
	Series      []string    // names of the bars in a group
	Values      [][]float64 // by series, then by group
}

// SVG draws the chart.
func (c *Bars) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = c.Title, c.Axis
	width := vg.Points(240 / float64(max(len(c.Series)*len(c.Groups), 1)))
	for i, values := range c.Values {
		bars, err := plotter.NewBarChart(plotter.Values(values), width)
		if err != nil {
			return nil, fmt.Errorf("chart: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(c.Values)-1)/2)
		p.Add(bars)
		p.Legend.Add(c.Series[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(c.Groups...)
	return draw(p)
}

// Lines is a chart of lines over a common axis.
type Lines struct {
	Title, X, Y string
	Series      []string
	Points      [][][2]float64 // by series
	LogX        bool
}

// SVG draws the chart.
func (c *Lines) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	if c.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, points := range c.Points {
		xys := make(plotter.XYs, len(points))
		for j, q := range points {
			xys[j].X, xys[j].Y = q[0], q[1]
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("chart: %w", err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.Series[i], line)
	}
	p.Legend.Top = true
	return draw(p)
}

func draw(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(18*vg.Centimeter, 10*vg.Centimeter, "svg")
	if err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	return b.Bytes(), nil
}

// Write keeps files of one experiment in a folder.
func Write(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o644); err != nil {
			return fmt.Errorf("results: %w", err)
		}
	}
	return nil
}
