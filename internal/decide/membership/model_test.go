package membership

import (
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// The model check runs all schedules of a few steps of 1.5 s on fleets of 3 and 4 members that have discovered each
// other. Each step has one fault: every kind of fault is tried for every member and every pair. After the steps each
// schedule continues without faults. A state is what the members hold at the end of a step, as far as stateHash covers
// it. With MEMBERS_STEPS=3 in the environment, the schedules for 3 members are longer than in CI.

const (
	modelStep  = 1500 * time.Millisecond
	modelTick  = 10 * time.Millisecond  // resolution of simulated time
	modelDelay = 10 * time.Millisecond  // delay of a datagram
	slowDelay  = 500 * time.Millisecond // delay of a datagram on a path with the slow fault
)

// copyableRandom is a random source that can be copied: a linear congruential generator.
type copyableRandom struct{ state uint64 }

func (r *copyableRandom) IntN(n int) int {
	r.state = r.state*6364136223846793005 + 1442695040888963407
	return int((r.state >> 33) % uint64(n))
}

func (r *copyableRandom) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, r.IntN(i+1))
	}
}

// clone returns a deep copy of a member.
func (n *Node) clone() *Node {
	c := *n
	copies := map[*peer]*peer{}
	c.members.byID = map[ID]*peer{}
	for id, p := range n.members.byID {
		q := *p
		copies[p] = &q
		c.members.byID[id] = &q
	}
	copyAll := func(peers []*peer) (out []*peer) {
		for _, p := range peers {
			out = append(out, copies[p])
		}
		return out
	}
	c.self = copies[n.self]
	c.members.sorted = copyAll(n.members.sorted)
	c.topology.inView = copyAll(n.topology.inView)
	c.topology.rings = nil
	for _, ring := range n.topology.rings {
		c.topology.rings = append(c.topology.rings, copyAll(ring))
	}
	c.monitor.peers = copyAll(n.monitor.peers)
	c.outbox.pending = maps.Clone(n.outbox.pending)
	c.gossip.messages = maps.Clone(n.gossip.messages)
	c.gossip.pending = maps.Clone(n.gossip.pending)
	random := *n.random.(*copyableRandom)
	c.random = &random
	c.actions = nil
	return &c
}

// model is a fleet in one state.
type model struct {
	config        Config
	now           time.Duration
	nodes         []*Node
	isAlive       []bool // by member index, as are the slices below; false after a crash
	pausedUntil   []time.Duration
	lastAbsent    []time.Duration   // when a member was last paused or crashed
	lastDisturbed [][]time.Duration // [from][to]: when a datagram on this path was last lost or slow
	incarnation   uint32            // of the most recently started processes
	inTransit     []modelDatagram
	violation     string // the first violated property, with members given by their index; empty: none
}

// modelDatagram is a datagram in transit between members given by their index.
type modelDatagram struct {
	arrivesAt time.Duration
	to, from  int
	payload   []byte
}

// newModel returns a fleet whose members have discovered each other and measured the loss rates.
func newModel(size int, config Config) *model {
	m := &model{
		config: config, now: time.Hour, incarnation: 1,
		isAlive: make([]bool, size), pausedUntil: make([]time.Duration, size), lastAbsent: make([]time.Duration, size),
	}
	for i := range size {
		m.isAlive[i] = true
		m.nodes = append(m.nodes, m.newNode(i))
		m.lastDisturbed = append(m.lastDisturbed, make([]time.Duration, size))
	}
	m.run(16*time.Second, fault{}) // until the loss rate of each path is measured
	return m
}

// newNode returns a newly started process of member i.
func (m *model) newNode(i int) *Node {
	var configured []ID
	for other := range m.isAlive {
		configured = append(configured, ID(other+1))
	}
	return New(m.config, ID(i+1), m.incarnation, configured, m.now, &copyableRandom{uint64(i) + uint64(m.incarnation)<<32})
}

// clone returns a copy of the model that can run independently.
func (m *model) clone() *model {
	c := *m
	c.nodes = nil
	for _, n := range m.nodes {
		c.nodes = append(c.nodes, n.clone())
	}
	c.isAlive = slices.Clone(m.isAlive)
	c.pausedUntil = slices.Clone(m.pausedUntil)
	c.lastAbsent = slices.Clone(m.lastAbsent)
	c.lastDisturbed = nil
	for _, row := range m.lastDisturbed {
		c.lastDisturbed = append(c.lastDisturbed, slices.Clone(row))
	}
	return &c
}

// pathFilter selects paths by the indexes of sender and receiver.
type pathFilter func(from, to int) bool

// fault is what happens in one step. The integer fields are member IDs; 0 means no member.
type fault struct {
	name                  string
	loses, slows          pathFilter
	pause, restart, crash int
}

// faults returns all faults for a fleet of the given size. Their names give members by their index.
func faults(size int) []fault {
	all := []fault{{name: "no fault"}}
	addPaths := func(name string, paths pathFilter) {
		all = append(all, fault{name: "loss " + name, loses: paths}, fault{name: "slow " + name, slows: paths})
	}
	for x := range size {
		all = append(all,
			fault{name: fmt.Sprint("pause ", x), pause: x + 1},
			fault{name: fmt.Sprint("restart ", x), restart: x + 1},
			fault{name: fmt.Sprint("crash ", x), crash: x + 1})
		addPaths(fmt.Sprint("to ", x), func(_, to int) bool { return to == x })
		addPaths(fmt.Sprint("from ", x), func(from, _ int) bool { return from == x })
		addPaths(fmt.Sprint("to and from ", x), func(from, to int) bool { return from == x || to == x })
		for y := range size {
			if x != y {
				addPaths(fmt.Sprint("from ", x, " to ", y), func(from, to int) bool { return from == x && to == y })
			}
		}
	}
	for x := 1; x < size && size == 4; x++ {
		isFirstHalf := func(i int) bool { return i == 0 || i == x }
		addPaths(fmt.Sprint("between 0 and ", x, " and the others"), func(from, to int) bool { return isFirstHalf(from) != isFirstHalf(to) })
	}
	return all
}

// run runs the fleet with a fault for a duration. Datagrams that have not arrived at the end are lost.
func (m *model) run(duration time.Duration, f fault) {
	m.startFault(duration, f)
	m.inTransit = nil
	for end := m.now + duration; m.now < end; m.now += modelTick {
		m.deliver(f)
		for i, n := range m.nodes {
			switch {
			case !m.isRunning(i):
				m.lastAbsent[i] = m.now
			case m.now >= n.nextTickAt:
				m.handle(i, Tick{}, f)
			}
		}
	}
	m.inTransit = nil
}

// startFault applies the effects that a fault has at the start of its step.
func (m *model) startFault(duration time.Duration, f fault) {
	switch {
	case f.pause > 0 && m.isAlive[f.pause-1]:
		m.pausedUntil[f.pause-1] = m.now + duration
	case f.restart > 0:
		m.incarnation++
		m.isAlive[f.restart-1] = true
		m.pausedUntil[f.restart-1] = 0
		m.nodes[f.restart-1] = m.newNode(f.restart - 1)
	case f.crash > 0:
		m.isAlive[f.crash-1] = false
	}
}

// isRunning reports whether member i is neither crashed nor paused.
func (m *model) isRunning(i int) bool { return m.isAlive[i] && m.now >= m.pausedUntil[i] }

// deliver delivers the datagrams that are due. Members that are not running lose them.
func (m *model) deliver(f fault) {
	due := m.inTransit
	m.inTransit = nil
	for _, d := range due {
		switch {
		case d.arrivesAt > m.now:
			m.inTransit = append(m.inTransit, d)
		case m.isRunning(d.to):
			m.handle(d.to, DatagramReceived{ID(d.from + 1), d.payload}, f)
		}
	}
}

// handle passes an event to member i and carries out the resulting actions.
func (m *model) handle(i int, e Event, f fault) {
	for _, a := range m.nodes[i].Handle(m.now, e) {
		switch a := a.(type) {
		case MemberReport:
			m.checkReport(i, a)
		case Send:
			m.send(i, a, f)
		}
	}
}

// send puts a datagram in transit, unless the fault loses it.
func (m *model) send(from int, s Send, f fault) {
	to := int(s.To) - 1
	delay := modelDelay
	switch {
	case f.loses != nil && f.loses(from, to):
		m.lastDisturbed[from][to] = m.now
		return
	case f.slows != nil && f.slows(from, to):
		m.lastDisturbed[from][to] = m.now
		delay = slowDelay
	}
	m.inTransit = append(m.inTransit, modelDatagram{m.now + delay, to, from, s.Payload})
}

// checkReport checks a report about another member against the injected faults. A member must not be declared dead if
// more than half of the fleet could exchange datagrams with it for the last 5 s. A member that was paused or crashed at
// any time within the last second must not declare any member dead that is not crashed.
func (m *model) checkReport(reporter int, report MemberReport) {
	subject := int(report.Member) - 1
	if report.State != Dead || subject == reporter || m.violation != "" {
		return
	}
	const recently = 5 * time.Second
	if m.isAlive[subject] && m.now-m.lastAbsent[subject] > recently {
		connected := 1
		for i := range m.nodes {
			isUndisturbed := m.now-m.lastDisturbed[subject][i] > recently && m.now-m.lastDisturbed[i][subject] > recently
			if i != subject && isUndisturbed && m.isAlive[i] {
				connected++
			}
		}
		if 2*connected > len(m.nodes) {
			m.violation = fmt.Sprintf("member %d declares member %d dead although most members hear it; witnesses %v", reporter, subject, report.Witnesses)
		}
	}
	if m.now-m.lastAbsent[reporter] < time.Second && m.isAlive[subject] {
		m.violation = fmt.Sprintf("member %d declares member %d, which is not crashed, dead soon after a pause", reporter, subject)
	}
}

// settle runs the fleet without faults and returns the violation, if any. In the end, the view of each running member
// must have as many members as are running, unless only one is.
func (m *model) settle() string {
	m.run(14*time.Second, fault{})
	live := 0
	for _, isAlive := range m.isAlive {
		if isAlive {
			live++
		}
	}
	for i, n := range m.nodes {
		if view, _ := n.View(); m.isAlive[i] && m.violation == "" && live > 1 && view.Size != live {
			m.violation = fmt.Sprintf("view of member %d has %d members in the end, want %d", i, view.Size, live)
		}
	}
	return m.violation
}

// stateHash returns a hash of the views, records and observations of all members, with silence in units of 100 ms.
func (m *model) stateHash() uint64 {
	h := fnv.New64a()
	write := func(values ...any) { _, _ = fmt.Fprintln(h, values...) } // writing to a hash never fails
	for i, n := range m.nodes {
		write(m.isAlive[i], n.views.current, n.views.hasMajority, n.self.record, m.now-n.health.suspectUntil > 0)
		for _, p := range n.members.sorted {
			write(p.state, p.ownObservation, p.record, p.notHeardBy, p.notHeardButAliveBy, p.heardBy, p.pingsSent, (m.now-p.silentSince)/(100*time.Millisecond))
		}
	}
	return h.Sum64()
}

// explorer runs all schedules of a model. It is safe for concurrent use.
type explorer struct {
	faults []fault

	mu        sync.Mutex
	states    map[uint64]bool // hashes of the states after each step but the first, and at the end of each schedule
	schedules int             // number of schedules completed
	violation string          // the first schedule that violates a property, with the violation; empty: none
}

// explore runs all schedules of the given number of steps, until one violates a property.
func explore(size, steps int, config Config) *explorer {
	e := &explorer{faults: faults(size), states: map[uint64]bool{}}
	start := newModel(size, config)
	slots := make(chan struct{}, 4)
	var wait sync.WaitGroup
	for _, f := range e.faults {
		slots <- struct{}{}
		wait.Go(func() {
			m := start.clone()
			m.run(modelStep, f)
			e.exploreFrom(m, f.name, steps-1)
			<-slots
		})
	}
	wait.Wait()
	return e
}

// exploreFrom runs all schedules that continue from m with the given number of steps.
func (e *explorer) exploreFrom(m *model, schedule string, steps int) {
	if steps == 0 {
		e.finish(m, schedule)
		return
	}
	for _, f := range e.faults {
		if e.hasViolation() {
			return
		}
		next := m.clone()
		next.run(modelStep, f)
		e.addState(next)
		e.exploreFrom(next, schedule+", "+f.name, steps-1)
	}
}

// hasViolation reports whether a schedule has violated a property.
func (e *explorer) hasViolation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violation != ""
}

// addState counts the state of m.
func (e *explorer) addState(m *model) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.states[m.stateHash()] = true
}

// finish runs a completed schedule on without faults and checks the result.
func (e *explorer) finish(m *model, schedule string) {
	violation := m.settle()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedules++
	e.states[m.stateHash()] = true
	if violation != "" && e.violation == "" {
		e.violation = schedule + ": " + violation
	}
}

func TestModel(t *testing.T) {
	steps := map[int]int{3: 2, 4: 2}
	if os.Getenv("MEMBERS_STEPS") == "3" {
		steps[3] = 3
	}
	for _, size := range []int{3, 4} {
		e := explore(size, steps[size], DefaultConfig())
		if e.violation != "" {
			t.Errorf("%d members: got violation %q, want none", size, e.violation)
		}
		t.Logf("%d members, %d steps: %d schedules, %d states", size, steps[size], e.schedules, len(e.states))
	}
}

// The model check must find a deliberate defect: with these settings a single member can have another one declared dead
// without delay.
func TestModelFindsDefect(t *testing.T) {
	config := DefaultConfig()
	config.Quorum = 1
	config.SuspicionTimeout = 0
	e := explore(3, 2, config)
	if e.violation == "" {
		t.Error("the model check found no violation, want one")
	}
	t.Log(e.violation)
}
