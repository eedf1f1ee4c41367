package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// Rumours are words that later subsystems want all members to know: small, few, each with one owner, who alone changes it.
// They are passed on with what the budget leaves beside beats, questions and records, and found by digests.

const (
	// MostBody is the most that a rumour says, in bytes.
	MaxGossipBody = 96
	// MostOwn is how many rumours one member may have, and MostRumours how many are kept of all.
	MaxGossipPerOwner = 16
	MaxGossipMessages = 1024
)

// Errors of Publish.
var (
	ErrGossipBodyTooLong     = errors.New("members: a rumour says more than 96 bytes")
	ErrTooManyGossipMessages = errors.New("members: this member has 16 rumours already")
)

// GossipMessage is one of them. Of two of one owner, topic and key the later holds.
type GossipMessage struct {
	Topic       uint8
	Key         uint32
	Owner       ID
	Incarnation uint32 // of its owner, when it said so
	Version     uint32
	Body        []byte // empty: taken back
}

// about is what a rumour is about: there is one for each.
type about struct {
	owner ID
	topic uint8
	key   uint32
}

func (r GossipMessage) about() about { return about{r.Owner, r.Topic, r.Key} }

func (r GossipMessage) after(o GossipMessage) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Version, o.Version)) > 0
}

func (a about) hash() uint32 { return mix(mix(a.owner.key(), uint32(a.topic)), a.key) }

func (r GossipMessage) hash() uint32 { return mix(mix(r.about().hash(), r.Incarnation), r.Version) }

// rumours is what one member has heard.
type rumours struct {
	all    map[about]GossipMessage
	news   map[about]int // to be passed on, so many times more
	digest uint32        // of all
	asked  time.Duration // a question for what differs was last asked
}

func (s *rumours) sum(r GossipMessage) { s.digest ^= r.hash() }

func (s *rumours) put(r GossipMessage) {
	if old, ok := s.all[r.about()]; ok {
		s.sum(old)
	}
	s.all[r.about()] = r
	s.sum(r)
}

func (s *rumours) drop(a about) {
	s.sum(s.all[a])
	delete(s.all, a)
	delete(s.news, a)
}

// Publish has all members know a rumour of this one; an empty body takes it back.
func (m *Node) Publish(topic uint8, key uint32, body []byte) error {
	r := GossipMessage{Topic: topic, Key: key, Owner: m.self.id, Incarnation: m.self.record.Inc, Version: 1, Body: slices.Clone(body)}
	if len(body) > MaxGossipBody {
		return ErrGossipBodyTooLong
	}
	old, ok := m.talk.all[r.about()]
	own := 0
	for a, o := range m.talk.all {
		if a.owner == m.self.id && len(o.Body) > 0 {
			own++
		}
	}
	if own >= MaxGossipPerOwner && (!ok || len(old.Body) == 0) {
		return ErrTooManyGossipMessages
	}
	if ok {
		r.Incarnation, r.Version = max(r.Incarnation, old.Incarnation), old.Version+1
	}
	m.learn(r)
	return nil
}

// Rumours are all that are known of a topic, by owner and key.
func (m *Node) GossipMessages(topic uint8) (all []GossipMessage) {
	return m.said(func(a about) bool { return a.topic == topic })
}

// said are the rumours that a filter lets through, but for those that were taken back, by owner, topic and key.
func (m *Node) said(which func(about) bool) (all []GossipMessage) {
	for a, r := range m.talk.all {
		if len(r.Body) > 0 && which(a) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b GossipMessage) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Key, b.Key))
	})
	return all
}

func (m *Node) learn(r GossipMessage) {
	m.talk.put(r)
	m.talk.news[r.about()] = m.cfg.RingCount
	if m.flush == 0 {
		m.flush = m.now + m.cfg.HeartbeatInterval/8
	}
}

// hearRumour takes one of another member's. What is there has the last word; what would be too much is refused and counted.
func (m *Node) hearRumour(r GossipMessage) {
	p := m.peers[r.Owner]
	old, ok := m.talk.all[r.about()]
	switch {
	case p == nil || !p.known || !p.state.InView(): // it went with its owner
		return
	case ok && !r.after(old):
		if !old.after(r) && m.talk.news[r.about()] > m.cfg.RingCount/2 {
			m.talk.news[r.about()]--
		}
		return
	case r.Owner == m.self.id: // of an earlier start, or made up: this member knows better
		r.Version, r.Body = r.Version+1, old.Body
		r.Incarnation = max(r.Incarnation, m.self.record.Inc)
		m.learn(r)
		return
	case !ok:
		own := 0
		for a := range m.talk.all {
			if a.owner == r.Owner {
				own++
			}
		}
		if own >= 2*MaxGossipPerOwner || len(m.talk.all) >= MaxGossipMessages { // twice: with those that were taken back
			m.RejectedGossip++
			return
		}
	}
	m.learn(r)
}

// expire forgets the rumours of those who have been gone for a while.
func (m *Node) expire() {
	if m.now < m.expires {
		return
	}
	m.expires = m.now + time.Second
	for a := range m.talk.all {
		if p := m.peers[a.owner]; p == nil || !p.state.InView() && m.now-p.seenIn > remembers {
			m.talk.drop(a)
		}
	}
}

// tellRumours sends as many as fit of those that a filter lets through, the least told first.
func (m *Node) tellRumours(p *peer, which func(about) bool) {
	var all []about
	for a := range m.talk.all {
		if which(a) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b about) int {
		return cmp.Or(cmp.Compare(m.talk.news[b], m.talk.news[a]), cmp.Compare(mix(a.hash(), m.seq), mix(b.hash(), m.seq)), cmp.Compare(a.hash(), b.hash()))
	})
	var rs []GossipMessage
	size := 0
	for _, a := range all {
		if size += len(m.talk.all[a].append(nil)); size > m.cfg.MaxDatagramBytes-mostHead-sumBytes {
			break
		}
		rs = append(rs, m.talk.all[a])
	}
	if len(rs) == 0 || m.send(message{Kind: kindTalk, Talk: rs}, p) < 0 {
		return
	}
	for _, r := range rs {
		if m.talk.news[r.about()]--; m.talk.news[r.about()] <= 0 {
			delete(m.talk.news, r.about())
		}
	}
}

func (r GossipMessage) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.Owner))
	b = binary.BigEndian.AppendUint32(b, r.Incarnation)
	b = binary.AppendUvarint(b, uint64(r.Version))
	b = binary.AppendUvarint(append(b, r.Topic), uint64(r.Key))
	return append(append(b, byte(len(r.Body))), r.Body...)
}

func readRumour(b []byte) (r GossipMessage, rest []byte, err error) {
	v, b, err := number(b)
	if err != nil || v > MaxID || len(b) < 4 {
		return r, nil, errWire
	}
	r.Owner, r.Incarnation = ID(v), binary.BigEndian.Uint32(b)
	if v, b, err = number(b[4:]); err != nil || v > 1<<32-1 || len(b) < 1 {
		return r, nil, errWire
	}
	r.Version, r.Topic = uint32(v), b[0]
	if v, b, err = number(b[1:]); err != nil || v > 1<<32-1 || len(b) < 1 || int(b[0]) > MaxGossipBody || len(b) <= int(b[0]) {
		return r, nil, errWire
	}
	r.Key = uint32(v)
	n := int(b[0])
	r.Body = slices.Clone(b[1 : 1+n])
	return r, b[1+n:], nil
}
