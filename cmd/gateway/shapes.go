package main

import (
	"cmp"
	"math"

	"gannetspur/internal/queryshape"
)

type shapesCommand struct {
	Explain explainCommand `cmd:"" help:"Show how a statement is parsed, classified and costed, and why." name:"explain"`
	Top     topCommand     `cmd:"" help:"List the query shapes with the most total work in a snapshot." name:"top"`
	Diff    diffCommand    `cmd:"" help:"List the query shapes whose cost differs most between two snapshots." name:"diff"`
}

// typicalWork returns the learned work of one execution, in milliseconds; 0 means that none was observed. The snapshot holds
// it as a base-2 logarithm, in which recent executions count more than old ones and single outliers count little.
func typicalWork(shape *queryshape.SavedShape) float64 {
	if shape.Record.Work.Samples == 0 {
		return 0
	}
	return math.Exp2(float64(shape.Record.Work.Center))
}

// descending compares two numbers for a sort that puts the greater first.
func descending(a, b float64) int { return cmp.Compare(b, a) }

// maxShapeLength bounds a statement in a table, in bytes.
const maxShapeLength = 160

// truncate shortens a statement to maxShapeLength bytes.
func truncate(statement string) string {
	if len(statement) <= maxShapeLength {
		return statement
	}
	return statement[:maxShapeLength-3] + "..."
}
