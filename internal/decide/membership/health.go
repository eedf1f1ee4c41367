package membership

import "time"

const (
	// maxContradictions by others, within contradictionWindow of each other, make this member suspect itself.
	maxContradictions = 2
	// contradictionWindow is in heartbeat intervals.
	contradictionWindow = 20
	// pauseSuspicion is in heartbeat intervals: for so long this member suspects itself after its process paused.
	pauseSuspicion = 4
)

// localHealth is what this member knows of its own ability to hear others. While it suspects itself its statements
// don't count against anybody.
type localHealth struct {
	suspectUntil   time.Duration
	reason         Reason        // of the last self-suspicion
	lastHeardAny   time.Duration // a datagram of any member was received
	nextSearchAt   time.Duration // while nobody is heard: the next pings of random members
	lossRate       float64       // share of all heartbeats to this member that are lost
	contradictions int           // recent statements of this member that others have contradicted
	contradictedAt time.Duration // the last one; 0: never
}

// isSuspect tells whether this member suspects itself at present.
func (h *localHealth) isSuspect(now time.Duration) bool { return now < h.suspectUntil }

// SelfSuspicion tells whether this member doubts its own hearing at present, and why.
func (n *Node) SelfSuspicion() (reason Reason, active bool) {
	return n.health.reason, n.health.isSuspect(n.now)
}

func (n *Node) suspectSelf(reason Reason, span time.Duration) {
	if !n.health.isSuspect(n.now) {
		n.report(MemberReport{Member: n.self.id, State: n.self.state, Reason: reasonSuspectsItself(reason)})
	}
	n.health.suspectUntil = max(n.health.suspectUntil, n.now+span)
	n.health.reason = reason
}

// recoverFromPause restarts all silence timers after this process stood still: the members it monitors had no chance
// to be heard. Guards against a process that is stopped, or gets no processor time, and then reports all others silent.
func (n *Node) recoverFromPause(pause time.Duration) {
	for _, p := range n.members.sorted {
		p.silentSince = n.now
		p.pingsSent = 0
	}
	n.health.lastHeardAny = n.now
	n.suspectSelf(reasonPaused(pause), n.heartbeats(pauseSuspicion))
}

// checkIsolation suspects this member itself while it hears nobody. Guards against a member that is partitioned from
// all others and takes that for their failure.
func (n *Node) checkIsolation() {
	if len(n.topology.inView) < 2 || n.now-n.health.lastHeardAny <= n.heartbeats(n.config.MaxMissedHeartbeats) {
		return
	}
	n.suspectSelf(reasonIsolated, n.heartbeats(1))
	if n.now < n.health.nextSearchAt {
		return
	}
	n.health.nextSearchAt = n.now + n.heartbeats(1)
	// Its neighbours on the rings may have failed while others have not.
	for _, p := range n.randomPeers(n.config.RingCount, func(*peer) bool { return true }) {
		n.sendRecords(kindPing, p, 0, nil)
	}
}

// noteContradiction counts that others hear a member that this one does not. Guards against a member that receives
// badly: it goes on to state whom it does not hear, and this counts for nothing.
func (n *Node) noteContradiction() {
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
