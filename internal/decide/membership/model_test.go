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

// The model check plays all schedules of a few steps of 1.5 s, each with one fault of every kind for every member and
// pair, on 3 and on 4 members that had found each other, and then plays on without faults. A state is all that the
// members hold at the end of a step. MEMBERS_STEPS=3 goes deeper than CI does.

const (
	modelStep  = 1500 * time.Millisecond
	modelTick  = 10 * time.Millisecond
	modelDelay = 10 * time.Millisecond // of a datagram
	slowDelay  = 500 * time.Millisecond
)

// copyableRandom is a random source that can be copied.
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

// clone copies a member with all that it holds.
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
	isAlive       []bool
	pausedUntil   []time.Duration
	lastAbsent    []time.Duration   // the last time that a member was paused or crashed
	lastDisturbed [][]time.Duration // [a][b]: when a datagram from a to b was last lost or slow
	incarnation   uint32
	inTransit     []modelDatagram
	broken        string // the first thing that went wrong
}

type modelDatagram struct {
	arrivesAt time.Duration
	to, from  int
	payload   []byte
}

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
	m.run(16*time.Second, fault{}) // until the loss of each path is measured
	return m
}

func (m *model) newNode(i int) *Node {
	var configured []ID
	for other := range m.isAlive {
		configured = append(configured, ID(other+1))
	}
	return New(m.config, ID(i+1), m.incarnation, configured, m.now, &copyableRandom{uint64(i) + uint64(m.incarnation)<<32})
}

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

// pathFilter selects paths by their sender and receiver.
type pathFilter func(from, to int) bool

// fault is what happens in one step. Members count from 1; 0 is none.
type fault struct {
	name                  string
	loses, slows          pathFilter
	pause, restart, crash int
}

func faults(size int) []fault {
	all := []fault{{name: "nothing"}}
	addPaths := func(name string, paths pathFilter) {
		all = append(all, fault{name: name, loses: paths}, fault{name: "slow: " + name, slows: paths})
	}
	for x := range size {
		all = append(all,
			fault{name: fmt.Sprint("pause ", x), pause: x + 1},
			fault{name: fmt.Sprint("restart ", x), restart: x + 1},
			fault{name: fmt.Sprint("crash ", x), crash: x + 1})
		addPaths(fmt.Sprint("to ", x), func(_, to int) bool { return to == x })
		addPaths(fmt.Sprint("from ", x), func(from, _ int) bool { return from == x })
		addPaths(fmt.Sprint("round ", x), func(from, to int) bool { return from == x || to == x })
		for y := range size {
			if x != y {
				addPaths(fmt.Sprint(x, " to ", y), func(from, to int) bool { return from == x && to == y })
			}
		}
	}
	for x := 1; x < size && size == 4; x++ {
		isFirstHalf := func(i int) bool { return i == 0 || i == x }
		addPaths(fmt.Sprint("0 and ", x, " from the rest"), func(from, to int) bool { return isFirstHalf(from) != isFirstHalf(to) })
	}
	return all
}

// run plays a fault for a span. Datagrams that have not arrived at its end are lost.
func (m *model) run(span time.Duration, f fault) {
	m.begin(span, f)
	m.inTransit = nil
	for end := m.now + span; m.now < end; m.now += modelTick {
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

// begin does what a fault does at its beginning.
func (m *model) begin(span time.Duration, f fault) {
	switch {
	case f.pause > 0 && m.isAlive[f.pause-1]:
		m.pausedUntil[f.pause-1] = m.now + span
	case f.restart > 0:
		m.incarnation++
		m.isAlive[f.restart-1] = true
		m.pausedUntil[f.restart-1] = 0
		m.nodes[f.restart-1] = m.newNode(f.restart - 1)
	case f.crash > 0:
		m.isAlive[f.crash-1] = false
	}
}

func (m *model) isRunning(i int) bool { return m.isAlive[i] && m.now >= m.pausedUntil[i] }

// deliver hands over the datagrams that are due; members that don't run lose them.
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

// checkReport holds what a member reports of another against what was done: one that more than half of the fleet has
// heard, both ways, for 5 s is not called dead, and one that was paused calls nobody dead when it goes on.
func (m *model) checkReport(by int, report MemberReport) {
	of := int(report.Member) - 1
	if report.State != Dead || of == by || m.broken != "" {
		return
	}
	const recently = 5 * time.Second
	if m.isAlive[of] && m.now-m.lastAbsent[of] > recently {
		connected := 1
		for i := range m.nodes {
			isUndisturbed := m.now-m.lastDisturbed[of][i] > recently && m.now-m.lastDisturbed[i][of] > recently
			if i != of && isUndisturbed && m.isAlive[i] {
				connected++
			}
		}
		if 2*connected > len(m.nodes) {
			m.broken = fmt.Sprintf("%d calls %d dead, whom most hear: %v", by, of, report.Witnesses)
		}
	}
	if m.now-m.lastAbsent[by] < time.Second && m.isAlive[of] {
		m.broken = fmt.Sprintf("%d was paused and calls %d dead", by, of)
	}
}

// settle plays on without faults, and tells what is wrong in the end: all living members have the view of just these.
func (m *model) settle() string {
	m.run(14*time.Second, fault{})
	live := 0
	for _, isAlive := range m.isAlive {
		if isAlive {
			live++
		}
	}
	for i, n := range m.nodes {
		if view, _ := n.View(); m.isAlive[i] && m.broken == "" && live > 1 && view.Size != live {
			m.broken = fmt.Sprintf("in the end %d has a view of %d, %d live", i, view.Size, live)
		}
	}
	return m.broken
}

// stateHash is the hash of all that the members hold.
func (m *model) stateHash() uint64 {
	h := fnv.New64a()
	write := func(values ...any) { _, _ = fmt.Fprintln(h, values...) } // a hash never fails
	for i, n := range m.nodes {
		write(m.isAlive[i], n.views.current, n.views.hasMajority, n.self.record, m.now-n.health.suspectUntil > 0)
		for _, p := range n.members.sorted {
			write(p.state, p.ownObservation, p.record, p.notHeardBy, p.notHeardButAliveBy, p.heardBy, p.pingsSent, (m.now-p.silentSince)/(100*time.Millisecond))
		}
	}
	return h.Sum64()
}

// explorer visits all schedules of a model. It is safe for concurrent use.
type explorer struct {
	faults []fault

	mu        sync.Mutex
	seen      map[uint64]bool
	schedules int
	found     string // the first schedule that breaks something
}

// explore plays all schedules of so many steps.
func explore(size, steps int, config Config) *explorer {
	e := &explorer{faults: faults(size), seen: map[uint64]bool{}}
	start := newModel(size, config)
	slots := make(chan struct{}, 4)
	var wait sync.WaitGroup
	for _, f := range e.faults {
		slots <- struct{}{}
		wait.Go(func() {
			m := start.clone()
			m.run(modelStep, f)
			e.walk(m, f.name, steps-1)
			<-slots
		})
	}
	wait.Wait()
	return e
}

func (e *explorer) walk(m *model, path string, steps int) {
	if steps == 0 {
		e.finish(m, path)
		return
	}
	for _, f := range e.faults {
		if e.hasFound() {
			return
		}
		next := m.clone()
		next.run(modelStep, f)
		e.see(next)
		e.walk(next, path+", "+f.name, steps-1)
	}
}

func (e *explorer) hasFound() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.found != ""
}

func (e *explorer) see(m *model) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[m.stateHash()] = true
}

// finish plays on without faults.
func (e *explorer) finish(m *model, path string) {
	broken := m.settle()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedules++
	e.seen[m.stateHash()] = true
	if broken != "" && e.found == "" {
		e.found = path + ": " + broken
	}
}

func TestModel(t *testing.T) {
	steps := map[int]int{3: 2, 4: 2}
	if os.Getenv("MEMBERS_STEPS") == "3" {
		steps[3] = 3
	}
	for _, size := range []int{3, 4} {
		e := explore(size, steps[size], DefaultConfig())
		if e.found != "" {
			t.Errorf("%d members: %s", size, e.found)
		}
		t.Logf("%d members, %d steps: %d schedules, %d states", size, steps[size], e.schedules, len(e.seen))
	}
}

// The check finds a defect that is put in on purpose: a member that does not hear another has it called dead at once.
func TestModelFindsDefect(t *testing.T) {
	config := DefaultConfig()
	config.Quorum = 1
	config.SuspicionTimeout = 0
	e := explore(3, 2, config)
	if e.found == "" {
		t.Error("nothing found")
	}
	t.Log(e.found)
}
