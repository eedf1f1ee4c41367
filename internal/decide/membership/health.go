package membership

import "time"

const (
	// maxContradictions is the number of contradictions by other members, each within contradictionWindow of the
	// previous one, at which this member suspects itself.
	maxContradictions = 2
	// contradictionWindow is the longest time between two contradictions that are counted together, in heartbeat
	// intervals.
	contradictionWindow = 20
	// pauseSuspicion is how long this member suspects itself after its process was paused, in heartbeat intervals.
	pauseSuspicion = 4
)

// localHealth is this member's assessment of its own ability to receive datagrams. While a member suspects itself, its
// statements do not count against other members.
type localHealth struct {
	suspectUntil         time.Duration // end of the self-suspicion; 0: there was none
	reason               Reason        // reason of the last self-suspicion
	lastHeardAny         time.Duration // when a datagram of any member was last received
	nextIsolationProbeAt time.Duration // when random members are pinged next while none is heard
	lossRate             float64       // fraction of all heartbeats to this member that are lost
	contradictions       int           // number of recent statements of this member that others have contradicted
	contradictedAt       time.Duration // time of the last contradiction; 0: there was none
}

// isSuspect reports whether this member suspects itself at the given time.
func (h *localHealth) isSuspect(now time.Duration) bool { return now < h.suspectUntil }

// SelfSuspicion returns whether this member suspects itself now, and the reason of the current or last self-suspicion.
// An empty reason means that there was none.
func (n *Node) SelfSuspicion() (reason Reason, active bool) {
	return n.health.reason, n.health.isSuspect(n.now)
}

// suspectSelf starts a self-suspicion or extends the current one.
func (n *Node) suspectSelf(reason Reason, duration time.Duration) {
	if !n.health.isSuspect(n.now) {
		n.report(MemberReport{Member: n.self.id, State: n.self.state, Reason: reasonSuspectsItself(reason)})
	}
	n.health.suspectUntil = max(n.health.suspectUntil, n.now+duration)
	n.health.reason = reason
}

// recoverFromPause restarts all silence timers after this process did not run for a while. During the pause it could
// not receive datagrams from the members that it monitors. Without this, a process that was stopped or got no CPU time
// would report all other members as not heard.
func (n *Node) recoverFromPause(pause time.Duration) {
	for _, p := range n.members.sorted {
		p.silentSince = n.now
		p.pingsSent = 0
	}
	n.health.lastHeardAny = n.now
	n.suspectSelf(reasonPaused(pause), n.heartbeats(pauseSuspicion))
}

// checkIsolation makes this member suspect itself while it hears no other member. Otherwise a member that a network
// partition separates from all others would conclude that they have failed.
func (n *Node) checkIsolation() {
	if len(n.topology.inView) < 2 || n.now-n.health.lastHeardAny <= n.heartbeats(n.config.MaxMissedHeartbeats) {
		return
	}
	n.suspectSelf(reasonIsolated, n.heartbeats(1))
	if n.now < n.health.nextIsolationProbeAt {
		return
	}
	n.health.nextIsolationProbeAt = n.now + n.heartbeats(1)
	// Ping random members: the ring neighbors may have failed while other members have not.
	for _, p := range n.randomPeers(n.config.RingCount, func(*peer) bool { return true }) {
		n.sendRecords(kindPing, p, 0, nil)
	}
}

// countContradiction records that other members hear a member that this one does not. A member that receives poorly is
// contradicted repeatedly and then suspects itself: it still states which members it does not hear, but these
// statements no longer count.
func (n *Node) countContradiction() {
	window := n.heartbeats(contradictionWindow)
	if n.health.contradictedAt == 0 || n.now-n.health.contradictedAt > window {
		n.health.contradictions = 0
	}
	n.health.contradictedAt = n.now
	n.health.contradictions++
	if n.health.contradictions >= maxContradictions {
		n.suspectSelf(reasonContradicted, window)
	}
}
