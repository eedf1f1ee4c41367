package main

import (
	"os"
	"path/filepath"
	"testing"
)

// shapesFixture is a stored snapshot of query shapes.
const shapesFixture = "../../internal/queryshape/testdata/snapshot.rwshapes"

// standardOutput returns what run prints to standard output.
func standardOutput(t *testing.T, run func() error) string {
	t.Helper()
	f, err := os.Create(filepath.Join(t.TempDir(), "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	saved := os.Stdout
	t.Cleanup(func() { os.Stdout = saved })
	os.Stdout = f
	err = run()
	os.Stdout = saved
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(f.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestShapesOutput compares the output of shapes top and shapes diff for a stored snapshot with the output from before the
// code was restructured.
func TestShapesOutput(t *testing.T) {
	for golden, run := range map[string]func() error{
		"testdata/shapes-top.txt":  (&topCommand{Snapshot: shapesFixture, Limit: 20}).Run,
		"testdata/shapes-diff.txt": (&diffCommand{Old: shapesFixture, New: shapesFixture, Limit: 5, MinFactor: 1}).Run,
	} {
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if got := standardOutput(t, run); got != string(want) {
			t.Errorf("%s: got:\n%s\nwant:\n%s", golden, got, want)
		}
	}
}
