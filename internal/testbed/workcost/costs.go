// Package workcost defines the cost of the testbed's requests and the value of their answers. Both are
// functions of a request's mark alone, the identifier that a load generator puts into each request, so that
// an emulated engine, a checker and a simulation in virtual time agree on them.
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
	Name             string        // lookup, report, load or write
	Value            float64       // of an answer in time
	LateFraction     float64       // of Value, for a late answer
	LatencyObjective time.Duration // latency up to which an answer has its full value, without the stretch
	Stretch          float64       // multiple of the work per thread that is added to the objective
	Threads          float64       // threads that work in parallel
	IO               float64       // fraction of the work that is disk I/O
	MeanWork         float64       // ms on one core, of all threads together
	MemoryMB         float64       // memory needed
	Load             bool          // whether requests are bulk loads
	Waits            bool          // whether requests are blocked while a bulk load locks their group of tables
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

// ClassOf returns the class of a request by its mark, which must not be empty.
func ClassOf(mark string) Class { return classes[mark[0]] }

const (
	// workLogMean and workLogDeviation are the mean and the standard deviation of the natural
	// logarithm of a request's work over MeanWork of its class. The work is log-normal.
	workLogMean      = -0.18
	workLogDeviation = 0.6
	// tableGroups is the number of groups of tables that requests use.
	tableGroups = 8
)

// Work returns the work of a request, as time on one core, and its group of tables. The same mark always
// gives the same result.
func Work(mark string) (work time.Duration, group int64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(mark)) // never fails
	scatter := distuv.LogNormal{Mu: workLogMean, Sigma: workLogDeviation, Src: rand.NewPCG(hash.Sum64(), 1)}
	milliseconds := ClassOf(mark).MeanWork * scatter.Rand()
	return time.Duration(milliseconds * float64(time.Millisecond)), int64(hash.Sum64() % tableGroups)
}

// Query returns the engine query of a statement, by the mark that its text contains. A statement without
// a mark gets negligible work (1 ms) and memory (1 MB).
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

// Value returns the value of an answer that arrives with the given latency.
func Value(mark string, latency time.Duration) float64 {
	class := ClassOf(mark)
	work, _ := Work(mark)
	allowance := time.Duration(class.Stretch * float64(work) / class.Threads)
	if latency <= class.LatencyObjective+allowance {
		return class.Value
	}
	return class.Value * class.LateFraction
}

// WorstTenSeconds returns the lowest fraction, from 0 to 1, of the requested value that was obtained in
// any ten consecutive seconds. Each element holds the value obtained and the value requested in one
// second. The last second, which may be incomplete, is left out. The result is 1 if nothing was requested in
// any ten seconds.
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
