package membership

import (
	"slices"
	"time"
)

const (
	// maxConfirmations limits how many members state that they hear a member that others do not hear. One statement is
	// enough, but its author may fail. More statements would send more records to all members for each wrong report.
	maxConfirmations = 2
	// minPendingPings is the number of members with unanswered pings at which an update of the own record waits for all
	// of them, as each record goes to all members.
	minPendingPings = 2
	// maxUpdateDelay limits that wait, in heartbeat intervals.
	maxUpdateDelay = 3
)

// statementWriter schedules updates of the statements in this member's own record.
type statementWriter struct {
	stale        bool          // whether observations have changed since the record was written
	writtenAt    time.Duration // time of the last update
	pendingSince time.Duration // since when an update is pending; 0: none is
}

// updateStatements updates the observations of all observed members and this member's own record. Changes that follow
// each other closely, or may concern many members, are combined into one update.
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

// observeMonitored updates this member's observations of all peers in the monitor set.
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

// statementsThatFit returns the statements about all observed members, or as many as fit a datagram.
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

// observe updates what this member's record will state about p.
func (n *Node) observe(p *peer) {
	trustsItself := !n.health.isSuspect(n.now)
	if n.needsSubstituteWitness(p) {
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
			n.countContradiction()
		}
	case notHeardButAlive:
		if isHeardAgain {
			p.ownObservation = noObservation
		} else if n.isConfirmationWithdrawn(p) && trustsItself {
			p.ownObservation = noObservation
			p.pingsSent = 0
			p.nextPingAt = 0
		}
	case heardDirectly:
		if n.shouldEndConfirmation(p, isHeard) {
			p.ownObservation = noObservation
		}
	}
}

// observeUnreported updates the observation of p, about which this member states nothing yet.
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

// isConfirmationWithdrawn reports whether no member states any more that it hears p, and either some do not hear p or p
// has been silent for long.
func (n *Node) isConfirmationWithdrawn(p *peer) bool {
	if len(p.heardBy) > 0 {
		return false
	}
	return len(p.notHeardBy) > 0 || n.hasPropagated(p.statementsChangedAt) && n.hasPropagated(p.silentSince)
}

// shouldConfirm reports whether this member, which hears p, should state so because others do not hear p. A member that
// neither monitors p nor was asked to ping it waits for a heartbeat interval first.
func (n *Node) shouldConfirm(p *peer) bool {
	if !p.isDisputed() || p.lastHeard <= p.statementsChangedAt || len(p.heardBy) >= maxConfirmations {
		return false
	}
	return p.monitored || n.now < p.arbitrateUntil || n.now-p.statementsChangedAt > n.config.HeartbeatInterval
}

// shouldEndConfirmation reports whether this member should no longer state that it hears p, because no member disputes
// it any more or because p no longer answers.
func (n *Node) shouldEndConfirmation(p *peer, isHeard bool) bool {
	return !p.isDisputed() && n.hasPropagated(p.statementsChangedAt) || !isHeard && n.pingsExhausted(p)
}
