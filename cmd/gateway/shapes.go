package main

import (
	"cmp"
	"math"

	"gannetspur/internal/queryshape"
)

type shapesCommand struct {
	Explain explainCommand `cmd:"" help:"Show how a statement is read, classed and costed, and why." name:"explain"`
	Top     topCommand     `cmd:"" help:"List the shapes of a snapshot that take the most work." name:"top"`
	Diff    diffCommand    `cmd:"" help:"List the shapes whose cost differs most between two snapshots." name:"diff"`
}

// meanWork is the work of a usual execution, in milliseconds; 0: none was observed.
func meanWork(shape *queryshape.SavedShape) float64 {
	if shape.Record.Work.Samples == 0 {
		return 0
	}
	return math.Exp2(float64(shape.Record.Work.Center))
}

// descending orders two numbers, the greater first.
func descending(a, b float64) int { return cmp.Compare(b, a) }

const maxShapeLength = 160

// shorten cuts a statement to what a table has room for.
func shorten(statement string) string {
	if len(statement) <= maxShapeLength {
		return statement
	}
	return statement[:maxShapeLength-3] + "..."
}
