package membership

import (
	"slices"
	"time"
)

const (
	// maxConfirmations is how many members state that they hear one that others don't. One is enough and may fail
	// itself; more would send more records to all members for each wrong statement.
	maxConfirmations = 2
	// minPendingPings is the number of members with unanswered pings from which on an update waits for all of them, as
	// each record goes to all members.
	minPendingPings = 2
	// maxUpdateDelay bounds that wait, in heartbeat intervals.
	maxUpdateDelay = 3
)

// statementWriter schedules updates of the statements in this member's own record.
type statementWriter struct {
	stale        bool          // observations have changed since the record was written
	writtenAt    time.Duration // the last update
	pendingSince time.Duration // an update waits for unanswered pings; 0: none does
}

// updateStatements observes all monitored members and brings this member's own record up to date. Changes soon after
// one another, or that may concern many members, are written together.
func (n *Node) updateStatements() {
	n.observeMonitored()
	writer := &n.ownStatements
	if !writer.stale || n.now-writer.writtenAt < n.config.HeartbeatInterval/4 {
		return
	}
	if writer.pendingSince == 0 {
		writer.pendingSince = n.now
	}
	if n.monitor.pendingPings >= minPendingPings && n.now-writer.pendingSince < n.heartbeats(maxUpdateDelay) {
		return
	}
	writer.pendingSince = 0
	writer.stale = false
	writer.writtenAt = n.now
	statements := n.statementsThatFit()
	suspectsItself := n.health.isSuspect(n.now)
	if slices.Equal(statements, n.self.record.Statements) && suspectsItself == n.self.record.SuspectsItself {
		return
	}
	n.updateOwnRecord(func(r *record) {
		r.Statements = statements
		r.SuspectsItself = suspectsItself
	})
}

// observeMonitored updates the observations of all monitored members.
func (n *Node) observeMonitored() {
	changed := false
	n.monitor.pendingPings = 0
	for _, p := range n.monitor.peers {
		before := p.ownObservation
		n.observe(p)
		changed = changed || p.ownObservation != before
		if p.ownObservation == noObservation && p.pingsSent > 0 {
			n.monitor.pendingPings++
		}
	}
	n.monitor.stale = n.monitor.stale || changed
	n.ownStatements.stale = n.ownStatements.stale || changed || n.health.isSuspect(n.now) != n.self.record.SuspectsItself
}

// statementsThatFit returns the statements on all observed members, or as many as fit a datagram.
func (n *Node) statementsThatFit() (statements []statement) {
	for _, p := range n.members.sorted {
		if p.ownObservation != noObservation && p != n.self && len(statements) < maxStatements {
			statements = append(statements, statement{p.id, uint8(p.record.Incarnation), p.ownObservation})
		}
	}
	limit := n.config.MaxDatagramBytes - checksumBytes - maxHeaderBytes
	size := func() int {
		r := record{Author: n.self.id, Incarnation: n.self.record.Incarnation, Sequence: 1<<16 - 1, Statements: statements}
		return len(r.appendTo(nil, deltaBase{}))
	}
	for size() > limit {
		statements = statements[:len(statements)-1]
	}
	return statements
}

// observe settles what this member's record states of another one.
func (n *Node) observe(p *peer) {
	trustsItself := !n.health.isSuspect(n.now)
	if n.isSubstituteWitness(p) {
		if trustsItself {
			p.ownObservation = notHeard
		}
		return
	}
	isHeard := n.isHeard(p)
	isHeardAgain := isHeard && p.lastHeard >= p.silentSince
	switch p.ownObservation {
	case noObservation:
		n.observeUnreported(p)
	case notHeard:
		if isHeardAgain {
			p.ownObservation = noObservation
		} else if len(p.heardBy) > 0 {
			p.ownObservation = notHeardButAlive
			n.noteContradiction()
		}
	case notHeardButAlive:
		if isHeardAgain {
			p.ownObservation = noObservation
		} else if n.isConfirmationGone(p) && trustsItself {
			p.ownObservation = noObservation
			p.pingsSent = 0
			p.nextPingAt = 0
		}
	case heardDirectly:
		if n.endsConfirmation(p, isHeard) {
			p.ownObservation = noObservation
		}
	}
}

// observeUnreported settles what to state of a member of which this one's record states nothing yet.
func (n *Node) observeUnreported(p *peer) {
	switch {
	case n.pingsExhausted(p) && !n.health.isSuspect(n.now):
		if len(p.heardBy) > 0 {
			p.ownObservation = notHeardButAlive
		} else if n.countWitnesses(p) < n.config.Quorum {
			p.ownObservation = notHeard
		}
	case n.isHeard(p) && n.shouldConfirm(p):
		p.ownObservation = heardDirectly
	}
}

// isConfirmationGone tells whether no member states that it hears the peer, and some don't hear it or it has been
// silent for long.
func (n *Node) isConfirmationGone(p *peer) bool {
	if len(p.heardBy) > 0 {
		return false
	}
	return len(p.notHeardBy) > 0 || n.isLongSince(p.statementsChangedAt) && n.isLongSince(p.silentSince)
}

// shouldConfirm tells whether this member, which hears the peer, should state so because others don't.
func (n *Node) shouldConfirm(p *peer) bool {
	if !p.isDisputed() || p.lastHeard <= p.statementsChangedAt || len(p.heardBy) >= maxConfirmations {
		return false
	}
	return p.monitored || n.now < p.arbitrateUntil || n.now-p.statementsChangedAt > n.config.HeartbeatInterval
}

// endsConfirmation tells whether this member should no longer state that it hears the peer: nobody disputes it any
// more, or the peer does not answer any more.
func (n *Node) endsConfirmation(p *peer, isHeard bool) bool {
	return !p.isDisputed() && n.isLongSince(p.statementsChangedAt) || !isHeard && n.pingsExhausted(p)
}
