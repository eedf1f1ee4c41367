package main

import (
	"os"
	"path/filepath"
	"testing"
)

const shapesFixture = "../../internal/queryshape/testdata/snapshot.rwshapes"

// standardOutput is what run prints.
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

// TestShapesOfFixture compares the lists that operators read with those that the code before
// the rework printed for the same snapshot.
func TestShapesOfFixture(t *testing.T) {
	for golden, run := range map[string]func() error{
		"testdata/shapes-top.txt":  (&topCommand{Snapshot: shapesFixture, Limit: 20}).Run,
		"testdata/shapes-diff.txt": (&diffCommand{Old: shapesFixture, New: shapesFixture, Limit: 5, MinFactor: 1}).Run,
	} {
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if got := standardOutput(t, run); got != string(want) {
			t.Errorf("%s: printed:\n%s\nwant:\n%s", golden, got, want)
		}
	}
}
