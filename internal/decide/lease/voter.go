package lease

import (
	"slices"
	"time"
)

// voterState is the latest vote that this member has given for the leader of an engine. The zero value is no vote.
type voterState struct {
	candidate MemberID
	process   uint32 // of the candidate: two processes of a member may run while one replaces the other
	expiresAt time.Duration
}

// allows reports whether this member may vote for a process of a candidate: its vote is that process's already, or has
// expired.
func (v *voterState) allows(candidate MemberID, process uint32, now time.Duration) bool {
	return now >= v.expiresAt || v.candidate == candidate && v.process == process
}

// handleVoteRequest votes for the candidate as the leader of an engine, for one term, if this member may. It does not
// respond otherwise.
func (n *Node) handleVoteRequest(candidate MemberID, request message, engine *engineState) {
	if !n.startupTermOver() || !slices.Contains(engine.voters, n.self) {
		return
	}
	if !engine.voter.allows(candidate, request.process, n.now) {
		return
	}
	engine.voter = voterState{candidate: candidate, process: request.process, expiresAt: n.now + n.config.Term}
	response := request
	response.kind = kindVote
	n.send(candidate, response)
}
