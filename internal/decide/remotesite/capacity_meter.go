package remotesite

import (
	"math"
	"time"
)

// CapacityMeter measures the free capacity of this gateway's part of its own site, from the
// threads that it uses there, what its policy rejects and what engines report.
type CapacityMeter struct {
	cfg           Config
	gateways      float64 // of this site, which share its engines
	engines       map[string]Engine
	classes       map[string]*classLoad
	threadsInUse  float64 // at engines, by this gateway
	utilization   float64 // reported fraction of cores in use, smoothed
	utilizationAt time.Duration
}

// Engine is an engine of this site.
type Engine struct {
	Cores             float64
	Live              bool          // queries may be sent to it
	WarmUpUntil       time.Duration // when it reaches its capacity
	WarmUpPeriod      time.Duration
	WarmUpMinCapacity float64 // fraction of its capacity at the start of the warm-up
}

// availableCores returns the cores of an engine, of one in warm-up those that it offers by now.
func (e *Engine) availableCores(now time.Duration) float64 {
	left := e.WarmUpUntil - now
	if left <= 0 || e.WarmUpPeriod <= 0 {
		return e.Cores
	}
	return e.Cores * (1 - (1-e.WarmUpMinCapacity)*min(float64(left)/float64(e.WarmUpPeriod), 1))
}

const (
	utilizationExpiry = time.Second // in which a reported utilization fades to nothing
	utilizationGain   = 10          // inverse weight of one report
)

// NewCapacityMeter returns a meter for one of so many gateways of a site.
func NewCapacityMeter(cfg Config, gateways int) *CapacityMeter {
	return &CapacityMeter{cfg: cfg, gateways: float64(max(gateways, 1)), engines: map[string]Engine{}, classes: map[string]*classLoad{}}
}

// UpdateEngine takes an engine of this site, or a change to it.
func (m *CapacityMeter) UpdateEngine(id string, e Engine) {
	if !e.Live {
		delete(m.engines, id)
		return
	}
	m.engines[id] = e
}

func (m *CapacityMeter) class(name string) *classLoad {
	c := m.classes[name]
	if c == nil {
		c = &classLoad{}
		m.classes[name] = c
	}
	return c
}

// RecordArrival counts a query of a class.
func (m *CapacityMeter) RecordArrival(now time.Duration, class string) {
	c := m.class(class)
	c.decay(now)
	c.arrivals++
}

// RecordRejection counts a query that this site's policy has rejected.
func (m *CapacityMeter) RecordRejection(now time.Duration, class string) {
	c := m.class(class)
	c.decay(now)
	c.rejections++
}

// TypicalWork returns the typical work of a class in seconds of one core; 0: unknown.
func (m *CapacityMeter) TypicalWork(class string) float64 {
	if c := m.classes[class]; c != nil {
		return c.typicalWork
	}
	return 0
}

// AttemptStarted counts the threads of an attempt at an engine.
func (m *CapacityMeter) AttemptStarted(threads float64) { m.threadsInUse += threads }

// AttemptEnded takes back the threads of an attempt.
func (m *CapacityMeter) AttemptEnded(threads float64) {
	m.threadsInUse = max(m.threadsInUse-threads, 0)
}

// RecordLatency takes how long an engine took to answer, and the query's work in seconds of one
// core (0: unknown).
func (m *CapacityMeter) RecordLatency(class string, latency time.Duration, work float64) {
	m.class(class).recordLatency(latency.Seconds(), work)
}

// RecordUtilization takes an engine's report of the fraction of its cores in use.
func (m *CapacityMeter) RecordUtilization(now time.Duration, utilization float64) {
	if !(utilization >= 0) {
		return
	}
	m.utilization += (min(utilization, 1) - m.utilization) / utilizationGain
	m.utilizationAt = now
}

// AvailableCores returns the cores of this site's engines, of those in warm-up what they offer by
// now.
func (m *CapacityMeter) AvailableCores(now time.Duration) (cores float64) {
	for _, e := range m.engines {
		cores += e.availableCores(now)
	}
	return cores
}

// maxWarmUpWork returns the work of a query above which it is better not begun here while an engine
// is in warm-up: what the weakest does in a second, divided among the gateways. Guards such an
// engine against large queries of several gateways at once, which none of their policies sees.
func (m *CapacityMeter) maxWarmUpWork(now time.Duration) float64 {
	work := math.Inf(1)
	for _, e := range m.engines {
		if now < e.WarmUpUntil {
			work = min(work, e.WarmUpMinCapacity*e.Cores/m.gateways)
		}
	}
	return work
}

// threads returns how many threads this site's engines have, and how many are in use, as this
// gateway sees it.
func (m *CapacityMeter) threads(now time.Duration) (available, inUse float64) {
	cores := m.AvailableCores(now)
	available = cores * m.cfg.ThreadsPerCore
	inUse = m.threadsInUse * m.gateways
	if age := now - m.utilizationAt; m.utilizationAt > 0 && age < utilizationExpiry {
		inUse = max(inUse, m.utilization*cores*(1-float64(age)/float64(utilizationExpiry)))
	}
	return available, inUse
}

// admission returns the fraction of a class that the policy admits, counted sharply.
func (m *CapacityMeter) admission(now time.Duration, class string) float64 {
	c := m.classes[class]
	if c == nil {
		return 1
	}
	c.decay(now)
	return c.admission()
}

// FreeCapacity returns the free capacity of this site for a class, as a fraction.
func (m *CapacityMeter) FreeCapacity(now time.Duration, class string) float64 {
	available, inUse := m.threads(now)
	if available <= 0 {
		return 0
	}
	return max(1-inUse/available, 0) * m.admission(now, class)
}

// FreeCapacityFor returns the free capacity of this site for one of its own queries. It is none
// where an engine is in warm-up and the query is larger than such a one should get, so that the
// query goes where engines are warm, if anywhere accepts it.
func (m *CapacityMeter) FreeCapacityFor(now time.Duration, q *Query) float64 {
	if q.Work > m.maxWarmUpWork(now) {
		return 0
	}
	return m.FreeCapacity(now, q.Class)
}

// Accepts tells whether a query of another site is begun here: not where its answer could not be in
// time, nor where capacity is reserved for this site's own clients. What it rejects never ran.
func (m *CapacityMeter) Accepts(now time.Duration, q *Query) bool {
	if m.FreeCapacity(now, q.Class) <= m.cfg.LocalReserve || q.Remaining <= 0 || q.Work > m.maxWarmUpWork(now) {
		return false
	}
	c := m.classes[q.Class]
	return c == nil || c.canAnswerWithin(q.Remaining.Seconds(), q.Work)
}
