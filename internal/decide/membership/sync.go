package membership

import (
	"cmp"
	"slices"
	"time"
)

// What is lost or was never passed on is found by digests in each datagram, and asked for: a member tells by a filter which
// records it has, and the other answers with those that it has besides. So what comes back is new, whether much differs (a start
// of hundreds) or one record of a thousand.

// filter is a Bloom filter (Bloom 1970) of two bits for each thing in it. What is in it is always found; of what is not, up
// to one in four seems to be, other things in each question, as they are salted.
type filter []byte

const (
	// roomy and tight are the bits for each thing in a filter where there is room, and where there is little: below that
	// the things are divided into parts, of which one is asked for. Few things have a byte each, which costs little.
	roomy = 4
	tight = 3
)

// bits are the two of a thing.
func (f filter) bits(hash, salt uint32) (i, j uint32) {
	h := mix(hash, salt)
	n := uint32(len(f)) * 8
	return h & 0xffff % n, h >> 16 % n
}

func (f filter) add(hash, salt uint32) {
	i, j := f.bits(hash, salt)
	f[i/8] |= 1 << (i % 8)
	f[j/8] |= 1 << (j % 8)
}

func (f filter) has(hash, salt uint32) bool {
	if len(f) == 0 {
		return false
	}
	i, j := f.bits(hash, salt)
	return f[i/8]&(1<<(i%8)) != 0 && f[j/8]&(1<<(j%8)) != 0
}

// part tells whether a thing is in the part that about names: its number, and of how many, in a byte each.
func part(key uint32, about uint64) bool { return uint64(mix(key, 7))%max(about&0xff, 1) == about>>8 }

// covers tells whether a question is not for this thing: its sender has it, or asks for another part.
func (d message) covers(key, hash uint32) bool {
	return !part(key, d.About) || d.Has.has(hash, uint32(d.Seq))
}

// thing is a record or a rumour: what it is about, and which one it is.
type thing struct{ key, hash uint32 }

// ask sends a question for what is not in a filter of the things that this member has, or in so many parts of them.
func (m *Node) ask(kind byte, p *peer, have []thing, parts int, rs []record) {
	room := m.cfg.MaxDatagramBytes - sumBytes - mostHead - 1 - 24 // the last for this member's own record
	parts = min(max(len(have)*tight/(8*room)+1, parts), 255)
	d := message{Kind: kind, Carries: rs, About: uint64(m.rng.IntN(parts))<<8 | uint64(parts)}
	have = slices.DeleteFunc(have, func(t thing) bool { return !part(t.key, d.About) })
	if len(have) > 0 {
		d.Has = make(filter, min(max(len(have)*roomy/8+1, min(len(have), 64)), room))
	}
	for _, t := range have {
		d.Has.add(t.hash, uint32(uint16(m.seq)))
	}
	had := m.tokens
	if m.send(d, p) >= 0 {
		m.asks -= had - m.tokens
	}
}

// mayAsk tells whether there are bytes for one more question.
func (m *Node) mayAsk() bool {
	return m.asks >= float64(m.cfg.MaxDatagramBytes+m.cfg.FrameOverheadBytes)
}

// inquire asks another what it has that is not here.
func (m *Node) inquire(p *peer) {
	p.synced, m.synced, m.brought, m.gained = m.now, m.now, m.gained, 0
	var own []record
	if p.heard == 0 || !p.known { // it may not know this one
		own = []record{m.self.record}
	}
	if !m.mayAsk() {
		return
	}
	var have []thing
	for _, o := range m.all {
		if o.known {
			have = append(have, thing{o.id.key(), o.record.hash()})
		}
	}
	parts := (p.knows-m.knows)/answered + 1
	if m.brought >= answered/2 { // what the last one brought was not all
		parts *= 2
	}
	m.ask(kindHave, p, have, parts, own)
}

// inquireRumours asks another what rumours it has that are not here.
func (m *Node) inquireRumours(p *peer) {
	m.talk.asked = m.now
	if !m.mayAsk() {
		return
	}
	var have []thing
	for a, r := range m.talk.all {
		have = append(have, thing{a.hash(), r.hash()})
	}
	m.ask(kindMore, p, have, 1, nil)
}

// lacks tells whether another knows of many more members than this one.
func (m *Node) lacks(p *peer) bool { return p.knows > m.knows+leads }

// misses tells whether another is to be asked for what differs: one that is not known, or has had other records for a while, and not so
// many fewer that it will rather ask itself.
func (m *Node) misses(p *peer) bool {
	if !p.known {
		return true
	}
	return p.differs > 0 && p.knows+leads >= m.knows && (m.now-p.differs >= m.pace(p) || m.lacks(p))
}

// pace is how long one question for what differs waits after another: much that is missing is asked for at once, as long as something
// comes of it.
func (m *Node) pace(p *peer) time.Duration {
	switch {
	case m.gained >= leads, m.lacks(p) && m.gained > 0:
		return m.cfg.HeartbeatInterval / 2
	case m.lacks(p):
		return m.cfg.HeartbeatInterval
	}
	return 3 * m.cfg.HeartbeatInterval
}

const (
	// asking is the part of what is saved up that may go to questions for what differs; of what is sent in the long run it is half of
	// that. Guards against members that ask so much that none can answer.
	asking = 3
	// shares is into how many parts what is saved up is divided: an answer takes one, or a datagram where that is more, so that what is left serves others too.
	// Guards against a start in which the first few who ask take all that a seed may send.
	shares = 8
	// answered is how many records an answer has at most, about: where more are missing, a part of them is asked for, by a smaller
	// filter.
	answered = 40
	// leads is how many members one that knows nobody is told of: it asks these next.
	leads = 4
)

// supply tells what another lacks or has otherwise, as much as its share of what may be sent; the rest when it asks again, or
// asks others. What says something of members does not go first: who does not know a member yet can't tell what is said of it.
func (m *Node) supply(p *peer, d message) {
	var rs []record
	for _, o := range m.all {
		if o.known && !d.covers(o.id.key(), o.record.hash()) {
			rs = append(rs, o.record)
		}
	}
	m.rng.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
	spare := m.tokens - m.reserve()
	if d.Knows <= 1 {
		if m.tokens < m.cfg.BurstBytes/2 { // others will find it, who are told of it
			return
		}
		rs = rs[:min(len(rs), leads)]
	}
	share := max(spare/shares, float64(m.cfg.MaxDatagramBytes-sumBytes-mostHead)) // a whole datagram, as its head costs as much each time
	for n, r := range rs {
		if share -= float64(len(r.append(nil, d.place()))); share < 0 {
			rs = rs[:max(n, 1)]
			break
		}
	}
	slices.SortFunc(rs, func(a, b record) int { return cmp.Compare(a.Author, b.Author) }) // neighbours are written in fewer bytes
	for range 3 {
		n := m.say(kindTell, p, 1, rs)
		if n <= 0 {
			return
		}
		rs = rs[n:]
	}
}
