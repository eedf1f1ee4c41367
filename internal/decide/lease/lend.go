// Package lend divides what a cold engine bears among the front ends of one installation, so that the sum of all parts never
// passes the whole: whatever their views of who lives, whatever is lost, late or twice on the way, and however long one of them stands
// still. It does no I/O and reads no clock.
//
// Nobody is told that it may use a part; it is lent one until a time. Of each engine there are a few voters, the same at all
// members, as they follow from the settings and not from who lives. Most of them have to promise themselves to a member before it lends,
// and a voter promises itself to one at a time. A part lapses before its lender's promises do, and they before another can have
// them; each counts its time from before the word was sent that it rests on, and allows for clocks that run apart. The proof
// stands in docs/design/lend.md; the leases are those of Gray and Cheriton (1989).
package lease

import (
	"cmp"
	"slices"
	"time"
)

// ID names a front end, as in internal/decide/membership.
type ID uint64

// Engine names one start of one engine. An engine that starts anew is another one, of which all is lent anew.
type Engine uint64

// Whole is all that an engine bears: parts are told in so many, as what it bears grows while it warms and all know how.
const Whole = 1024

// Config is the same at all members; words of one that has other members are passed by.
type Config struct {
	Members []ID          // all that the settings name, whether they live or not
	Voters  int           // of an engine, of whom more than half must promise themselves
	Term    time.Duration // for which a voter does, by its own clock
	Drift   float64       // clocks run fast or slow by this share at most
	Alone   int           // of Whole: never lent, as each member has its part of it without a word
	Limit   int           // engines that are kept; what is more is refused and counted
}

// Defaults are for some hundreds of front ends.
func Defaults(members []ID) Config {
	return Config{Members: members, Voters: 5, Term: 4 * time.Second, Drift: 0.01, Alone: Whole / 4, Limit: 1024}
}

// Events.
type (
	// Tick tells the time; it is due each Step.
	Tick struct{}
	// Heard is a word of another member; who it came from has been checked.
	Heard struct {
		From ID
		B    []byte
	}
	// Need is that this member could use so much of an engine, of Whole; 0: nothing more.
	Need struct {
		Engine Engine
		Share  int
	}
	// Live are the members that serve, as this one has it. It decides who lends, and never how much.
	Live struct{ IDs []ID }
)

// Send is the one action: a word to another member.
type Send struct {
	To ID
	B  []byte
}

// Chance is a random source: *rand.Rand is one.
type Chance interface{ Uint32() uint32 }

// loan is a part of which its lender counts that it may be used.
type loan struct {
	to    ID
	run   uint32 // of the borrower's process: one that is started anew has nothing of the one before
	count uint32 // of the question that it answers
	share int
	until time.Duration
}

// cold is what a member knows of one engine.
type cold struct {
	need   int
	asked  time.Duration // by others, for a part: while they do, this member claims where it is the first
	voters []ID

	// As a voter.
	promised   ID
	promisedIn uint32 // to that process of it: two may be there while one takes the other's place
	promisedTo time.Duration

	// As a lender.
	claimed time.Duration // the claim under way was sent
	claim   word          // that claim, by its number
	yes     []ID
	holds   time.Duration // it may lend until then
	loans   []loan

	// As a borrower.
	sent  time.Duration // its last question
	count uint32
	part  int
	until time.Duration
}

// Machine is one member. It is not for several goroutines.
type Machine struct {
	cfg     Config
	self    ID
	run     uint32
	count   uint32
	now     time.Duration
	began   time.Duration
	next    time.Duration
	live    []ID
	digest  uint32
	engines map[Engine]*cold
	out     []any

	Dropped int // words that could not be read, or were of no member
	Refused int // engines that were too many
}

// New returns a member that has just started, and has had its address since now, so that no process before it hears anything any
// more: it promises and claims nothing for a term, as it does not know what that one did.
func New(cfg Config, self ID, now time.Duration, rng Chance) *Machine {
	m := &Machine{cfg: cfg, self: self, run: rng.Uint32(), now: now, began: now, engines: map[Engine]*cold{}}
	m.cfg.Members = slices.Sorted(slices.Values(cfg.Members))
	m.live = m.cfg.Members
	for _, id := range m.cfg.Members {
		m.digest = mix(m.digest, uint64(id))
	}
	return m
}

// Step is how often a Tick is due.
func (m *Machine) Step() time.Duration { return m.cfg.Term / 16 }

// Alone is what each member may use of an engine without a word, of Whole.
func (m *Machine) Alone() int { return m.cfg.Alone / max(len(m.cfg.Members), 1) }

// Part is what this member may use of an engine at a time, of Whole. The caller asks right before it sends: a process that
// stood still since then has no part any more.
func (m *Machine) Part(e Engine, now time.Duration) int {
	if c := m.engines[e]; c != nil && now < c.until {
		return m.Alone() + c.part
	}
	return m.Alone()
}

// hold is how long a lender counts on a promise, from when it sent its claim, and a borrower on a part's span, from when it
// asked: what is left of it where the other's clock runs as fast as may be, and its own as slowly.
func (m *Machine) hold(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - m.cfg.Drift) / (1 + m.cfg.Drift))
}

// Handle takes one event and returns words to send, in order. Times never go back.
func (m *Machine) Handle(now time.Duration, event any) []any {
	m.now, m.out = now, nil
	switch e := event.(type) {
	case Tick:
		m.tick()
	case Heard:
		m.take(e.From, e.B)
	case Need:
		m.need(e.Engine, e.Share)
	case Live:
		m.live = slices.DeleteFunc(slices.Clone(e.IDs), func(id ID) bool { return !m.member(id) })
	}
	return m.out
}

func (m *Machine) member(id ID) bool {
	_, ok := slices.BinarySearch(m.cfg.Members, id)
	return ok
}

// engine is what is known of one, or nil where there are too many.
func (m *Machine) engine(e Engine) *cold {
	c := m.engines[e]
	if c == nil {
		if len(m.engines) >= m.cfg.Limit {
			m.Refused++
			return nil
		}
		c = &cold{voters: m.voters(e)}
		m.engines[e] = c
	}
	return c
}

func (m *Machine) need(e Engine, share int) {
	c := m.engine(e)
	if c == nil {
		return
	}
	had := c.part > 0 && m.now < c.until
	if c.need = min(max(share, 0), Whole); c.need > 0 || !had {
		return
	}
	c.part, c.until = 0, 0 // it is given back at once, and may be lent to others
	m.count++
	c.count = m.count
	if first, ok := m.first(e); ok {
		m.say(first, word{kind: kindBack, engine: e, run: m.run, count: m.count})
	}
}

func (m *Machine) tick() {
	if m.now < m.next {
		return
	}
	m.next = m.now + m.Step()
	var all []Engine
	for e := range m.engines {
		all = append(all, e)
	}
	slices.Sort(all) // so that a seed gives the same bytes
	for _, e := range all {
		c := m.engines[e]
		c.loans = slices.DeleteFunc(c.loans, func(l loan) bool { return m.now >= l.until })
		first, ok := m.first(e)
		wanted := c.need > 0 || c.asked > 0 && m.now-c.asked < m.cfg.Term
		switch {
		case !wanted && len(c.loans) == 0 && m.now >= c.promisedTo && m.now >= c.until:
			delete(m.engines, e) // nothing rests on it any more
			continue
		case ok && wanted && first == m.self && m.now-m.began >= m.cfg.Term && (c.claimed == 0 || m.now-c.claimed >= m.cfg.Term/4):
			m.claimLender(e, c)
		}
		if ok && c.need > 0 && (c.sent == 0 || m.now-c.sent >= m.cfg.Term/4) {
			m.count++
			c.sent, c.count = m.now, m.count
			m.say(first, word{kind: kindAsk, engine: e, run: m.run, count: m.count, share: uint16(c.need)})
		}
	}
}

// claimLender asks the voters to promise themselves to this member, or to go on to.
func (m *Machine) claimLender(e Engine, c *cold) {
	m.count++
	c.claimed, c.yes = m.now, nil
	c.claim = word{kind: kindClaim, engine: e, run: m.run, count: m.count}
	for _, v := range c.voters {
		m.say(v, c.claim)
	}
}

// say sends a word, or takes it where it is for this member itself.
func (m *Machine) say(to ID, w word) {
	w.members = m.digest
	if to == m.self {
		m.hear(m.self, w)
		return
	}
	m.out = append(m.out, Send{to, w.append(nil)})
}

func (m *Machine) take(from ID, b []byte) {
	w, err := read(b)
	if err != nil || w.members != m.digest || from == m.self || !m.member(from) {
		m.Dropped++
		return
	}
	m.hear(from, w)
}

func (m *Machine) hear(from ID, w word) {
	c := m.engine(w.engine)
	if c == nil {
		return
	}
	switch w.kind {
	case kindClaim:
		if m.now-m.began < m.cfg.Term || m.now < c.promisedTo && (c.promised != from || c.promisedIn != w.run) || !slices.Contains(c.voters, m.self) {
			return
		}
		c.promised, c.promisedIn, c.promisedTo = from, w.run, m.now+m.cfg.Term
		w.kind = kindPromise
		m.say(from, w)
	case kindPromise:
		if w.run != m.run || w.count != c.claim.count || m.now-c.claimed >= m.cfg.Term || slices.Contains(c.yes, from) {
			return // of an earlier claim, or of a process before this one
		}
		c.yes = append(c.yes, from)
		if 2*len(c.yes) > len(c.voters) {
			c.holds = max(c.holds, c.claimed+m.hold(m.cfg.Term))
		}
	case kindAsk:
		c.asked = m.now
		m.lend(from, w, c)
	case kindBack:
		c.loans = slices.DeleteFunc(c.loans, func(l loan) bool { return l.to == from && l.run == w.run && l.count < w.count })
	case kindLend:
		if w.run == m.run && w.count == c.count && c.need > 0 {
			c.part, c.until = int(w.share), c.sent+m.hold(min(w.span, m.cfg.Term))
		}
	}
}

// lend gives a part for as long as this member may lend, of what it has not lent to others. Of one borrower the largest part that has not
// lapsed is counted, as it may not have heard of the last one.
func (m *Machine) lend(to ID, w word, c *cold) {
	span := c.holds - m.now
	if span < m.Step() {
		return
	}
	free := Whole - m.cfg.Alone
	most := map[[2]uint64]int{}
	for _, l := range c.loans {
		if m.now < l.until && (l.to != to || l.run != w.run) {
			k := [2]uint64{uint64(l.to), uint64(l.run)}
			most[k] = max(most[k], l.share)
		}
	}
	for _, share := range most {
		free -= share
	}
	span = span.Truncate(time.Millisecond)
	l := loan{to: to, run: w.run, count: w.count, share: min(int(w.share), free), until: m.now + span}
	if l.share <= 0 {
		return
	}
	c.loans = append(c.loans, l)
	m.say(to, word{kind: kindLend, engine: w.engine, run: w.run, count: w.count, share: uint16(l.share), span: span})
}

// voters of an engine are the first of all members in an order of its own, whether they live or not: the same at all members.
func (m *Machine) voters(e Engine) []ID {
	return slices.SortedFunc(slices.Values(m.cfg.Members), rank(e))[:min(m.cfg.Voters, len(m.cfg.Members))]
}

// first is the member that lends an engine where all have the same view; where they have not, the voters decide.
func (m *Machine) first(e Engine) (ID, bool) {
	if len(m.live) == 0 {
		return 0, false
	}
	return slices.MinFunc(m.live, rank(e)), true
}

// rank orders members for an engine by rendezvous (Thaler and Ravishankar 1998).
func rank(e Engine) func(a, b ID) int {
	weight := func(id ID) uint32 { return mix(mix(0, uint64(e)), uint64(id)) }
	return func(a, b ID) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) }
}

// mix spreads a word over a sum (the finalizer of SplitMix64, which is in the public domain).
func mix(sum uint32, w uint64) uint32 {
	z := w + uint64(sum)*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return uint32(z ^ z>>31)
}
