package remotesite

import "time"

// Destination says where a query is sent.
type Destination uint8

// Destinations.
const (
	Local  Destination = iota // left to this site's policy, which may already have rejected it
	Remote                    // forwarded to a peer
	Reject                    // not attempted again; its client gets an error
)

// Choice is the decision on one query.
type Choice struct {
	Destination Destination
	Peer        int // index of the peer if Destination is Remote, else 0
}

// Chooser chooses the destinations of one gateway's queries. The zero value is ready for use.
type Chooser struct {
	spilling map[string]bool // whether queries of a class are currently forwarded, by class
	affinity dataSetAffinity // where the tables of each data set are warm
}

// Choose returns where a query is sent. freeCapacity is this site's free capacity for the query's
// class, as a fraction. The affinity of a data set refers to a peer by its index in peers.
//
// A query is forwarded only if this site has almost no free capacity or has rejected the query.
// Forwarding of a class then goes on until this site clearly has free capacity again. The query goes
// to the peer with the highest score: its free capacity beyond this site's, weighted by the share of
// the query's remaining time that is left there. A peer whose acceptable work is used up is skipped.
// As a result, two overloaded sites keep their own queries, and a site that recovers runs its own
// again. No query is forwarded twice, so there are no loops with any number of sites.
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
	best, bestScore := -1, 0.0 // only a score above 0 is eligible
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

// runLocally returns the choice of this site and records that the query's data set is used here.
func (c *Chooser) runLocally(now time.Duration, q *Query) Choice {
	c.affinity.record(now, q.DataSet, localSite)
	return Choice{Destination: Local}
}

// updateSpilling starts or stops the forwarding of a class by this site's free capacity for it. Between
// Config.SpillBelow and Config.StopSpillAbove nothing changes.
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

// score returns how much better a query is served by the peer with this index than by this site, as a
// fraction of capacity; 0 or less means that it must not be forwarded there.
func (c *Chooser) score(cfg Config, now time.Duration, q *Query, freeCapacity float64, p *Peer, index int) float64 {
	if !p.State(cfg, now).acceptsQueries() {
		return 0
	}
	remaining, ok := RemainingAfter(cfg, q.Remaining, p.OneWayDelay())
	if !ok || !MayAttempt(cfg, q, p.OneWayDelay()) {
		return 0
	}
	offered := p.offeredCapacity(cfg, now, q.Class)
	required := cfg.MinPeerCapacity
	switch site, warm := c.affinity.lookup(now, q.DataSet); {
	case !warm:
	case site == index:
		offered += cfg.AffinityBonus
	case site == localSite && !q.RejectedLocally:
		required += cfg.AffinityBonus
	}
	if offered < required || offered <= freeCapacity {
		return 0
	}
	return (offered - freeCapacity) * float64(remaining) / float64(q.Remaining)
}
