package remotesite

import "time"

// Destination is where a query goes.
type Destination uint8

// Destinations.
const (
	Local  Destination = iota // this site's policy has it, or has had it
	Remote                    // it is forwarded
	Reject                    // neither: it may not be attempted again, and its client is told so
)

// Choice is the decision on one query.
type Choice struct {
	Destination Destination
	Peer        int // index of the peer, with Remote
}

// Chooser chooses the destinations of one gateway's queries. Its zero value is ready for use.
type Chooser struct {
	spilling map[string]bool // classes that are forwarded
	affinity dataSetAffinity
}

// Choose returns where a query goes. freeCapacity is that of this site for its class, as a
// fraction.
//
// Queries are forwarded only where this site has next to no free capacity (or has rejected the
// query), to the peer with the most by its digest, less what the way there takes of the query's
// time, within the work that the peer accepts; and once that begins, until this site clearly has
// free capacity again. So two full sites keep their own queries, and one that recovers takes its
// own back. Since nothing is forwarded twice there is no loop with any number of sites.
func (c *Chooser) Choose(cfg Config, now time.Duration, q *Query, freeCapacity float64, peers []*Peer) Choice {
	if !MayAttempt(cfg, q, 0) {
		return Choice{Destination: Reject}
	}
	if q.Forwarded {
		return Choice{Destination: Local}
	}
	if q.RejectedLocally {
		freeCapacity = 0
	}
	c.updateSpilling(cfg, q.Class, freeCapacity)
	if !c.spilling[q.Class] || q.PriorityWeight < cfg.MinPriorityWeight {
		return c.runLocally(now, q)
	}
	best, bestScore := -1, 0.0
	for i, p := range peers {
		if score := c.score(cfg, now, q, freeCapacity, p, i); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return c.runLocally(now, q)
	}
	c.affinity.record(now, q.DataSet, best)
	peers[best].credit -= q.Work
	return Choice{Destination: Remote, Peer: best}
}

func (c *Chooser) runLocally(now time.Duration, q *Query) Choice {
	c.affinity.record(now, q.DataSet, localSite)
	return Choice{Destination: Local}
}

// updateSpilling starts or stops forwarding a class, with hysteresis between the two bounds.
func (c *Chooser) updateSpilling(cfg Config, class string, freeCapacity float64) {
	if c.spilling == nil {
		c.spilling = map[string]bool{}
	}
	switch {
	case freeCapacity < cfg.SpillBelow:
		c.spilling[class] = true
	case freeCapacity > cfg.StopSpillAbove:
		c.spilling[class] = false
	}
}

// score returns how much better off a query is at a peer, as a fraction of capacity; 0 or less: not
// at all.
func (c *Chooser) score(cfg Config, now time.Duration, q *Query, freeCapacity float64, p *Peer, index int) float64 {
	if !p.State(cfg, now).acceptsQueries() {
		return 0
	}
	left, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay())
	if !ok || !MayAttempt(cfg, q, p.OneWayDelay()) {
		return 0
	}
	offered := p.offeredCapacity(cfg, now, q.Class)
	wanted := cfg.MinPeerCapacity
	switch site, warm := c.affinity.lookup(now, q.DataSet); {
	case !warm:
	case site == index:
		offered += cfg.AffinityBonus
	case site == localSite && !q.RejectedLocally:
		wanted += cfg.AffinityBonus
	}
	if offered < wanted || offered <= freeCapacity {
		return 0
	}
	return (offered - freeCapacity) * float64(left) / float64(q.Remaining)
}
