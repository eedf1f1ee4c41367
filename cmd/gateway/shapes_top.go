package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"gannetspur/internal/queryshape"
)

type topCommand struct {
	Snapshot string `arg:"" help:"Snapshot file." name:"snapshot"`
	Limit    int    `name:"most" default:"20" help:"Maximum number of shapes to list."`
}

// Run lists shapes by the estimated total work of their executions, the greatest first.
func (c *topCommand) Run() error {
	snapshot, err := queryshape.ReadSnapshot(c.Snapshot)
	if err != nil {
		return err
	}
	shapes := snapshot.Shapes
	slices.SortStableFunc(shapes, func(a, b queryshape.SavedShape) int { return descending(totalWork(&a), totalWork(&b)) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seen\twork ms\tprofiles\tshape\n")
	for i := range shapes[:min(c.Limit, len(shapes))] {
		shape := &shapes[i]
		fmt.Fprintf(w, "%d\t%.4g\t%d\t%s\n", shape.Record.Executions, typicalWork(shape), observedProfiles(shape), truncate(shape.NormalForm))
	}
	fmt.Fprintf(w, "\n%d shapes\t\t\t%d more were too long to keep\n", len(shapes), snapshot.TruncatedShapes)
	return w.Flush()
}

// totalWork estimates the work of all executions of a shape together, in milliseconds.
func totalWork(shape *queryshape.SavedShape) float64 {
	return float64(shape.Record.Executions) * typicalWork(shape)
}

// observedProfiles counts the buckets of value profiles (see sqltext.Profile) in which executions of a shape were observed.
func observedProfiles(shape *queryshape.SavedShape) int {
	n := 0
	for _, bucket := range shape.Record.Buckets {
		if bucket.Work.Samples > 0 {
			n++
		}
	}
	return n
}
