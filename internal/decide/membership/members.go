// Package members decides who serves among the front ends of one installation: whom each tells that it lives, whom
// it watches, what it makes of silence, and which view of the fleet follows. It does no I/O and reads no clock; the
// caller hands it time, datagrams and a random source, and carries out what it returns.
//
// Each member is the only author of one record: its incarnation, whether it has left, whether it doubts itself, and
// whom it does not hear. Records are merged by their author's own order, so that they may come late, twice or in any
// order. What is said of a member is read off all records in the same way by everybody. No member leads.
// See docs/design/members.md for what was weighed.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// ID names a member, and its address: the same after a restart. The caller chooses them, up to MaxID: small ones cost
// fewer bytes.
type ID uint64

// MaxID has room for an IPv4 address with its port.
const MaxID = 1<<48 - 1

// key is the same for a member at all members.
func (id ID) key() uint32 { return uint32(id) ^ uint32(id>>32)*0x9e3779b1 }

// Config is the same at all members of an installation.
type Config struct {
	HeartbeatInterval   time.Duration // how often each watcher is told that a member lives
	RingCount           int           // watchers of a member
	Quorum              int           // of them must not hear it before it is called dead or lost
	MaxMissedHeartbeats int           // beats in a row that may be missed on a way that loses none, before it is asked
	MaxUnansweredProbes int           // questions without an answer before it is said not to be heard
	SuspicionTimeout    time.Duration // how long enough words against a member must stand before they count
	MaxViewDelay        time.Duration // how long a change of the view waits for others that are under way, at most
	BytesPerSecond      float64       // sent a second, at most, in the long run; at any size of the fleet
	BurstBytes          float64       // bytes saved up while there is nothing to say
	FrameOverheadBytes  int           // bytes that the sender adds to each datagram, which count
	MaxDatagramBytes    int           // bytes of a datagram, without these
	Closed              bool          // nobody is a member but those that the settings name
}

// DefaultConfig is for front ends of one installation within 20 ms of each other.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval: 500 * time.Millisecond, RingCount: 4, Quorum: 3, MaxMissedHeartbeats: 2, MaxUnansweredProbes: 3, SuspicionTimeout: time.Second,
		MaxViewDelay: 4 * time.Second, BytesPerSecond: 400, BurstBytes: 6000, MaxDatagramBytes: 256,
	}
}

// State is what is held of a member.
type State uint8

// States. Those up to Cut are in the view.
const (
	Unknown State = iota // named by the settings, and not heard of since the start
	Alive
	Suspect         // some don't hear it, and it is not yet known what that means
	PartlyReachable // some don't hear it, others do; or it hears nobody
	Dead            // nobody who watched it hears it, and more than half of the fleet is here
	Unreachable     // the same, but the fleet's larger part may be where it is: nobody here can know
	Departed        // it said so itself
)

var stateNames = [...]string{"unknown", "alive", "suspect", "cut", "dead", "lost", "left"}

func (s State) String() string { return stateNames[s] }

// In tells whether members of the state are in the view.
func (s State) InView() bool { return s == Alive || s == Suspect || s == PartlyReachable }

// View is the set of those that serve, as one member has it. Two members have the same view when the digests are
// the same; the number orders the views that one member has had, and rises with those of others.
type View struct {
	Number uint32 `cbor:"Number"`
	Digest uint32 `cbor:"Digest"`
	Size   int    `cbor:"Size"`
}

// Event is something that happens to a Node: a Tick, a DatagramReceived or a Leave.
type Event interface{ isEvent() }

// Tick says that time has passed. One is due every TickInterval.
type Tick struct{}

// DatagramReceived is a datagram that came from the address of a member.
type DatagramReceived struct {
	From    ID
	Payload []byte
}

// Leave is a graceful shutdown of this member.
type Leave struct{}

func (Tick) isEvent()             {}
func (DatagramReceived) isEvent() {}
func (Leave) isEvent()            {}

// Action is what the caller of a Node has to carry out: a Send, or a ViewChanged or MemberReport to publish.
type Action interface{ isAction() }

// Send asks for a datagram to be sent to a member.
type Send struct {
	To      ID
	Payload []byte
}

// ViewChanged reports that this member has installed another view.
type ViewChanged struct {
	View View
	// Majority tells whether the view holds more than half of the members that were in a view recently. Without a
	// majority either this member is in the smaller part of a partitioned fleet or most others have failed; it can't
	// tell which.
	Majority bool
}

// MemberReport reports a change of one member to operators.
type MemberReport struct {
	Member    ID
	State     State
	Reason    string
	Witnesses []ID // members that don't hear it
}

func (Send) isAction()         {}
func (ViewChanged) isAction()  {}
func (MemberReport) isAction() {}

// peer is what is known of another member, or of this one.
type peer struct {
	id      ID
	record  record
	known   bool // a record of this start's time was read
	presses bool // others wait for it

	// What this member has itself seen.
	heard   time.Duration // a datagram came; 0: never
	fresh   time.Duration // what silence counts from: heard, or the time of a pause
	beat    uint16        // sequence of its last beat
	beats   int           // of it, that were counted for loss, up to lossOver
	loss    float64       // share of them that are lost on the way
	watched bool
	asked   int           // questions without an answer
	askAt   time.Duration // the next one
	again   int           // questions since it was said not to be heard
	mine    verdict       // what this member's own record says of it
	agreed  uint32        // digest of its view
	knows   int           // how many records it has
	differs time.Duration // since then it differs; 0: it does not
	synced  time.Duration // it was last told, or asked, what differs
	vouch   time.Duration // another has asked for it: until then it is said whether it is heard
	unlike  time.Duration // since then it has other rumours; 0: the same

	// What is made of all records.
	against []ID          // who don't hear it
	aside   []ID          // nor do these, but they know that it lives
	by      []ID          // who do, though others don't
	turned  time.Duration // the last change of these
	quorate time.Duration // since then enough don't hear it; 0: they don't
	state   State
	ended   uint32        // its incarnation when it came into the state
	seenIn  time.Duration // it came into the view or left it here
	grace   time.Duration // it came back: until then old words don't count for the worst
}

// RandomSource is a random source: *rand.Rand is one.
type RandomSource interface {
	IntN(n int) int
	Shuffle(n int, swap func(i, j int))
}

// Node is one member. It is not for several goroutines.
type Node struct {
	cfg       Config
	rng       RandomSource
	self      *peer
	peers     map[ID]*peer
	all       []*peer       // the same, by id: what goes over them has one order, whatever a map's is
	order     []*peer       // of these, those in the view
	rings     [][]*peer     // the same, ring by ring
	stale     bool          // the rings are
	cared     []*peer       // whom this member has to hear, or says something of
	look      bool          // these may be others now
	voided    bool          // its record is not what it should say
	wrote     time.Duration // it was last brought up to that
	writes    time.Duration // since then it waits for that; 0: it does not
	open      int           // members that were asked and have not answered yet
	unsettled bool          // something waits for its time

	now     time.Duration
	began   time.Duration
	next    time.Duration // tick expected at
	beatAt  time.Duration
	seq     uint32
	tokens  float64
	asks    float64 // of these, for questions for what differs
	filled  time.Duration
	doubt   time.Duration // this member doubts itself until then
	why     string
	answer  time.Duration // anybody was heard at all
	seek    time.Duration // while nobody is: the next look for anybody
	loss    float64       // share of all beats to this member that are lost
	wrong   int           // words of this member that others have contradicted lately
	wrongAt time.Duration // the last one
	leaving bool

	news    map[ID]int    // records that are to be passed on, so many times more
	flush   time.Duration // when they are
	knows   int           // how many records there are here
	digest  uint32        // of all records
	moved   bool          // records have changed since they were judged
	synced  time.Duration // a question for what differs was last asked
	gained  int           // records that were learned by it
	brought int           // records that were learned by the one before it
	fresh   int           // records that were to be passed on of late: in two beats, about
	talk    rumours
	expires time.Duration // rumours are looked at next

	view   View
	viewed time.Duration // since then
	major  bool
	seen   uint32        // the highest number of a view that was heard of
	ripe   time.Duration // since then a change of the view waits
	shape  uint32        // the digest that waits
	still  time.Duration // since then it is the same
	waits  time.Duration // since then some would be called dead

	DroppedDatagrams int // datagrams that could not be read, or were not of whom they said
	RejectedMembers  int // members that would have been too many
	RejectedGossip   int // rumours that were too many

	out []Action
}

// New returns a member. inc has to be higher than that of any earlier process of this member that may be remembered:
// the second of the start will do, as one that is not is corrected by what others remember. named are the members
// that the settings name, itself perhaps among them; others come to be known by their records.
func New(cfg Config, self ID, inc uint32, named []ID, now time.Duration, rng RandomSource) *Node {
	m := begin(cfg, self, inc, named, now, rng)
	m.judge()
	return m
}

func begin(cfg Config, self ID, inc uint32, named []ID, now time.Duration, rng RandomSource) *Node {
	m := &Node{
		cfg: cfg, rng: rng, peers: map[ID]*peer{}, now: now, began: now, next: now, beatAt: now, loss: lossAtFirst,
		tokens: cfg.BurstBytes, asks: cfg.BurstBytes / asking, filled: now, news: map[ID]int{}, talk: rumours{all: map[about]GossipMessage{}, news: map[about]int{}}, answer: now, stale: true,
	}
	m.self = &peer{id: self, known: true, record: record{Author: self, Inc: inc}, state: Alive, seenIn: now}
	m.enter(m.self)
	m.knows = 1
	for _, id := range named {
		m.peer(id)
	}
	m.sum(m.self.record)
	m.spread(self)
	return m
}

// mostMembers bounds those that are known, with those long gone. Guards against one that makes up members without end: each
// takes some 300 bytes here, and a place on the rings.
const mostMembers = 4096

// room tells whether another member may come to be known; those that the settings name always may.
func (m *Node) room(id ID) bool {
	if m.peers[id] != nil {
		return true
	}
	if m.cfg.Closed {
		return false
	}
	if len(m.all) >= mostMembers {
		m.RejectedMembers++
		return false
	}
	return true
}

func (m *Node) peer(id ID) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{id: id, record: record{Author: id}}
		m.enter(p)
	}
	return p
}

func (m *Node) enter(p *peer) {
	m.peers[p.id] = p
	i, _ := slices.BinarySearchFunc(m.all, p, byID)
	m.all = slices.Insert(m.all, i, p)
}

// Step is how often a Tick is due.
func (m *Node) TickInterval() time.Duration { return m.cfg.HeartbeatInterval / 10 }

// View is what holds here, and whether more than half of the fleet is in it.
func (m *Node) View() (v View, majority bool) { return m.view, m.major }

// Doubt tells whether this member trusts its own ears less at present, and why.
func (m *Node) SelfSuspicion() (why string, doubts bool) { return m.why, m.now < m.doubt }

// State is what is held of a member, and who says so.
func (m *Node) State(id ID) (s State, against, by []ID) {
	p := m.peers[id]
	if p == nil {
		return Unknown, nil, nil
	}
	return p.state, slices.Clone(p.against), slices.Clone(p.by)
}

// Handle takes one event and returns what to do, in order. Times never go back.
func (m *Node) Handle(now time.Duration, event Event) []Action {
	m.out = nil
	m.refill(now)
	m.now = now
	switch e := event.(type) {
	case Tick:
		m.tick()
	case DatagramReceived:
		m.take(e.From, e.Payload)
	case Leave:
		m.leave()
	}
	return m.out
}

func (m *Node) tick() {
	late := m.now - m.next
	m.next = m.now + m.TickInterval()
	if late > m.cfg.HeartbeatInterval {
		m.woke(late)
	}
	if m.leaving {
		return
	}
	m.ears()
	m.watch()
	m.revise()
	m.judge()
	m.expire()
	if m.now >= m.beatAt {
		m.beatAt = max(m.beatAt+m.cfg.HeartbeatInterval, m.now+m.cfg.HeartbeatInterval/2)
		m.beats()
	} else if m.flush > 0 && m.now >= m.flush {
		m.pass()
	}
}

// woke takes that this member stood still: whoever it watched has had no chance to be heard. Guards against a
// process that is stopped, or that gets no processor, and then calls all others silent.
func (m *Node) woke(late time.Duration) {
	for _, p := range m.all {
		p.fresh, p.asked = m.now, 0
	}
	m.answer = m.now
	m.doubts("stood still for "+late.Round(time.Millisecond).String(), 4*m.cfg.HeartbeatInterval)
}

func (m *Node) doubts(why string, span time.Duration) {
	if m.now >= m.doubt {
		m.out = append(m.out, MemberReport{Member: m.self.id, State: m.self.state, Reason: "doubts itself: " + why})
	}
	m.doubt, m.why = max(m.doubt, m.now+span), why
}

// ears looks whether this member hears anybody at all. Guards against one that is cut off and takes that for the
// death of all others.
func (m *Node) ears() {
	if len(m.order) < 2 || m.now-m.answer <= time.Duration(m.cfg.MaxMissedHeartbeats)*m.cfg.HeartbeatInterval {
		return
	}
	m.doubts("hears nobody", m.cfg.HeartbeatInterval)
	if m.now >= m.seek { // those around it may be gone and others not
		m.seek = m.now + m.cfg.HeartbeatInterval
		for _, p := range m.some(m.cfg.RingCount, func(p *peer) bool { return true }) {
			m.say(kindProbe, p, 0, nil)
		}
	}
}

// leave tells all watchers at once that this member ends, and some others, as word may be lost.
func (m *Node) leave() {
	m.leaving = true
	to := m.targets()
	m.write(func(r *record) { r.Left = true })
	m.self.state = Departed
	for _, p := range m.some(m.cfg.RingCount, func(p *peer) bool { return p.state.InView() }) {
		to = append(to, p)
	}
	for _, p := range to {
		m.say(kindBeat, p, 0, []record{m.self.record})
	}
}

// some are members drawn by chance, each once, so many at most.
func (m *Node) some(n int, of func(*peer) bool) []*peer {
	var all []*peer
	for _, p := range m.order {
		if p != m.self && of(p) {
			all = append(all, p)
		}
	}
	for i := range min(n, len(all)) {
		j := i + m.rng.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(n, len(all))]
}

// refill adds to what may be sent.
func (m *Node) refill(now time.Duration) {
	m.tokens = min(m.cfg.BurstBytes, m.tokens+m.cfg.BytesPerSecond*(now-m.filled).Seconds())
	m.asks = min(m.cfg.BurstBytes/asking, m.asks+m.cfg.BytesPerSecond/2/asking*(now-m.filled).Seconds())
	m.filled = now
}

func byID(a, b *peer) int { return cmp.Compare(a.id, b.id) }
