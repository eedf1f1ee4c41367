package membership

import (
	"cmp"
	"slices"
)

// Members are arranged on rings, each in its own order that follows from their IDs alone. A member sends heartbeats to
// its successors and monitors its predecessors. So all members with the same view know who monitors whom, each member
// is monitored by several others that have nothing else in common, and the time to detection does not depend on chance.

// heartbeatToSuspectedEvery is how often, in heartbeats, a suspected successor gets one nevertheless.
const heartbeatToSuspectedEvery = 4

// topology is the members of the view and their order on the rings.
type topology struct {
	inView []*peer // by ID
	rings  [][]*peer
	stale  bool // members have entered or left the view since the rings were built
}

// rebuildRings brings the rings up to date after members entered or left the view.
func (n *Node) rebuildRings() {
	if !n.topology.stale {
		return
	}
	n.topology.rebuild(n.members.sorted, n.config.RingCount)
	n.monitor.stale = true
}

func (t *topology) rebuild(members []*peer, ringCount int) {
	t.stale = false
	t.inView = t.inView[:0]
	for _, p := range members {
		if p.state.InView() {
			t.inView = append(t.inView, p)
		}
	}
	t.rings = t.rings[:0]
	for number := range ringCount {
		ring := slices.Clone(t.inView)
		slices.SortFunc(ring, func(a, b *peer) int {
			return cmp.Or(
				cmp.Compare(mixHash(a.id.hashKey(), uint32(number)), mixHash(b.id.hashKey(), uint32(number))),
				comparePeers(a, b))
		})
		t.rings = append(t.rings, ring)
	}
}

// direction is a way around a ring.
type direction int

const (
	successors   direction = 1
	predecessors direction = -1
)

// walkRing visits the other members of a ring in one direction, nearest first, while visit returns true.
func (n *Node) walkRing(ring []*peer, toward direction, visit func(*peer) bool) {
	position := slices.Index(ring, n.self)
	for distance := 1; distance < len(ring); distance++ {
		index := (position + int(toward)*distance + distance*len(ring)) % len(ring)
		if !visit(ring[index]) {
			return
		}
	}
}

// heartbeatTargets returns the members that get heartbeats of this one: on each ring the first successor that is not
// suspected, and now and then the suspected ones' first.
func (n *Node) heartbeatTargets() (targets []*peer) {
	n.rebuildRings()
	for _, ring := range n.topology.rings {
		isFirst := true
		n.walkRing(ring, successors, func(p *peer) bool {
			isDue := !p.isSuspected() || isFirst && n.sequence%heartbeatToSuspectedEvery == 0
			if isDue && !slices.Contains(targets, p) {
				targets = append(targets, p)
			}
			isFirst = false
			return p.isSuspected()
		})
	}
	return targets
}

// gossipTargets returns the members that new records and gossip go to: as many as there are rings, half of them
// members that are heard and so certainly alive, the rest successors on the rings.
func (n *Node) gossipTargets() []*peer {
	certain := n.config.RingCount / 2
	if len(n.self.record.Statements) > 1 { // many may have failed, successors too
		certain = n.config.RingCount - 1
	}
	targets := n.randomPeers(certain, func(p *peer) bool { return n.isHeard(p) && !p.isSuspected() })
	next := n.heartbeatTargets()
	n.random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	for _, p := range next {
		if len(targets) < n.config.RingCount && !p.isSuspected() && !slices.Contains(targets, p) {
			targets = append(targets, p)
		}
	}
	return targets
}
