package membership

import "time"

const (
	// relayCount is the number of other members that are asked to ping a member that does not answer.
	relayCount = 2
	// relayAfterPings is the number of unanswered pings after which the relays are asked.
	relayAfterPings = 2
	// repeatPingInterval is the initial interval, in heartbeat intervals, between pings of a member already reported as
	// not heard.
	repeatPingInterval = 4
	// maxRepeatPingDoublings limits how often the exponential backoff doubles that interval.
	maxRepeatPingDoublings = 4
)

// monitor is the set of members that this member observes.
type monitor struct {
	// peers are the monitored members and those that this member's own record may have to state something about.
	peers        []*peer
	stale        bool // whether the set must be recomputed
	pendingPings int  // number of members that were pinged and have not answered yet
}

// selectMonitored updates the set of observed members. Monitored are the predecessors on the rings, members that this
// member has confirmed to hear, and members that others do not hear if this member is an arbiter for them. Members that
// are disputed or that this member was asked to ping are observed without being monitored, and so are failed members
// that need a substitute witness.
func (n *Node) selectMonitored() {
	n.rebuildRings()
	if !n.monitor.stale {
		return
	}
	n.monitor.stale = false
	predecessors := n.monitoredPredecessors()
	n.monitor.peers = n.monitor.peers[:0]
	for _, p := range n.topology.inView {
		if p == n.self {
			continue
		}
		shouldMonitor := predecessors[p] || p.ownObservation == heardDirectly || n.shouldArbitrate(p)
		switch {
		case shouldMonitor && !p.monitored:
			n.startMonitoring(p)
		case !shouldMonitor && p.monitored:
			p.stopMonitoring()
		}
		if p.monitored || p.isDisputed() || p.ownObservation != noObservation || n.now < p.arbitrateUntil {
			n.monitor.peers = append(n.monitor.peers, p)
		}
	}
	for _, p := range n.members.sorted {
		if n.needsSubstituteWitness(p) && n.isArbiterFor(p) {
			p.monitored = false
			p.pingsSent = 0
			n.monitor.peers = append(n.monitor.peers, p)
		}
	}
}

// monitoredPredecessors returns the predecessor on each ring. Since many members may fail at once, four more
// predecessors are added for each one reported as not heard, until the walk reaches a member that was heard recently.
func (n *Node) monitoredPredecessors() map[*peer]bool {
	set := map[*peer]bool{}
	for _, ring := range n.topology.rings {
		silent, visited := 0, 0
		n.walkRing(ring, predecessors, func(p *peer) bool {
			set[p] = true
			visited++
			if p.ownObservation == notHeard {
				silent++
			}
			endsSearch := p.ownObservation == noObservation && n.wasHeardRecently(p)
			return visited < 1+4*silent && (silent == 0 || !endsSearch)
		})
	}
	return set
}

// startMonitoring adds p to the monitored members. p had no reason to send datagrams to this member until now, so its
// silence timeout counts as expired and it is pinged at once.
func (n *Node) startMonitoring(p *peer) {
	p.silentSince = max(p.silentSince, n.now-n.silenceTimeout(p))
	p.monitored = true
	p.resetPings()
}

func (p *peer) stopMonitoring() {
	p.monitored = false
	p.resetPings()
}

func (p *peer) resetPings() {
	p.pingsSent = 0
	p.nextPingAt = 0
	p.repeatedPings = 0
}

// shouldArbitrate reports whether p has reports against it from too few witnesses, so that this member should monitor p
// itself.
func (n *Node) shouldArbitrate(p *peer) bool {
	return len(p.notHeardBy) > 0 && n.countWitnesses(p) < n.config.Quorum && n.isArbiterFor(p)
}

// isArbiterFor reports whether this member is among those that monitor p when another member does not hear it. Arbiters
// are selected by a hash that is the same at all members, so there are enough witnesses even if the ring neighbors of p
// have failed too.
func (n *Node) isArbiterFor(p *peer) bool {
	ownRank := mixHash(p.id.hashKey(), n.self.id.hashKey())
	rankedBefore := 0
	for _, other := range n.topology.inView {
		if other == p || other == n.self || len(other.notHeardBy) > 0 {
			continue
		}
		if mixHash(p.id.hashKey(), other.id.hashKey()) < ownRank {
			rankedBefore++
			if rankedBefore >= n.config.RingCount {
				return false
			}
		}
	}
	return true
}

// needsSubstituteWitness reports whether p has failed and too few present members still state that they do not hear p.
// Witnesses may leave, or their processes may be replaced and state nothing that they have not observed themselves.
// Arbiters then make the statement in their place. Otherwise a member that learns of the failed one later would consider
// it alive, and no record would correct that.
func (n *Node) needsSubstituteWitness(p *peer) bool {
	return p.state.hasFailed() && p.ownObservation == noObservation && n.countWitnesses(p) < n.config.Quorum && !n.isHeard(p)
}

// pingSilentMembers pings monitored members that are silent, first directly and then through relays.
func (n *Node) pingSilentMembers() {
	n.selectMonitored()
	for _, p := range n.monitor.peers {
		if !p.monitored || n.now < p.nextPingAt || n.now-p.silentSince < n.silenceTimeout(p) {
			continue
		}
		if p.ownRecordSaysNotHeard() {
			n.repeatPing(p)
		} else if p.pingsSent < n.maxPings(p) {
			n.ping(p)
		}
	}
}

// ping sends one round of pings to a silent member. After relayAfterPings rounds it also asks other members to ping it,
// unless it is suspected already.
func (n *Node) ping(p *peer) {
	if n.sendRecords(kindPing, p, 0, nil) < 0 {
		return
	}
	if n.pingCopies(p) > 1 {
		n.sendRecords(kindPing, p, 0, nil)
	}
	p.pingsSent++
	p.nextPingAt = n.now + 2*n.config.HeartbeatInterval/5
	if p.pingsSent != relayAfterPings || p.isSuspected() {
		return
	}
	canRelay := func(other *peer) bool {
		return other != p && len(other.notHeardBy) == 0 && other.ownObservation == noObservation
	}
	for _, relay := range n.randomPeers(relayCount, canRelay) {
		n.sendRecords(kindPingRequest, relay, uint64(p.id), nil)
	}
}

// repeatPing pings a member that was reported as not heard, with exponential backoff.
func (n *Node) repeatPing(p *peer) {
	interval := n.heartbeats(repeatPingInterval)
	p.nextPingAt = n.now + interval
	if p.ownObservation == notHeard {
		p.nextPingAt = n.now + interval<<min(p.repeatedPings, maxRepeatPingDoublings)
		p.repeatedPings++
	}
	n.sendRecords(kindPing, p, 0, nil)
}

// pingsExhausted reports whether a member has left all pings unanswered.
func (n *Node) pingsExhausted(p *peer) bool {
	return p.pingsSent >= n.maxPings(p) && n.now >= p.nextPingAt
}

// hasPropagated reports whether a change at the given time is more than four heartbeat intervals old, so that the other
// members must have learned of it.
func (n *Node) hasPropagated(at time.Duration) bool { return n.now-at > n.heartbeats(4) }
