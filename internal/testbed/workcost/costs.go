// Package costs says what the requests of the laboratory's clients need and are worth: each by
// its mark alone, so that an emulated engine, a checker and a model in virtual time agree.
package workcost

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"

	"gonum.org/v1/gonum/stat/distuv"
)

// Class is what a class of the register is worth, and how long its answers may take. The figures
// are those of the settings of the PostgreSQL front (deploy/postgres-settings.json).
type Class struct {
	Name                string
	Value, LateFraction float64 // of an answer in time, and the share of it that a late one has
	LatencyObjective    time.Duration
	Stretch             float64 // of the work over the threads, on top of the aim
	Threads, IO         float64
	Mean                float64 // of the work, ms
	Need                float64 // of memory, MB
	Load, Waits         bool
}

var classes = map[byte]Class{
	'q': {Name: "lookup", Value: 1, LateFraction: 0.1, LatencyObjective: 1200 * time.Millisecond, Stretch: 1.5, Threads: 1, IO: 0.3, Mean: 220, Need: 100, Waits: true},
	'r': {Name: "report", Value: 4, LateFraction: 0.3, LatencyObjective: 2 * time.Second, Stretch: 2.5, Threads: 3, IO: 0.5, Mean: 2500, Need: 700},
	'k': {Name: "load", Value: 5, LateFraction: 0.5, LatencyObjective: 4 * time.Second, Stretch: 2.5, Threads: 2, IO: 0.5, Mean: 3000, Need: 500, Load: true},
	'w': {Name: "write", Value: 1, LateFraction: 0.1, LatencyObjective: 1200 * time.Millisecond, Stretch: 1.5, Threads: 1, IO: 0.3, Mean: 220, Need: 100},
}

// ClassOf is the class of a request by its mark, whose first letter tells it.
func ClassOf(mark string) Class { return classes[mark[0]] }

// Work is what a request needs, the same whenever its mark is met, and its group of tables.
func Work(mark string) (work time.Duration, group int64) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(mark)) // it never fails
	scatter := distuv.LogNormal{Mu: -0.18, Sigma: 0.6, Src: rand.NewPCG(h.Sum64(), 1)}
	return time.Duration(ClassOf(mark).Mean * scatter.Rand() * float64(time.Millisecond)), int64(h.Sum64() % 8)
}

// Query is what an engine is asked by a statement that holds a mark, or by one that holds none.
func Query(statement string) enginemodel.Query {
	mark := emulator.Mark(statement)
	if mark == "" {
		return enginemodel.Query{Work: time.Millisecond, NeedMB: 1, Class: enginemodel.Class{Threads: 1}, Priority: 1}
	}
	c := ClassOf(mark)
	w, group := Work(mark)
	return enginemodel.Query{Work: w, NeedMB: c.Need, Group: group, Priority: 1, Class: enginemodel.Class{Threads: c.Threads, IO: c.IO, Load: c.Load, Waits: c.Waits}}
}

// Value is what an answer is worth that came so long after its request.
func Value(mark string, latency time.Duration) float64 {
	c := ClassOf(mark)
	w, _ := Work(mark)
	if latency <= c.LatencyObjective+time.Duration(c.Stretch*float64(w)/c.Threads) {
		return c.Value
	}
	return c.Value * c.LateFraction
}

// WorstTenSeconds is the least share of worth that any ten seconds in a row have got, of a day by the
// second: worth got, and worth asked for. The last second, which may be cut short, is left out.
func WorstTenSeconds(seconds [][2]float64) float64 {
	worst := 1.0
	for i := 0; i+10 < len(seconds); i++ {
		var got, asked float64
		for _, s := range seconds[i : i+10] {
			got, asked = got+s[0], asked+s[1]
		}
		if asked > 0 {
			worst = min(worst, got/asked)
		}
	}
	return worst
}
