package membership

import (
	"cmp"
	"slices"
)

// Members are arranged on rings, each in an order derived from the IDs alone. A member sends heartbeats to its
// successors and monitors its predecessors. All members with the same view therefore agree on who monitors whom. Each
// member is monitored by several unrelated others, and the detection time does not depend on chance.

// heartbeatToSuspectedEvery is how often, in heartbeats, a suspected nearest successor still gets one.
const heartbeatToSuspectedEvery = 4

// topology holds the members of the view and their order on the rings.
type topology struct {
	inView []*peer   // sorted by ID
	rings  [][]*peer // one per ring number, each with all members of the view
	stale  bool      // whether members have entered or left the view since the rings were built
}

// rebuildRings rebuilds the rings if members have entered or left the view.
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

// direction is a direction along a ring.
type direction int

const (
	successors   direction = 1
	predecessors direction = -1
)

// walkRing visits the other members of a ring in one direction, nearest first, until visit returns false.
func (n *Node) walkRing(ring []*peer, toward direction, visit func(*peer) bool) {
	position := slices.Index(ring, n.self)
	for distance := 1; distance < len(ring); distance++ {
		index := (position + int(toward)*distance + distance*len(ring)) % len(ring)
		if !visit(ring[index]) {
			return
		}
	}
}

// heartbeatTargets returns the members to send heartbeats to: on each ring the first successor that is not suspected.
// With every heartbeatToSuspectedEvery-th heartbeat it also returns the nearest successor on each ring if that is
// suspected.
func (n *Node) heartbeatTargets() (targets []*peer) {
	n.rebuildRings()
	for _, ring := range n.topology.rings {
		isFirst := true
		n.walkRing(ring, successors, func(p *peer) bool {
			isTarget := !p.isSuspected() || isFirst && n.sequence%heartbeatToSuspectedEvery == 0
			if isTarget && !slices.Contains(targets, p) {
				targets = append(targets, p)
			}
			isFirst = false
			return p.isSuspected()
		})
	}
	return targets
}

// gossipTargets returns the members to forward new records and gossip to, at most RingCount. Half of them are random
// members that this one hears, which are alive. The others are successors on the rings.
func (n *Node) gossipTargets() []*peer {
	aliveCount := n.config.RingCount / 2
	if len(n.self.record.Statements) > 1 { // many members may have failed, including successors
		aliveCount = n.config.RingCount - 1
	}
	targets := n.randomPeers(aliveCount, func(p *peer) bool { return n.isHeard(p) && !p.isSuspected() })
	next := n.heartbeatTargets()
	n.random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	for _, p := range next {
		if len(targets) < n.config.RingCount && !p.isSuspected() && !slices.Contains(targets, p) {
			targets = append(targets, p)
		}
	}
	return targets
}
