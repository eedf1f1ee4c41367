// Package enginemodel models a database engine of the register as a state machine in virtual time:
// cores and disks that all running queries share, memory grants that queries wait for, groups of tables
// that are cached (warm), bulk loads that lock their group, and a cold start. It reads no clock: its
// caller advances the time, in a simulation or along the real clock (internal/testbed/emulator).
//
// The model follows the operators' specification, not a particular database: total throughput falls
// beyond a number of threads per core, a query with too little memory does more work, and priorities 0
// to 3 share a scarce resource in the ratio 1 : 4 : 8 : 16.
package enginemodel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config describes an engine.
type Config struct {
	Cores      float64       // number of cores, above 0
	MemoryMB   float64       // memory that can be granted, above 0
	Sessions   int           // limit of queries, running and waiting; the engine rejects more
	Knee       float64       // threads per core beyond which total throughput falls; 1.3 to 2.2
	Thrash     float64       // how steeply: throughput falls to 1/(1+Thrash) at twice the knee
	Disks      float64       // concurrent disk work, in the unit of Cores
	Spill      float64       // additional work of a query without any memory, as a multiple of its work
	WarmGroups int           // number of groups of tables that the engine keeps warm
	WarmGain   float64       // fraction of the disk work that a warm group saves
	ColdFor    time.Duration // time from a start to full capacity; 0: full capacity from the start
	ColdStart  float64       // fraction of the capacity at the start
	// A cold engine crashes if the work sent to it within OverloadWindow exceeds OverloadFactor
	// times its current capacity. A window of 0 disables crashes.
	OverloadFactor float64
	OverloadWindow time.Duration
}

// Usual returns the configuration of an engine of kind std-8.
func Usual() Config {
	return Config{
		Cores: 8, MemoryMB: 16384, Sessions: 64, Knee: 1.7, Thrash: 0.7, Disks: 6, Spill: 2.5, WarmGroups: 4, WarmGain: 0.6,
		ColdFor: 15 * time.Second, ColdStart: 0.33, OverloadFactor: 2.5, OverloadWindow: time.Second,
	}
}

// Class holds the properties that queries of one class share.
type Class struct {
	Threads float64 // threads that work in parallel
	IO      float64 // fraction of the work that is disk I/O
	Load    bool    // a bulk load: it locks its group of tables while it runs
	Waits   bool    // it is blocked while a bulk load locks its group
}

// Query is a unit of work that an engine executes.
type Query struct {
	ID       uint64 // unique among the queries of an engine
	Class    Class
	Work     time.Duration // work of all threads together, as time on one core
	NeedMB   float64       // memory needed
	GrantMB  float64       // memory granted; 0: the engine grants 1.25 times the need. At most 40 % of the engine's memory is granted
	Priority int           // 0 to 3, 3 being the highest
	Group    int64         // group of tables
}

// Done describes a completed query.
type Done struct {
	ID   uint64
	At   time.Duration // when it completed
	Took time.Duration // since its submission
	Used float64       // memory that it needed, in MB
}

// Load is the load that an engine reports.
type Load struct {
	Util    float64 // CPU utilization, 0 to 1
	Waiting int     // queries that wait for memory
	Disks   float64 // disk utilization, 0 to 1
	Memory  float64 // fraction of the memory that is granted, 0 to 1
}

// task is a query that runs or waits for memory.
type task struct {
	Query
	left    float64 // remaining work, seconds on one core for all threads
	arrived time.Duration
	seq     uint64  // position in the order of submission
	io      float64 // fraction of the work that is disk I/O, less what a warm group saves
	rate    float64 // seconds of work per second; 0: blocked
}

// Engine is a modelled engine. Its zero value is not usable: see New.
type Engine struct {
	cfg      Config
	now      time.Duration
	started  time.Duration
	seq      uint64
	running  []*task
	queue    []*task   // waiting for memory
	granted  float64   // memory granted to running queries, MB
	warm     []int64   // warm groups, the most recently used first
	stolen   float64   // fraction of the machine that another program uses
	arrivals []arrival // work that reached a cold engine within OverloadWindow
	crashed  bool
	load     Load // reported load, as of the latest allocate
}

// arrival is the work of a query that reached a cold engine.
type arrival struct {
	at   time.Duration
	work float64 // seconds
}

// New returns an engine that is past its cold start.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, started: math.MinInt64 / 2}
}

// Start restarts the engine, cold and without queries.
func (e *Engine) Start(now time.Duration) {
	*e = Engine{cfg: e.cfg, now: now, started: now}
}

// Fallen reports whether the engine has crashed from overload while cold. It stays down until Start.
func (e *Engine) Fallen() bool { return e.crashed }

// Take sets the fraction of the machine, 0 to 1, that another program uses.
func (e *Engine) Take(now time.Duration, share float64) {
	e.Advance(now)
	e.stolen = min(max(share, 0), 0.99)
	e.allocate()
}

// Capacity returns the fraction of its cores that the engine can use now.
func (e *Engine) Capacity() float64 {
	c := 1 - e.stolen
	if age := e.now - e.started; e.cfg.ColdFor > 0 && age < e.cfg.ColdFor {
		c *= e.cfg.ColdStart + (1-e.cfg.ColdStart)*float64(age)/float64(e.cfg.ColdFor)
	}
	return c
}

// Submit sends a query to the engine. It reports whether the engine accepted it: an engine that is full or
// has crashed does not.
func (e *Engine) Submit(now time.Duration, q Query) bool {
	e.Advance(now)
	e.recordArrival(q)
	if e.crashed || len(e.running)+len(e.queue) >= e.cfg.Sessions {
		return false
	}
	if q.GrantMB <= 0 {
		q.GrantMB = 1.25 * q.NeedMB
	}
	q.GrantMB = min(q.GrantMB, 0.4*e.cfg.MemoryMB)
	q.Priority = min(max(q.Priority, 0), 3)
	e.seq++
	t := &task{Query: q, arrived: now, seq: e.seq, left: q.Work.Seconds(), io: q.Class.IO}
	if q.GrantMB < q.NeedMB {
		t.left *= 1 + e.cfg.Spill*(1-q.GrantMB/q.NeedMB)
	}
	e.queue = append(e.queue, t)
	e.admit()
	e.allocate()
	return true
}

// recordArrival counts the work that reaches a cold engine, rejected queries included, and crashes the
// engine if that exceeds its limit.
func (e *Engine) recordArrival(q Query) {
	if e.cfg.OverloadWindow <= 0 || e.now-e.started >= e.cfg.ColdFor {
		e.arrivals = nil
		return
	}
	e.arrivals = append(e.arrivals, arrival{e.now, q.Work.Seconds()})
	e.arrivals = slices.DeleteFunc(e.arrivals, func(a arrival) bool { return a.at <= e.now-e.cfg.OverloadWindow })
	limit := e.cfg.OverloadFactor * e.Capacity() * e.cfg.Cores * e.cfg.OverloadWindow.Seconds()
	sum := 0.0
	for _, a := range e.arrivals {
		sum += min(a.work, limit/2) // capped: a single large query does not crash the engine, since it runs at the engine's pace
	}
	if sum > limit {
		e.crashed = true
		e.running, e.queue, e.granted = nil, nil, 0
	}
}

// Cancel cancels a query and frees its memory. It reports whether the engine had the query.
func (e *Engine) Cancel(now time.Duration, id uint64) bool {
	e.Advance(now)
	had := false
	drop := func(list []*task) []*task {
		return slices.DeleteFunc(list, func(t *task) bool {
			had = had || t.ID == id
			return t.ID == id
		})
	}
	for _, t := range e.running {
		if t.ID == id {
			e.granted -= t.GrantMB
		}
	}
	e.running, e.queue = drop(e.running), drop(e.queue)
	e.admit()
	e.allocate()
	return had
}

// SetPriority sets the priority of a query, 0 to 3. It does nothing if the engine does not have the query.
func (e *Engine) SetPriority(now time.Duration, id uint64, priority int) {
	e.Advance(now)
	for _, list := range [][]*task{e.running, e.queue} {
		for _, t := range list {
			if t.ID == id {
				t.Priority = min(max(priority, 0), 3)
			}
		}
	}
	e.allocate()
}

// admit starts queued queries, by priority and then in order of submission, until the first one that does
// not fit into memory. A query runs regardless of its grant if no other does.
func (e *Engine) admit() {
	slices.SortStableFunc(e.queue, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	for len(e.queue) > 0 {
		t := e.queue[0]
		if e.granted+t.GrantMB > e.cfg.MemoryMB && len(e.running) > 0 {
			return
		}
		e.queue = e.queue[1:]
		e.granted += t.GrantMB
		if slices.Contains(e.warm, t.Group) {
			t.io *= 1 - e.cfg.WarmGain
		}
		e.warm = append([]int64{t.Group}, slices.DeleteFunc(e.warm, func(g int64) bool { return g == t.Group })...)
		e.warm = e.warm[:min(len(e.warm), e.cfg.WarmGroups)]
		e.running = append(e.running, t)
	}
}

// blocked reports whether a query is blocked because a bulk load locks its group. Other
// bulk loads block a bulk load only if they were submitted before it. Every bulk load blocks a query with
// Class.Waits.
func (e *Engine) blocked(t *task) bool {
	if !t.Class.Load && !t.Class.Waits {
		return false
	}
	for _, o := range e.running {
		if o.Class.Load && o.Group == t.Group && o != t && (o.seq < t.seq || !t.Class.Load) {
			return true
		}
	}
	return false
}

// priorityWeights are the relative shares of a scarce resource by priority.
var priorityWeights = [4]float64{1, 4, 8, 16}

// allocate sets the rate of each running query and the reported load. They are valid until the next
// change.
func (e *Engine) allocate() {
	var active []*task
	threads, reading := 0.0, 0.0
	for _, t := range e.running {
		if t.rate = 0; !e.blocked(t) {
			active = append(active, t)
			threads += t.Class.Threads
			reading += t.Class.Threads * t.io
		}
	}
	e.load = Load{Waiting: len(e.queue), Memory: min(e.granted/e.cfg.MemoryMB, 1)}
	if len(active) == 0 {
		return
	}
	efficiency := 1.0
	if past := threads/e.cfg.Cores/e.cfg.Knee - 1; past > 0 {
		efficiency = 1 / (1 + e.cfg.Thrash*past)
	}
	cores := e.cfg.Cores * e.Capacity() * efficiency
	cpu := fairShares(active, cores, func(t *task) float64 { return t.Class.Threads })
	disk := fairShares(active, e.cfg.Disks*e.Capacity(), func(t *task) float64 { return t.Class.Threads * t.io })
	used := 0.0
	for i, t := range active {
		// The fraction 1-io of the work uses cores, and then the fraction io uses disks. As disk[i] is at
		// most Threads*io, the second term is at least io/Threads.
		per := (1 - t.io) / cpu[i]
		if t.io > 0 {
			per += t.io * t.io / disk[i]
		}
		t.rate = 1 / per
		used += cpu[i]
	}
	e.load.Util = min(used/e.cfg.Cores+e.stolen, 1)
	e.load.Disks = min(reading/e.cfg.Disks, 1)
}

// fairShares divides total among the tasks in proportion to their priority weights and their demands, and
// gives no task more than its demand. When nothing is left to divide, every share is raised to at least
// 1e-6, which prevents a division by zero in allocate.
func fairShares(tasks []*task, total float64, demand func(*task) float64) []float64 {
	shares := make([]float64, len(tasks))
	pending := make([]int, 0, len(tasks))
	for i := range tasks {
		if demand(tasks[i]) > 0 {
			pending = append(pending, i)
		}
	}
	for len(pending) > 0 && total > 1e-9 {
		sum := 0.0
		for _, i := range pending {
			sum += priorityWeights[tasks[i].Priority] * demand(tasks[i])
		}
		unsatisfied := pending[:0]
		rest, each := total, total/sum
		for _, i := range pending {
			t := tasks[i]
			if want := demand(t) - shares[i]; priorityWeights[t.Priority]*demand(t)*each >= want {
				shares[i] += want
				rest -= want
			} else {
				unsatisfied = append(unsatisfied, i)
			}
		}
		if len(unsatisfied) == len(pending) { // no task is satisfied: divide the rest by weight
			for _, i := range pending {
				shares[i] += priorityWeights[tasks[i].Priority] * demand(tasks[i]) * each
			}
			return shares
		}
		pending, total = unsatisfied, max(rest, 0)
	}
	for i := range shares {
		shares[i] = max(shares[i], 1e-6)
	}
	return shares
}

// Next returns when the next query completes if nothing changes; ok is false if no query makes progress. The
// capacity of a cold engine changes by itself, so the time is then at most a tenth of a second away.
func (e *Engine) Next() (at time.Duration, ok bool) {
	soonest := math.Inf(1)
	for _, t := range e.running {
		if t.rate > 0 {
			soonest = min(soonest, t.left/t.rate)
		}
	}
	if math.IsInf(soonest, 1) {
		return 0, false
	}
	if e.now-e.started < e.cfg.ColdFor {
		soonest = min(soonest, 0.1)
	}
	return e.now + time.Duration(math.Ceil(soonest*1e9)), true
}

// Advance advances the engine's time and returns the queries that completed, in order.
func (e *Engine) Advance(to time.Duration) (done []Done) {
	for e.now < to {
		at, ok := e.Next()
		if !ok || at > to {
			at = to
		}
		step := (at - e.now).Seconds()
		e.now = at
		ended := false
		for _, t := range e.running {
			if t.left -= t.rate * step; t.rate > 0 && t.left <= 1e-9 {
				done = append(done, Done{t.ID, at, at - t.arrived, t.NeedMB})
				e.granted -= t.GrantMB
				ended = true
			}
		}
		if ended {
			e.running = slices.DeleteFunc(e.running, func(t *task) bool { return t.rate > 0 && t.left <= 1e-9 })
			e.admit()
		}
		e.allocate()
	}
	return done
}

// Load returns the load that the engine would report now.
func (e *Engine) Load() Load { return e.load }
