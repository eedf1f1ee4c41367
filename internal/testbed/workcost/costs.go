// Package workcost defines what the testbed's requests cost and what their answers are worth. Both
// follow from a request's mark alone, so that an emulated engine, a checker and a simulation in
// virtual time agree.
package workcost

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"

	"gonum.org/v1/gonum/stat/distuv"
)

// Class describes a class of requests: its value, its latency objective and its cost. The figures
// are those of the PostgreSQL frontend's settings (deploy/postgres-settings.json).
type Class struct {
	Name             string
	Value            float64 // of an answer in time
	LateFraction     float64 // of Value, for a late answer
	LatencyObjective time.Duration
	Stretch          float64 // multiple of the work per thread that is added to the objective
	Threads          float64
	IO               float64 // share of the work that is reading or writing
	MeanWork         float64 // ms
	MemoryMB         float64
	Load             bool // whether it is a bulk load
	Waits            bool // whether it stands still while a load holds its group of tables
}

// classes are indexed by the first letter of a request's mark.
var classes = map[byte]Class{
	'q': {
		Name: "lookup", Value: 1, LateFraction: 0.1, LatencyObjective: 1200 * time.Millisecond, Stretch: 1.5,
		Threads: 1, IO: 0.3, MeanWork: 220, MemoryMB: 100, Waits: true,
	},
	'r': {
		Name: "report", Value: 4, LateFraction: 0.3, LatencyObjective: 2 * time.Second, Stretch: 2.5,
		Threads: 3, IO: 0.5, MeanWork: 2500, MemoryMB: 700,
	},
	'k': {
		Name: "load", Value: 5, LateFraction: 0.5, LatencyObjective: 4 * time.Second, Stretch: 2.5,
		Threads: 2, IO: 0.5, MeanWork: 3000, MemoryMB: 500, Load: true,
	},
	'w': {
		Name: "write", Value: 1, LateFraction: 0.1, LatencyObjective: 1200 * time.Millisecond, Stretch: 1.5,
		Threads: 1, IO: 0.3, MeanWork: 220, MemoryMB: 100,
	},
}

// ClassOf returns the class of a request by its mark.
func ClassOf(mark string) Class { return classes[mark[0]] }

const (
	// workLogMean and workLogDeviation are those of the normal distribution of the logarithm of
	// work over its class's mean.
	workLogMean      = -0.18
	workLogDeviation = 0.6
	// tableGroups is the number of groups of tables that requests use.
	tableGroups = 8
)

// Work returns the work that a request needs and its group of tables: the same whenever the mark
// is met.
func Work(mark string) (work time.Duration, group int64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(mark)) // never fails
	scatter := distuv.LogNormal{Mu: workLogMean, Sigma: workLogDeviation, Src: rand.NewPCG(hash.Sum64(), 1)}
	milliseconds := ClassOf(mark).MeanWork * scatter.Rand()
	return time.Duration(milliseconds * float64(time.Millisecond)), int64(hash.Sum64() % tableGroups)
}

// Query returns what a statement asks of an engine, by the mark in it. A statement without a mark
// costs next to nothing.
func Query(statement string) enginemodel.Query {
	mark := emulator.Mark(statement)
	if mark == "" {
		return enginemodel.Query{Work: time.Millisecond, NeedMB: 1, Class: enginemodel.Class{Threads: 1}, Priority: 1}
	}
	class := ClassOf(mark)
	work, group := Work(mark)
	return enginemodel.Query{
		Work:     work,
		NeedMB:   class.MemoryMB,
		Group:    group,
		Priority: 1,
		Class:    enginemodel.Class{Threads: class.Threads, IO: class.IO, Load: class.Load, Waits: class.Waits},
	}
}

// Value returns what an answer is worth that arrives at the given latency.
func Value(mark string, latency time.Duration) float64 {
	class := ClassOf(mark)
	work, _ := Work(mark)
	allowance := time.Duration(class.Stretch * float64(work) / class.Threads)
	if latency <= class.LatencyObjective+allowance {
		return class.Value
	}
	return class.Value * class.LateFraction
}

// WorstTenSeconds returns the lowest fraction of the requested value that any ten consecutive
// seconds obtained. Each second is the value obtained and the value requested. The last second,
// which may be incomplete, is left out.
func WorstTenSeconds(seconds [][2]float64) float64 {
	const window = 10
	worst := 1.0
	for i := 0; i+window < len(seconds); i++ {
		var obtained, requested float64
		for _, second := range seconds[i : i+window] {
			obtained += second[0]
			requested += second[1]
		}
		if requested > 0 {
			worst = min(worst, obtained/requested)
		}
	}
	return worst
}
