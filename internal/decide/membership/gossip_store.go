package membership

import (
	"cmp"
	"slices"
	"time"
)

// Gossip messages are forwarded with the budget that heartbeats, pings and records leave. Lost messages are detected by
// comparing digests, and requested.

// gossipExpiryInterval is how often the store is searched for messages whose owners have been gone for long.
const gossipExpiryInterval = time.Second

// gossipDigestMask selects the byte of a datagram's records digest that holds gossipDigestByte.
const gossipDigestMask uint32 = 0xff

// gossipStore holds the gossip messages that this member knows.
type gossipStore struct {
	messages    map[gossipKey]GossipMessage
	pending     map[gossipKey]int // how many more times each message is sent
	digest      uint32            // XOR of the hashes of all messages
	requestedAt time.Duration     // time of the last request for missing messages
	expireAt    time.Duration     // time of the next search for expired messages
}

// toggleDigest adds a message to the digest, or removes it.
func (s *gossipStore) toggleDigest(g GossipMessage) { s.digest ^= g.hash() }

// put stores a message, replacing its previous version.
func (s *gossipStore) put(g GossipMessage) {
	if previous, ok := s.messages[g.id()]; ok {
		s.toggleDigest(previous)
	}
	s.messages[g.id()] = g
	s.toggleDigest(g)
}

// remove deletes a message.
func (s *gossipStore) remove(key gossipKey) {
	s.toggleDigest(s.messages[key])
	delete(s.messages, key)
	delete(s.pending, key)
}

// markSent records that a message was sent once.
func (s *gossipStore) markSent(key gossipKey) {
	s.pending[key]--
	if s.pending[key] <= 0 {
		delete(s.pending, key)
	}
}

// count returns how many messages of an owner match.
func (s *gossipStore) count(owner ID, matches func(GossipMessage) bool) (count int) {
	for key, g := range s.messages {
		if key.owner == owner && matches(g) {
			count++
		}
	}
	return count
}

// published returns the matching messages that are not withdrawn, sorted by owner, topic and key.
func (s *gossipStore) published(matches func(gossipKey) bool) (all []GossipMessage) {
	for key, g := range s.messages {
		if len(g.Body) > 0 && matches(key) {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b GossipMessage) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Key, b.Key))
	})
	return all
}

// Publish distributes a gossip message of this member to all members. An empty body withdraws the message.
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

// GossipMessages returns all known messages of a topic that are not withdrawn, sorted by owner and key.
func (n *Node) GossipMessages(topic uint8) []GossipMessage {
	return n.gossip.published(func(k gossipKey) bool { return k.topic == topic })
}

// addGossip stores a new message and schedules it to be forwarded.
func (n *Node) addGossip(g GossipMessage) {
	n.gossip.put(g)
	n.gossip.pending[g.id()] = n.config.RingCount
	if n.outbox.flushAt == 0 {
		n.outbox.flushAt = n.now + n.config.HeartbeatInterval/8
	}
}

// receiveGossip handles a message from a peer. A newer version replaces the stored one. Messages beyond the limits are
// rejected and counted.
func (n *Node) receiveGossip(g GossipMessage) {
	owner := n.members.byID[g.Owner]
	if owner == nil || !owner.known || !owner.state.InView() {
		return // it would expire with its owner
	}
	previous, exists := n.gossip.messages[g.id()]
	switch {
	case exists && !g.isNewerThan(previous):
		isSame := !previous.isNewerThan(g)
		if isSame && n.gossip.pending[g.id()] > n.config.RingCount/2 {
			n.gossip.pending[g.id()]--
		}
	case g.Owner == n.self.id:
		// The message is from an earlier process of this member, or forged. Publish the content that this member knows
		// as a newer version.
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

// mayAddGossip reports whether the store has room for another message of an owner. Withdrawn messages count too, so the
// limit is twice the number that an owner may publish.
func (n *Node) mayAddGossip(owner ID) bool {
	ofOwner := n.gossip.count(owner, func(GossipMessage) bool { return true })
	return ofOwner < 2*MaxGossipPerOwner && len(n.gossip.messages) < MaxGossipMessages
}

// expireGossip removes messages whose owners have been out of the view for longer than recentFailureWindow.
func (n *Node) expireGossip() {
	if n.now < n.gossip.expireAt {
		return
	}
	n.gossip.expireAt = n.now + gossipExpiryInterval
	for key := range n.gossip.messages {
		owner := n.members.byID[key.owner]
		if owner == nil || !owner.state.InView() && n.now-owner.viewChangedAt > recentFailureWindow {
			n.gossip.remove(key)
		}
	}
}

// sendGossip sends as many of the matching messages as fit one datagram, those with the most pending sends first.
func (n *Node) sendGossip(p *peer, matches func(gossipKey) bool) {
	var keys []gossipKey
	for key := range n.gossip.messages {
		if matches(key) {
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

// gossipDigestByte returns one byte derived from the gossip digest. It differs for each heartbeat sequence number, so
// that a difference that one byte misses shows in a later heartbeat.
func (n *Node) gossipDigestByte(sequence uint16) uint32 {
	return mixHash(n.gossip.digest, uint32(sequence)) & gossipDigestMask
}
