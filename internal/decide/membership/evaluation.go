package membership

import (
	"slices"
	"time"
)

// recentFailureWindow is how long a member that was declared dead still counts in the size of the fleet when a majority
// is determined. Gossip messages are kept for the same time after their owner has left the view.
const recentFailureWindow = 30 * time.Second

// statementTally lists the authors of all current statements about one member, by what they state.
type statementTally struct{ notHeardBy, notHeardButAliveBy, heardBy []ID }

// tallyStatements collects the statements about each member from all records, if any record has changed. Statements
// about an earlier incarnation of a member are ignored.
func (n *Node) tallyStatements() {
	if !n.recordsChanged {
		return
	}
	n.recordsChanged = false
	tallies := map[ID]*statementTally{}
	for _, author := range n.members.sorted {
		for _, s := range author.record.Statements {
			member := n.members.byID[s.Member]
			if member == nil || !member.known || s.IncarnationTag != uint8(member.record.Incarnation) {
				continue
			}
			if tallies[s.Member] == nil {
				tallies[s.Member] = &statementTally{}
			}
			tallies[s.Member].add(author, s.Observation)
		}
	}
	for _, p := range n.members.sorted {
		tally := tallies[p.id]
		if tally == nil {
			tally = &statementTally{}
		}
		if !slices.Equal(tally.notHeardBy, p.notHeardBy) || !slices.Equal(tally.heardBy, p.heardBy) {
			p.statementsChangedAt = n.now
			n.monitor.stale = true
		}
		p.notHeardBy = tally.notHeardBy
		p.notHeardButAliveBy = tally.notHeardButAliveBy
		p.heardBy = tally.heardBy
	}
}

// add counts one statement. A report of not hearing the member counts against it only if the author does not suspect
// itself; otherwise it is listed in notHeardButAliveBy. A statement of hearing the member counts only if the author is
// in the view.
func (t *statementTally) add(author *peer, observation observation) {
	switch {
	case observation == notHeard && !author.record.SuspectsItself:
		t.notHeardBy = append(t.notHeardBy, author.id)
	case observation == heardDirectly && author.state.InView():
		t.heardBy = append(t.heardBy, author.id)
	case observation != heardDirectly:
		t.notHeardButAliveBy = append(t.notHeardButAliveBy, author.id)
	}
}

// requiredWitnesses returns how many members must report that they do not hear p: the configured quorum, or fewer if
// fewer members are able to report. A member that two or more others do not hear is not considered able.
func (n *Node) requiredWitnesses(p *peer) int {
	ableMembers := 0
	for _, other := range n.topology.inView {
		if other != p && len(other.notHeardBy) < 2 {
			ableMembers++
		}
	}
	return min(n.config.Quorum, max(ableMembers, 1))
}

// countWitnesses returns how many of the members that report not hearing p count as witnesses now. This member always
// counts. A member that has just re-entered the view does not, as it may still report what it observed on its side of a
// network partition. Nor does a member outside the view, as it cannot withdraw its statement.
func (n *Node) countWitnesses(p *peer) (count int) {
	for _, id := range p.notHeardBy {
		witness := n.members.byID[id]
		if witness == n.self || witness.state.InView() && n.now >= witness.graceUntil {
			count++
		}
	}
	return count
}

// suspicionTimeout returns how long a quorum against p must last. It is shorter the more members do not hear p.
func (n *Node) suspicionTimeout(p *peer) time.Duration {
	return n.config.SuspicionTimeout * time.Duration(n.config.Quorum) / time.Duration(max(n.config.Quorum, len(p.notHeardBy)))
}

// evaluate updates the state of each member and the view, if anything relevant has changed.
func (n *Node) evaluate() {
	if !n.recordsChanged && !n.needsReevaluation && !n.topology.stale {
		return
	}
	n.tallyStatements()
	n.rebuildRings()
	var failed []*peer
	suspects := 0
	unconfirmed := false // whether a member is partly reachable although no record states who hears it
	for _, p := range n.members.sorted {
		if p == n.self || !p.known {
			continue
		}
		state, reason, hasFailed := n.assess(p)
		if hasFailed {
			failed = append(failed, p)
			continue
		}
		if state == Suspect {
			suspects++
		}
		unconfirmed = unconfirmed || state == PartlyReachable && len(p.heardBy) == 0
		n.setState(p, state, reason)
	}
	n.refute()
	n.declareFailed(failed, suspects)
	n.installView(suspects)
	n.needsReevaluation = suspects > 0 || unconfirmed || len(failed) > 0 || n.views.pendingSince > 0 || n.recordsChanged
}

// assess derives the state of p from all records. hasFailed means that the quorum against p is established and
// declareFailed has to choose the state.
func (n *Node) assess(p *peer) (state State, reason Reason, hasFailed bool) {
	// Count the quorum only for suspected members: the count visits all members.
	hasQuorum := len(p.notHeardBy) > 0 && len(p.heardBy) == 0 && !n.isHeard(p) && len(p.notHeardBy) >= n.requiredWitnesses(p)
	switch {
	case !hasQuorum:
		p.quorumSince = 0
	case p.quorumSince == 0:
		p.quorumSince = n.now
	}
	switch {
	case p.record.Departed:
		return Departed, reasonDeparted, false
	case !p.isDisputed():
		return Alive, reasonHeard, false
	case len(p.heardBy) > 0 || len(p.notHeardBy) == 0 || n.isHeard(p):
		return PartlyReachable, reasonPartlyReachable, false
	case p.state.hasFailed() && p.stateIncarnation == p.record.Incarnation:
		return p.state, "", false
	case hasQuorum && n.isQuorumEstablished(p):
		return p.state, "", true
	}
	return Suspect, reasonSuspect, false
}

// isQuorumEstablished reports whether the quorum against p consists of current witnesses and has lasted long enough.
func (n *Node) isQuorumEstablished(p *peer) bool {
	return n.countWitnesses(p) >= n.requiredWitnesses(p) &&
		n.now-p.quorumSince >= n.suspicionTimeout(p) &&
		n.now-p.statementsChangedAt >= n.config.HeartbeatInterval &&
		n.now >= p.graceUntil
}

// setState changes the state of p and reports the change. A change into or out of the view starts a grace period.
func (n *Node) setState(p *peer, state State, reason Reason) {
	if p.state == state {
		return
	}
	if p.state.InView() != state.InView() {
		n.topology.stale = true
		p.viewChangedAt = n.now
		p.graceUntil = n.now + n.config.MaxViewDelay
	}
	if !p.state.InView() || !state.InView() {
		n.recordsChanged = true // its statements now count differently
	}
	p.state = state
	p.stateIncarnation = p.record.Incarnation
	witnesses := slices.Clone(p.notHeardBy)
	if state == PartlyReachable {
		witnesses = append(witnesses, p.notHeardButAliveBy...)
	}
	n.report(MemberReport{Member: p.id, State: state, Reason: reason, Witnesses: witnesses})
}

// declareFailed sets the state of all failed members together. It waits while other members are suspected, for at most
// MaxViewDelay, as one event may have hit them all. A failed member is declared dead only if the quorum against it is
// credible and the members that remain present, without the failed and suspected ones, are a majority of the recent
// fleet. Without a majority this member cannot tell a failure of the others from a network partition that separates it
// from them. The failed members are then declared unreachable.
func (n *Node) declareFailed(failed []*peer, suspects int) {
	if len(failed) == 0 {
		n.views.failuresPendingSince = 0
		return
	}
	if n.views.failuresPendingSince == 0 {
		n.views.failuresPendingSince = n.now
	}
	if suspects > 0 && n.now-n.views.failuresPendingSince < n.config.MaxViewDelay {
		return
	}
	n.views.failuresPendingSince = 0
	present, recent := n.countRecentMembers()
	hasMajority := 2*(present-len(failed)-suspects) > recent
	for _, p := range failed {
		if hasMajority && n.hasCredibleQuorum(p, recent) {
			n.setState(p, Dead, reasonDead)
		} else {
			n.setState(p, Unreachable, reasonUnreachable)
		}
	}
}

// hasCredibleQuorum reports whether a quorum of the members that do not hear p do hear most other members. This
// excludes members that were cut off by a partition and return with reports from that time.
func (n *Node) hasCredibleQuorum(p *peer, recent int) bool {
	credible := 0
	for _, id := range p.notHeardBy {
		silent := 0
		for _, s := range n.members.byID[id].record.Statements {
			if s.Observation != heardDirectly {
				silent++
			}
		}
		if 2*silent < recent {
			credible++
		}
	}
	return credible >= n.requiredWitnesses(p)
}

// countRecentMembers returns the number of members in the view, and the size of the recent fleet: these members, the
// unreachable ones and those declared dead within recentFailureWindow.
func (n *Node) countRecentMembers() (present, recent int) {
	for _, p := range n.members.sorted {
		switch {
		case p.state.InView():
			present++
			recent++
		case p.state == Unreachable, p.state == Dead && n.now-p.viewChangedAt < recentFailureWindow:
			recent++
		}
	}
	return present, recent
}

// refute reacts to reports that this member is not heard by starting a new incarnation, which invalidates them.
func (n *Node) refute() {
	if len(n.self.notHeardBy) == 0 || n.leaving {
		return
	}
	n.report(MemberReport{Member: n.self.id, State: n.self.state, Reason: reasonRefuted, Witnesses: slices.Clone(n.self.notHeardBy)})
	n.startIncarnation(n.self.record.Incarnation + 1)
	n.tallyStatements()
}
