package lease

import (
	"slices"
	"time"
)

// voter is the vote that this member has given for an engine's leader.
type voter struct {
	candidate ID
	process   uint32 // of the candidate: two may run while one replaces the other
	until     time.Duration
}

// allows tells whether the vote may go to a process of a member: it is that one's already, or the term has ended.
func (v *voter) allows(candidate ID, process uint32, now time.Duration) bool {
	return now >= v.until || v.candidate == candidate && v.process == process
}

// vote gives this member's vote for an engine's leader, for a term.
func (n *Node) vote(candidate ID, request message, engine *engineState) {
	if !n.hasSettled() || !slices.Contains(engine.voters, n.self) {
		return
	}
	if !engine.voter.allows(candidate, request.process, n.now) {
		return
	}
	engine.voter = voter{candidate: candidate, process: request.process, until: n.now + n.config.Term}
	answer := request
	answer.kind = kindVote
	n.send(candidate, answer)
}
