// Package lease divides the capacity of an engine in slow start among the front ends of one installation (the members),
// so that the sum of their quotas never exceeds the engine's capacity. This holds even if the members' views of who is
// live differ, if messages are lost, delayed or duplicated, and if a member is paused for any time. The package does no
// I/O and reads no clock.
//
// Part of the capacity is never leased: each member may always use an equal share of it. The rest is leased by a
// leader, on request and for a limited time. Each engine has a few voters, which follow from the settings and not from
// who is live, so that all members agree on them. A majority of the voters must vote for a member before it grants
// leases, and a voter votes for one member at a time. A lease expires before its leader's term ends, and the term ends
// before a voter can vote for another member: leader and holder each count the time from before they sent the request
// for the votes or for the lease, and allow for clock drift. docs/design/lend.md has the proof; the leases are those of Gray and Cheriton (1989).
package lease

import (
	"slices"
	"time"
)

// ticksPerTerm is the number of ticks in a term.
const ticksPerTerm = 16

// Node is the state of one member: it is a voter, leader and lease holder of any number of engines. It is not safe for
// concurrent use.
type Node struct {
	config        Config // with Members sorted
	self          MemberID
	process       uint32 // random number that tells this process from others of the same member
	membersDigest uint32 // of Config.Members
	liveMembers   []MemberID
	engines       map[EngineID]*engineState

	now           time.Duration
	startedAt     time.Duration
	nextTickAt    time.Duration
	lastRequestID uint32
	outgoing      []Send // messages of the event that is being handled

	DroppedMessages int // count of messages that were malformed, not from another member, or from one with a different member list
	RejectedEngines int // count of times that an engine beyond Config.MaxEngines was rejected
}

// engineState is the state of a member for one engine, in each of its roles.
type engineState struct {
	voters           []MemberID
	leaseRequestedAt time.Duration // when a member last requested a lease from this one; 0: never
	voter            voterState
	leader           leaderState
	holder           holderState
}

// New returns a member that has just started and has had its address since now, so that an earlier process of the same
// member receives no messages any more. For one term it neither votes nor campaigns, as it does not know what the
// earlier process has voted for and granted.
func New(config Config, self MemberID, now time.Duration, random RandomSource) *Node {
	config.Members = slices.Sorted(slices.Values(config.Members))
	n := &Node{
		config:      config,
		self:        self,
		process:     random.Uint32(),
		liveMembers: config.Members,
		engines:     map[EngineID]*engineState{},
		now:         now,
		startedAt:   now,
	}
	for _, id := range config.Members {
		n.membersDigest = mixHash(n.membersDigest, uint64(id))
	}
	return n
}

// TickInterval returns the time between Ticks.
func (n *Node) TickInterval() time.Duration { return n.config.Term / ticksPerTerm }

// BaseQuota returns the quota of an engine that each member may use without a lease, out of FullCapacity.
func (n *Node) BaseQuota() int { return n.config.UnleasedCapacity / max(len(n.config.Members), 1) }

// Quota returns the quota of an engine that this member may use now, with and without a lease, out of FullCapacity. The
// caller must call it right before it sends a request to the engine, as the lease may have expired during a pause of the
// process.
func (n *Node) Quota(id EngineID, now time.Duration) int {
	engine := n.engines[id]
	if engine == nil || now >= engine.holder.expiresAt {
		return n.BaseQuota()
	}
	return n.BaseQuota() + engine.holder.quota
}

// Handle processes one event and returns the messages to send, in order. now must not go back between calls.
func (n *Node) Handle(now time.Duration, event Event) []Send {
	n.now = now
	n.outgoing = nil
	switch e := event.(type) {
	case Tick:
		n.tick()
	case MessageReceived:
		n.receive(e.From, e.Payload)
	case Demand:
		n.setDemand(e.Engine, e.Quota)
	case LiveMembers:
		n.liveMembers = slices.DeleteFunc(slices.Clone(e.IDs), func(id MemberID) bool { return !n.isMember(id) })
	}
	return n.outgoing
}

func (n *Node) isMember(id MemberID) bool {
	_, found := slices.BinarySearch(n.config.Members, id)
	return found
}

// startupTermOver reports whether a term has passed since the start, after which the votes and leases of an earlier
// process of this member have expired.
func (n *Node) startupTermOver() bool { return n.now-n.startedAt >= n.config.Term }

// engine returns the state of an engine, which it creates if needed; nil if there are MaxEngines already.
func (n *Node) engine(id EngineID) *engineState {
	engine := n.engines[id]
	if engine != nil {
		return engine
	}
	if len(n.engines) >= n.config.MaxEngines {
		n.RejectedEngines++
		return nil
	}
	engine = &engineState{voters: n.voters(id)}
	n.engines[id] = engine
	return engine
}

func (n *Node) nextRequestID() uint32 {
	n.lastRequestID++
	return n.lastRequestID
}

func (n *Node) tick() {
	if n.now < n.nextTickAt {
		return
	}
	n.nextTickAt = n.now + n.TickInterval()
	ids := make([]EngineID, 0, len(n.engines))
	for id := range n.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the same order in each run
	for _, id := range ids {
		n.tickEngine(id, n.engines[id])
	}
}

// tickEngine renews the votes and the lease of an engine if that is due, or deletes the engine's state once nothing
// depends on it. A member campaigns if it is the preferred leader and the engine's capacity is in demand, by itself or
// by a member that requested a lease within the last term.
func (n *Node) tickEngine(id EngineID, engine *engineState) {
	engine.leader.dropExpired(n.now)
	preferred, hasPreferred := n.preferredLeader(id)
	isInDemand := engine.holder.demand > 0 || engine.leaseRequestedAt > 0 && n.now-engine.leaseRequestedAt < n.config.Term
	if !isInDemand && engine.isIdle(n.now) {
		delete(n.engines, id)
		return
	}
	if hasPreferred && isInDemand && preferred == n.self && n.startupTermOver() && n.isRenewalDue(engine.leader.requestedAt) {
		n.campaign(id, engine)
	}
	if hasPreferred && engine.holder.demand > 0 && n.isRenewalDue(engine.holder.requestedAt) {
		n.requestLease(preferred, id, engine)
	}
}

// isIdle reports whether the state has no grants and no vote or lease that is still valid.
func (e *engineState) isIdle(now time.Duration) bool {
	return len(e.leader.grants) == 0 && now >= e.voter.expiresAt && now >= e.holder.expiresAt
}

// isRenewalDue reports whether a request that was last sent at requestedAt is to be sent again; 0 means that it was
// never sent.
func (n *Node) isRenewalDue(requestedAt time.Duration) bool {
	return requestedAt == 0 || n.now-requestedAt >= n.config.Term/renewalsPerTerm
}

// send queues a message for another member, or handles it at once if it is for this member itself.
func (n *Node) send(to MemberID, m message) {
	m.membersDigest = n.membersDigest
	if to == n.self {
		n.handleMessage(n.self, m)
		return
	}
	n.outgoing = append(n.outgoing, Send{to, m.encode()})
}

func (n *Node) receive(from MemberID, payload []byte) {
	m, err := decode(payload)
	if err != nil || m.membersDigest != n.membersDigest || from == n.self || !n.isMember(from) {
		n.DroppedMessages++
		return
	}
	n.handleMessage(from, m)
}

func (n *Node) handleMessage(from MemberID, m message) {
	engine := n.engine(m.engine)
	if engine == nil {
		return
	}
	switch m.kind {
	case kindVoteRequest:
		n.handleVoteRequest(from, m, engine)
	case kindVote:
		n.countVote(from, m, engine)
	case kindLeaseRequest:
		n.grantLease(from, m, engine)
	case kindLeaseRelease:
		engine.leader.releaseGrants(from, m)
	case kindLease:
		n.acceptLease(m, engine)
	}
}
