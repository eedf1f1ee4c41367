package report

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
)

// TestDigest compares charts and tables byte for byte with those of the first version, so that equal
// figures always give equal files.
func TestDigest(t *testing.T) {
	const want = "716c32ca2f1f9e1d425f6e359663aa99a44666a787804f6ce043115c091dd18c"
	digest := sha256.New()
	bars := Bars{Title: "t", Axis: "a", Groups: []string{"g", "h"}, Series: []string{"s", "u"}, Values: [][]float64{{1, 2}, {3, 4.5}}}
	lines := Lines{Title: "t", X: "x", Y: "y", Series: []string{"s"}, Points: [][][2]float64{{{1, 2}, {10, 3}, {100, 5}}}, LogX: true}
	for _, chart := range []interface{ SVG() ([]byte, error) }{&bars, &lines} {
		svg, err := chart.SVG()
		if err != nil {
			t.Fatal(err)
		}
		digest.Write(svg)
	}
	table := Table{Columns: []string{"a", "b"}}
	table.Add(1.23456, "x")
	table.Add(7, "y, z")
	for _, write := range []func() (string, error){table.Markdown, table.CSV} {
		text, err := write()
		if err != nil {
			t.Fatal(err)
		}
		digest.Write([]byte(text))
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the charts and tables = %s, want %s", got, want)
	}
}
