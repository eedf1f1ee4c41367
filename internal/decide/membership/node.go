// Package membership decides which front ends of an installation serve: which members get the heartbeats of this one,
// which ones it monitors, what it concludes from their silence, and which view of the fleet follows. It does no I/O
// and reads no clock; the caller passes in time, datagrams and a random source, and carries out the returned actions.
//
// It is a SWIM-like failure detector with gossip. Each member is the only author of one record: its incarnation,
// whether it has departed, whether it suspects itself, and which members it does not hear. Records are ordered by
// their author's own numbers, so they may arrive late, twice or in any order. All members conclude the state of a
// member from all records by the same rules; there is no leader. docs/design/members.md has the alternatives.
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

	now             time.Duration
	startedAt       time.Duration
	nextTickAt      time.Duration
	nextHeartbeatAt time.Duration
	sequence        uint32 // of heartbeats
	leaving         bool
	recordsChanged  bool // since states were last evaluated
	unsettled       bool // a state or a view waits for its time

	actions []Action

	DroppedDatagrams int // unreadable, or not from the member that they name
	RejectedMembers  int // members beyond maxMembers
	RejectedGossip   int // gossip messages beyond their bounds
}

// New returns a member. incarnation must be higher than that of any earlier process of this member that others may
// remember: the Unix second of the start will do, as the others correct one that is not. named are the members that
// the settings name, perhaps including this one; more are discovered by their records.
func New(config Config, self ID, incarnation uint32, named []ID, now time.Duration, random RandomSource) *Node {
	n := newNode(config, self, incarnation, named, now, random)
	n.evaluate()
	return n
}

func newNode(config Config, self ID, incarnation uint32, named []ID, now time.Duration, random RandomSource) *Node {
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
	for _, id := range named {
		n.members.getOrAdd(id)
	}
	n.members.toggleDigest(n.self.record)
	n.queueRecord(self)
	return n
}

// TickInterval is how often a Tick is due.
func (n *Node) TickInterval() time.Duration { return n.config.HeartbeatInterval / 10 }

// heartbeats is the length of so many heartbeat intervals.
func (n *Node) heartbeats(count int) time.Duration {
	return time.Duration(count) * n.config.HeartbeatInterval
}

// View returns the installed view, and whether it holds more than half of the fleet.
func (n *Node) View() (view View, majority bool) { return n.views.current, n.views.hasMajority }

// State returns what this member concludes about another one, with the members that do not hear it and, where there
// are any, those that do.
func (n *Node) State(id ID) (state State, notHeardBy, heardBy []ID) {
	p := n.members.byID[id]
	if p == nil {
		return Unknown, nil, nil
	}
	return p.state, slices.Clone(p.notHeardBy), slices.Clone(p.heardBy)
}

// Handle takes one event and returns the actions to carry out, in order. Time must not go back between calls.
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

func (n *Node) tick() {
	late := n.now - n.nextTickAt
	n.nextTickAt = n.now + n.TickInterval()
	if late > n.config.HeartbeatInterval {
		n.recoverFromPause(late)
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

// leave announces the shutdown of this member to its monitors and to some others, as datagrams may be lost.
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

// randomPeers draws up to limit other members of the view that meet a condition, each once.
func (n *Node) randomPeers(limit int, meets func(*peer) bool) []*peer {
	var candidates []*peer
	for _, p := range n.topology.inView {
		if p != n.self && meets(p) {
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
