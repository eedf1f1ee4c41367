package policy

import "math"

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
