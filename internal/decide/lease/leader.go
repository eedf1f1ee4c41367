package lease

import (
	"slices"
	"time"
)

// renewalsPerTerm is how often in a term a leader renews its votes, and a holder its lease.
const renewalsPerTerm = 4

// leader is what this member does as the leader of an engine, or as a candidate.
type leader struct {
	requestedAt time.Duration // the pending vote request was sent; 0: there was none
	request     message       // the pending vote request
	votes       []ID          // for it
	until       time.Duration // leases may be granted up to here
	grants      []grant
}

// grant is a lease that this member has granted.
type grant struct {
	holder    ID
	process   uint32 // of the holder: a restarted one has no lease of the process before
	request   uint32
	quota     int
	expiresAt time.Duration
}

// holderProcess names one process of a lease holder.
type holderProcess struct {
	holder  ID
	process uint32
}

func (l *leader) dropExpired(now time.Duration) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool { return now >= g.expiresAt })
}

// reserved is the quota that all other processes may use. Of each process the largest lease that has not expired
// counts, as it may not have received the last one.
func (l *leader) reserved(except holderProcess, now time.Duration) int {
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

// campaign asks the voters of an engine for their votes, or to renew them.
func (n *Node) campaign(id EngineID, engine *engineState) {
	engine.leader.requestedAt = n.now
	engine.leader.votes = nil
	engine.leader.request = message{kind: kindVoteRequest, engine: id, process: n.process, request: n.nextRequest()}
	for _, v := range engine.voters {
		n.send(v, engine.leader.request)
	}
}

// countVote takes a vote for the pending request. Votes for an earlier request, or an earlier process, don't count.
func (n *Node) countVote(from ID, vote message, engine *engineState) {
	l := &engine.leader
	if vote.process != n.process || vote.request != l.request.request || n.now-l.requestedAt >= n.config.Term || slices.Contains(l.votes, from) {
		return
	}
	l.votes = append(l.votes, from)
	if 2*len(l.votes) > len(engine.voters) {
		l.until = max(l.until, l.requestedAt+n.config.guaranteed(n.config.Term))
	}
}

// grantLease leases a quota, as much as is not leased to others, for as long as this member leads.
func (n *Node) grantLease(holder ID, request message, engine *engineState) {
	engine.requestedAt = n.now
	span := engine.leader.until - n.now
	if span < n.TickInterval() {
		return
	}
	span = span.Truncate(time.Millisecond)
	free := FullCapacity - n.config.UnleasedCapacity - engine.leader.reserved(holderProcess{holder, request.process}, n.now)
	quota := min(int(request.quota), free)
	if quota <= 0 {
		return
	}
	engine.leader.grants = append(engine.leader.grants, grant{holder: holder, process: request.process, request: request.request, quota: quota, expiresAt: n.now + span})
	n.send(holder, message{kind: kindLease, engine: request.engine, process: request.process, request: request.request, quota: uint16(quota), span: span})
}

// releaseGrants drops the leases that a holder has given back: those of its earlier requests.
func (l *leader) releaseGrants(holder ID, release message) {
	l.grants = slices.DeleteFunc(l.grants, func(g grant) bool {
		return g.holder == holder && g.process == release.process && g.request < release.request
	})
}
