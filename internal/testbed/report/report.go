// Package report writes the results of an experiment: a table as Markdown, the raw figures as CSV and
// charts as SVG. The same figures always give the same bytes.
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

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	barsWidth   = 240 // points, of all bars of a chart together
)

// Table holds the names of its columns, and rows of one text per column.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Add appends a row of one cell per column. Floating-point numbers are written with three significant digits.
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

// Markdown returns the table as Markdown.
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

// CSV returns the table as comma-separated values.
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
	Title, Axis string      // Axis labels the vertical axis, with its unit
	Groups      []string    // names along the horizontal axis
	Series      []string    // names of the bars in a group
	Values      [][]float64 // by series, then by group
}

// SVG draws the chart.
func (c *Bars) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.Y.Label.Text = c.Axis
	width := vg.Points(barsWidth / float64(max(len(c.Series)*len(c.Groups), 1)))
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

// Lines is a chart of lines over a common horizontal axis.
type Lines struct {
	Title, X, Y string         // X and Y label the axes, with their units
	Series      []string       // names of the lines
	Points      [][][2]float64 // by series: x and y of each point
	LogX        bool           // whether the X axis is logarithmic
}

// SVG draws the chart.
func (c *Lines) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	if c.LogX {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, points := range c.Points {
		xys := make(plotter.XYs, len(points))
		for j, point := range points {
			xys[j] = plotter.XY{X: point[0], Y: point[1]}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, fmt.Errorf("chart: %w", err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.Series[i], line)
	}
	p.Legend.Top = true
	return draw(p)
}

// draw renders a chart as SVG.
func draw(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	return b.Bytes(), nil
}

// Write writes the files of one experiment, by name, to a directory, which it creates if necessary.
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
