package remotesite

import (
	"math"
	"time"
)

// Meter measures what room this gateway's part of its own site has, from what it has out
// there, what its module turns away and what engines report. Its zero value is not ready:
// see NewMeter.
type CapacityMeter struct {
	cfg      Config
	gateways float64 // of this site, which share its engines
	engines  map[string]*station
	classes  map[string]*measure
	held     float64 // threads out at engines, of this gateway
	busy     float64 // reported share of cores in use, smoothed
	busyAt   time.Duration
}

// Station is an engine as the meter sees it.
type Engine struct {
	Cores             float64
	Live              bool          // it may be sent to
	WarmUpUntil       time.Duration // it reaches its capacity then
	WarmUpPeriod      time.Duration
	WarmUpMinCapacity float64
}

type station struct{ Engine }

// measure is what is known of a class.
type measure struct {
	came, turned float64 // of late; both fade
	at           time.Duration
	quick        float64 // time that an answer takes at the least, s for a second of usual work
	work         float64 // usual, s
	n            int
}

// Times and shares of the meter.
const (
	turnFades = 2 * time.Second // in which what came and was turned away fades to a third
	turnCount = 2.0             // half turned away is as no room at all
	busyFades = time.Second     // in which a report counts
	quickDown = 0.2             // weight of an answer that was quicker than the quickest usual
	quickUp   = 0.02            // and of one that was slower: some tenth of all are quicker
	quickPart = 0.7             // of that, without which a query is not begun for another site
	quickN    = 10              // answers before that is known
)

// NewMeter returns a meter for one of so many gateways of a site.
func NewCapacityMeter(cfg Config, gateways int) *CapacityMeter {
	return &CapacityMeter{cfg: cfg, gateways: float64(max(gateways, 1)), engines: map[string]*station{}, classes: map[string]*measure{}}
}

// Engine takes an engine of this site, or a change to it.
func (m *CapacityMeter) UpdateEngine(id string, s Engine) {
	if !s.Live {
		delete(m.engines, id)
		return
	}
	m.engines[id] = &station{s}
}

func (m *CapacityMeter) class(name string) *measure {
	c := m.classes[name]
	if c == nil {
		c = &measure{}
		m.classes[name] = c
	}
	return c
}

func (c *measure) fade(now time.Duration) {
	f := math.Exp(-float64(max(now-c.at, 0)) / float64(turnFades))
	c.came, c.turned, c.at = c.came*f, c.turned*f, now
}

// Came counts a query of a class.
func (m *CapacityMeter) RecordArrival(now time.Duration, class string) {
	c := m.class(class)
	c.fade(now)
	c.came++
}

// Turned counts one that this site's module turned away.
func (m *CapacityMeter) RecordRejection(now time.Duration, class string) {
	c := m.class(class)
	c.fade(now)
	c.turned++
}

// Usual is the usual work of a class in seconds of one core; 0: unknown.
func (m *CapacityMeter) TypicalWork(class string) float64 {
	if c := m.classes[class]; c != nil {
		return c.work
	}
	return 0
}

// Sent and Ended count threads that are out at engines.
func (m *CapacityMeter) AttemptStarted(threads float64) { m.held += threads }

// Ended takes the end of an attempt.
func (m *CapacityMeter) AttemptEnded(threads float64) { m.held = max(m.held-threads, 0) }

// Took takes how long an engine took to answer, and the query's work, s (0: unknown).
func (m *CapacityMeter) RecordLatency(class string, took time.Duration, work float64) {
	c := m.class(class)
	if c.n++; c.n == 1 {
		c.quick, c.work = took.Seconds(), work
	}
	if work > 0 {
		c.work += (work - c.work) / 20
	}
	x := took.Seconds() / c.scale(work)
	if x < c.quick {
		c.quick += (x - c.quick) * quickDown
	} else {
		c.quick += (x - c.quick) * quickUp
	}
}

// scale is how much more work than usual a query has.
func (c *measure) scale(work float64) float64 {
	if work <= 0 || c.work <= 0 {
		return 1
	}
	return min(max(work/c.work, 0.1), 10)
}

// Reported takes an engine's report of the share of its cores in use.
func (m *CapacityMeter) RecordUtilization(now time.Duration, busy float64) {
	if !(busy >= 0) {
		return
	}
	m.busy += (min(busy, 1) - m.busy) / 10
	m.busyAt = now
}

// Capacity is what the engines of this site have, in cores, cold ones what they have by now.
func (m *CapacityMeter) AvailableCores(now time.Duration) (cores float64) {
	for _, e := range m.engines {
		warm := 1.0
		if left := e.WarmUpUntil - now; left > 0 && e.WarmUpPeriod > 0 {
			warm = 1 - (1-e.WarmUpMinCapacity)*min(float64(left)/float64(e.WarmUpPeriod), 1)
		}
		cores += e.Cores * warm
	}
	return cores
}

// coldMost is the work of a query that is better not begun here while an engine is cold: what
// the coldest does in a second, divided among the gateways. Guards a cold engine against large
// queries of several gateways at once, beyond what the module of each sees.
func (m *CapacityMeter) coldMost(now time.Duration) float64 {
	most := math.Inf(1)
	for _, e := range m.engines {
		if now < e.WarmUpUntil {
			most = min(most, e.WarmUpMinCapacity*e.Cores/m.gateways)
		}
	}
	return most
}

// threads is what this site's engines can hold, and what they do, as this gateway sees it.
func (m *CapacityMeter) threads(now time.Duration) (can, held float64) {
	cores := m.AvailableCores(now)
	can, held = cores*m.cfg.ThreadsPerCore, m.held*m.gateways
	if age := now - m.busyAt; m.busyAt > 0 && age < busyFades {
		held = max(held, m.busy*cores*(1-float64(age)/float64(busyFades)))
	}
	return can, held
}

// passes is the share of a class that the module lets in, counted sharply.
func (m *CapacityMeter) passes(now time.Duration, class string) float64 {
	c := m.classes[class]
	if c == nil {
		return 1
	}
	c.fade(now)
	return max(1-turnCount*c.turned/max(c.came, 1), 0)
}

// Room is what this site has for a class, as a share of its capacity.
func (m *CapacityMeter) FreeCapacity(now time.Duration, class string) float64 {
	can, held := m.threads(now)
	if can <= 0 {
		return 0
	}
	return max(1-held/can, 0) * m.passes(now, class)
}

// RoomFor is what this site has for one of its own queries: none where an engine is cold and the
// query is more than such a one should get, so that it goes where engines are warm, if anywhere
// takes it.
func (m *CapacityMeter) FreeCapacityFor(now time.Duration, q *Query) float64 {
	if q.Work > m.coldMost(now) {
		return 0
	}
	return m.FreeCapacity(now, q.Class)
}

// Accept tells whether a query of another site is begun here: not where its answer could not be
// in time, nor where the room is kept for this site's own clients. What is turned away
// by it never ran.
func (m *CapacityMeter) Accepts(now time.Duration, q *Query) bool {
	if m.FreeCapacity(now, q.Class) <= m.cfg.LocalReserve || q.Remaining <= 0 || q.Work > m.coldMost(now) {
		return false
	}
	c := m.classes[q.Class]
	return c == nil || c.n < quickN || q.Remaining.Seconds() >= quickPart*c.quick*c.scale(q.Work)
}

// Digest is what this gateway says of itself: the room, and the work that it takes from all
// other sites together until its next word, within its part of what the engines have free
// beyond the reserve.
func (m *CapacityMeter) Digest(now time.Duration, classes []string) Digest {
	d := Digest{FreeCapacity: make(map[string]float64, len(classes))}
	most := 0.0
	for _, name := range classes {
		d.FreeCapacity[name] = m.FreeCapacity(now, name)
		most = max(most, m.passes(now, name))
	}
	can, held := m.threads(now)
	spare := max(can*(1-m.cfg.LocalReserve)-held, 0) / m.gateways
	d.AcceptableWork = spare * most * m.cfg.DigestInterval.Seconds()
	return d
}

// Divide divides what a gateway takes among its peers: half evenly, half by what each has
// asked of late. Their sum is never above what it takes, so that it isn't pushed over when
// several turn to it at once.
func DivideWork(takes float64, asked []float64) []float64 {
	parts := make([]float64, len(asked))
	if len(asked) == 0 || !(takes > 0) {
		return parts
	}
	sum := 0.0
	for _, a := range asked {
		sum += max(a, 0)
	}
	for i, a := range asked {
		parts[i] = takes / float64(len(asked))
		if sum > 0 {
			parts[i] = parts[i]/2 + takes/2*max(a, 0)/sum
		}
	}
	return parts
}
