// Package membership decides which front ends of an installation serve: to which members this one sends heartbeats,
// which members it monitors, what it concludes from missing heartbeats, and which view results, that is the set of
// serving members. It does no I/O and reads no clock. The caller passes in the time, datagrams and a random source, and
// carries out the returned actions.
//
// The protocol is a SWIM-like failure detector with gossip. Each member is the only author of one record, which states
// its incarnation, whether it has departed, whether it suspects itself, and which members it does not hear. A member
// hears another one while datagrams from that one arrive in time. The members that state that they do not hear a member
// are the witnesses against it. It is declared dead or unreachable only after a quorum of them has lasted for a while.
// Records are ordered by numbers that their author assigns, so they may arrive late, more than once or in any order. All
// members derive the state of a member from all records by the same rules; there is no leader. docs/design/members.md
// describes the alternatives that were considered.
package membership

import (
	"slices"
	"time"
)

// Node is one member. It is not safe for concurrent use.
type Node struct {
	config Config
	random RandomSource
	self   *peer

	members       memberTable
	topology      topology
	monitor       monitor
	ownStatements statementWriter
	health        localHealth
	budget        sendBudget
	outbox        recordOutbox
	sync          antiEntropy
	gossip        gossipStore
	views         viewTracker

	now             time.Duration // time of the current event, as passed to Handle
	startedAt       time.Duration
	nextTickAt      time.Duration // when the next Tick is due
	nextHeartbeatAt time.Duration
	sequence        uint32 // number of the last round of heartbeats; in the low 16 bits, which are sent, 0 means none yet
	leaving         bool   // whether this member has announced its shutdown
	recordsChanged  bool   // whether a record has changed since the states were last evaluated
	// needsReevaluation is whether to evaluate the states again without a changed record, as a state or the view waits for
	// a timeout.
	needsReevaluation bool

	actions []Action // results of the current event

	// DroppedDatagrams counts datagrams that were malformed or too long, that named another sender than their source,
	// or whose sender was not accepted.
	DroppedDatagrams int
	// RejectedMembers counts rejections of members beyond maxMembers.
	RejectedMembers int
	// RejectedGossip counts rejections of gossip messages beyond the limits.
	RejectedGossip int
}

// New returns a member without any saved state. incarnation must be higher than that of any earlier process of this
// member that others may remember. The Unix time of the start in seconds is suitable, as the other members correct a
// value that is too low. configured are the members that the settings name, which may include this one; further members
// are discovered from records.
func New(config Config, self ID, incarnation uint32, configured []ID, now time.Duration, random RandomSource) *Node {
	n := newNode(config, self, incarnation, configured, now, random)
	n.evaluate()
	return n
}

// newNode returns a member that has not evaluated the states yet.
func newNode(config Config, self ID, incarnation uint32, configured []ID, now time.Duration, random RandomSource) *Node {
	n := &Node{
		config:          config,
		random:          random,
		self:            &peer{id: self, known: true, record: record{Author: self, Incarnation: incarnation}, state: Alive, viewChangedAt: now},
		members:         memberTable{byID: map[ID]*peer{}, known: 1},
		topology:        topology{stale: true},
		health:          localHealth{lastHeardAny: now, lossRate: initialLossRate},
		budget:          newSendBudget(config, now),
		outbox:          recordOutbox{pending: map[ID]int{}},
		gossip:          gossipStore{messages: map[gossipKey]GossipMessage{}, pending: map[gossipKey]int{}},
		now:             now,
		startedAt:       now,
		nextTickAt:      now,
		nextHeartbeatAt: now,
	}
	n.members.add(n.self)
	for _, id := range configured {
		n.members.getOrAdd(id)
	}
	n.members.toggleDigest(n.self.record)
	n.queueRecord(self)
	return n
}

// TickInterval returns the time between two Ticks.
func (n *Node) TickInterval() time.Duration { return n.config.HeartbeatInterval / 10 }

// heartbeats returns the duration of the given number of heartbeat intervals.
func (n *Node) heartbeats(count int) time.Duration {
	return time.Duration(count) * n.config.HeartbeatInterval
}

// View returns the installed view and whether it holds more than half of the recent fleet.
func (n *Node) View() (view View, majority bool) { return n.views.current, n.views.hasMajority }

// State returns the state of a member, the members that report not hearing it and those that report hearing it despite
// such reports. The state of an ID that is not in the member table is Unknown.
func (n *Node) State(id ID) (state State, notHeardBy, heardBy []ID) {
	p := n.members.byID[id]
	if p == nil {
		return Unknown, nil, nil
	}
	return p.state, slices.Clone(p.notHeardBy), slices.Clone(p.heardBy)
}

// Handle processes one event and returns the actions to carry out, in order. now must not decrease between calls.
func (n *Node) Handle(now time.Duration, event Event) []Action {
	n.actions = nil
	n.budget.refill(n.config, now)
	n.now = now
	switch e := event.(type) {
	case Tick:
		n.tick()
	case DatagramReceived:
		n.receive(e.From, e.Payload)
	case Leave:
		n.leave()
	}
	return n.actions
}

func (n *Node) report(report MemberReport) { n.actions = append(n.actions, report) }

// tick runs the periodic work: failure detection, evaluation of the states, heartbeats. A tick that comes late by more
// than a heartbeat interval indicates that the process was paused.
func (n *Node) tick() {
	delay := n.now - n.nextTickAt
	n.nextTickAt = n.now + n.TickInterval()
	if delay > n.config.HeartbeatInterval {
		n.recoverFromPause(delay)
	}
	if n.leaving {
		return
	}
	n.checkIsolation()
	n.pingSilentMembers()
	n.updateStatements()
	n.evaluate()
	n.expireGossip()
	switch {
	case n.now >= n.nextHeartbeatAt:
		n.nextHeartbeatAt = max(n.nextHeartbeatAt+n.config.HeartbeatInterval, n.now+n.config.HeartbeatInterval/2)
		n.sendHeartbeats()
	case n.outbox.flushAt > 0 && n.now >= n.outbox.flushAt:
		n.flushPending()
	}
}

// leave announces the shutdown of this member to its monitors and, as datagrams may be lost, to some random members.
func (n *Node) leave() {
	n.leaving = true
	targets := n.heartbeatTargets()
	n.updateOwnRecord(func(r *record) { r.Departed = true })
	n.self.state = Departed
	targets = append(targets, n.randomPeers(n.config.RingCount, func(p *peer) bool { return p.state.InView() })...)
	for _, p := range targets {
		n.sendRecords(kindHeartbeat, p, 0, []record{n.self.record})
	}
}

// randomPeers returns up to limit distinct random members of the view that match, without this member.
func (n *Node) randomPeers(limit int, matches func(*peer) bool) []*peer {
	var candidates []*peer
	for _, p := range n.topology.inView {
		if p != n.self && matches(p) {
			candidates = append(candidates, p)
		}
	}
	limit = min(limit, len(candidates))
	for i := range limit {
		j := i + n.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:limit]
}
