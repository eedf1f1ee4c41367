package membership

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// testdata/replay.txt has, for each scenario and seed, the digest of all actions and of all that a member reports of
// the fleet. It was written by the version before the names of this package changed, so a difference is a change of
// behaviour. The digest is taken over fixed strings and numbers, so that it does not depend on any Go identifier.

// replayScenario is one kind of fleet that is played.
type replayScenario struct {
	name    string
	members int
	seeds   int // so many members are configured to each at its start; 0: all
	span    time.Duration
	loss    float64
	delay   time.Duration // of a datagram, at most
	config  func(*Config)
}

var replayScenarios = []replayScenario{
	{name: "small", members: 5, span: 70 * time.Second, delay: 20 * time.Millisecond},
	{name: "lossy", members: 9, span: 60 * time.Second, loss: 0.3, delay: 40 * time.Millisecond},
	{name: "slow", members: 7, span: 60 * time.Second, loss: 0.05, delay: 900 * time.Millisecond},
	{name: "closed", members: 6, span: 60 * time.Second, delay: 20 * time.Millisecond, config: func(c *Config) { c.Closed = true }},
	{name: "signed", members: 8, span: 60 * time.Second, loss: 0.1, delay: 20 * time.Millisecond, config: func(c *Config) {
		c.FrameOverheadBytes += 25
		c.MaxDatagramBytes -= 25
	}},
	{name: "discovered by two seeds", members: 60, seeds: 2, span: 25 * time.Second, loss: 0.05, delay: 20 * time.Millisecond},
	{name: "quick", members: 6, span: 30 * time.Second, loss: 0.05, delay: 20 * time.Millisecond, config: func(c *Config) {
		c.HeartbeatInterval, c.SuspicionTimeout, c.MaxViewDelay, c.BytesPerSecond = 200*time.Millisecond, 400*time.Millisecond, 1600*time.Millisecond, 1000
	}},
}

const replaySeeds = 4

// replayNode is a member of the played fleet.
type replayNode struct {
	machine *Node
	id      ID
	inc     uint32
	rate    float64 // of its clock
	ahead   time.Duration
	alive   bool
	paused  time.Duration
	due     time.Duration
}

type replayDatagram struct {
	at       time.Duration
	from, to ID
	b        []byte
}

// replay plays a scenario in virtual time.
type replay struct {
	replayScenario
	cfg           Config
	now           time.Duration
	rng           *rand.Rand
	nodes         []*replayNode
	inTransit     []replayDatagram
	isPartitioned func(from, to ID) bool
	loss          float64
	digest        hash.Hash
	actions       int
}

func newReplay(s replayScenario, seed uint64) *replay {
	r := &replay{replayScenario: s, cfg: DefaultConfig(), now: time.Hour, rng: rand.New(rand.NewPCG(seed, 77)), loss: s.loss, digest: sha256.New()}
	if s.config != nil {
		s.config(&r.cfg)
	}
	for i := range s.members {
		n := &replayNode{id: r.id(i), inc: 100 + uint32(i%3), rate: 1 + 0.002*(2*r.rng.Float64()-1), ahead: time.Duration(r.rng.IntN(1000)) * time.Millisecond}
		r.nodes = append(r.nodes, n)
		r.start(n)
	}
	return r
}

// id is an IPv4 address with its port, or a small number: both are in use.
func (r *replay) id(i int) ID {
	if r.members%2 == 0 {
		return ID(10<<40 | i<<16 | 7946)
	}
	return ID(i + 1)
}

func (r *replay) clock(n *replayNode) time.Duration {
	return time.Duration(float64(r.now)*n.rate) + n.ahead
}

func (r *replay) configured() (ids []ID) {
	count := r.members
	if r.seeds > 0 {
		count = r.seeds
	}
	for i := range count {
		ids = append(ids, r.id(i))
	}
	return ids
}

func (r *replay) start(n *replayNode) {
	n.inc++
	n.machine = New(r.cfg, n.id, n.inc, r.configured(), r.clock(n), rand.New(rand.NewPCG(uint64(n.id), uint64(n.inc))))
	n.alive, n.paused, n.due = true, 0, 0
}

// replaceProcess has another process resume what the one before carried.
func (r *replay) replaceProcess(n *replayNode) {
	carried := n.machine.SaveState()
	n.inc++
	m, err := Resume(r.cfg, carried, n.inc, r.configured(), r.clock(n), rand.New(rand.NewPCG(uint64(n.id), uint64(n.inc))))
	if err != nil {
		r.write("resume failed")
		return
	}
	n.machine, n.alive, n.paused, n.due = m, true, 0, 0
}

func (r *replay) write(parts ...string) {
	_, _ = fmt.Fprintln(r.digest, strings.Join(parts, " ")) // a hash never fails
}

func replayIDs(ids []ID) string {
	var s strings.Builder
	s.WriteString("[")
	for _, id := range ids {
		s.WriteString(strconv.FormatUint(uint64(id), 10) + ",")
	}
	s.WriteString("]")
	return s.String()
}

func replayView(v View) string {
	return strconv.FormatUint(uint64(v.Number), 10) + "/" + strconv.FormatUint(uint64(v.Digest), 16) + "/" + strconv.Itoa(v.Size)
}

func replayUint(n uint64) string { return strconv.FormatUint(n, 10) }

// handle gives a member an event, writes down what it does and sends its datagrams.
func (r *replay) handle(n *replayNode, event Event) {
	for _, a := range n.machine.Handle(r.clock(n), event) {
		r.actions++
		at := replayUint(uint64(r.now)) + " " + replayUint(uint64(n.id))
		switch a := a.(type) {
		case Send:
			r.write(at, "send", replayUint(uint64(a.To)), hex.EncodeToString(a.Payload))
			copies := 1 + r.rng.IntN(30)/29
			for range copies {
				late := time.Duration(r.rng.Int64N(int64(r.delay))) + time.Millisecond
				lost := r.rng.Float64() < r.loss || r.isPartitioned != nil && r.isPartitioned(n.id, a.To)
				b := a.Payload
				if r.rng.IntN(400) == 0 { // it is corrupted in transit
					b = append([]byte(nil), b...)
					b[r.rng.IntN(len(b))] ^= 4
				}
				if !lost {
					r.inTransit = append(r.inTransit, replayDatagram{r.now + late, n.id, a.To, b})
				}
			}
		case ViewChanged:
			r.write(at, "view", replayView(a.View), strconv.FormatBool(a.Majority))
		case MemberReport:
			r.write(at, "state", replayUint(uint64(a.Member)), strconv.Itoa(int(a.State)), a.State.String(), a.Reason.String(), replayIDs(a.Witnesses))
		default:
			r.write(at, "unknown action")
		}
	}
}

// report writes down what a member tells of the fleet.
func (r *replay) report(n *replayNode) {
	m := n.machine
	view, majority := m.View()
	reason, doubts := m.SelfSuspicion()
	heard, same := m.ViewAgreement()
	r.write("report", replayUint(uint64(n.id)), replayView(view), strconv.FormatBool(majority), reason.String(), strconv.FormatBool(doubts), strconv.Itoa(heard), strconv.Itoa(same),
		strconv.Itoa(m.DroppedDatagrams), strconv.Itoa(m.RejectedMembers), strconv.Itoa(m.RejectedGossip))
	for _, o := range m.Snapshot(r.clock(n)) {
		r.write(replayUint(uint64(o.ID)), strconv.Itoa(int(o.State)), replayUint(uint64(o.Incarnation)), strconv.FormatInt(int64(o.SinceHeard), 10), strconv.FormatFloat(o.LossRate, 'g', -1, 64),
			strconv.FormatBool(o.SuspectsItself), strconv.FormatBool(o.SameView), strconv.FormatBool(o.Monitored), replayIDs(o.NotHeardBy), replayIDs(o.NotHeardButAliveBy), replayIDs(o.HeardBy))
		state, against, by := m.State(o.ID)
		r.write(strconv.Itoa(int(state)), replayIDs(against), replayIDs(by))
	}
	for topic := range uint8(3) {
		for _, u := range m.GossipMessages(topic) {
			r.write("gossip", strconv.Itoa(int(u.Topic)), replayUint(uint64(u.Key)), replayUint(uint64(u.Owner)), replayUint(uint64(u.Incarnation)), replayUint(uint64(u.Version)), hex.EncodeToString(u.Body))
		}
	}
}

// carry writes down what a member would leave to the next process.
func (r *replay) carry(n *replayNode) {
	c := n.machine.SaveState()
	r.write("carry", replayUint(uint64(c.Self)), replayUint(uint64(c.Incarnation)), replayView(c.View), strconv.FormatBool(c.HasMajority), replayUint(uint64(c.HighestView)), hex.EncodeToString(c.Gossip))
	for _, o := range c.Members {
		r.write(replayUint(uint64(o.ID)), hex.EncodeToString(o.Record), strconv.Itoa(int(o.State)), strconv.FormatInt(int64(o.ViewAge), 10), strconv.FormatFloat(o.LossRate, 'g', -1, 64))
	}
}

// fault draws something that happens to a member or to the network.
func (r *replay) fault() {
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	other := r.nodes[r.rng.IntN(len(r.nodes))]
	kind := r.rng.IntN(14)
	r.write("fault", strconv.Itoa(kind), replayUint(uint64(n.id)), replayUint(uint64(other.id)))
	up := n.alive && r.now >= n.paused
	switch kind {
	case 0:
		n.alive = false
	case 1:
		if up {
			r.handle(n, Leave{})
			n.alive = false
		}
	case 2, 3:
		r.start(n)
	case 4:
		n.paused = r.now + time.Duration(500+r.rng.IntN(7000))*time.Millisecond
	case 5:
		n.ahead += time.Duration(r.rng.IntN(3000)) * time.Millisecond
	case 6:
		r.isPartitioned = func(from, to ID) bool { return from == n.id && to == other.id }
	case 7:
		r.isPartitioned = func(from, _ ID) bool { return from == n.id }
	case 8:
		r.isPartitioned = func(_, to ID) bool { return to == n.id }
	case 9:
		r.isPartitioned = func(from, to ID) bool { return (from < n.id) != (to < n.id) }
	case 10, 11:
		r.isPartitioned, r.loss = nil, r.replayScenario.loss
	case 12:
		r.loss = 0.5
	case 13:
		if n.alive {
			r.replaceProcess(n)
		}
	}
	if !up {
		return
	}
	for key := range uint32(r.rng.IntN(5)) {
		body := []byte(strconv.Itoa(r.rng.IntN(1000)))
		if r.rng.IntN(4) == 0 {
			body = nil
		}
		if err := n.machine.Publish(uint8(r.rng.IntN(3)), key, body); err != nil {
			r.write("not published")
		}
	}
}

// play plays the scenario to its end and returns the count of all actions and the digest.
func (r *replay) play() string {
	const step = 10 * time.Millisecond
	end := r.now + r.span
	calm := end - 15*time.Second // without faults in the end
	for next := r.now + 6*time.Second; r.now < end; r.now += step {
		if r.now >= next && r.now < calm {
			r.fault()
			next = r.now + time.Duration(500+r.rng.IntN(6000))*time.Millisecond
		}
		if r.now >= calm {
			r.isPartitioned, r.loss = nil, r.replayScenario.loss
		}
		due := r.inTransit
		r.inTransit = nil
		for _, d := range due {
			n := r.node(d.to)
			switch {
			case d.at > r.now || n != nil && n.alive && r.now < n.paused:
				r.inTransit = append(r.inTransit, d)
			case n != nil && n.alive:
				r.handle(n, DatagramReceived{d.from, d.b})
			}
		}
		for _, n := range r.nodes {
			if n.alive && r.now >= n.paused && r.clock(n) >= n.due {
				n.due = r.clock(n) + n.machine.TickInterval()
				r.handle(n, Tick{})
			}
		}
		if r.now%(5*time.Second) == 0 {
			for _, n := range r.nodes {
				if n.alive && r.now >= n.paused {
					r.report(n)
					r.carry(n)
				}
			}
		}
	}
	return strconv.Itoa(r.actions) + " " + hex.EncodeToString(r.digest.Sum(nil))
}

func (r *replay) node(id ID) *replayNode {
	for _, n := range r.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// replayName is how a play is named in testdata/replay.txt.
func replayName(s replayScenario, seed uint64) string {
	return strings.ReplaceAll(s.name, " ", "-") + "/" + strconv.FormatUint(seed, 10)
}

func TestReplayOfEarlierVersion(t *testing.T) {
	t.Parallel()
	raw, err := os.ReadFile(filepath.Join("testdata", "replay.txt"))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		name, digest, _ := strings.Cut(strings.TrimSpace(line), " ")
		want[name] = digest
	}
	if len(want) != len(replayScenarios)*replaySeeds {
		t.Errorf("%d digests, want %d", len(want), len(replayScenarios)*replaySeeds)
	}
	for _, s := range replayScenarios {
		for seed := range uint64(replaySeeds) {
			name := replayName(s, seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if got := newReplay(s, seed).play(); got != want[name] {
					t.Errorf("actions and digest = %s, want %s", got, want[name])
				}
			})
		}
	}
}
