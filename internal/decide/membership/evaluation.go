package membership

import (
	"slices"
	"time"
)

// recentMemory is how long a failed member counts among those of whom a majority must be here.
const recentMemory = 30 * time.Second

// statementTally is what all records state of one member.
type statementTally struct{ notHeardBy, notHeardButAliveBy, heardBy []ID }

// tallyStatements collects from all records what they state of each member.
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

// add counts one statement. An author that suspects itself is no witness against anybody.
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

// requiredWitnesses is how many members must not hear a peer: less than the quorum only where no more are able to
// state so.
func (n *Node) requiredWitnesses(p *peer) int {
	able := 0
	for _, other := range n.topology.inView {
		if other != p && len(other.notHeardBy) < 2 {
			able++
		}
	}
	return min(n.config.Quorum, max(able, 1))
}

// countWitnesses is how many of the members that don't hear a peer count at present. One that has just come back may
// still state what it observed on its side of a partition, and one that has failed can't withdraw its statement.
func (n *Node) countWitnesses(p *peer) (count int) {
	for _, id := range p.notHeardBy {
		witness := n.members.byID[id]
		if witness == n.self || witness.state.InView() && n.now >= witness.graceUntil {
			count++
		}
	}
	return count
}

// suspicionTimeout is how long a quorum must have stood against a peer: the shorter, the more members don't hear it.
func (n *Node) suspicionTimeout(p *peer) time.Duration {
	return n.config.SuspicionTimeout * time.Duration(n.config.Quorum) / time.Duration(max(n.config.Quorum, len(p.notHeardBy)))
}

// evaluate settles the state of each member, and the view.
func (n *Node) evaluate() {
	if !n.recordsChanged && !n.unsettled && !n.topology.stale {
		return
	}
	n.tallyStatements()
	n.rebuildRings()
	var failed []*peer
	suspects := 0
	unconfirmed := false // one is partly reachable, and no record states who hears it
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
	n.unsettled = suspects > 0 || unconfirmed || len(failed) > 0 || n.views.pendingSince > 0 || n.recordsChanged
}

// assess concludes the state of a peer from all records, or that it has failed.
func (n *Node) assess(p *peer) (state State, reason Reason, hasFailed bool) {
	// Skip the quorum count for members nobody suspects: it visits all members.
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

// isQuorumEstablished tells whether the quorum against a peer consists of current witnesses and has stood long enough.
func (n *Node) isQuorumEstablished(p *peer) bool {
	return n.countWitnesses(p) >= n.requiredWitnesses(p) &&
		n.now-p.quorumSince >= n.suspicionTimeout(p) &&
		n.now-p.statementsChangedAt >= n.config.HeartbeatInterval &&
		n.now >= p.graceUntil
}

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
		n.recordsChanged = true // its statements count differently
	}
	p.state = state
	p.stateIncarnation = p.record.Incarnation
	witnesses := slices.Clone(p.notHeardBy)
	if state == PartlyReachable {
		witnesses = append(witnesses, p.notHeardButAliveBy...)
	}
	n.report(MemberReport{Member: p.id, State: state, Reason: reason, Witnesses: witnesses})
}

// declareFailed gives all failed members their state at once. While others are suspected it waits, as the same event
// may have hit them. Where failed and suspected members are half of those that were here recently, it can't be known
// whether they have failed or this part of the fleet is partitioned.
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
	here, recent := n.countRecentMembers()
	hasMajority := 2*(here-len(failed)-suspects) > recent
	for _, p := range failed {
		if hasMajority && n.hasCredibleQuorum(p, recent) {
			n.setState(p, Dead, reasonDead)
		} else {
			n.setState(p, Unreachable, reasonUnreachable)
		}
	}
}

// hasCredibleQuorum tells whether a quorum of the members that don't hear a peer hear most others. Guards against
// members that were partitioned and return with what they observed there.
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

// countRecentMembers counts the members that are here, and those that were recently.
func (n *Node) countRecentMembers() (here, recent int) {
	for _, p := range n.members.sorted {
		switch {
		case p.state.InView():
			here++
			recent++
		case p.state == Unreachable, p.state == Dead && n.now-p.viewChangedAt < recentMemory:
			recent++
		}
	}
	return here, recent
}

// refute answers statements that this member is not heard by a new incarnation, which makes them void.
func (n *Node) refute() {
	if len(n.self.notHeardBy) == 0 || n.leaving {
		return
	}
	n.report(MemberReport{Member: n.self.id, State: n.self.state, Reason: reasonRefuted, Witnesses: slices.Clone(n.self.notHeardBy)})
	n.startIncarnation(n.self.record.Incarnation + 1)
	n.tallyStatements()
}
