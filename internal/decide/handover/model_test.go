package handover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// world is two processes, the channel between them, clients and engines, as small as shows
// every interleaving: each client has one connection and one request.
type world struct {
	old                                      Source
	new                                      Target
	oldAlive                                 bool
	newAlive                                 bool // started and not dead
	spawned                                  bool
	toNew                                    []any
	toOld                                    []any
	conns                                    [2]client
	window                                   bool // the windows of all keys are over
	crashes                                  int
	upgrades                                 int
	oldListens, newListens, oldOpen, newOpen bool
	warming, started                         bool
}

// client is one connection and what is true of its request.
type client struct {
	effect  Idempotency
	oldHas  bool
	newHas  bool
	asked   bool // its request is in the socket, or further
	at      byte // 'o': the old process has it, 'n': the new one, 0: nobody yet
	stage   byte // 1 taken, 2 recorded as sent, 3 at an engine, 4 answer recorded; of the new process
	runs    int
	lateRun bool // it ran again past its window
	answers int
	broken  bool
	written bool
}

const limit = time.Second

// all times are one unit: a step happens at 0, what lets time pass at 1.
func modelConfig() Config {
	return Config{GreetTimeout: limit, WarmTimeout: limit, MinProbation: limit, MaxProbation: limit, HeartbeatTimeout: limit, MinGoodAnswers: 1, MaxBadShare: 0.5}
}

func newWorld() world {
	w := world{old: *NewSource(modelConfig(), Version{1, 0}), new: *NewTarget(Version{1, 1}), oldAlive: true, oldListens: true, oldOpen: true}
	for i := range w.conns {
		w.conns[i] = client{effect: []Idempotency{NotIdempotent, IdempotentWithKey}[i], oldHas: true}
		w.old.Step(0, ConnectionAccepted{ConnID(i)})
	}
	return w
}

func (w world) clone() world {
	w.old.conns = slices.Clone(w.old.conns)
	w.toNew, w.toOld = slices.Clone(w.toNew), slices.Clone(w.toOld)
	return w
}

func (w *world) key() string {
	w.old.since, w.old.heard, w.old.why = 0, 0, ""
	return fmt.Sprintf("%+v", *w)
}

// faults are guards that a seeded mistake takes away.
type faults struct {
	backEarly  bool // taken back before the new process is known to be dead
	unread     bool // taken back before all that it wrote was read
	noRecord   bool // the new process sends first and records then
	blindRetry bool // what may have run is sent again whatever its class
}

type step struct {
	name string
	next world
}

func (w *world) oldStep(f faults, now time.Duration, in any) {
	for _, e := range w.old.Step(now, in) {
		switch e := e.(type) {
		case StartTarget:
			w.spawned, w.newAlive, w.newOpen = true, true, true
			w.new, w.toNew, w.toOld, w.started, w.warming = *NewTarget(Version{1, 1}), nil, nil, false, false
		case SendState:
			w.toNew = append(w.toNew, StateReceived{})
		case SendServe:
			w.toNew = append(w.toNew, ServeRequested{})
		case SendCommit:
			w.toNew = append(w.toNew, OwnershipCommitted{})
		case TransferConnection:
			w.conns[e.Conn].oldHas = false
			w.toNew = append(w.toNew, ConnectionReceived(e))
		case StopAccepting:
			w.oldListens = false
		case StartAccepting:
			w.oldListens = true
		case KillTarget:
			if f.backEarly {
				w.oldStep(f, now, TargetExited{})
			}
			w.killNew()
		case ReclaimConnection:
			w.takeBack(f, e)
		case Exit, BeginShutdown:
			w.oldAlive, w.oldListens, w.oldOpen = false, false, false
		}
	}
}

func (w *world) killNew() {
	if w.newAlive {
		w.newAlive, w.newListens, w.newOpen = false, false, false
	}
}

func (w *world) takeBack(f faults, e ReclaimConnection) {
	c := &w.conns[e.Conn]
	c.oldHas = true
	if c.at != 'n' {
		return // its request, if there is one, is still in the socket
	}
	now := time.Duration(0)
	if w.window {
		now = 10 * limit
	}
	written := 0
	if c.written {
		written = 1
	}
	how := Recover(e.Request, written, now)
	if f.blindRetry && how == ReportInDoubt {
		how = Resend
	}
	switch how {
	case NothingToRecover:
		if !e.Request.InFlight { // never recorded: the old process reads it anew, if it is still there
			if c.stage <= 1 {
				c.at, c.stage = 0, 0
			}
			return
		}
		c.at = 'd'
	case CloseConnection:
		c.broken, c.at = true, 'd'
	case ReportInDoubt, ReportDeadlineExceeded:
		c.answers++
		c.at = 'd'
	case WriteRemainder:
		c.answers++
		c.at = 'd'
	case Resend:
		w.run(c)
		c.answers++
		c.at = 'd'
	}
	if w.old.find(e.Conn) != nil {
		w.old.Step(0, ConnectionIdle{e.Conn})
	}
}

func (w *world) run(c *client) {
	if c.runs > 0 && w.window {
		c.lateRun = true
	}
	c.runs++
}

func (w *world) newStep(in any) {
	for _, e := range w.new.Step(0, in) {
		switch e := e.(type) {
		case SendHello:
			w.toOld = append(w.toOld, TargetHello(e))
		case SendReady:
			w.toOld = append(w.toOld, TargetReady{})
		case ApplyState:
			w.warming = true
		case StartAccepting:
			w.newListens = true
		case AdoptConnection:
			w.conns[e.Conn].newHas = true
		case Exit:
			w.killNew()
		}
	}
}

// record is what the new process tells of a request, in stages: before each next thing.
func (w *world) record(i int, stage byte) {
	if w.new.Owner() {
		return
	}
	r := Request{InFlight: true, Idempotency: w.conns[i].effect, KeyWindow: 5 * limit, Deadline: 100 * limit, Sent: stage >= 2}
	if stage >= 4 {
		r.ResponseLength, r.ResponseRecorded = 1, true
	}
	w.toOld = append(w.toOld, RequestRecorded{ConnID(i), r})
}

// steps are all that can happen next. Faults come last, and only so many.
func (w world) steps(f faults) (all []step) {
	do := func(name string, change func(*world)) {
		n := w.clone()
		change(&n)
		all = append(all, step{name, n})
	}
	if w.oldAlive && w.upgrades < 1 && w.old.phase == Idle {
		do("upgrade", func(n *world) { n.upgrades++; n.oldStep(f, 0, UpgradeRequested{}) })
	}
	if w.newAlive && !w.started {
		do("new starts", func(n *world) { n.started = true; n.newStep(TargetStarted{}) })
		do("new can't serve", func(n *world) { n.started = true; n.newStep(TargetStarted{"port"}) })
	}
	if w.newAlive && w.warming {
		do("new is warm", func(n *world) { n.warming = false; n.newStep(StateApplied{}) })
	}
	if w.newAlive && w.started && len(w.toNew) > 0 {
		do("to new", func(n *world) { m := n.toNew[0]; n.toNew = n.toNew[1:]; n.newStep(m) })
	}
	if w.newAlive && w.started && !w.oldAlive && len(w.toNew) == 0 && !w.new.orphan {
		do("new sees the end", func(n *world) { n.newStep(SourceExited{}) })
	}
	if w.oldAlive && len(w.toOld) > 0 {
		do("to old", func(n *world) { m := n.toOld[0]; n.toOld = n.toOld[1:]; n.oldStep(f, 0, m) })
	}
	if w.oldAlive && w.spawned && !w.newAlive && (len(w.toOld) == 0 || f.unread) {
		do("new is reaped", func(n *world) { n.spawned = false; n.toOld = nil; n.oldStep(f, 0, TargetExited{}) })
	}
	if w.oldAlive && w.old.unproven() {
		do("time passes", func(n *world) { n.oldStep(f, limit, Tick{}) })
	}
	if w.oldAlive && w.newAlive && w.old.phase == Probation && w.new.Serving() {
		do("proof", func(n *world) { n.oldStep(f, limit, TargetHeartbeat{Good: 1}) })
	}
	if !w.window {
		do("windows end", func(n *world) { n.window = true })
	}
	for i := range w.conns {
		w.client(i, f, do)
	}
	if w.crashes < 2 {
		if w.newAlive {
			do("new crashes", func(n *world) { n.crashes++; n.killNew() })
		}
		if w.oldAlive {
			do("old crashes", func(n *world) { n.crashes++; n.oldAlive, n.oldListens, n.oldOpen = false, false, false })
		}
	}
	return all
}

func (w world) client(i int, f faults, do func(string, func(*world))) {
	c := w.conns[i]
	name := func(s string) string { return fmt.Sprintf("%s %d", s, i) }
	if !c.asked {
		do(name("client asks"), func(n *world) { n.conns[i].asked = true })
	}
	if c.asked && c.at == 0 && c.oldHas && w.oldAlive {
		do(name("old takes"), func(n *world) { n.conns[i].at = 'o'; n.oldStep(f, 0, ConnectionBusy{ConnID(i)}) })
	}
	if c.at == 'o' && w.oldAlive {
		do(name("old answers"), func(n *world) {
			k := &n.conns[i]
			n.run(k)
			k.answers++
			k.at = 'd'
			n.oldStep(f, 0, ConnectionIdle{ConnID(i)})
		})
	}
	if !c.newHas || !w.newAlive {
		return
	}
	switch {
	case c.asked && c.at == 0:
		do(name("new takes"), func(n *world) { n.conns[i].at, n.conns[i].stage = 'n', 1; n.record(i, 1) })
	case c.at == 'n' && c.stage == 1 && f.noRecord:
		do(name("new sends"), func(n *world) { n.conns[i].stage = 3; n.run(&n.conns[i]) })
	case c.at == 'n' && c.stage == 1:
		do(name("new records the send"), func(n *world) { n.conns[i].stage = 2; n.record(i, 2) })
	case c.at == 'n' && c.stage == 2:
		do(name("new sends"), func(n *world) { n.conns[i].stage = 3; n.run(&n.conns[i]) })
	case c.at == 'n' && c.stage == 3:
		do(name("new records the answer"), func(n *world) { n.conns[i].stage = 4; n.record(i, 4) })
	case c.at == 'n' && c.stage == 4:
		do(name("new answers"), func(n *world) {
			n.conns[i].written = true
			n.conns[i].answers++
			n.conns[i].at = 'd'
		})
	}
}

// broken is the invariant that a state breaks, or "".
func (w *world) broken() string {
	for i, c := range w.conns {
		switch {
		case c.oldHas && c.newHas && w.oldAlive && w.newAlive:
			return fmt.Sprintf("connection %d has two owners", i)
		case c.answers > 1:
			return fmt.Sprintf("request %d has two answers", i)
		case c.effect == NotIdempotent && c.runs > 1:
			return fmt.Sprintf("request %d, which may run once, ran twice", i)
		case c.lateRun:
			return fmt.Sprintf("request %d ran again past its window", i)
		}
	}
	if (w.oldAlive || w.newAlive) && !w.oldOpen && !w.newOpen {
		return "the listener is closed"
	}
	return ""
}

// stuck is what never comes to an end in a state from which only faults lead on.
func (w *world) stuck() string {
	if !w.oldAlive && !w.newAlive {
		return "" // nobody is left to answer
	}
	if !(w.oldAlive && w.oldListens) && !(w.newAlive && w.newListens) {
		return "nobody accepts"
	}
	for i, c := range w.conns {
		lost := !(c.oldHas && w.oldAlive) && !(c.newHas && w.newAlive) // its process died, and the kernel has closed it
		if c.asked && c.answers == 0 && !c.broken && !lost {
			return fmt.Sprintf("request %d is never answered", i)
		}
	}
	return ""
}

// explore visits every state that can be reached, breadth first.
func explore(f faults, most int) (states, depth int, fault string, trace []string) {
	type node struct {
		parent int
		name   string
		depth  int
	}
	start := newWorld()
	seen := map[string]bool{start.key(): true}
	nodes := []node{{parent: -1}}
	queue := []world{start}
	path := func(i int) (names []string) {
		for ; i > 0; i = nodes[i].parent {
			names = append([]string{nodes[i].name}, names...)
		}
		return names
	}
	for at := 0; at < len(queue) && at < most; at++ {
		w := queue[at]
		queue[at] = world{}
		depth = max(depth, nodes[at].depth)
		if why := w.broken(); why != "" {
			return len(seen), depth, why, path(at)
		}
		next := w.steps(f)
		if !slices.ContainsFunc(next, func(s step) bool { return s.name != "new crashes" && s.name != "old crashes" }) {
			if why := w.stuck(); why != "" {
				return len(seen), depth, why, path(at)
			}
		}
		for _, s := range next {
			if k := s.next.key(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{at, s.name, nodes[at].depth + 1})
				queue = append(queue, s.next)
			}
		}
	}
	return len(seen), depth, "", nil
}

// Over all interleavings of an upgrade with two requests and up to two crashes anywhere:
// one owner, one final answer, nothing past its class's rules, a listener that is never
// closed, and an end to everything.
func TestModel(t *testing.T) {
	states, depth, fault, trace := explore(faults{}, 3e6)
	t.Logf("%d states, depth %d", states, depth)
	if fault != "" {
		t.Fatalf("%s after %d states:\n%q", fault, states, trace)
	}
	if states < 10000 {
		t.Errorf("only %d states were reached", states)
	}
}

// Each guard is needed: without it the check finds a state that breaks a rule.
func TestModelFindsSeededFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"taken back early": {backEarly: true}, "taken back unread": {unread: true},
		"sent unrecorded": {noRecord: true}, "sent again blindly": {blindRetry: true},
	} {
		states, _, fault, trace := explore(f, 3e6)
		if fault == "" {
			t.Errorf("%s: nothing found in %d states", name, states)
			continue
		}
		t.Logf("%s: %s after %d steps", name, fault, len(trace))
	}
}
