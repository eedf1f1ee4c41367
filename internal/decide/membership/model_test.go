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

// The model check plays all schedules of a few steps of 1.5 s, each with one trouble of every kind for every member and
// pair, on 3 and on 4 members that had found each other, and then lets them be. A state is all that the members hold at the
// end of a step. MEMBERS_STEPS=3 goes deeper than CI does.

const modelStep = 1500 * time.Millisecond

// draws is a random source that can be copied.
type draws struct{ n uint64 }

func (d *draws) IntN(n int) int {
	d.n = d.n*6364136223846793005 + 1442695040888963407
	return int((d.n >> 33) % uint64(n))
}

func (d *draws) Shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, d.IntN(i+1))
	}
}

// clone copies a member with all that it holds.
func (m *Node) clone() *Node {
	c := *m
	to := map[*peer]*peer{}
	c.members.byID = map[ID]*peer{}
	for id, p := range m.members.byID {
		q := *p
		to[p], c.members.byID[id] = &q, &q
	}
	all := func(in []*peer) (out []*peer) {
		for _, p := range in {
			out = append(out, to[p])
		}
		return out
	}
	c.members.sorted = all(m.members.sorted)
	c.self, c.topology.inView, c.monitor.peers, c.topology.rings = to[m.self], all(m.topology.inView), all(m.monitor.peers), nil
	for _, r := range m.topology.rings {
		c.topology.rings = append(c.topology.rings, all(r))
	}
	c.outbox.pending = map[ID]int{}
	for id, n := range m.outbox.pending {
		c.outbox.pending[id] = n
	}
	c.gossip.messages, c.gossip.pending = maps.Clone(m.gossip.messages), maps.Clone(m.gossip.pending)
	rng := *m.random.(*draws)
	c.random, c.actions = &rng, nil
	return &c
}

// model is a fleet in one state.
type model struct {
	cfg    Config
	now    time.Duration
	all    []*Node
	alive  []bool
	paused []time.Duration
	woke   []time.Duration
	unsure [][]time.Duration // [a][b]: when a datagram of a to b was last lost
	lives  uint32
	broken string
}

func newModel(n int, cfg Config) *model {
	w := &model{cfg: cfg, now: time.Hour, paused: make([]time.Duration, n), woke: make([]time.Duration, n), alive: make([]bool, n), lives: 1}
	for i := range n {
		w.alive[i] = true
		w.all = append(w.all, w.member(i))
		w.unsure = append(w.unsure, make([]time.Duration, n))
	}
	w.run(16*time.Second, trouble{}) // until enough beats were counted on each way to tell what is lost there
	return w
}

func (w *model) member(i int) *Node {
	var named []ID
	for id := range w.alive {
		named = append(named, ID(id+1))
	}
	return New(w.cfg, ID(i+1), w.lives, named, w.now, &draws{uint64(i) + uint64(w.lives)<<32})
}

func (w *model) clone() *model {
	c := *w
	c.all = nil
	for _, m := range w.all {
		c.all = append(c.all, m.clone())
	}
	c.alive, c.paused, c.woke = slices.Clone(w.alive), slices.Clone(w.paused), slices.Clone(w.woke)
	c.unsure = nil
	for _, row := range w.unsure {
		c.unsure = append(c.unsure, slices.Clone(row))
	}
	return &c
}

// trouble is what happens in one step.
type trouble struct {
	name                  string
	cut                   func(a, b int) bool // what a sends to b is lost
	slow                  func(a, b int) bool // or comes half a second later
	pause, restart, crash int                 // a member, from 1
}

func troubles(n int) (all []trouble) {
	all = append(all, trouble{name: "nothing"})
	add := func(name string, cut func(a, b int) bool) {
		all = append(all, trouble{name: name, cut: cut}, trouble{name: "slow: " + name, slow: cut})
	}
	for x := range n {
		all = append(all, trouble{name: fmt.Sprint("pause ", x), pause: x + 1}, trouble{name: fmt.Sprint("restart ", x), restart: x + 1}, trouble{name: fmt.Sprint("crash ", x), crash: x + 1})
		add(fmt.Sprint("to ", x), func(a, b int) bool { return b == x })
		add(fmt.Sprint("from ", x), func(a, b int) bool { return a == x })
		add(fmt.Sprint("round ", x), func(a, b int) bool { return a == x || b == x })
		for y := range n {
			if x != y {
				add(fmt.Sprint(x, " to ", y), func(a, b int) bool { return a == x && b == y })
			}
		}
	}
	for x := 1; x < n && n == 4; x++ {
		add(fmt.Sprint("0 and ", x, " from the rest"), func(a, b int) bool { return (a == 0 || a == x) != (b == 0 || b == x) })
	}
	return all
}

// run plays a trouble for a span. Datagrams take 10 ms, slow ones 500 ms.
func (w *model) run(span time.Duration, t trouble) {
	switch {
	case t.pause > 0 && w.alive[t.pause-1]:
		w.paused[t.pause-1] = w.now + span
	case t.restart > 0:
		w.lives++
		w.alive[t.restart-1], w.paused[t.restart-1] = true, 0
		w.all[t.restart-1] = w.member(t.restart - 1)
	case t.crash > 0:
		w.alive[t.crash-1] = false
	}
	type on struct {
		at       time.Duration
		to, from int
		b        []byte
	}
	var way []on
	handle := func(i int, e Event) {
		for _, a := range w.all[i].Handle(w.now, e) {
			switch a := a.(type) {
			case MemberReport:
				w.judge(i, a)
			case Send:
				to, at := int(a.To)-1, w.now+10*time.Millisecond
				switch {
				case t.cut != nil && t.cut(i, to):
					w.unsure[i][to] = w.now
					continue
				case t.slow != nil && t.slow(i, to):
					w.unsure[i][to] = w.now
					at += 490 * time.Millisecond
				}
				way = append(way, on{at, to, i, a.Payload})
			}
		}
	}
	for end := w.now + span; w.now < end; w.now += 10 * time.Millisecond {
		due := way
		way = nil
		for _, d := range due {
			switch {
			case d.at > w.now:
				way = append(way, d)
			case w.alive[d.to] && w.now >= w.paused[d.to]:
				handle(d.to, DatagramReceived{ID(d.from + 1), d.b})
			}
		}
		for i, m := range w.all {
			if !w.alive[i] || w.now < w.paused[i] {
				w.woke[i] = w.now
				continue
			}
			if w.now >= m.nextTickAt {
				handle(i, Tick{})
			}
		}
	}
}

// judge holds what a member says of another against what was done: whom more than half of the fleet has heard, both
// ways, for 5 s is not called dead, and one that has stood still calls nobody dead when it goes on.
func (w *model) judge(by int, said MemberReport) {
	of := int(said.Member) - 1
	if said.State != Dead || of == by || w.broken != "" {
		return
	}
	const lately = 5 * time.Second
	if w.alive[of] && w.now-w.woke[of] > lately {
		sound := 1
		for i := range w.all {
			if i != of && w.now-w.unsure[of][i] > lately && w.now-w.unsure[i][of] > lately && w.alive[i] {
				sound++
			}
		}
		if 2*sound > len(w.all) {
			w.broken = fmt.Sprintf("%d calls %d dead, whom most hear: %v", by, of, said.Witnesses)
		}
	}
	if w.now-w.woke[by] < time.Second && w.alive[of] {
		w.broken = fmt.Sprintf("%d has stood still and calls %d dead", by, of)
	}
}

// settle lets them be, and tells what is wrong in the end: all that live have the view of just these.
func (w *model) settle() string {
	w.run(14*time.Second, trouble{})
	live := 0
	for _, is := range w.alive {
		if is {
			live++
		}
	}
	for i, m := range w.all {
		if v, _ := m.View(); w.alive[i] && w.broken == "" && live > 1 && v.Size != live {
			w.broken = fmt.Sprintf("in the end %d has a view of %d, %d live", i, v.Size, live)
		}
	}
	return w.broken
}

// state is a sum of all that the members hold.
func (w *model) state() uint64 {
	h := fnv.New64a()
	for i, m := range w.all {
		fmt.Fprintln(h, w.alive[i], m.views.current, m.views.hasMajority, m.self.record, w.now-m.health.suspectUntil > 0)
		for _, p := range m.members.sorted {
			fmt.Fprintln(h, p.state, p.ownObservation, p.record, p.notHeardBy, p.notHeardButAliveBy, p.heardBy, p.pingsSent, (w.now-p.silentSince)/(100*time.Millisecond))
		}
	}
	return h.Sum64()
}

// explore plays all schedules of so many steps. It returns the first that breaks something.
func explore(n, steps int, cfg Config) (states, schedules int, found string) {
	all := troubles(n)
	start := newModel(n, cfg)
	var mu sync.Mutex
	seen := map[uint64]bool{}
	var walk func(w *model, path string, left int)
	walk = func(w *model, path string, left int) {
		if left == 0 {
			broken := w.settle()
			mu.Lock()
			defer mu.Unlock()
			schedules++
			seen[w.state()] = true
			if broken != "" && found == "" {
				found = path + ": " + broken
			}
			return
		}
		for _, t := range all {
			mu.Lock()
			over := found != ""
			mu.Unlock()
			if over {
				return
			}
			c := w.clone()
			c.run(modelStep, t)
			mu.Lock()
			seen[c.state()] = true
			mu.Unlock()
			walk(c, path+", "+t.name, left-1)
		}
	}
	room := make(chan struct{}, 4)
	var wg sync.WaitGroup
	for _, t := range all {
		room <- struct{}{}
		wg.Go(func() {
			c := start.clone()
			c.run(modelStep, t)
			walk(c, t.name, steps-1)
			<-room
		})
	}
	wg.Wait()
	return len(seen), schedules, found
}

func TestModel(t *testing.T) {
	steps := map[int]int{3: 2, 4: 2}
	if os.Getenv("MEMBERS_STEPS") == "3" {
		steps[3] = 3
	}
	for _, n := range []int{3, 4} {
		states, schedules, found := explore(n, steps[n], DefaultConfig())
		if found != "" {
			t.Errorf("%d members: %s", n, found)
		}
		t.Logf("%d members, %d steps: %d schedules, %d states", n, steps[n], schedules, states)
	}
}

// The check finds a defect that is put in on purpose: one that does not hear another has it called dead at once.
func TestModelFindsDefect(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Quorum, cfg.SuspicionTimeout = 1, 0
	if _, _, found := explore(3, 2, cfg); found == "" {
		t.Error("nothing found")
	} else {
		t.Log(found)
	}
}
