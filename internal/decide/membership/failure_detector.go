package membership

import "time"

const (
	// relayCount is how many other members are asked to ping one that has not answered.
	relayCount = 2
	// relayAfterPings is the number of unanswered pings after which they are asked.
	relayAfterPings = 2
	// repeatPingInterval is how often, in heartbeat intervals, a member that is not heard is pinged.
	repeatPingInterval = 4
	// maxRepeatPingDoublings bounds the backoff of these pings.
	maxRepeatPingDoublings = 4
)

// monitor is the set of members that this one observes.
type monitor struct {
	peers        []*peer // monitored ones, and others about which the own record may have to state something
	stale        bool    // the set may have changed
	pendingPings int     // members that were pinged and have not answered yet
}

// selectMonitored updates the set of monitored members: the predecessors on the rings, and members whom others don't
// hear where this one is an arbiter or has confirmed that it hears them.
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
		if n.isSubstituteWitness(p) && n.isArbiter(p) {
			p.monitored = false
			p.pingsSent = 0
			n.monitor.peers = append(n.monitor.peers, p)
		}
	}
}

// monitoredPredecessors returns the predecessor on each ring and, where that is not heard, four more for each silent
// one, as many may have failed at once. The search on a ring ends at one that was heard recently.
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

// startMonitoring begins to monitor a member. It had no reason to send this one anything, so it is pinged at once.
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

// shouldArbitrate tells whether a peer's witnesses are too few and this member should look for itself.
func (n *Node) shouldArbitrate(p *peer) bool {
	return len(p.notHeardBy) > 0 && n.countWitnesses(p) < n.config.Quorum && n.isArbiter(p)
}

// isArbiter tells whether this member is one of those that look for themselves where somebody does not hear a peer.
// They are drawn by hash, the same at all members, so there are enough witnesses even where those on the rings may
// have failed too.
func (n *Node) isArbiter(p *peer) bool {
	own := mixHash(p.id.hashKey(), n.self.id.hashKey())
	ahead := 0
	for _, other := range n.topology.inView {
		if other == p || other == n.self || len(other.notHeardBy) > 0 {
			continue
		}
		if mixHash(p.id.hashKey(), other.id.hashKey()) < own {
			ahead++
			if ahead >= n.config.RingCount {
				return false
			}
		}
	}
	return true
}

// isSubstituteWitness tells whether too few living members state that they don't hear a failed one: witnesses leave, or
// their processes are replaced and state nothing that they have not observed. Arbiters then state it in their place.
// Guards against a member that learns of the failed one later and would take it for alive, with nobody to correct it.
func (n *Node) isSubstituteWitness(p *peer) bool {
	return p.state.hasFailed() && p.ownObservation == noObservation && n.countWitnesses(p) < n.config.Quorum && !n.isHeard(p)
}

// pingSilentMembers pings monitored members that are silent, first directly and then by way of others.
func (n *Node) pingSilentMembers() {
	n.selectMonitored()
	for _, p := range n.monitor.peers {
		if !p.monitored || n.now < p.nextPingAt || n.now-p.silentSince < n.silenceTimeout(p) {
			continue
		}
		if p.hasOwnComplaint() {
			n.repeatPing(p)
		} else if p.pingsSent < n.maxPings(p) {
			n.ping(p)
		}
	}
}

// ping sends one round of pings to a silent member, and asks others to ping it where a round went unanswered.
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

// repeatPing pings a member that was reported as not heard, more rarely the longer it is silent.
func (n *Node) repeatPing(p *peer) {
	interval := n.heartbeats(repeatPingInterval)
	p.nextPingAt = n.now + interval
	if p.ownObservation == notHeard {
		p.nextPingAt = n.now + interval<<min(p.repeatedPings, maxRepeatPingDoublings)
		p.repeatedPings++
	}
	n.sendRecords(kindPing, p, 0, nil)
}

// pingsExhausted tells whether a member has left all pings unanswered.
func (n *Node) pingsExhausted(p *peer) bool {
	return p.pingsSent >= n.maxPings(p) && n.now >= p.nextPingAt
}

// isLongSince tells whether a time lies more than a few heartbeats back, so that others must have learned of it.
func (n *Node) isLongSince(at time.Duration) bool { return n.now-at > n.heartbeats(4) }
