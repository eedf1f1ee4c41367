package lease

import (
	"slices"
	"time"
)

// renewalsPerTerm is how many times per term a leader renews its votes, and a holder its lease.
const renewalsPerTerm = 4

// leaderState is the state of this member as the leader of an engine, or as a candidate for it.
type leaderState struct {
	requestedAt   time.Duration // when the latest vote request was sent; 0: never
	voteRequest   message       // the latest vote request
	votes         []MemberID    // members that have voted in response to voteRequest
	canGrantUntil time.Duration // end of this member's term as leader; every lease that it grants expires by then
	grants        []grant
}

// grant is a lease that this member has granted.
type grant struct {
	holder    MemberID
	process   uint32 // of the holder: a restarted holder does not have the leases of its previous process
	requestID uint32 // ID of the lease request
	quota     int    // out of FullCapacity
	expiresAt time.Duration
}

// holderProcess identifies one process of a lease holder.
type holderProcess struct {
	holder  MemberID
	process uint32
}

func (l *leaderState) dropExpired(now time.Duration) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return now >= g.expiresAt })
}

// reserved returns the leased quota that processes other than except may be using. Of each process only the largest
// unexpired lease counts: the process holds one lease at a time, but may not have received the latest one.
func (l *leaderState) reserved(except holderProcess, now time.Duration) int {
	largest := map[holderProcess]int{}
	for _, g := range l.grants {
		key := holderProcess{g.holder, g.process}
		if now < g.expiresAt && key != except {
			largest[key] = max(largest[key], g.quota)
		}
	}
	sum := 0
	for _, quota := range largest {
		sum += quota
	}
	return sum
}

// campaign requests the votes of an engine's voters, or their renewal.
func (n *Node) campaign(id EngineID, engine *engineState) {
	engine.leader.requestedAt = n.now
	engine.leader.votes = nil
	engine.leader.voteRequest = message{kind: kindVoteRequest, engine: id, process: n.process, requestID: n.nextRequestID()}
	for _, v := range engine.voters {
		n.send(v, engine.leader.voteRequest)
	}
}

// countVote counts a vote in response to the latest vote request. Votes for an earlier request or an earlier process of
// this member are ignored. With a majority this member may grant leases for a term, which counts from before the request
// was sent and is reduced for clock drift.
func (n *Node) countVote(from MemberID, vote message, engine *engineState) {
	l := &engine.leader
	if vote.process != n.process || vote.requestID != l.voteRequest.requestID || n.now-l.requestedAt >= n.config.Term || slices.Contains(l.votes, from) {
		return
	}
	l.votes = append(l.votes, from)
	if 2*len(l.votes) > len(engine.voters) {
		l.canGrantUntil = max(l.canGrantUntil, l.requestedAt+n.config.guaranteedSpan(n.config.Term))
	}
}

// grantLease grants a lease of the requested quota, or of as much as is not leased to others, until the end of this
// member's term as leader. It grants none if this member does not lead, if its term ends within a tick, or if no quota
// is left.
func (n *Node) grantLease(holder MemberID, request message, engine *engineState) {
	engine.leaseRequestedAt = n.now
	span := engine.leader.canGrantUntil - n.now
	if span < n.TickInterval() {
		return
	}
	span = span.Truncate(time.Millisecond)
	free := FullCapacity - n.config.UnleasedCapacity - engine.leader.reserved(holderProcess{holder, request.process}, n.now)
	quota := min(int(request.quota), free)
	if quota <= 0 {
		return
	}
	engine.leader.grants = append(engine.leader.grants, grant{holder: holder, process: request.process, requestID: request.requestID, quota: quota, expiresAt: n.now + span})
	n.send(holder, message{kind: kindLease, engine: request.engine, process: request.process, requestID: request.requestID, quota: uint16(quota), span: span})
}

// releaseGrants removes the leases that a holder has released: those that it requested before the release.
func (l *leaderState) releaseGrants(holder MemberID, release message) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool {
		return g.holder == holder && g.process == release.process && g.requestID < release.requestID
	})
}
