package remotesite

import (
	"math"
	"time"
)

// CapacityMeter measures the free capacity of this gateway's site, as this gateway sees it: from the
// engine threads that it uses, the queries that its policy rejects and the utilization that the
// engines report.
type CapacityMeter struct {
	cfg           Config
	gateways      float64               // number of gateways that share the engines of this site; at least 1
	engines       map[string]Engine     // live engines by id
	classes       map[string]*classLoad // by name of the class
	threadsInUse  float64               // engine threads in use by this gateway's attempts
	utilization   float64               // smoothed fraction of cores in use as reported by engines
	utilizationAt time.Duration         // when utilization was last reported; 0 means never
}

// Engine describes an engine of this site.
type Engine struct {
	Cores             float64       // number of cores
	Live              bool          // queries may be sent to it
	WarmUpUntil       time.Duration // when its warm-up ends
	WarmUpPeriod      time.Duration // length of its warm-up; 0 means none
	WarmUpMinCapacity float64       // fraction of its capacity at the start of the warm-up
}

// availableCores returns the number of cores that an engine offers now. During the warm-up it grows
// linearly from WarmUpMinCapacity to all cores.
func (e *Engine) availableCores(now time.Duration) float64 {
	left := e.WarmUpUntil - now
	if left <= 0 || e.WarmUpPeriod <= 0 {
		return e.Cores
	}
	return e.Cores * (1 - (1-e.WarmUpMinCapacity)*min(float64(left)/float64(e.WarmUpPeriod), 1))
}

const (
	utilizationExpiry = time.Second // time in which the weight of a reported utilization falls to 0
	utilizationGain   = 10          // inverse weight of one report in the smoothed utilization
)

// NewCapacityMeter returns a meter for one gateway of a site. gateways is the number of gateways of the
// site; less than 1 counts as 1.
func NewCapacityMeter(cfg Config, gateways int) *CapacityMeter {
	return &CapacityMeter{cfg: cfg, gateways: float64(max(gateways, 1)), engines: map[string]Engine{}, classes: map[string]*classLoad{}}
}

// UpdateEngine adds or changes an engine of this site. An engine that isn't live is removed.
func (m *CapacityMeter) UpdateEngine(id string, e Engine) {
	if !e.Live {
		delete(m.engines, id)
		return
	}
	m.engines[id] = e
}

// class returns the load of a class, which it creates if needed.
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

// RecordRejection counts a query of a class that this site's policy has rejected.
func (m *CapacityMeter) RecordRejection(now time.Duration, class string) {
	c := m.class(class)
	c.decay(now)
	c.rejections++
}

// TypicalWork returns the typical work of a query of a class in core-seconds; 0 means unknown.
func (m *CapacityMeter) TypicalWork(class string) float64 {
	if c := m.classes[class]; c != nil {
		return c.typicalWork
	}
	return 0
}

// AttemptStarted adds the engine threads that an attempt uses.
func (m *CapacityMeter) AttemptStarted(threads float64) { m.threadsInUse += threads }

// AttemptEnded subtracts the engine threads of an attempt that has ended.
func (m *CapacityMeter) AttemptEnded(threads float64) {
	m.threadsInUse = max(m.threadsInUse-threads, 0)
}

// RecordLatency records how long an engine took to answer a query of a class, and the query's work in
// core-seconds; a work of 0 means unknown.
func (m *CapacityMeter) RecordLatency(class string, latency time.Duration, work float64) {
	m.class(class).recordLatency(latency.Seconds(), work)
}

// RecordUtilization records an engine's report of the fraction of its cores in use. NaN and negative
// values are ignored.
func (m *CapacityMeter) RecordUtilization(now time.Duration, utilization float64) {
	if !(utilization >= 0) {
		return
	}
	m.utilization += (min(utilization, 1) - m.utilization) / utilizationGain
	m.utilizationAt = now
}

// AvailableCores returns the number of cores that this site's engines offer now, with fewer for those
// in warm-up.
func (m *CapacityMeter) AvailableCores(now time.Duration) (cores float64) {
	for _, e := range m.engines {
		cores += e.availableCores(now)
	}
	return cores
}

// maxWarmUpWork returns the largest work, in core-seconds, that a query started here should have while
// an engine is in warm-up: what the weakest such engine does in a second at the start of its warm-up,
// divided by the number of gateways. It is infinite if no engine is in warm-up. The limit protects such
// an engine from large queries of several gateways at once, which the policy of a single gateway can't
// see.
func (m *CapacityMeter) maxWarmUpWork(now time.Duration) float64 {
	work := math.Inf(1)
	for _, e := range m.engines {
		if now < e.WarmUpUntil {
			work = min(work, e.WarmUpMinCapacity*e.Cores/m.gateways)
		}
	}
	return work
}

// threads returns how many threads this site's engines have, and an estimate of how many are in use:
// this gateway's threads times the number of gateways or, if that is more, the number of cores that the
// engines report to be in use. The weight of the report falls linearly to 0 within utilizationExpiry.
func (m *CapacityMeter) threads(now time.Duration) (available, inUse float64) {
	cores := m.AvailableCores(now)
	available = cores * m.cfg.ThreadsPerCore
	inUse = m.threadsInUse * m.gateways
	if age := now - m.utilizationAt; m.utilizationAt > 0 && age < utilizationExpiry {
		inUse = max(inUse, m.utilization*cores*(1-float64(age)/float64(utilizationExpiry)))
	}
	return available, inUse
}

// admittedFraction returns the fraction of the recent queries of a class that the policy has admitted,
// where each rejection counts rejectionWeight times; 1 for an unknown class.
func (m *CapacityMeter) admittedFraction(now time.Duration, class string) float64 {
	c := m.classes[class]
	if c == nil {
		return 1
	}
	c.decay(now)
	return c.admittedFraction()
}

// FreeCapacity returns the free capacity of this site for a class, as a fraction: the fraction of the
// engine threads that is not in use, reduced by recent rejections of the class. It is 0 without engines.
func (m *CapacityMeter) FreeCapacity(now time.Duration, class string) float64 {
	available, inUse := m.threads(now)
	if available <= 0 {
		return 0
	}
	return max(1-inUse/available, 0) * m.admittedFraction(now, class)
}

// FreeCapacityFor returns the free capacity of this site for one of its own queries, as a fraction. It
// is 0 for a query that is too large for an engine in warm-up (see maxWarmUpWork), so that the query
// is forwarded to a site with warm engines if one accepts it.
func (m *CapacityMeter) FreeCapacityFor(now time.Duration, q *Query) float64 {
	if q.Work > m.maxWarmUpWork(now) {
		return 0
	}
	return m.FreeCapacity(now, q.Class)
}

// Accepts reports whether this site starts a query forwarded by another site. It doesn't if the answer
// would be too late, if only the capacity reserved for its own clients is left, or if the query is too
// large for an engine in warm-up. A query that is not accepted is sent to no engine.
func (m *CapacityMeter) Accepts(now time.Duration, q *Query) bool {
	if m.FreeCapacity(now, q.Class) <= m.cfg.LocalReserve || q.Remaining <= 0 || q.Work > m.maxWarmUpWork(now) {
		return false
	}
	c := m.classes[q.Class]
	return c == nil || c.canAnswerWithin(q.Remaining.Seconds(), q.Work)
}
