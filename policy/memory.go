package policy

import "math"

const (
	swapGrantFactor = 3.0  // times the usual need granted without an estimate, where memory is swapped
	grantCoverage   = 0.87 // fraction of its queries whose need a class's grant should cover
	grantStep       = 10   // divisor of a step of the grant's multiple
)

// Priorities, from 0. Twice the value over the work is one step.
const (
	unrankedPriority = 1   // where engines don't honor priorities
	meanPriority     = 2.5 // of a query of the usual value over its work
	maxPriority      = 3
)

// honorsGrants tells whether grants are of use: an engine that trims them does not show what a query would
// have needed, unless it reports the cost.
func honorsGrants(s *Settings) bool {
	return s.HonorsGrants && (s.ReportsCost || s.MemoryShortage != ShortageTrim)
}

// grantResources gives the query's next attempt its memory and priority, where engines honor these.
func (g *Gateway) grantResources(a *attempt) {
	q := a.query
	grant := Grant{Query: q.id, Priority: unrankedPriority}
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

func (g *Gateway) memoryToGrant(q *query, e *engine) float64 {
	grantMB := math.Ceil(max(q.memoryMB*q.class.grantMultiple, q.class.defaultGrantMB))
	largest := math.Floor(g.settings.MaxGrantFraction * g.kinds[e.kind].MemoryMB)
	if largest > 0 {
		grantMB = min(grantMB, largest)
	}
	return grantMB
}

// priority ranks a query by its value over its expected work. What is short and valuable overtakes what is
// long, which loses little by it. A data load holds its readers up, so that it comes first.
func (q *query) priority() int {
	if q.class.DataLoad {
		return maxPriority
	}
	return int(min(max(math.Round(meanPriority+q.logValue), 0), maxPriority))
}

// recordCost learns from the cost that a response reports.
func (g *Gateway) recordCost(a *attempt, ev AttemptEnded) {
	c := a.query.class
	if ev.Work > 0 {
		c.workMS += (milliseconds(ev.Work) - c.workMS) / c.samples()
	} else if !g.settings.ReportsCost {
		c.workMS = c.baselineMS * c.Threads
	}
	estimateMB := a.query.memoryMB
	// Where memory is swapped, a grant beyond the need takes nothing from other queries.
	if g.settings.MemoryShortage == ShortageSwap && estimateMB == 0 {
		samples := min(float64(c.responses), c.samples())
		c.defaultGrantMB += (swapGrantFactor*ev.MemoryMB - c.defaultGrantMB) / samples
	}
	// The steps up and down balance where the grant covers grantCoverage of the queries.
	switch {
	case estimateMB > 0 && ev.MemoryMB > c.grantMultiple*estimateMB:
		c.grantMultiple *= 1 + grantCoverage/grantStep
	case estimateMB > 0 && !a.spilled:
		c.grantMultiple *= 1 - (1-grantCoverage)/grantStep
	}
}

// recordSpill raises the class's grants after a spill, where responses don't report the need. A spill of an
// attempt whose grant was capped says nothing of the class.
func (g *Gateway) recordSpill(a *attempt, missingMB float64) {
	q := a.query
	c := q.class
	isUncapped := 2*a.grantMB >= c.grantMultiple*q.memoryMB
	tellsNeed := q.memoryMB > 0 && isUncapped && !g.settings.ReportsCost
	if a.spilled || !tellsNeed {
		return
	}
	a.spilled = true
	needed := (a.grantMB + missingMB) / q.memoryMB
	c.grantMultiple = max(c.grantMultiple*(1+grantCoverage/grantStep), (c.grantMultiple+needed)/2)
}
