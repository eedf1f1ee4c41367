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

// testdata/replay.txt has one digest for each scenario and seed, over all actions and over what the members report
// about the fleet. It was written by the version before the identifiers of this package were renamed, so any difference
// is a change of behavior. The digest covers fixed strings and numbers, so it does not depend on any Go identifier.

// replayScenario is one kind of simulated fleet.
type replayScenario struct {
	name string
	// members is the size of the fleet.
	members int
	// seeds is the number of members that are configured at each member's start; 0: all.
	seeds    int
	duration time.Duration
	// loss is the fraction of datagrams that are lost.
	loss  float64
	delay time.Duration // upper limit of a datagram's delay
	// config changes the default settings; nil: no change.
	config func(*Config)
}

var replayScenarios = []replayScenario{
	{name: "small", members: 5, duration: 70 * time.Second, delay: 20 * time.Millisecond},
	{name: "lossy", members: 9, duration: 60 * time.Second, loss: 0.3, delay: 40 * time.Millisecond},
	{name: "slow", members: 7, duration: 60 * time.Second, loss: 0.05, delay: 900 * time.Millisecond},
	{name: "closed", members: 6, duration: 60 * time.Second, delay: 20 * time.Millisecond, config: func(c *Config) { c.ConfiguredMembersOnly = true }},
	{name: "signed", members: 8, duration: 60 * time.Second, loss: 0.1, delay: 20 * time.Millisecond, config: func(c *Config) {
		c.FrameOverheadBytes += 25
		c.MaxDatagramBytes -= 25
	}},
	{name: "discovered by two seeds", members: 60, seeds: 2, duration: 25 * time.Second, loss: 0.05, delay: 20 * time.Millisecond},
	{name: "quick", members: 6, duration: 30 * time.Second, loss: 0.05, delay: 20 * time.Millisecond, config: func(c *Config) {
		c.HeartbeatInterval, c.SuspicionTimeout, c.MaxViewDelay, c.BytesPerSecond = 200*time.Millisecond, 400*time.Millisecond, 1600*time.Millisecond, 1000
	}},
}

// replaySeeds is the number of runs of each scenario, with different random seeds.
const replaySeeds = 4

// replayNode is a member of the simulated fleet.
type replayNode struct {
	node        *Node
	id          ID
	incarnation uint32
	clockRate   float64       // relative to simulated time
	clockOffset time.Duration // its clock is ahead by this much
	isAlive     bool
	pausedUntil time.Duration
	nextTickAt  time.Duration
}

// replayDatagram is a datagram in transit.
type replayDatagram struct {
	arrivesAt time.Duration
	from, to  ID
	payload   []byte
}

// replay runs a scenario in virtual time.
type replay struct {
	replayScenario
	nodeConfig Config
	now        time.Duration
	random     *rand.Rand
	nodes      []*replayNode
	inTransit  []replayDatagram
	isBlocked  func(from, to ID) bool // whether datagrams on a path are lost; nil: none are
	loss       float64                // current fraction of datagrams that are lost
	digest     hash.Hash              // of everything written
	actions    int                    // number of all actions
}

// newReplay returns a replay with all members started.
func newReplay(s replayScenario, seed uint64) *replay {
	r := &replay{replayScenario: s, nodeConfig: DefaultConfig(), now: time.Hour, random: rand.New(rand.NewPCG(seed, 77)), loss: s.loss, digest: sha256.New()}
	if s.config != nil {
		s.config(&r.nodeConfig)
	}
	for i := range s.members {
		n := &replayNode{id: r.id(i), incarnation: 100 + uint32(i%3), clockRate: 1 + 0.002*(2*r.random.Float64()-1), clockOffset: time.Duration(r.random.IntN(1000)) * time.Millisecond}
		r.nodes = append(r.nodes, n)
		r.start(n)
	}
	return r
}

// id returns the ID of member i. Fleets of even size use IPv4 addresses with ports, the others small numbers, as both
// are used in practice.
func (r *replay) id(i int) ID {
	if r.members%2 == 0 {
		return ID(10<<40 | i<<16 | 7946)
	}
	return ID(i + 1)
}

// clock returns the time on the clock of a member.
func (r *replay) clock(n *replayNode) time.Duration {
	return time.Duration(float64(r.now)*n.clockRate) + n.clockOffset
}

// configured returns the members that are configured at each member's start.
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

// start starts a new process of a member without any saved state.
func (r *replay) start(n *replayNode) {
	n.incarnation++
	n.node = New(r.nodeConfig, n.id, n.incarnation, r.configured(), r.clock(n), rand.New(rand.NewPCG(uint64(n.id), uint64(n.incarnation))))
	n.isAlive, n.pausedUntil, n.nextTickAt = true, 0, 0
}

// replaceProcess replaces the process of a member by one that resumes from its saved state.
func (r *replay) replaceProcess(n *replayNode) {
	saved := n.node.SaveState()
	n.incarnation++
	node, err := Resume(r.nodeConfig, saved, n.incarnation, r.configured(), r.clock(n), rand.New(rand.NewPCG(uint64(n.id), uint64(n.incarnation))))
	if err != nil {
		r.write("resume failed")
		return
	}
	n.node, n.isAlive, n.pausedUntil, n.nextTickAt = node, true, 0, 0
}

// write adds a line to the digest.
func (r *replay) write(parts ...string) {
	_, _ = fmt.Fprintln(r.digest, strings.Join(parts, " ")) // writing to a hash never fails
}

// replayIDs formats IDs for the digest.
func replayIDs(ids []ID) string {
	var s strings.Builder
	s.WriteString("[")
	for _, id := range ids {
		s.WriteString(strconv.FormatUint(uint64(id), 10) + ",")
	}
	s.WriteString("]")
	return s.String()
}

// replayView formats a view for the digest.
func replayView(v View) string {
	return strconv.FormatUint(uint64(v.Number), 10) + "/" + strconv.FormatUint(uint64(v.Digest), 16) + "/" + strconv.Itoa(v.Size)
}

// replayUint formats an integer for the digest.
func replayUint(n uint64) string { return strconv.FormatUint(n, 10) }

// handle passes an event to a member, adds the resulting actions to the digest and puts the datagrams in transit.
func (r *replay) handle(n *replayNode, event Event) {
	for _, a := range n.node.Handle(r.clock(n), event) {
		r.actions++
		at := replayUint(uint64(r.now)) + " " + replayUint(uint64(n.id))
		switch a := a.(type) {
		case Send:
			r.write(at, "send", replayUint(uint64(a.To)), hex.EncodeToString(a.Payload))
			copies := 1 + r.random.IntN(30)/29
			for range copies {
				delay := time.Duration(r.random.Int64N(int64(r.delay))) + time.Millisecond
				lost := r.random.Float64() < r.loss || r.isBlocked != nil && r.isBlocked(n.id, a.To)
				b := a.Payload
				if r.random.IntN(400) == 0 { // corrupt it in transit
					b = append([]byte(nil), b...)
					b[r.random.IntN(len(b))] ^= 4
				}
				if !lost {
					r.inTransit = append(r.inTransit, replayDatagram{r.now + delay, n.id, a.To, b})
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

// writeStatus adds everything that a member reports about the fleet to the digest.
func (r *replay) writeStatus(n *replayNode) {
	node := n.node
	view, majority := node.View()
	reason, suspectsItself := node.SelfSuspicion()
	heard, sameView := node.ViewAgreement()
	r.write("report", replayUint(uint64(n.id)), replayView(view), strconv.FormatBool(majority), reason.String(), strconv.FormatBool(suspectsItself), strconv.Itoa(heard), strconv.Itoa(sameView),
		strconv.Itoa(node.DroppedDatagrams), strconv.Itoa(node.RejectedMembers), strconv.Itoa(node.RejectedGossip))
	for _, member := range node.Snapshot(r.clock(n)) {
		r.write(replayUint(uint64(member.ID)), strconv.Itoa(int(member.State)), replayUint(uint64(member.Incarnation)), strconv.FormatInt(int64(member.SinceHeard), 10), strconv.FormatFloat(member.LossRate, 'g', -1, 64),
			strconv.FormatBool(member.SuspectsItself), strconv.FormatBool(member.SameView), strconv.FormatBool(member.Monitored), replayIDs(member.NotHeardBy), replayIDs(member.NotHeardButAliveBy), replayIDs(member.HeardBy))
		state, notHeardBy, heardBy := node.State(member.ID)
		r.write(strconv.Itoa(int(state)), replayIDs(notHeardBy), replayIDs(heardBy))
	}
	for topic := range uint8(3) {
		for _, g := range node.GossipMessages(topic) {
			r.write("gossip", strconv.Itoa(int(g.Topic)), replayUint(uint64(g.Key)), replayUint(uint64(g.Owner)), replayUint(uint64(g.Incarnation)), replayUint(uint64(g.Version)), hex.EncodeToString(g.Body))
		}
	}
}

// writeSavedState adds the saved state of a member to the digest.
func (r *replay) writeSavedState(n *replayNode) {
	saved := n.node.SaveState()
	r.write("carry", replayUint(uint64(saved.Self)), replayUint(uint64(saved.Incarnation)), replayView(saved.View), strconv.FormatBool(saved.HasMajority), replayUint(uint64(saved.HighestView)), hex.EncodeToString(saved.Gossip))
	for _, member := range saved.Members {
		r.write(replayUint(uint64(member.ID)), hex.EncodeToString(member.Record), strconv.Itoa(int(member.State)), strconv.FormatInt(int64(member.ViewAge), 10), strconv.FormatFloat(member.LossRate, 'g', -1, 64))
	}
}

// fault applies a random fault to a member or to the network, and publishes some random gossip.
func (r *replay) fault() {
	n := r.nodes[r.random.IntN(len(r.nodes))]
	other := r.nodes[r.random.IntN(len(r.nodes))]
	kind := r.random.IntN(14)
	r.write("fault", strconv.Itoa(kind), replayUint(uint64(n.id)), replayUint(uint64(other.id)))
	isRunning := n.isAlive && r.now >= n.pausedUntil
	switch kind {
	case 0:
		n.isAlive = false
	case 1:
		if isRunning {
			r.handle(n, Leave{})
			n.isAlive = false
		}
	case 2, 3:
		r.start(n)
	case 4:
		n.pausedUntil = r.now + time.Duration(500+r.random.IntN(7000))*time.Millisecond
	case 5:
		n.clockOffset += time.Duration(r.random.IntN(3000)) * time.Millisecond
	case 6:
		r.isBlocked = func(from, to ID) bool { return from == n.id && to == other.id }
	case 7:
		r.isBlocked = func(from, _ ID) bool { return from == n.id }
	case 8:
		r.isBlocked = func(_, to ID) bool { return to == n.id }
	case 9:
		r.isBlocked = func(from, to ID) bool { return (from < n.id) != (to < n.id) }
	case 10, 11:
		r.isBlocked, r.loss = nil, r.replayScenario.loss
	case 12:
		r.loss = 0.5
	case 13:
		if n.isAlive {
			r.replaceProcess(n)
		}
	}
	if !isRunning {
		return
	}
	for key := range uint32(r.random.IntN(5)) {
		body := []byte(strconv.Itoa(r.random.IntN(1000)))
		if r.random.IntN(4) == 0 {
			body = nil
		}
		if err := n.node.Publish(uint8(r.random.IntN(3)), key, body); err != nil {
			r.write("not published")
		}
	}
}

// run runs the scenario to its end and returns the number of all actions and the digest.
func (r *replay) run() string {
	const step = 10 * time.Millisecond
	end := r.now + r.duration
	faultFreeFrom := end - 15*time.Second // the run ends with 15 s without faults
	for nextFaultAt := r.now + 6*time.Second; r.now < end; r.now += step {
		if r.now >= nextFaultAt && r.now < faultFreeFrom {
			r.fault()
			nextFaultAt = r.now + time.Duration(500+r.random.IntN(6000))*time.Millisecond
		}
		if r.now >= faultFreeFrom {
			r.isBlocked, r.loss = nil, r.replayScenario.loss
		}
		due := r.inTransit
		r.inTransit = nil
		for _, d := range due {
			n := r.node(d.to)
			switch {
			case d.arrivesAt > r.now || n != nil && n.isAlive && r.now < n.pausedUntil:
				r.inTransit = append(r.inTransit, d)
			case n != nil && n.isAlive:
				r.handle(n, DatagramReceived{d.from, d.payload})
			}
		}
		for _, n := range r.nodes {
			if n.isAlive && r.now >= n.pausedUntil && r.clock(n) >= n.nextTickAt {
				n.nextTickAt = r.clock(n) + n.node.TickInterval()
				r.handle(n, Tick{})
			}
		}
		if r.now%(5*time.Second) == 0 {
			for _, n := range r.nodes {
				if n.isAlive && r.now >= n.pausedUntil {
					r.writeStatus(n)
					r.writeSavedState(n)
				}
			}
		}
	}
	return strconv.Itoa(r.actions) + " " + hex.EncodeToString(r.digest.Sum(nil))
}

// node returns the member with the given ID, or nil.
func (r *replay) node(id ID) *replayNode {
	for _, n := range r.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// replayName returns the name of a run in testdata/replay.txt.
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
		t.Errorf("testdata has %d digests, want %d", len(want), len(replayScenarios)*replaySeeds)
	}
	for _, s := range replayScenarios {
		for seed := range uint64(replaySeeds) {
			name := replayName(s, seed)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if got := newReplay(s, seed).run(); got != want[name] {
					t.Errorf("number of actions and digest = %s, want %s", got, want[name])
				}
			})
		}
	}
}
