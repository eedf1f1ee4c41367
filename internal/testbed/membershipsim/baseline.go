package membershipsim

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// Ours is the membership protocol of internal/decide/membership with its default settings.
func Ours(id decide.ID, inc uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member {
	return decide.New(decide.DefaultConfig(), id, inc, named, now, rng)
}

// The baselines run on the same simulated network for comparison. They are implemented here from their publications.

// heartbeats is a member of a group with all-to-all heartbeats and a fixed timeout.
type heartbeats struct {
	self          decide.ID
	named         []decide.ID                 // members it knows, possibly itself included
	lastHeard     map[decide.ID]time.Duration // by member: time of the latest heartbeat
	dead          map[decide.ID]bool          // members reported dead
	nextHeartbeat time.Duration
}

// Settings of the heartbeat baseline.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatBytes    = 24 // payload, as large as that of internal/decide/membership
	heartbeatTimeout  = 2 * time.Second
)

// Heartbeats returns a member that sends a heartbeat to all others twice a second. It reports a member dead after 2 s
// without a heartbeat.
func Heartbeats(id decide.ID, _ uint32, named []decide.ID, now time.Duration, _ *rand.Rand) Member {
	return &heartbeats{self: id, named: named, lastHeard: map[decide.ID]time.Duration{}, dead: map[decide.ID]bool{}, nextHeartbeat: now}
}

// TickInterval returns the time between two ticks.
func (h *heartbeats) TickInterval() time.Duration { return 50 * time.Millisecond }

// State returns Unknown for a member that was never heard.
func (h *heartbeats) State(id decide.ID) (decide.State, []decide.ID, []decide.ID) {
	_, known := h.lastHeard[id]
	switch {
	case id == h.self || known && !h.dead[id]:
		return decide.Alive, nil, nil
	case known:
		return decide.Dead, nil, nil
	}
	return decide.Unknown, nil, nil
}

// Handle processes a heartbeat or a tick.
func (h *heartbeats) Handle(now time.Duration, event decide.Event) (out []decide.Action) {
	switch e := event.(type) {
	case decide.DatagramReceived:
		if h.dead[e.From] {
			delete(h.dead, e.From)
			out = append(out, decide.MemberReport{Member: e.From, State: decide.Alive}, decide.ViewChanged{})
		}
		h.lastHeard[e.From] = now
	case decide.Tick:
		for _, id := range h.named {
			if at, ok := h.lastHeard[id]; ok && !h.dead[id] && now-at > heartbeatTimeout {
				h.dead[id] = true
				out = append(out, decide.MemberReport{Member: id, State: decide.Dead}, decide.ViewChanged{})
			}
		}
		if now < h.nextHeartbeat {
			return out
		}
		h.nextHeartbeat += heartbeatInterval
		for _, id := range h.named {
			if id != h.self {
				out = append(out, decide.Send{To: id, Payload: make([]byte, heartbeatBytes)})
			}
		}
	}
	return out
}

// swim is a member that follows the SWIM paper. In each period it pings one member; without an answer, up to three random
// others ping the member on its behalf. A member that does not answer them either is suspected. Suspicion lasts a fixed time
// and is refuted by a higher incarnation. Updates are piggybacked.
type swim struct {
	self         decide.ID
	rng          *rand.Rand
	incarnation  uint16
	others       map[decide.ID]*swimPeer   // the other members that it knows
	pingOrder    []decide.ID               // members still to be pinged in this pass
	nextPeriod   time.Duration             // start of the next period
	pinged       decide.ID                 // member pinged in this period; 0: none
	ackDeadline  time.Duration             // deadline of the answer to the direct ping
	indirectSent bool                      // indirect pings were sent
	acked        bool                      // pinged has answered
	requesters   map[decide.ID][]decide.ID // by pinged member: the members that requested the ping
	updates      map[decide.ID]int         // by subject: transmissions left
}

// swimPeer is what a SWIM member knows of another member.
type swimPeer struct {
	state       decide.State
	incarnation uint16
	since       time.Duration // time of the latest update
}

// Settings of the SWIM baseline.
const (
	swimPeriod        = time.Second
	swimAckTimeout    = 200 * time.Millisecond
	swimIndirectPings = 3
	swimMaxUpdates    = 24 // maximum number of updates in a datagram, 7 bytes each
)

// SWIM returns a member that runs the SWIM protocol.
func SWIM(id decide.ID, _ uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member {
	s := &swim{self: id, rng: rng, others: map[decide.ID]*swimPeer{}, requesters: map[decide.ID][]decide.ID{}, updates: map[decide.ID]int{}, nextPeriod: now}
	for _, n := range named {
		if n != id {
			s.others[n] = &swimPeer{state: decide.Alive}
		}
	}
	return s
}

// TickInterval returns the time between two ticks.
func (s *swim) TickInterval() time.Duration { return 50 * time.Millisecond }

// State returns Alive for itself and for members that it does not know.
func (s *swim) State(id decide.ID) (decide.State, []decide.ID, []decide.ID) {
	if p := s.others[id]; p != nil {
		return p.state, nil, nil
	}
	return decide.Alive, nil, nil
}

// Kinds of datagram. A datagram holds its kind, its subject, then updates of id, state and incarnation.
const (
	swimPing = 1 + iota
	swimAck
	swimPingRequest
)

// datagram returns a datagram that carries the updates with the most transmissions left.
func (s *swim) datagram(kind byte, to, subject decide.ID) decide.Action {
	b := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, uint32(subject))...)
	ids := make([]decide.ID, 0, len(s.updates))
	for id := range s.updates {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b decide.ID) int {
		if d := s.updates[b] - s.updates[a]; d != 0 {
			return d
		}
		return int(a) - int(b)
	})
	for _, id := range ids[:min(len(ids), swimMaxUpdates)] {
		state, inc := decide.Alive, s.incarnation
		if p := s.others[id]; p != nil {
			state, inc = p.state, p.incarnation
		}
		b = binary.BigEndian.AppendUint32(b, uint32(id))
		b = binary.BigEndian.AppendUint16(append(b, byte(state)), inc)
		if s.updates[id]--; s.updates[id] <= 0 {
			delete(s.updates, id)
		}
	}
	return decide.Send{To: to, Payload: b}
}

// enqueueUpdate schedules the present state of a member for dissemination, by a number of transmissions that grows with the
// logarithm of the number of members.
func (s *swim) enqueueUpdate(id decide.ID) {
	s.updates[id] = int(3 * math.Ceil(math.Log2(float64(len(s.others)+2))))
}

// applyUpdate applies an update to a member's state, unless it is outdated.
func (s *swim) applyUpdate(id decide.ID, state decide.State, inc uint16, now time.Duration) (out []decide.Action) {
	p := s.others[id]
	if p == nil {
		return nil
	}
	newer := inc > p.incarnation || inc == p.incarnation && state > p.state
	if !newer || p.state == state && p.incarnation == inc {
		return nil
	}
	if p.state != state {
		out = append(out, decide.MemberReport{Member: id, State: state})
		if (p.state == decide.Dead) != (state == decide.Dead) {
			out = append(out, decide.ViewChanged{})
		}
	}
	p.state, p.incarnation, p.since = state, inc, now
	s.enqueueUpdate(id)
	return out
}

// Handle processes a datagram or a tick.
func (s *swim) Handle(now time.Duration, event decide.Event) (out []decide.Action) {
	switch e := event.(type) {
	case decide.DatagramReceived:
		kind, subject := e.Payload[0], decide.ID(binary.BigEndian.Uint32(e.Payload[1:]))
		for b := e.Payload[5:]; len(b) >= 7; b = b[7:] {
			id, state, inc := decide.ID(binary.BigEndian.Uint32(b)), decide.State(b[4]), binary.BigEndian.Uint16(b[5:])
			if id == s.self {
				if state != decide.Alive && inc >= s.incarnation {
					s.incarnation = inc + 1
					s.enqueueUpdate(s.self)
				}
				continue
			}
			out = append(out, s.applyUpdate(id, state, inc, now)...)
		}
		switch kind {
		case swimPing:
			out = append(out, s.datagram(swimAck, e.From, s.self))
		case swimAck:
			if subject == s.pinged {
				s.acked = true
			}
			for _, to := range s.requesters[subject] {
				out = append(out, s.datagram(swimAck, to, subject))
			}
			delete(s.requesters, subject)
		case swimPingRequest:
			s.requesters[subject] = append(s.requesters[subject], e.From)
			out = append(out, s.datagram(swimPing, subject, subject))
		}
	case decide.Tick:
		out = append(out, s.tick(now)...)
	}
	return out
}

// tick runs the timers of the protocol: it ends suspicions, requests indirect pings and begins the next period.
func (s *swim) tick(now time.Duration) (out []decide.Action) {
	suspicionTimeout := time.Duration(3*math.Ceil(math.Log10(float64(len(s.others)+2)))) * swimPeriod
	for _, id := range s.ids() {
		if p := s.others[id]; p.state == decide.Suspect && now-p.since > suspicionTimeout {
			out = append(out, s.applyUpdate(id, decide.Dead, p.incarnation, now)...)
		}
	}
	if s.pinged != 0 && !s.acked && !s.indirectSent && now >= s.ackDeadline {
		s.indirectSent = true
		for range swimIndirectPings {
			if via := s.ids()[s.rng.IntN(len(s.others))]; via != s.pinged && s.others[via].state != decide.Dead {
				out = append(out, s.datagram(swimPingRequest, via, s.pinged))
			}
		}
	}
	if now < s.nextPeriod {
		return out
	}
	s.nextPeriod += swimPeriod
	if s.pinged != 0 && !s.acked {
		out = append(out, s.applyUpdate(s.pinged, decide.Suspect, s.others[s.pinged].incarnation, now)...)
	}
	if len(s.pingOrder) == 0 { // round-robin, shuffled again for each pass
		s.pingOrder = slices.DeleteFunc(s.ids(), func(id decide.ID) bool { return s.others[id].state == decide.Dead })
		s.rng.Shuffle(len(s.pingOrder), func(i, j int) { s.pingOrder[i], s.pingOrder[j] = s.pingOrder[j], s.pingOrder[i] })
	}
	s.pinged, s.acked, s.indirectSent = 0, false, false
	if len(s.pingOrder) > 0 {
		s.pinged, s.pingOrder = s.pingOrder[0], s.pingOrder[1:]
		s.ackDeadline = now + swimAckTimeout
		out = append(out, s.datagram(swimPing, s.pinged, s.pinged))
	}
	return out
}

// ids returns the other members' ids in ascending order.
func (s *swim) ids() []decide.ID {
	ids := make([]decide.ID, 0, len(s.others))
	for id := range s.others {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
