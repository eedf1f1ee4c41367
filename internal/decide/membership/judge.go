package membership

import (
	"slices"
	"time"
)

// remembers is how long one that was in the view counts among those of whom more than half must be here.
const remembers = 30 * time.Second

// hold is how long a quorum must have stood against a member before it counts: the shorter, the more say it, and one more never
// makes it longer.
func (m *Node) hold(p *peer) time.Duration {
	return m.cfg.SuspicionTimeout * time.Duration(m.cfg.Quorum) / time.Duration(max(m.cfg.Quorum, len(p.against)))
}

// count reads off all records what is said of each member.
func (m *Node) count() {
	if !m.moved {
		return
	}
	m.moved = false
	type said struct{ against, aside, by []ID }
	all := map[ID]*said{}
	for _, p := range m.all {
		for _, w := range p.record.Words {
			o := m.peers[w.About]
			if o == nil || !o.known || w.Tag != uint8(o.record.Inc) {
				continue
			}
			s := all[w.About]
			if s == nil {
				s = &said{}
				all[w.About] = s
			}
			switch {
			case w.Says == deaf && !p.record.Doubts:
				s.against = append(s.against, p.id)
			case w.Says == hears && p.state.InView():
				s.by = append(s.by, p.id)
			case w.Says != hears:
				s.aside = append(s.aside, p.id)
			}
		}
	}
	for _, p := range m.all {
		s := all[p.id]
		if s == nil {
			s = &said{}
		}
		if !slices.Equal(s.against, p.against) || !slices.Equal(s.by, p.by) {
			p.turned, m.look = m.now, true
		}
		p.against, p.aside, p.by = s.against, s.aside, s.by
	}
}

// quorum is how many must not hear a member: fewer only where there are no more who could say so.
func (m *Node) quorum(p *peer) int {
	able := 0
	for _, o := range m.order {
		if o != p && len(o.against) < 2 {
			able++
		}
	}
	return min(m.cfg.Quorum, max(able, 1))
}

// witnesses is how many of those who don't hear a member count at present: who has just come back says still what it
// said on its side of a cut, and who is gone can't take it back.
func (m *Node) witnesses(p *peer) (n int) {
	for _, id := range p.against {
		if o := m.peers[id]; o == m.self || o.state.InView() && m.now >= o.grace {
			n++
		}
	}
	return n
}

// judge settles the state of each member, and the view.
func (m *Node) judge() {
	if !m.moved && !m.unsettled && !m.stale {
		return
	}
	m.count()
	m.turn()
	var gone []*peer
	open, heard := 0, false
	for _, p := range m.all {
		if p == m.self || !p.known {
			continue
		}
		to, why := p.state, ""
		// Who is not accused costs nothing here: the quorum goes over all members.
		enough := len(p.against) > 0 && len(p.by) == 0 && !m.hearing(p) && len(p.against) >= m.quorum(p)
		switch {
		case !enough:
			p.quorate = 0
		case p.quorate == 0:
			p.quorate = m.now
		}
		switch {
		case p.record.Left:
			to, why = Departed, "it said that it leaves"
		case len(p.against) == 0 && len(p.aside) == 0:
			to, why = Alive, "everybody hears it who should"
		case len(p.by) > 0 || len(p.against) == 0 || m.hearing(p):
			to, why = PartlyReachable, "some don't hear it, others do"
		case (p.state == Dead || p.state == Unreachable) && p.ended == p.record.Inc: // what it says later is looked at anew
		case enough && m.witnesses(p) >= m.quorum(p) && m.now-p.quorate >= m.hold(p) && m.now-p.turned >= m.cfg.HeartbeatInterval && m.now >= p.grace:
			gone = append(gone, p)
			continue
		default:
			to, why = Suspect, "some don't hear it"
		}
		if to == Suspect {
			open++
		}
		heard = heard || to == PartlyReachable && len(p.by) == 0
		m.set(p, to, why)
	}
	m.refute()
	m.bury(gone, open)
	m.install(open)
	m.unsettled = open > 0 || heard || len(gone) > 0 || m.ripe > 0 || m.moved
}

func (m *Node) set(p *peer, to State, why string) {
	if p.state == to {
		return
	}
	if p.state.InView() != to.InView() {
		m.stale, p.seenIn, p.grace = true, m.now, m.now+m.cfg.MaxViewDelay
	}
	if to == Dead || to == Unreachable || to == Departed || p.state == Dead || p.state == Unreachable || p.state == Unknown || p.state == Departed {
		m.moved = true // its words count otherwise
	}
	p.state, p.ended = to, p.record.Inc
	witnesses := p.against
	if to == PartlyReachable {
		witnesses = append(slices.Clone(p.against), p.aside...)
	}
	m.out = append(m.out, MemberReport{p.id, to, why, slices.Clone(witnesses)})
}

// bury calls those dead whom nobody hears who should, all at once: while it is not yet known of others what is
// meant, it waits. Where they and these others are half of those that were here lately, nobody here can know
// whether they are gone or this part of the fleet is cut off.
func (m *Node) bury(gone []*peer, open int) {
	if len(gone) == 0 {
		m.waits = 0
		return
	}
	if m.waits == 0 {
		m.waits = m.now
	}
	if open > 0 && m.now-m.waits < m.cfg.MaxViewDelay {
		return
	}
	m.waits = 0
	here, lately := m.muster()
	most := 2*(here-len(gone)-open) > lately
	for _, p := range gone {
		if most && m.able(p, lately) {
			m.set(p, Dead, "nobody hears it who should")
		} else {
			m.set(p, Unreachable, "nobody hears it who should, and half of the fleet is not heard here, or by them")
		}
	}
}

// able tells whether a quorum of those who don't hear a member hear most others. Guards against members that are cut
// off themselves and come back with what they said there.
func (m *Node) able(p *peer, lately int) bool {
	n := 0
	for _, id := range p.against {
		deafTo := 0
		for _, w := range m.peers[id].record.Words {
			if w.Says != hears {
				deafTo++
			}
		}
		if 2*deafTo < lately {
			n++
		}
	}
	return n >= m.quorum(p)
}

// muster counts who is here, and of how many that were here lately.
func (m *Node) muster() (here, lately int) {
	for _, p := range m.all {
		switch {
		case p.state.InView():
			here++
			lately++
		case p.state == Unreachable, p.state == Dead && m.now-p.seenIn < remembers:
			lately++
		}
	}
	return here, lately
}

// refute answers those who don't hear this member, by a new incarnation: their words are void then.
func (m *Node) refute() {
	if len(m.self.against) == 0 || m.leaving {
		return
	}
	m.out = append(m.out, MemberReport{m.self.id, m.self.state, "was not heard, and says that it lives", slices.Clone(m.self.against)})
	m.renew(m.self.record.Inc + 1)
	m.count()
}

// install makes another view hold where others are here: once nothing more changes for a moment, so that what
// happens to many is one change.
func (m *Node) install(open int) {
	m.turn()
	v := View{Number: m.view.Number, Digest: 1, Size: len(m.order)}
	for _, p := range m.order {
		v.Digest = mix(v.Digest, p.id.key())
	}
	if v.Digest == m.view.Digest {
		m.ripe, m.shape = 0, v.Digest
		return
	}
	if m.ripe == 0 {
		m.ripe = m.now
	}
	if v.Digest != m.shape {
		m.shape, m.still = v.Digest, m.now
	}
	calm := m.cfg.HeartbeatInterval / 2
	if v.Size > m.view.Size { // where one comes back others may, at their next beats
		calm = 2 * m.cfg.HeartbeatInterval
	}
	if m.view.Size > 0 && (open > 0 || m.now-m.still < calm) && m.now-m.ripe < m.cfg.MaxViewDelay {
		return
	}
	v.Number = max(m.seen, m.view.Number) + 1
	here, lately := m.muster()
	m.view, m.major, m.ripe, m.viewed = v, 2*here > lately, 0, m.now
	m.out = append(m.out, ViewChanged{v, m.major})
}
