// Package enginemodel is an engine of the register as a state machine in virtual time: cores and
// disks shared by all that runs, memory that is granted and waited for, groups of tables that
// are warm, loads that hold their group, a cold start. It reads no clock; its caller moves
// its time on, or follows the real one (internal/testbed/emulator).
//
// It follows the operators' brief, not any real database: total work falls beyond a number of
// threads a core, a query with too little memory does more work, and priorities share what is
// short as 1 : 4 : 8 : 16.
package enginemodel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config is what an engine is like.
type Config struct {
	Cores      float64       // above 0
	MemoryMB   float64       // above 0
	Sessions   int           // queries at once, waiting ones too; beyond, full
	Knee       float64       // threads a core beyond which total work falls; 1.3 to 2.2
	Thrash     float64       // how steeply: work falls to 1/(1+Thrash) at twice the knee
	Disks      float64       // disk work at once, as cores' worth
	Spill      float64       // further work of a query that has no memory at all, as a part of it
	WarmGroups int           // that the engine keeps warm
	WarmGain   float64       // share of the reading that a warm group saves
	ColdFor    time.Duration // after a start until it has all its capacity; 0: it has from the start
	ColdStart  float64       // share of its capacity at the start
	TipTimes   float64       // work sent beyond this multiple of its present capacity ...
	TipFor     time.Duration // ... for so long pushes a cold one over; 0: nothing does
}

// Usual is an engine of the kind std-8.
func Usual() Config {
	return Config{
		Cores: 8, MemoryMB: 16384, Sessions: 64, Knee: 1.7, Thrash: 0.7, Disks: 6, Spill: 2.5, WarmGroups: 4, WarmGain: 0.6,
		ColdFor: 15 * time.Second, ColdStart: 0.33, TipTimes: 2.5, TipFor: time.Second,
	}
}

// Class is what queries of one class have in common.
type Class struct {
	Threads float64
	IO      float64 // share of the work that is reading or writing
	Load    bool    // it holds its group while it runs
	Waits   bool    // it stands still while a load holds its group
}

// Query is one piece of work.
type Query struct {
	ID       uint64
	Class    Class
	Work     time.Duration // of all threads, as time on one
	NeedMB   float64
	GrantMB  float64 // 0: the engine's own choice, a quarter over the need
	Priority int     // 0 to 3
	Group    int64
}

// Done is the end of a query that ran.
type Done struct {
	ID   uint64
	At   time.Duration
	Took time.Duration
	Used float64 // MB that it needed
}

// Load is what an engine reports.
type Load struct {
	Util    float64 // share of its cores in use
	Waiting int     // for memory
	Disks   float64 // share of its disks that is busy
	Memory  float64 // share that is granted
}

type task struct {
	Query
	left    float64 // seconds of work
	arrived time.Duration
	seq     uint64
	io      float64
	rate    float64 // seconds of work a second
}

// Engine is one engine. Its zero value is not ready: see New.
type Engine struct {
	cfg     Config
	now     time.Duration
	started time.Duration
	seq     uint64
	running []*task
	line    []*task // for memory
	granted float64
	warm    []int64 // the latest first
	taken   float64 // share of the machine that another program has
	sent    []sent  // to a cold engine, of late
	fallen  bool
	load    Load
}

type sent struct {
	at   time.Duration
	work float64
}

// New returns an engine that has run for long.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, started: math.MinInt64 / 2}
}

// Start has it start anew: cold, and empty.
func (e *Engine) Start(now time.Duration) {
	*e = Engine{cfg: e.cfg, now: now, started: now}
}

// Fallen tells whether it was pushed over. It stays down.
func (e *Engine) Fallen() bool { return e.fallen }

// Take has another program take a share of the machine, 0 to 1.
func (e *Engine) Take(now time.Duration, share float64) {
	e.Advance(now)
	e.taken = min(max(share, 0), 0.99)
	e.share()
}

// Capacity is the share of its cores that it can use just now.
func (e *Engine) Capacity() float64 {
	c := 1 - e.taken
	if age := e.now - e.started; e.cfg.ColdFor > 0 && age < e.cfg.ColdFor {
		c *= e.cfg.ColdStart + (1-e.cfg.ColdStart)*float64(age)/float64(e.cfg.ColdFor)
	}
	return c
}

// Submit sends it a query. It tells whether the engine took it; a full one does not.
func (e *Engine) Submit(now time.Duration, q Query) bool {
	e.Advance(now)
	e.tip(q)
	if e.fallen || len(e.running)+len(e.line) >= e.cfg.Sessions {
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
	e.line = append(e.line, t)
	e.admit()
	e.share()
	return true
}

// tip counts the work that reaches a cold engine, work that it turns away too.
func (e *Engine) tip(q Query) {
	if e.cfg.TipFor <= 0 || e.now-e.started >= e.cfg.ColdFor {
		e.sent = nil
		return
	}
	e.sent = append(e.sent, sent{e.now, q.Work.Seconds()})
	e.sent = slices.DeleteFunc(e.sent, func(s sent) bool { return s.at <= e.now-e.cfg.TipFor })
	most := e.cfg.TipTimes * e.Capacity() * e.cfg.Cores * e.cfg.TipFor.Seconds()
	sum := 0.0
	for _, s := range e.sent {
		sum += min(s.work, most/2) // a large one by itself runs at the engine's pace, and pushes nothing over
	}
	if sum > most {
		e.fallen = true
		e.running, e.line, e.granted = nil, nil, 0
	}
}

// Cancel gives a query up and frees what it held. It tells whether the engine had it.
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
	e.running, e.line = drop(e.running), drop(e.line)
	e.admit()
	e.share()
	return had
}

// Hurry sets a query's priority.
func (e *Engine) Hurry(now time.Duration, id uint64, priority int) {
	e.Advance(now)
	for _, list := range [][]*task{e.running, e.line} {
		for _, t := range list {
			if t.ID == id {
				t.Priority = min(max(priority, 0), 3)
			}
		}
	}
	e.share()
}

// admit lets queries in from the line, by priority and then in turn, while there is memory.
func (e *Engine) admit() {
	slices.SortStableFunc(e.line, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	for len(e.line) > 0 {
		t := e.line[0]
		if e.granted+t.GrantMB > e.cfg.MemoryMB && len(e.running) > 0 {
			return
		}
		e.line = e.line[1:]
		e.granted += t.GrantMB
		if slices.Contains(e.warm, t.Group) {
			t.io *= 1 - e.cfg.WarmGain
		}
		e.warm = append([]int64{t.Group}, slices.DeleteFunc(e.warm, func(g int64) bool { return g == t.Group })...)
		e.warm = e.warm[:min(len(e.warm), e.cfg.WarmGroups)]
		e.running = append(e.running, t)
	}
}

// held tells whether a query stands still as a load that came before it holds its group.
func (e *Engine) held(t *task) bool {
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

var weights = [4]float64{1, 4, 8, 16}

// share sets the rate at which each query runs, which holds until the next change.
func (e *Engine) share() {
	var active []*task
	threads, reading := 0.0, 0.0
	for _, t := range e.running {
		if t.rate = 0; !e.held(t) {
			active = append(active, t)
			threads += t.Class.Threads
			reading += t.Class.Threads * t.io
		}
	}
	e.load = Load{Waiting: len(e.line), Memory: min(e.granted/e.cfg.MemoryMB, 1)}
	if len(active) == 0 {
		return
	}
	efficiency := 1.0
	if past := threads/e.cfg.Cores/e.cfg.Knee - 1; past > 0 {
		efficiency = 1 / (1 + e.cfg.Thrash*past)
	}
	cores := e.cfg.Cores * e.Capacity() * efficiency
	cpu := fill(active, cores, func(t *task) float64 { return t.Class.Threads })
	disk := fill(active, e.cfg.Disks*e.Capacity(), func(t *task) float64 { return t.Class.Threads * t.io })
	used := 0.0
	for i, t := range active {
		// A unit of work is so much time of a core and so much of a disk, one after the other.
		per := (1 - t.io) / cpu[i]
		if t.io > 0 {
			per += t.io * t.io / disk[i]
		}
		t.rate = 1 / per
		used += cpu[i]
	}
	e.load.Util = min(used/e.cfg.Cores+e.taken, 1)
	e.load.Disks = min(reading/e.cfg.Disks, 1)
}

// fill shares what there is by weight, and gives nobody more than it can use.
func fill(tasks []*task, total float64, most func(*task) float64) []float64 {
	got := make([]float64, len(tasks))
	open := make([]int, 0, len(tasks))
	for i := range tasks {
		if most(tasks[i]) > 0 {
			open = append(open, i)
		}
	}
	for len(open) > 0 && total > 1e-9 {
		sum := 0.0
		for _, i := range open {
			sum += weights[tasks[i].Priority] * most(tasks[i])
		}
		sated := open[:0]
		rest, each := total, total/sum
		for _, i := range open {
			t := tasks[i]
			if want := most(t) - got[i]; weights[t.Priority]*most(t)*each >= want {
				got[i] += want
				rest -= want
			} else {
				sated = append(sated, i)
			}
		}
		if len(sated) == len(open) { // nobody has all: what is left is shared out
			for _, i := range open {
				got[i] += weights[tasks[i].Priority] * most(tasks[i]) * each
			}
			return got
		}
		open, total = sated, max(rest, 0)
	}
	for i := range got {
		got[i] = max(got[i], 1e-6)
	}
	return got
}

// Next is when the next query ends if nothing changes. A cold engine changes by itself, so
// its time is at most a tenth of a second away.
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

// Advance moves its time on and tells what ended, in order.
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
		e.share()
	}
	return done
}

// Load is what it would report just now.
func (e *Engine) Load() Load { return e.load }
