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
	self  decide.ID
	named []decide.ID
	heard map[decide.ID]time.Duration
	dead  map[decide.ID]bool
	next  time.Duration
}

const (
	beatEvery = 500 * time.Millisecond
	beatBytes = 24 // as in internal/decide/membership
	deadAfter = 2 * time.Second
)

// Heartbeats returns a member that sends a heartbeat to all others twice a second. It reports a member dead after 2 s
// without a heartbeat.
func Heartbeats(id decide.ID, _ uint32, named []decide.ID, now time.Duration, _ *rand.Rand) Member {
	return &heartbeats{self: id, named: named, heard: map[decide.ID]time.Duration{}, dead: map[decide.ID]bool{}, next: now}
}

func (h *heartbeats) TickInterval() time.Duration { return 50 * time.Millisecond }

func (h *heartbeats) State(id decide.ID) (decide.State, []decide.ID, []decide.ID) {
	_, known := h.heard[id]
	switch {
	case id == h.self || known && !h.dead[id]:
		return decide.Alive, nil, nil
	case known:
		return decide.Dead, nil, nil
	}
	return decide.Unknown, nil, nil
}

func (h *heartbeats) Handle(now time.Duration, event decide.Event) (out []decide.Action) {
	switch e := event.(type) {
	case decide.DatagramReceived:
		if h.dead[e.From] {
			delete(h.dead, e.From)
			out = append(out, decide.MemberReport{Member: e.From, State: decide.Alive}, decide.ViewChanged{})
		}
		h.heard[e.From] = now
	case decide.Tick:
		for _, id := range h.named {
			if at, ok := h.heard[id]; ok && !h.dead[id] && now-at > deadAfter {
				h.dead[id] = true
				out = append(out, decide.MemberReport{Member: id, State: decide.Dead}, decide.ViewChanged{})
			}
		}
		if now < h.next {
			return out
		}
		h.next += beatEvery
		for _, id := range h.named {
			if id != h.self {
				out = append(out, decide.Send{To: id, Payload: make([]byte, beatBytes)})
			}
		}
	}
	return out
}

// swim is a member that follows the SWIM paper. In each period it pings one member; without an answer, three others ping
// the member on its behalf. Suspicion lasts a fixed time and is refuted by a higher incarnation. Updates are piggybacked.
type swim struct {
	self   decide.ID
	rng    *rand.Rand
	inc    uint16
	others map[decide.ID]*swimPeer
	order  []decide.ID
	round  time.Duration
	asked  decide.ID
	await  time.Duration // deadline of the answer to the direct ping
	asking bool          // indirect pings were sent
	acked  bool
	forOne map[decide.ID][]decide.ID // by pinged member: the members that requested the ping
	news   map[decide.ID]int
}

type swimPeer struct {
	state decide.State
	inc   uint16
	since time.Duration
}

const (
	swimPeriod = time.Second
	swimAnswer = 200 * time.Millisecond
	swimOthers = 3
	swimNews   = 24 // maximum number of updates in a datagram, 7 bytes each
)

// SWIM returns a member that runs the SWIM protocol.
func SWIM(id decide.ID, _ uint32, named []decide.ID, now time.Duration, rng *rand.Rand) Member {
	s := &swim{self: id, rng: rng, others: map[decide.ID]*swimPeer{}, forOne: map[decide.ID][]decide.ID{}, news: map[decide.ID]int{}, round: now}
	for _, n := range named {
		if n != id {
			s.others[n] = &swimPeer{state: decide.Alive}
		}
	}
	return s
}

func (s *swim) TickInterval() time.Duration { return 50 * time.Millisecond }

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
	swimAsk
)

// say returns a datagram with the least-sent updates.
func (s *swim) say(kind byte, to, about decide.ID) decide.Action {
	b := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, uint32(about))...)
	ids := make([]decide.ID, 0, len(s.news))
	for id := range s.news {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b decide.ID) int {
		if d := s.news[b] - s.news[a]; d != 0 {
			return d
		}
		return int(a) - int(b)
	})
	for _, id := range ids[:min(len(ids), swimNews)] {
		state, inc := decide.Alive, s.inc
		if p := s.others[id]; p != nil {
			state, inc = p.state, p.inc
		}
		b = binary.BigEndian.AppendUint32(b, uint32(id))
		b = binary.BigEndian.AppendUint16(append(b, byte(state)), inc)
		if s.news[id]--; s.news[id] <= 0 {
			delete(s.news, id)
		}
	}
	return decide.Send{To: to, Payload: b}
}

// spread schedules an update for dissemination.
func (s *swim) spread(id decide.ID) {
	s.news[id] = int(3 * math.Ceil(math.Log2(float64(len(s.others)+2))))
}

// set applies an update to a member's state, unless it is outdated.
func (s *swim) set(id decide.ID, state decide.State, inc uint16, now time.Duration) (out []decide.Action) {
	p := s.others[id]
	if p == nil {
		return nil
	}
	later := inc > p.inc || inc == p.inc && state > p.state
	if !later || p.state == state && p.inc == inc {
		return nil
	}
	if p.state != state {
		out = append(out, decide.MemberReport{Member: id, State: state})
		if (p.state == decide.Dead) != (state == decide.Dead) {
			out = append(out, decide.ViewChanged{})
		}
	}
	p.state, p.inc, p.since = state, inc, now
	s.spread(id)
	return out
}

func (s *swim) Handle(now time.Duration, event decide.Event) (out []decide.Action) {
	switch e := event.(type) {
	case decide.DatagramReceived:
		kind, about := e.Payload[0], decide.ID(binary.BigEndian.Uint32(e.Payload[1:]))
		for b := e.Payload[5:]; len(b) >= 7; b = b[7:] {
			id, state, inc := decide.ID(binary.BigEndian.Uint32(b)), decide.State(b[4]), binary.BigEndian.Uint16(b[5:])
			if id == s.self {
				if state != decide.Alive && inc >= s.inc {
					s.inc = inc + 1
					s.spread(s.self)
				}
				continue
			}
			out = append(out, s.set(id, state, inc, now)...)
		}
		switch kind {
		case swimPing:
			out = append(out, s.say(swimAck, e.From, s.self))
		case swimAck:
			if about == s.asked {
				s.acked = true
			}
			for _, to := range s.forOne[about] {
				out = append(out, s.say(swimAck, to, about))
			}
			delete(s.forOne, about)
		case swimAsk:
			s.forOne[about] = append(s.forOne[about], e.From)
			out = append(out, s.say(swimPing, about, about))
		}
	case decide.Tick:
		out = append(out, s.turn(now)...)
	}
	return out
}

// turn runs the timers of the protocol.
func (s *swim) turn(now time.Duration) (out []decide.Action) {
	doubtFor := time.Duration(3*math.Ceil(math.Log10(float64(len(s.others)+2)))) * swimPeriod
	for _, id := range s.ids() {
		if p := s.others[id]; p.state == decide.Suspect && now-p.since > doubtFor {
			out = append(out, s.set(id, decide.Dead, p.inc, now)...)
		}
	}
	if s.asked != 0 && !s.acked && !s.asking && now >= s.await {
		s.asking = true
		for range swimOthers {
			if via := s.ids()[s.rng.IntN(len(s.others))]; via != s.asked && s.others[via].state != decide.Dead {
				out = append(out, s.say(swimAsk, via, s.asked))
			}
		}
	}
	if now < s.round {
		return out
	}
	s.round += swimPeriod
	if s.asked != 0 && !s.acked {
		out = append(out, s.set(s.asked, decide.Suspect, s.others[s.asked].inc, now)...)
	}
	if len(s.order) == 0 { // round-robin, shuffled again for each pass
		s.order = slices.DeleteFunc(s.ids(), func(id decide.ID) bool { return s.others[id].state == decide.Dead })
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	s.asked, s.acked, s.asking = 0, false, false
	if len(s.order) > 0 {
		s.asked, s.order = s.order[0], s.order[1:]
		s.await = now + swimAnswer
		out = append(out, s.say(swimPing, s.asked, s.asked))
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
