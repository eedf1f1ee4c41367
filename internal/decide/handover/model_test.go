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
	source                                               Source
	target                                               Target
	sourceAlive                                          bool
	targetAlive                                          bool // started and not dead
	spawned                                              bool
	toTarget                                             []TargetEvent
	toSource                                             []SourceEvent
	conns                                                [2]client
	window                                               bool // the windows of all keys are over
	crashes                                              int
	upgrades                                             int
	sourceListens, targetListens, sourceOpen, targetOpen bool
	warming, started                                     bool
}

// client is one connection and what is true of its request.
type client struct {
	effect    Idempotency
	sourceHas bool
	targetHas bool
	asked     bool // its request is in the socket, or further
	at        byte // 'o': the source has it, 'n': the target, 'd': done, 0: nobody yet
	stage     byte // 1 taken, 2 recorded as sent, 3 at an engine, 4 answer recorded; of the target
	runs      int
	lateRun   bool // it ran again past its window
	answers   int
	broken    bool
	written   bool
}

const limit = time.Second

// all times are one unit: a step happens at 0, what lets time pass at 1.
func modelConfig() Config {
	return Config{GreetTimeout: limit, WarmTimeout: limit, MinProbation: limit, MaxProbation: limit, HeartbeatTimeout: limit, MinSuccesses: 1, MaxFailureRate: 0.5}
}

func initialWorld() world {
	w := world{source: *NewSource(modelConfig(), Version{1, 0}), target: *NewTarget(Version{1, 1}), sourceAlive: true, sourceListens: true, sourceOpen: true}
	for i := range w.conns {
		w.conns[i] = client{effect: []Idempotency{NotIdempotent, IdempotentWithKey}[i], sourceHas: true}
		w.source.Step(0, ConnectionAccepted{ConnID(i)})
	}
	return w
}

func (w world) clone() world {
	w.source.connections.entries = slices.Clone(w.source.connections.entries)
	w.toTarget, w.toSource = slices.Clone(w.toTarget), slices.Clone(w.toSource)
	return w
}

func (w *world) key() string {
	w.source.phaseSince = 0
	w.source.probation.lastMessage = 0
	w.source.failure = Failure{}
	return fmt.Sprintf("%+v", *w)
}

// faults are guards that a seeded mistake takes away.
type faults struct {
	reclaimEarly bool // reclaimed before the target is known to be dead
	unread       bool // reclaimed before all that it wrote was read
	noRecord     bool // the target sends first and records then
	blindRetry   bool // what may have run is sent again whatever its class
}

type step struct {
	name string
	next world
}

func (w *world) sourceStep(f faults, now time.Duration, event SourceEvent) {
	for _, e := range w.source.Step(now, event) {
		switch e := e.(type) {
		case StartTarget:
			w.spawned, w.targetAlive, w.targetOpen = true, true, true
			w.target, w.toTarget, w.toSource, w.started, w.warming = *NewTarget(Version{1, 1}), nil, nil, false, false
		case SendState:
			w.toTarget = append(w.toTarget, StateReceived{})
		case SendServe:
			w.toTarget = append(w.toTarget, ServeRequested{})
		case SendCommit:
			w.toTarget = append(w.toTarget, OwnershipCommitted{})
		case TransferConnection:
			w.conns[e.Conn].sourceHas = false
			w.toTarget = append(w.toTarget, ConnectionReceived(e))
		case StopAccepting:
			w.sourceListens = false
		case StartAccepting:
			w.sourceListens = true
		case KillTarget:
			if f.reclaimEarly {
				w.sourceStep(f, now, TargetExited{})
			}
			w.killTarget()
		case ReclaimConnection:
			w.reclaim(f, e)
		case Exit, BeginShutdown:
			w.sourceAlive, w.sourceListens, w.sourceOpen = false, false, false
		}
	}
}

func (w *world) killTarget() {
	if w.targetAlive {
		w.targetAlive, w.targetListens, w.targetOpen = false, false, false
	}
}

func (w *world) reclaim(f faults, e ReclaimConnection) {
	c := &w.conns[e.Conn]
	c.sourceHas = true
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
		if !e.Request.InFlight { // never recorded: the source reads it anew, if it is still there
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
	if w.source.connections.find(e.Conn) != nil {
		w.source.Step(0, ConnectionIdle{e.Conn})
	}
}

func (w *world) run(c *client) {
	if c.runs > 0 && w.window {
		c.lateRun = true
	}
	c.runs++
}

func (w *world) targetStep(event TargetEvent) {
	for _, e := range w.target.Step(event) {
		switch e := e.(type) {
		case SendHello:
			w.toSource = append(w.toSource, TargetHello(e))
		case SendReady:
			w.toSource = append(w.toSource, TargetReady{})
		case ApplyState:
			w.warming = true
		case StartAccepting:
			w.targetListens = true
		case AdoptConnection:
			w.conns[e.Conn].targetHas = true
		case Exit:
			w.killTarget()
		}
	}
}

// record sends the record of a request at a stage, before the next step.
func (w *world) record(i int, stage byte) {
	if w.target.Owner() {
		return
	}
	r := Request{InFlight: true, Idempotency: w.conns[i].effect, KeyWindow: 5 * limit, Deadline: 100 * limit, Sent: stage >= 2}
	if stage >= 4 {
		r.ResponseLength, r.ResponseRecorded = 1, true
	}
	w.toSource = append(w.toSource, RequestRecorded{ConnID(i), r})
}

// steps are all that can happen next. Faults come last, and only so many.
func (w world) steps(f faults) (all []step) {
	do := func(name string, change func(*world)) {
		n := w.clone()
		change(&n)
		all = append(all, step{name, n})
	}
	if w.sourceAlive && w.upgrades < 1 && w.source.phase == Idle {
		do("upgrade", func(n *world) { n.upgrades++; n.sourceStep(f, 0, UpgradeRequested{}) })
	}
	if w.targetAlive && !w.started {
		do("target starts", func(n *world) { n.started = true; n.targetStep(TargetStarted{}) })
		do("target can't serve", func(n *world) { n.started = true; n.targetStep(TargetStarted{"port"}) })
	}
	if w.targetAlive && w.warming {
		do("target has applied the state", func(n *world) { n.warming = false; n.targetStep(StateApplied{}) })
	}
	if w.targetAlive && w.started && len(w.toTarget) > 0 {
		do("to target", func(n *world) { m := n.toTarget[0]; n.toTarget = n.toTarget[1:]; n.targetStep(m) })
	}
	if w.targetAlive && w.started && !w.sourceAlive && len(w.toTarget) == 0 && !w.target.sourceExited {
		do("target sees the end", func(n *world) { n.targetStep(SourceExited{}) })
	}
	if w.sourceAlive && len(w.toSource) > 0 {
		do("to source", func(n *world) { m := n.toSource[0]; n.toSource = n.toSource[1:]; n.sourceStep(f, 0, m) })
	}
	if w.sourceAlive && w.spawned && !w.targetAlive && (len(w.toSource) == 0 || f.unread) {
		do("target is reaped", func(n *world) { n.spawned = false; n.toSource = nil; n.sourceStep(f, 0, TargetExited{}) })
	}
	if w.sourceAlive && w.source.revocable() {
		do("time passes", func(n *world) { n.sourceStep(f, limit, Tick{}) })
	}
	if w.sourceAlive && w.targetAlive && w.source.phase == Probation && w.target.Serving() {
		do("proof", func(n *world) { n.sourceStep(f, limit, TargetHeartbeat{Successes: 1}) })
	}
	if !w.window {
		do("windows end", func(n *world) { n.window = true })
	}
	for i := range w.conns {
		w.client(i, f, do)
	}
	if w.crashes < 2 {
		if w.targetAlive {
			do("target crashes", func(n *world) { n.crashes++; n.killTarget() })
		}
		if w.sourceAlive {
			do("source crashes", func(n *world) { n.crashes++; n.sourceAlive, n.sourceListens, n.sourceOpen = false, false, false })
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
	if c.asked && c.at == 0 && c.sourceHas && w.sourceAlive {
		do(name("source takes"), func(n *world) { n.conns[i].at = 'o'; n.sourceStep(f, 0, ConnectionBusy{ConnID(i)}) })
	}
	if c.at == 'o' && w.sourceAlive {
		do(name("source answers"), func(n *world) {
			k := &n.conns[i]
			n.run(k)
			k.answers++
			k.at = 'd'
			n.sourceStep(f, 0, ConnectionIdle{ConnID(i)})
		})
	}
	if !c.targetHas || !w.targetAlive {
		return
	}
	switch {
	case c.asked && c.at == 0:
		do(name("target takes"), func(n *world) { n.conns[i].at, n.conns[i].stage = 'n', 1; n.record(i, 1) })
	case c.at == 'n' && c.stage == 1 && f.noRecord:
		do(name("target sends"), func(n *world) { n.conns[i].stage = 3; n.run(&n.conns[i]) })
	case c.at == 'n' && c.stage == 1:
		do(name("target records the send"), func(n *world) { n.conns[i].stage = 2; n.record(i, 2) })
	case c.at == 'n' && c.stage == 2:
		do(name("target sends"), func(n *world) { n.conns[i].stage = 3; n.run(&n.conns[i]) })
	case c.at == 'n' && c.stage == 3:
		do(name("target records the answer"), func(n *world) { n.conns[i].stage = 4; n.record(i, 4) })
	case c.at == 'n' && c.stage == 4:
		do(name("target answers"), func(n *world) {
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
		case c.sourceHas && c.targetHas && w.sourceAlive && w.targetAlive:
			return fmt.Sprintf("connection %d has two owners", i)
		case c.answers > 1:
			return fmt.Sprintf("request %d has two answers", i)
		case c.effect == NotIdempotent && c.runs > 1:
			return fmt.Sprintf("request %d, which may run once, ran twice", i)
		case c.lateRun:
			return fmt.Sprintf("request %d ran again past its window", i)
		}
	}
	if (w.sourceAlive || w.targetAlive) && !w.sourceOpen && !w.targetOpen {
		return "the listener is closed"
	}
	return ""
}

// stuck is what never comes to an end in a state from which only faults lead on.
func (w *world) stuck() string {
	if !w.sourceAlive && !w.targetAlive {
		return "" // nobody is left to answer
	}
	sourceAccepts := w.sourceAlive && w.sourceListens
	targetAccepts := w.targetAlive && w.targetListens
	if !sourceAccepts && !targetAccepts {
		return "nobody accepts"
	}
	for i, c := range w.conns {
		atSource := c.sourceHas && w.sourceAlive
		atTarget := c.targetHas && w.targetAlive
		lost := !atSource && !atTarget // its process died, and the kernel has closed it
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
	start := initialWorld()
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
		if !slices.ContainsFunc(next, func(s step) bool { return s.name != "target crashes" && s.name != "source crashes" }) {
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
		"reclaimed early": {reclaimEarly: true}, "reclaimed unread": {unread: true},
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
