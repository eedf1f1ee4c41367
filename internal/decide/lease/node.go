// Package lease divides the capacity of an engine in slow start among the front ends of one installation, so that the
// sum of all quotas never exceeds the engine's capacity: whatever their views of the fleet, whatever messages are lost,
// late or duplicated, and however long one of them is paused. It does no I/O and reads no clock.
//
// A quota is leased until a time. Each engine has a few voters, the same at all members, as they follow from the
// settings and not from who is alive. A majority of them has to vote for a member before it grants leases, and a voter
// votes for one member at a time. A lease expires before its leader's term does, and that before a voter can vote for
// another member; each counts its time from before it sent the request and allows for clock drift.
// docs/design/lend.md has the proof; the leases are those of Gray and Cheriton (1989).
package lease

import (
	"slices"
	"time"
)

// ticksPerTerm is how many ticks are due in a term.
const ticksPerTerm = 16

// Node is one member. It is not safe for concurrent use.
type Node struct {
	config        Config
	self          ID
	process       uint32 // names this process
	membersDigest uint32
	liveMembers   []ID
	engines       map[EngineID]*engineState

	now         time.Duration
	startedAt   time.Duration
	nextTickAt  time.Duration
	lastRequest uint32
	actions     []Send

	DroppedMessages int // malformed, or not of a member
	RejectedEngines int // beyond MaxEngines
}

// engineState is what a member knows of one engine, in each of its roles.
type engineState struct {
	voters      []ID
	requestedAt time.Duration // others requested a lease: while they do, this member campaigns where it is preferred
	voter       voter
	leader      leader
	holder      holder
}

// New returns a member that has just started and has had its address since now, so that no process before it receives
// anything any more. It neither votes nor campaigns for a term, as it does not know what that process did.
func New(config Config, self ID, now time.Duration, random RandomSource) *Node {
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

// TickInterval is how often a Tick is due.
func (n *Node) TickInterval() time.Duration { return n.config.Term / ticksPerTerm }

// BaseQuota is what each member may use of an engine without a lease, of FullCapacity.
func (n *Node) BaseQuota() int { return n.config.UnleasedCapacity / max(len(n.config.Members), 1) }

// Quota is what this member may use of an engine at a time, of FullCapacity. The caller asks right before it sends a
// request: a process that was paused since then may have no lease any more.
func (n *Node) Quota(id EngineID, now time.Duration) int {
	engine := n.engines[id]
	if engine == nil || now >= engine.holder.expiresAt {
		return n.BaseQuota()
	}
	return n.BaseQuota() + engine.holder.quota
}

// Handle takes one event and returns the messages to send, in order. Time must not go back between calls.
func (n *Node) Handle(now time.Duration, event Event) []Send {
	n.now = now
	n.actions = nil
	switch e := event.(type) {
	case Tick:
		n.tick()
	case MessageReceived:
		n.receive(e.From, e.Payload)
	case Demand:
		n.setDemand(e.Engine, e.Quota)
	case LiveMembers:
		n.liveMembers = slices.DeleteFunc(slices.Clone(e.IDs), func(id ID) bool { return !n.isMember(id) })
	}
	return n.actions
}

func (n *Node) isMember(id ID) bool {
	_, found := slices.BinarySearch(n.config.Members, id)
	return found
}

// hasSettled tells whether a term has passed since the start, after which votes and leases of the process before this
// one have expired.
func (n *Node) hasSettled() bool { return n.now-n.startedAt >= n.config.Term }

// engine returns the state of an engine, or nil where there are too many.
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

func (n *Node) nextRequest() uint32 {
	n.lastRequest++
	return n.lastRequest
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

// tickEngine renews votes and leases of an engine, or forgets it once nothing depends on it.
func (n *Node) tickEngine(id EngineID, engine *engineState) {
	engine.leader.dropExpired(n.now)
	preferred, hasPreferred := n.preferredLeader(id)
	isWanted := engine.holder.demand > 0 || engine.requestedAt > 0 && n.now-engine.requestedAt < n.config.Term
	if !isWanted && engine.isIdle(n.now) {
		delete(n.engines, id)
		return
	}
	if hasPreferred && isWanted && preferred == n.self && n.hasSettled() && n.isRenewalDue(engine.leader.requestedAt) {
		n.campaign(id, engine)
	}
	if hasPreferred && engine.holder.demand > 0 && n.isRenewalDue(engine.holder.requestedAt) {
		n.requestLease(preferred, id, engine)
	}
}

// isIdle tells whether neither a grant, nor a vote, nor a lease depends on the state.
func (e *engineState) isIdle(now time.Duration) bool {
	return len(e.leader.grants) == 0 && now >= e.voter.until && now >= e.holder.expiresAt
}

// isRenewalDue tells whether a request has to be repeated that was last sent at a time; 0: never.
func (n *Node) isRenewalDue(requestedAt time.Duration) bool {
	return requestedAt == 0 || n.now-requestedAt >= n.config.Term/renewalsPerTerm
}

// send sends a message, or handles it where it is for this member itself.
func (n *Node) send(to ID, m message) {
	m.membersDigest = n.membersDigest
	if to == n.self {
		n.handleMessage(n.self, m)
		return
	}
	n.actions = append(n.actions, Send{to, m.encode()})
}

func (n *Node) receive(from ID, payload []byte) {
	m, err := decode(payload)
	if err != nil || m.membersDigest != n.membersDigest || from == n.self || !n.isMember(from) {
		n.DroppedMessages++
		return
	}
	n.handleMessage(from, m)
}

func (n *Node) handleMessage(from ID, m message) {
	engine := n.engine(m.engine)
	if engine == nil {
		return
	}
	switch m.kind {
	case kindVoteRequest:
		n.vote(from, m, engine)
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
