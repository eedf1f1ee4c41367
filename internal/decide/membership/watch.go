package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Members stand on rings, on each in another order that follows from their ids alone. A member tells those behind it
// that it lives, and watches those before it: who watches whom is known to all who have the same view, each is
// watched by several that have nothing else in common, and no choice of chance decides how soon a death is seen.

// turn puts the rings in order anew after a change of who stands on them.
func (m *Node) turn() {
	if !m.stale {
		return
	}
	m.stale, m.look = false, true
	m.order = m.order[:0]
	for _, p := range m.all {
		if p.state.InView() {
			m.order = append(m.order, p)
		}
	}
	m.rings = m.rings[:0]
	for r := range m.cfg.RingCount {
		ring := slices.Clone(m.order)
		slices.SortFunc(ring, func(a, b *peer) int {
			return cmp.Or(cmp.Compare(mix(a.id.key(), uint32(r)), mix(b.id.key(), uint32(r))), byID(a, b))
		})
		m.rings = append(m.rings, ring)
	}
}

// along gives the members of a ring from this one on, in one direction, until f has enough.
func (m *Node) along(ring []*peer, dir int, f func(*peer) bool) {
	at := slices.Index(ring, m.self)
	for i := 1; i < len(ring); i++ {
		if !f(ring[(at+dir*i+i*len(ring))%len(ring)]) {
			return
		}
	}
}

// doubtful tells whether another may be gone, by anybody's word.
func (p *peer) doubtful() bool { return len(p.against) > 0 || p.mine == deaf }

// targets are those that are told that this member lives: the next on each ring; where that one may be gone the next
// after it, and it itself at each fourth beat.
func (m *Node) targets() (to []*peer) {
	m.turn()
	add := func(p *peer) {
		if !slices.Contains(to, p) {
			to = append(to, p)
		}
	}
	for _, ring := range m.rings {
		first := true
		m.along(ring, 1, func(p *peer) bool {
			if !p.doubtful() || first && m.seq%4 == 0 {
				add(p)
			}
			first = false
			return p.doubtful()
		})
	}
	return to
}

// listeners are those that news is passed to: as many as there are rings, half of them members that are heard, of
// which it is certain that they live, and the others those next on the rings.
func (m *Node) listeners() []*peer {
	certain := m.cfg.RingCount / 2
	if len(m.self.record.Words) > 1 { // many may be gone, of those next on the rings too
		certain = m.cfg.RingCount - 1
	}
	to := m.some(certain, func(p *peer) bool { return m.hearing(p) && !p.doubtful() })
	next := m.targets()
	m.rng.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	for _, p := range next {
		if len(to) < m.cfg.RingCount && !p.doubtful() && !slices.Contains(to, p) {
			to = append(to, p)
		}
	}
	return to
}

// lossOver is over how many beats the loss on a way is measured, about.
const lossOver = 16

// lossAtFirst is what is taken to be lost on all ways until something was measured. Guards against a start amid loss, whose
// first seconds would bring more wrong words than can be taken back in a minute.
const lossAtFirst = 0.3

// lost is the share that is thought to be lost on the way of another: what was measured, and where that is little, and nobody else has
// missed it, what is lost on all ways here. Guards against a start amid loss, in which those who don't know yet whom to tell that they
// live are asked too few times.
func (m *Node) lost(p *peer) float64 {
	if p.beats < lossOver && len(p.against) == 0 {
		return max(p.loss, m.loss)
	}
	return p.loss
}

// silence is how long a member may say nothing before it is asked: as many beats as are hardly ever lost in a row on
// its way.
func (m *Node) silence(p *peer) time.Duration {
	n := math.Ceil(math.Log(0.005) / math.Log(max(m.lost(p), 0.05)))
	beats := min(max(n, float64(m.cfg.MaxMissedHeartbeats)), 10)
	return time.Duration(beats*float64(m.cfg.HeartbeatInterval)) + m.cfg.HeartbeatInterval/4
}

// hearing tells whether this member hears another at present.
func (m *Node) hearing(p *peer) bool { return p.heard > 0 && m.now-p.heard <= m.silence(p) }

// lively tells whether another was heard not long ago, though it may have no cause to tell this member.
func (m *Node) lively(p *peer) bool {
	return p.heard > 0 && m.now-p.heard <= m.silence(p)+2*m.cfg.HeartbeatInterval
}

// copies is how often a question goes out at once: twice where much is lost. A wrong word costs far more than it, as it goes to
// all, and so does its answer.
func (m *Node) copies(p *peer) int {
	if m.lost(p) > 0.1 {
		return 2
	}
	return 1
}

// questions is how many may go without an answer, over the same way and back.
func (m *Node) questions(p *peer) int {
	both := 1 - (1-m.lost(p))*(1-m.lost(p))
	n := math.Ceil(math.Log(0.002) / (float64(m.copies(p)) * math.Log(max(both, 0.05))))
	return int(min(max(n, float64(m.cfg.MaxUnansweredProbes)), 8))
}

// judges tells whether this member is one of those that look for themselves where another is not heard by somebody:
// chance decides, the same for all, so that there are witnesses enough though those on the rings may be gone too.
func (m *Node) judges(p *peer) bool {
	mine, before := mix(p.id.key(), m.self.id.key()), 0
	for _, o := range m.order {
		if o != p && o != m.self && len(o.against) == 0 && mix(p.id.key(), o.id.key()) < mine {
			if before++; before >= m.cfg.RingCount {
				return false
			}
		}
	}
	return true
}

// cares settles whom this member has to hear: the one before it on each ring; where that is not heard twice as many
// more each time, as many may be gone at once; and whom others don't hear, where it judges or has vouched. cared
// are these and all others of whom its record may have to say something.
func (m *Node) cares() {
	m.turn()
	if !m.look {
		return
	}
	m.look = false
	set := map[*peer]bool{}
	for _, ring := range m.rings {
		bad, n := 0, 0
		m.along(ring, -1, func(p *peer) bool {
			set[p] = true
			if n++; p.mine == deaf {
				bad++
			}
			return n < 1+4*bad && (bad == 0 || p.mine != none || !m.lively(p))
		})
	}
	m.cared = m.cared[:0]
	for _, p := range m.order {
		if p == m.self {
			continue
		}
		disputed := len(p.against)+len(p.aside) > 0
		watched := set[p] || p.mine == hears || len(p.against) > 0 && m.witnesses(p) < m.cfg.Quorum && m.judges(p)
		if watched && !p.watched {
			p.fresh = max(p.fresh, m.now-m.silence(p)) // it had no cause to tell this member: it is asked at once
		}
		if watched != p.watched {
			p.watched, p.asked, p.askAt, p.again = watched, 0, 0, 0
		}
		if watched || disputed || p.mine != none || m.now < p.vouch {
			m.cared = append(m.cared, p)
		}
	}
	for _, p := range m.all {
		if m.attests(p) && m.judges(p) {
			p.watched, p.asked = false, 0
			m.cared = append(m.cared, p)
		}
	}
}

// attests tells whether too few living members say of one that is dead or lost here that they don't hear it: witnesses leave, or their
// processes are replaced and say nothing of what they have not seen. Some of those who hold it for dead say so in their place then. Guards
// against a member that learns of it later, and would hold it for alive with nobody to tell it otherwise.
func (m *Node) attests(p *peer) bool {
	return (p.state == Dead || p.state == Unreachable) && p.mine == none && m.witnesses(p) < m.cfg.Quorum && !m.hearing(p)
}

// watch asks those that are silent, first themselves and then by way of others.
func (m *Node) watch() {
	m.cares()
	for _, p := range m.cared {
		if !p.watched || m.now < p.askAt || m.now-p.fresh < m.silence(p) {
			continue
		}
		if p.mine == deaf || p.mine == aside { // it is asked still, now and then
			p.askAt = m.now + 4*m.cfg.HeartbeatInterval
			if p.mine == deaf { // the more rarely, the longer it is away
				p.askAt = m.now + 4*m.cfg.HeartbeatInterval<<min(p.again, 4)
				p.again++
			}
			m.say(kindProbe, p, 0, nil)
			continue
		}
		if p.asked >= m.questions(p) || m.say(kindProbe, p, 0, nil) < 0 {
			continue // listen has it, or it was not asked
		}
		if m.copies(p) > 1 {
			m.say(kindProbe, p, 0, nil)
		}
		p.asked++
		p.askAt = m.now + 2*m.cfg.HeartbeatInterval/5
		if p.asked == 2 && !p.doubtful() {
			for _, o := range m.some(2, func(o *peer) bool { return o != p && len(o.against) == 0 && o.mine == none }) {
				m.say(kindAsk, o, uint64(p.id), nil)
			}
		}
	}
}

// revise brings this member's own record up to what it hears.
func (m *Node) revise() {
	changed := false
	m.open = 0
	for _, p := range m.cared {
		was := p.mine
		m.listen(p)
		changed = changed || p.mine != was
		if p.mine == none && p.asked > 0 {
			m.open++
		}
	}
	doubts := m.now < m.doubt
	m.look = m.look || changed
	m.voided = m.voided || changed || doubts != m.self.record.Doubts
	if !m.voided || m.now-m.wrote < m.cfg.HeartbeatInterval/4 { // what comes one after the other goes out together
		return
	}
	if m.writes == 0 {
		m.writes = m.now
	}
	if m.open >= 2 && m.now-m.writes < 3*m.cfg.HeartbeatInterval { // and so does what happens to many: each record goes to all
		return
	}
	m.writes = 0
	m.voided, m.wrote = false, m.now
	var words []entry
	for _, p := range m.all {
		if p.mine != none && p != m.self && len(words) < mostWords {
			words = append(words, entry{p.id, uint8(p.record.Inc), p.mine})
		}
	}
	for longest := m.cfg.MaxDatagramBytes - sumBytes - mostHead; len((record{Author: m.self.id, Inc: m.self.record.Inc, Seq: 1<<16 - 1, Words: words}).append(nil, place{})) > longest; {
		words = words[:len(words)-1] // what does not fit a datagram nobody would hear of
	}
	if slices.Equal(words, m.self.record.Words) && doubts == m.self.record.Doubts {
		return
	}
	m.write(func(r *record) { r.Words, r.Doubts = words, doubts })
}

// vouchers is how many say that they hear a member that others don't: one is enough, and may be gone itself. More would be news
// for all at each wrong word.
const vouchers = 2

// listen settles what this member says of another one.
func (m *Node) listen(p *peer) {
	heard := m.hearing(p)
	disputed := len(p.against)+len(p.aside) > 0
	switch {
	case m.attests(p):
		if m.now >= m.doubt {
			p.mine = deaf
		}
	case p.mine == none && p.asked >= m.questions(p) && m.now >= p.askAt && m.now >= m.doubt:
		switch {
		case len(p.by) > 0:
			p.mine = aside
		case m.witnesses(p) < m.cfg.Quorum: // else enough say so
			p.mine = deaf
		}
	case (p.mine == deaf || p.mine == aside) && p.heard >= p.fresh && heard:
		p.mine = none
	case p.mine == deaf && len(p.by) > 0:
		p.mine = aside
		m.contradicted()
	case p.mine == aside && len(p.by) == 0 && (len(p.against) > 0 || m.now-p.turned > 4*m.cfg.HeartbeatInterval && m.now-p.fresh > 4*m.cfg.HeartbeatInterval) && m.now >= m.doubt:
		p.mine, p.asked, p.askAt = none, 0, 0 // those who heard it don't any more, or nobody says so: it is asked anew
	case p.mine == none && disputed && heard && p.heard > p.turned && len(p.by) < vouchers && (p.watched || m.now < p.vouch || m.now-p.turned > m.cfg.HeartbeatInterval):
		p.mine = hears
	case p.mine == hears && (!disputed && m.now-p.turned > 4*m.cfg.HeartbeatInterval || !heard && p.asked >= m.questions(p) && m.now >= p.askAt):
		p.mine = none
	}
}

// contradicted takes that others hear whom this member does not. Guards against one whose own ears are bad: it goes
// on to say whom it does not hear, and it counts for nothing.
func (m *Node) contradicted() {
	if m.wrongAt == 0 || m.now-m.wrongAt > 20*m.cfg.HeartbeatInterval {
		m.wrong = 0
	}
	m.wrongAt = m.now
	if m.wrong++; m.wrong >= 2 {
		m.doubts("others hear whom it does not", 20*m.cfg.HeartbeatInterval)
	}
}
