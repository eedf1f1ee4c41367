package slowstart

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/enginemodel"
)

// Budget of an engine in slow start, as in the contract of the settings that the deployments use.
const (
	startCapacity  = 0.33
	overloadFactor = 2.5
	overloadWindow = time.Second
	warmUpPeriod   = 15 * time.Second
	// A window counts if more than toldShare of its work came after discovery had reported the start.
	toldShare = 2.0 / 3
)

// arrival is a request that reached an engine.
type arrival struct {
	at   time.Time
	work time.Duration
}

// recorder draws the work of requests, and records when they reach which engine.
type recorder struct {
	mu       sync.Mutex
	random   *rand.Rand
	arrivals map[string][]arrival // by name of the engine
}

func newRecorder(seed uint64) *recorder {
	return &recorder{random: rand.New(rand.NewPCG(seed, 1)), arrivals: map[string][]arrival{}}
}

// queryFor returns the query of a statement, with exponentially distributed work.
func (r *recorder) queryFor(statement string) enginemodel.Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean, threads := meanLookupWork, 1.0
	if strings.Contains(statement, "INSERT") {
		mean, threads = meanLoadWork, loadThreads
	}
	work := time.Duration(r.random.ExpFloat64() * float64(mean))
	return enginemodel.Query{Class: enginemodel.Class{Threads: threads}, Work: work, NeedMB: 1}
}

// receive records a query that reached an engine.
func (r *recorder) receive(engine string, q enginemodel.Query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[engine] = append(r.arrivals[engine], arrival{time.Now(), q.Work})
}

// meanWork returns the mean work of all requests that have reached an engine.
func (r *recorder) meanWork() time.Duration {
	total, count := time.Duration(0), 0
	for _, all := range r.arrivals {
		for _, a := range all {
			total += a.work
			count++
		}
	}
	return total / time.Duration(max(count, 1))
}

// overload is the window in which the most work reached an engine in slow start.
type overload struct {
	requests float64       // work in the window, in requests of mean work
	limit    float64       // the number that the engine bears
	at       time.Duration // start of the window, since that of the engine
	told     float64       // fraction of the work that came after discovery had reported the start
}

func (o *overload) ratio() float64 { return o.requests / max(o.limit, 1) }

// worst returns the worst window after a start that was reported at the time told, among those where more than toldShare
// of the work came after the report. The windows end before the time end.
func (r *recorder) worst(engine string, started, told, end time.Time) overload {
	r.mu.Lock()
	defer r.mu.Unlock()
	meanWork := float64(r.meanWork())
	allowed := overloadFactor * startCapacity * engineConfig().Cores * float64(overloadWindow) / meanWork
	worst := overload{limit: limitOf(allowed)}
	all := r.arrivals[engine]
	for i, first := range all {
		if first.at.Before(started) {
			continue
		}
		window := overload{limit: worst.limit, at: first.at.Sub(started)}
		afterTold := 0.0
		for _, a := range all[i:] {
			if a.at.After(end) || a.at.Sub(first.at) >= overloadWindow {
				break
			}
			window.requests += float64(a.work) / meanWork
			if a.at.After(told) {
				afterTold += float64(a.work) / meanWork
			}
		}
		window.told = afterTold / max(window.requests, math.SmallestNonzeroFloat64)
		if window.told > toldShare && window.requests > worst.requests {
			worst = window
		}
	}
	return worst
}

// limitOf returns the number of requests of mean work that an engine bears where the settings allow it so many.
func limitOf(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
