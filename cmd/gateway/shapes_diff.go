package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"

	"gannetspur/internal/queryshape"
)

type diffCommand struct {
	Old       string  `arg:"" help:"Older snapshot file." name:"old"`
	New       string  `arg:"" help:"Newer snapshot file." name:"new"`
	Limit     int     `name:"most" default:"20" help:"Maximum number of shapes to list."`
	MinFactor float64 `name:"over" default:"1.5" help:"List only shapes whose cost changed by at least this factor."`
}

// costChange is a query shape whose typical work differs between two snapshots.
type costChange struct {
	shape         *queryshape.SavedShape
	before, after float64 // typical work of one execution, in ms
}

// distance returns the absolute logarithm of the ratio of the two costs.
func (c costChange) distance() float64 { return math.Abs(math.Log(c.after / c.before)) }

// Run lists the shapes whose cost changed by at least the given factor, the largest change first. It then prints how many
// changed, how many are only in the newer snapshot (came) and how many only in the older one (went).
func (c *diffCommand) Run() error {
	older, err := queryshape.ReadSnapshot(c.Old)
	if err != nil {
		return err
	}
	newer, err := queryshape.ReadSnapshot(c.New)
	if err != nil {
		return err
	}
	missing := map[string]*queryshape.SavedShape{}
	for i := range older.Shapes {
		missing[older.Shapes[i].NormalForm] = &older.Shapes[i]
	}
	var changes []costChange
	added := 0
	for i := range newer.Shapes {
		shape := &newer.Shapes[i]
		previous := missing[shape.NormalForm]
		if previous == nil {
			added++
			continue
		}
		delete(missing, shape.NormalForm)
		change := costChange{shape: shape, before: typicalWork(previous), after: typicalWork(shape)}
		observed := change.before > 0 && change.after > 0
		if observed && change.distance() >= math.Log(max(c.MinFactor, 1)) {
			changes = append(changes, change)
		}
	}
	slices.SortStableFunc(changes, func(a, b costChange) int { return descending(a.distance(), b.distance()) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "was ms\tis ms\tfactor\tshape\n")
	for _, change := range changes[:min(c.Limit, len(changes))] {
		factor := strconv.FormatFloat(change.after/change.before, 'g', 3, 64)
		fmt.Fprintf(w, "%.4g\t%.4g\t%s\t%s\n", change.before, change.after, factor, truncate(change.shape.NormalForm))
	}
	fmt.Fprintf(w, "\n%d changed\t%d came\t%d went\t\n", len(changes), added, len(missing))
	return w.Flush()
}
