package policy

import "math"

// Parameters of memory grants.
const (
	// swapGrantFactor is the default grant in multiples of the usual need, for queries without an estimate
	// where memory is swapped.
	swapGrantFactor = 3.0
	// grantCoverage is the fraction of a class's queries whose need its grant should cover.
	grantCoverage = 0.87
	// grantStepDivisor divides the relative steps by which a class's grant multiple changes.
	grantStepDivisor = 10
)

// Priorities, from 0 to maxPriority. Doubling value (priority weight) over work raises the priority by one.
const (
	defaultPriority = 1   // of every query where engines don't honor priorities
	meanPriority    = 2.5 // of a query of average value over work, before rounding
	maxPriority     = 3
)

// canUseGrants reports whether memory grants are useful. An engine that trims grants does not show what a
// query would have needed, unless it reports the cost of queries.
func canUseGrants(s *Settings) bool {
	return s.HonorsGrants && (s.ReportsCost || s.MemoryShortage != ShortageTrim)
}

// grantResources sets the memory and the priority of an attempt that is about to be sent, as far as engines
// honor them.
func (g *Gateway) grantResources(a *attempt) {
	q := a.query
	grant := Grant{Query: q.id, Priority: defaultPriority}
	if g.settings.HonorsGrants {
		a.grantMB = g.memoryToGrant(q, a.engine)
		grant.MemoryMB = a.grantMB
	}
	if g.settings.HonorsPriority {
		grant.Priority = q.priority()
	}
	if grant.MemoryMB > 0 || g.settings.HonorsPriority {
		g.emit(grant)
	}
}

// memoryToGrant returns the memory to grant to the query at the engine, in MB; 0 lets the engine choose.
func (g *Gateway) memoryToGrant(q *query, e *engine) float64 {
	grantMB := math.Ceil(max(q.memoryMB*q.class.grantMultiple, q.class.defaultGrantMB))
	maxGrantMB := math.Floor(g.settings.MaxGrantFraction * g.kinds[e.kind].MemoryMB)
	if maxGrantMB > 0 {
		grantMB = min(grantMB, maxGrantMB)
	}
	return grantMB
}

// priority ranks a query by its value over its expected work. Short and valuable queries overtake long
// ones, which lose little by it. A data load has the highest priority, as it blocks the readers of its data
// set.
func (q *query) priority() int {
	if q.class.DataLoad {
		return maxPriority
	}
	return int(min(max(math.Round(meanPriority+q.logValue), 0), maxPriority))
}

// recordCost updates the class's usual work and its memory grants from the cost that a response reports.
func (g *Gateway) recordCost(a *attempt, ev AttemptEnded) {
	c := a.query.class
	if ev.Work > 0 {
		c.workMS += (milliseconds(ev.Work) - c.workMS) / c.samples()
	} else if !g.settings.ReportsCost {
		c.workMS = c.baselineMS * c.Threads
	}
	estimateMB := a.query.memoryMB
	// Where memory is swapped, a grant beyond the need does not reduce the memory of other queries.
	if g.settings.MemoryShortage == ShortageSwap && estimateMB == 0 {
		samples := min(float64(c.responses), c.samples())
		c.defaultGrantMB += (swapGrantFactor*ev.MemoryMB - c.defaultGrantMB) / samples
	}
	// The steps up and down are in balance when the grant covers grantCoverage of the queries.
	switch {
	case estimateMB > 0 && ev.MemoryMB > c.grantMultiple*estimateMB:
		c.grantMultiple *= 1 + grantCoverage/grantStepDivisor
	case estimateMB > 0 && !a.spilled:
		c.grantMultiple *= 1 - (1-grantCoverage)/grantStepDivisor
	}
}

// recordSpill raises the grants of the class after a query has spilled to disk, where responses do not
// report the memory that was needed. It ignores an attempt whose grant was capped to less than half of what
// the class's grant multiple gives, as its spill does not show that the multiple is too small.
func (g *Gateway) recordSpill(a *attempt, missingMB float64) {
	q := a.query
	c := q.class
	isUncapped := 2*a.grantMB >= c.grantMultiple*q.memoryMB
	showsNeed := q.memoryMB > 0 && isUncapped && !g.settings.ReportsCost
	if a.spilled || !showsNeed {
		return
	}
	a.spilled = true
	needed := (a.grantMB + missingMB) / q.memoryMB
	c.grantMultiple = max(c.grantMultiple*(1+grantCoverage/grantStepDivisor), (c.grantMultiple+needed)/2)
}
