package membership

import (
	"cmp"
	"slices"
	"time"
)

// told takes that a record needs to be passed on once less.
func (m *Node) told(id ID) {
	if m.news[id]--; m.news[id] <= 0 {
		delete(m.news, id)
	}
}

// write changes this member's own record, and has it passed on.
func (m *Node) write(change func(*record)) {
	was := m.self.record
	m.sum(was)
	change(&m.self.record)
	m.self.record.Seq++
	m.sum(m.self.record)
	m.moved = true
	m.self.presses = m.self.record.presses(was)
	m.spread(m.self.id)
}

// renew begins another incarnation of this member.
func (m *Node) renew(inc uint32) { m.write(func(r *record) { r.Inc, r.Seq = inc, 0 }) }

// sum takes a record into the digests, or out of them.
func (m *Node) sum(r record) { m.digest ^= r.hash() }

// spread has a record passed on, once on each ring, and some times more where it speaks of others, as time counts then. The more
// is new of late, the fewer times: what is lost or left out is found by the digests and asked for, by those who lack it. Guards
// against a start or a death of hundreds, of which each would tell all of it to others that know it already.
func (m *Node) spread(id ID) {
	m.fresh++
	later := m.cfg.HeartbeatInterval/16 + m.cfg.HeartbeatInterval/8*time.Duration(m.rng.IntN(64))/64
	few := m.fresh <= 2*m.cfg.RingCount
	switch pressing := m.peers[id].presses; {
	case pressing && few:
		m.news[id] = m.cfg.RingCount + 2
		later = 0 // there is little to say: it goes at once
	case pressing:
		m.news[id] = max(m.cfg.RingCount/2, 1)
	case few || id == m.self.id:
		m.news[id] = m.cfg.RingCount
	default:
		return
	}
	if m.flush == 0 || m.flush > m.now+later {
		m.flush = m.now + later
	}
}

// take reads a datagram. What says that it is of another member than the one whose address it came from is dropped:
// guards against one that says it is everybody.
func (m *Node) take(from ID, b []byte) {
	long := len(b)
	b, err := open(b)
	var d message
	if err == nil {
		d, err = read(b)
	}
	if err != nil || d.From != from || from == m.self.id || long > m.cfg.MaxDatagramBytes {
		m.DroppedDatagrams++
		return
	}
	if !m.room(from) {
		m.DroppedDatagrams++
		return
	}
	p := m.peer(from)
	p.heard, p.fresh, p.asked, m.answer = m.now, m.now, 0, m.now
	p.agreed, p.knows = d.View.Digest, int(d.Knows)
	if d.View.Digest == m.view.Digest {
		m.view.Number = max(m.view.Number, d.View.Number)
	}
	m.seen = max(m.seen, d.View.Number)
	for _, r := range d.Carries {
		m.merge(r, d.Kind == kindTell && d.About > 0)
	}
	switch {
	case d.Records>>8 == m.digest>>8:
		p.differs = 0
	case p.differs == 0:
		p.differs = m.now
	}
	switch {
	case d.Kind != kindBeat:
	case d.Records&0xff == m.murmur(d.Seq):
		p.unlike = 0
	case p.unlike == 0:
		p.unlike = m.now
	}
	for _, r := range d.Talk {
		m.hearRumour(r)
	}
	m.answers(p, d)
}

// answers does what a datagram asks for.
func (m *Node) answers(p *peer, d message) {
	switch d.Kind {
	case kindBeat:
		if gap := d.Seq - p.beat; p.beat != 0 && gap >= 1 && gap < 16 {
			for i := range gap {
				lost := 1.0
				if i == gap-1 {
					lost = 0
				}
				p.loss += (lost - p.loss) / lossOver
				m.loss += (lost - m.loss) / (lossOver * 4)
			}
			p.beats = min(p.beats+int(gap), lossOver)
		}
		p.beat = d.Seq
	case kindProbe:
		m.say(kindAnswer, p, uint64(d.Seq), nil)
	case kindAsk:
		if o := m.peers[ID(d.About)]; o != nil && o != m.self && o.known {
			o.vouch, m.look = m.now+6*m.cfg.HeartbeatInterval, true
			m.say(kindProbe, o, 0, nil)
		}
	case kindHave:
		m.supply(p, d)
		return
	case kindMore:
		m.tellRumours(p, func(a about) bool { return !d.covers(a.hash(), m.talk.all[a].hash()) })
		return
	}
	switch {
	case m.now-p.synced < m.cfg.HeartbeatInterval || m.leaving:
	case d.Inc < p.record.Inc: // of an earlier start, or it was never told what was said of it
		p.synced = m.now
		m.say(kindTell, p, 0, []record{p.record})
	case d.Inc > p.record.Inc && p.known: // it has answered what was said of it, and that was lost
		m.inquire(p)
	case p.known && !p.state.InView(): // it is told what became of it, and by whom
		p.synced = m.now
		rs := []record{p.record}
		for _, id := range p.against[:min(3, len(p.against))] {
			rs = append(rs, m.peers[id].record)
		}
		m.say(kindTell, p, 0, rs)
	case m.misses(p) && m.now-m.synced >= m.pace(p):
		m.inquire(p)
	}
	if p.unlike > 0 && m.now-p.unlike > 3*m.cfg.HeartbeatInterval && m.now-m.talk.asked > 3*m.cfg.HeartbeatInterval && len(m.talk.news) == 0 && !m.leaving {
		m.inquireRumours(p)
	}
}

// merge takes another's record, or what others remember of this member. What came as an answer is known to others already, and
// is passed on only where others wait for it.
func (m *Node) merge(r record, answer bool) {
	if r.Author == m.self.id {
		if own := m.self.record; r.Inc > own.Inc || r.Inc == own.Inc && (r.Seq > own.Seq || r.Seq == own.Seq && r.hash() != own.hash() || r.Left && !m.leaving) {
			m.renew(r.Inc + 1)
		}
		return
	}
	if !m.room(r.Author) {
		return
	}
	p := m.peer(r.Author)
	if p.known && !r.after(p.record) {
		if r.Inc == p.record.Inc && r.Seq == p.record.Seq && m.news[r.Author] > 0 {
			m.told(r.Author) // where it came from it is known; to some others it is told all the same
		}
		return
	}
	if p.known {
		m.sum(p.record)
	}
	again := r.Inc != p.record.Inc
	p.presses = r.pressing() || p.known && r.presses(p.record)
	p.record, m.moved = r, true
	m.sum(r)
	if answer {
		m.gained++
	}
	if !answer || p.presses {
		m.spread(r.Author)
	}
	if again {
		m.look, m.voided = true, true
		if p.known && p.state.InView() && (p.mine == deaf || p.mine == aside) && p.heard < m.now {
			// It has heard that it is not heard, and says that it lives. To this member others say it. Of one that was gone it is
			// looked at anew: those who could say so may have lost it meanwhile.
			if p.mine == deaf {
				m.contradicted()
			}
			p.mine = aside
		} else {
			p.mine = none
		}
		p.asked, p.fresh, p.beat = 0, m.now, 0
	}
	if !p.known {
		p.known = true
		m.knows++
	}
}

// beats tells that this member lives, and looks for those that may have come back.
func (m *Node) beats() {
	if m.seq++; uint16(m.seq) == 0 {
		m.seq++
	}
	m.fresh /= 2
	if m.now-m.synced > m.cfg.HeartbeatInterval/2 { // who knows much more may not be among those who tell this member anything
		for _, p := range m.some(1, m.lacks) {
			m.inquire(p)
		}
	}
	m.look = m.look || len(m.self.record.Words) > 0 // who answered meanwhile may end the search on a ring
	for _, p := range m.targets() {
		m.say(kindBeat, p, 0, m.due(true))
	}
	if m.seq%4 != 1 && m.now-m.began > 8*m.cfg.HeartbeatInterval && len(m.order) > 1 {
		return
	}
	var away []*peer
	for _, p := range m.all {
		if !p.state.InView() { // also one that has left: others may have said so for it
			away = append(away, p)
		}
	}
	if len(away) == 0 {
		return
	}
	if p := away[m.rng.IntN(len(away))]; len(m.order) < 2 {
		m.inquire(p)
	} else {
		m.say(kindBeat, p, 0, []record{m.self.record})
	}
}

// due are the records to pass on, those that were least often first; where pressing, only those that others wait for.
func (m *Node) due(pressing bool) (rs []record) {
	ids := make([]ID, 0, len(m.news))
	for id := range m.news {
		if !pressing || m.peers[id].presses {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(m.news[b], m.news[a]), cmp.Compare(mix(a.key(), m.seq), mix(b.key(), m.seq)), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), 24)] {
		rs = append(rs, m.peers[id].record)
	}
	return rs
}

// pass passes on what is new, at once.
func (m *Node) pass() {
	m.flush = 0
	for _, p := range m.listeners() {
		if rs := m.due(false); len(rs) > 0 && m.tokens > 2*m.reserve() {
			m.say(kindTell, p, 0, rs)
		}
		if len(m.talk.news) > 0 && m.tokens > 3*m.reserve() {
			m.tellRumours(p, func(a about) bool { return m.talk.news[a] > 0 })
		}
	}
	if len(m.news)+len(m.talk.news) > 0 && m.tokens > 2*m.reserve() {
		m.flush = m.now + m.cfg.HeartbeatInterval/8
	}
}

// reserve is kept for beats and questions, in bytes: those of two beats.
func (m *Node) reserve() float64 {
	return float64(2 * m.cfg.RingCount * (2*mostHead + m.cfg.FrameOverheadBytes))
}

// keep is what must be left once a datagram of a kind is sent: a question may not take the bytes of the next beats, nor news
// those of questions. Guards against members that ask so much that they no longer say that they live, and have to be asked.
func (m *Node) keep(kind byte) float64 {
	switch kind {
	case kindBeat:
		return 0
	case kindAnswer:
		return m.reserve() / 4
	case kindProbe, kindAsk:
		return m.reserve() / 2
	}
	return m.reserve()
}

// say sends a datagram with as many of the records as fit and may be sent, and tells how many, or -1 where nothing
// was sent: that would go over the budget. What tells that a member lives goes before what it knows of others.
func (m *Node) say(kind byte, to *peer, about uint64, rs []record) int {
	return m.send(message{Kind: kind, About: about, Carries: rs}, to)
}

func (m *Node) send(d message, to *peer) (n int) {
	rs := d.Carries
	if len(rs) == 0 && to.agreed != m.view.Digest && m.now-m.viewed < 8*m.cfg.HeartbeatInterval && (d.Kind == kindBeat || d.Kind == kindProbe || d.Kind == kindAnswer) {
		rs = []record{m.self.record} // it may not know this member, and so not tell it that it lives
	}
	d.Carries = nil
	d.From, d.Inc, d.Seq, d.View = m.self.id, m.self.record.Inc, uint16(m.seq), m.view
	d.Knows = uint32(m.knows)
	d.Records = m.digest&^0xff | m.murmur(d.Seq)
	b := d.append(make([]byte, 0, m.cfg.MaxDatagramBytes))
	frame := sumBytes + m.cfg.FrameOverheadBytes
	if float64(len(b)+frame)+m.keep(d.Kind) > m.tokens || len(b)+sumBytes > m.cfg.MaxDatagramBytes {
		return -1
	}
	most := min(m.cfg.MaxDatagramBytes-sumBytes, int(m.tokens-m.reserve())-frame)
	at := d.place()
	for _, r := range rs {
		whole := len(b)
		if b = r.append(b, at); len(b) > most {
			b = b[:whole]
			break
		}
		at = r.place()
		n++
		m.told(r.Author)
	}
	m.tokens -= float64(len(b) + frame)
	m.out = append(m.out, Send{to.id, seal(b)})
	return n
}

// murmur is a byte of the rumours' digest, another one in each turn: what differs shows soon, though a byte is little.
func (m *Node) murmur(seq uint16) uint32 { return mix(m.talk.digest, uint32(seq)) & 0xff }
