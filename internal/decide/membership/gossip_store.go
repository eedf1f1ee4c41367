package membership

import (
	"cmp"
	"slices"
	"time"
)

// Gossip messages are passed on with what the budget leaves beside heartbeats, pings and records. What is lost is found
// by digests and requested.

// gossipExpiryInterval is how often messages of members long gone are looked for.
const gossipExpiryInterval = time.Second

// gossipDigestMask covers the byte of a datagram's digest that is of the gossip.
const gossipDigestMask uint32 = 0xff

// gossipStore holds the gossip messages that this member knows.
type gossipStore struct {
	messages    map[gossipKey]GossipMessage
	pending     map[gossipKey]int // how many more times the message is sent
	digest      uint32            // of all messages
	requestedAt time.Duration     // the last request for what differs
	expireAt    time.Duration     // next look for expired messages
}

func (s *gossipStore) toggleDigest(g GossipMessage) { s.digest ^= g.hash() }

// put stores a message in place of its previous version.
func (s *gossipStore) put(g GossipMessage) {
	if previous, ok := s.messages[g.id()]; ok {
		s.toggleDigest(previous)
	}
	s.messages[g.id()] = g
	s.toggleDigest(g)
}

func (s *gossipStore) remove(key gossipKey) {
	s.toggleDigest(s.messages[key])
	delete(s.messages, key)
	delete(s.pending, key)
}

func (s *gossipStore) markSent(key gossipKey) {
	s.pending[key]--
	if s.pending[key] <= 0 {
		delete(s.pending, key)
	}
}

// count is how many messages of an owner meet a condition.
func (s *gossipStore) count(owner ID, meets func(GossipMessage) bool) (count int) {
	for key, g := range s.messages {
		if key.owner == owner && meets(g) {
			count++
		}
	}
	return count
}

// published returns the messages that meet a condition and are not withdrawn, by owner, topic and key.
func (s *gossipStore) published(meets func(gossipKey) bool) (all []GossipMessage) {
	for key, g := range s.messages {
		if len(g.Body) > 0 && meets(key) {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b GossipMessage) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// Publish makes a gossip message of this member known to all. An empty body withdraws the message.
func (n *Node) Publish(topic uint8, key uint32, body []byte) error {
	if len(body) > MaxGossipBody {
		return ErrGossipBodyTooLong
	}
	g := GossipMessage{Topic: topic, Key: key, Owner: n.self.id, Incarnation: n.self.record.Incarnation, Version: 1, Body: slices.Clone(body)}
	previous, exists := n.gossip.messages[g.id()]
	isPublished := func(g GossipMessage) bool { return len(g.Body) > 0 }
	if n.gossip.count(n.self.id, isPublished) >= MaxGossipPerOwner && !isPublished(previous) {
		return ErrTooManyGossipMessages
	}
	if exists {
		g.Incarnation = max(g.Incarnation, previous.Incarnation)
		g.Version = previous.Version + 1
	}
	n.addGossip(g)
	return nil
}

// GossipMessages returns all known messages of a topic, by owner and key.
func (n *Node) GossipMessages(topic uint8) []GossipMessage {
	return n.gossip.published(func(k gossipKey) bool { return k.topic == topic })
}

// addGossip stores a new message and has it passed on.
func (n *Node) addGossip(g GossipMessage) {
	n.gossip.put(g)
	n.gossip.pending[g.id()] = n.config.RingCount
	if n.outbox.flushAt == 0 {
		n.outbox.flushAt = n.now + n.config.HeartbeatInterval/8
	}
}

// receiveGossip takes a message from a peer. A newer version replaces the one here; messages beyond the bounds are
// rejected and counted.
func (n *Node) receiveGossip(g GossipMessage) {
	owner := n.members.byID[g.Owner]
	if owner == nil || !owner.known || !owner.state.InView() {
		return // it expires with its owner
	}
	previous, exists := n.gossip.messages[g.id()]
	switch {
	case exists && !g.isNewerThan(previous):
		isSame := !previous.isNewerThan(g)
		if isSame && n.gossip.pending[g.id()] > n.config.RingCount/2 {
			n.gossip.pending[g.id()]--
		}
	case g.Owner == n.self.id:
		// It is of an earlier process, or forged: publish what this member knows, as a newer version.
		g.Version++
		g.Body = previous.Body
		g.Incarnation = max(g.Incarnation, n.self.record.Incarnation)
		n.addGossip(g)
	case !exists && !n.mayAddGossip(g.Owner):
		n.RejectedGossip++
	default:
		n.addGossip(g)
	}
}

// mayAddGossip tells whether there is capacity for another message of an owner. Withdrawn ones count too, so an owner
// has twice as many as it may publish.
func (n *Node) mayAddGossip(owner ID) bool {
	ofOwner := n.gossip.count(owner, func(GossipMessage) bool { return true })
	return ofOwner < 2*MaxGossipPerOwner && len(n.gossip.messages) < MaxGossipMessages
}

// expireGossip removes messages whose owners have been out of the view for a while.
func (n *Node) expireGossip() {
	if n.now < n.gossip.expireAt {
		return
	}
	n.gossip.expireAt = n.now + gossipExpiryInterval
	for key := range n.gossip.messages {
		owner := n.members.byID[key.owner]
		if owner == nil || !owner.state.InView() && n.now-owner.viewChangedAt > recentMemory {
			n.gossip.remove(key)
		}
	}
}

// sendGossip sends as many as fit of the messages that meet a condition, the least often sent first.
func (n *Node) sendGossip(p *peer, meets func(gossipKey) bool) {
	var keys []gossipKey
	for key := range n.gossip.messages {
		if meets(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b gossipKey) int {
		return cmp.Or(
			cmp.Compare(n.gossip.pending[b], n.gossip.pending[a]),
			cmp.Compare(mixHash(a.hash(), n.sequence), mixHash(b.hash(), n.sequence)),
			cmp.Compare(a.hash(), b.hash()))
	})
	var messages []GossipMessage
	size := 0
	for _, key := range keys {
		size += len(n.gossip.messages[key].appendTo(nil))
		if size > n.config.MaxDatagramBytes-maxHeaderBytes-checksumBytes {
			break
		}
		messages = append(messages, n.gossip.messages[key])
	}
	if len(messages) == 0 || n.send(message{Kind: kindGossip, Gossip: messages}, p) < 0 {
		return
	}
	for _, g := range messages {
		n.gossip.markSent(g.id())
	}
}

// gossipDigestByte is a byte of the gossip's digest, another one with each heartbeat, so that a difference shows soon
// although a byte is little.
func (n *Node) gossipDigestByte(sequence uint16) uint32 {
	return mixHash(n.gossip.digest, uint32(sequence)) & gossipDigestMask
}
