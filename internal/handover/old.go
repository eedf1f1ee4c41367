package handover

import (
	"log/slog"
	"maps"
	"os"
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"

	"golang.org/x/sys/unix"
)

const (
	poll = 2 * time.Millisecond // how often what is busy here is looked at
	// perPoll bounds the connections that are given in that time. Guards against a pause: what
	// is given is taken in turn with requests, and those of thousands would wait behind.
	perPoll = 32
	// perTurn bounds the connections that are taken back in one turn of the loop.
	perTurn = 128
	// memoryEvery is how often the new process's memory is looked at.
	memoryEvery = 200 * time.Millisecond
	// endedGrace is how long a process may live on after its end of the channel has closed.
	endedGrace = 200 * time.Millisecond
	// pruneOver is how much of a connection's output is kept before what has been written of
	// it is dropped.
	pruneOver = 64 << 10
)

// SourceOptions say how to upgrade.
type SourceOptions struct {
	Program       Program
	Config        decide.Config
	State         func() *ProcessState // what this process knows, but for the clock
	Counters      func() map[string]int64
	BeginShutdown func() // begins the planned stop
	OnHandedOver  func() // the new process is the owner; nil: nobody hears
	OnReturned    func() // it has died since, and this process serves again; nil: nobody hears
	Exit          func() // ends this process: nothing is left here
}

// Source gives this process's work to a new one, and takes it back.
type Source struct {
	loop  *netio.Loop
	core  *core.Core
	front Frontend
	opts  SourceOptions
	stats *metrics.Counters
	log   *slog.Logger

	machine *decide.Source // nil: there never was an upgrade
	program Program        // of the upgrade that is under way
	proc    *process
	tell    func(phase, why string, done bool)
	told    decide.Phase
	last    uint32
	mine    map[decide.ConnID]*netio.Conn
	busy    map[decide.ConnID]bool
	kept    map[decide.ConnID]*kept
	effects []any
	running bool
	again   *timerqueue.Entry // runs what is left of the effects
	round   time.Duration     // since then connections were given
	given   int               // so many
	build   string
	counted map[string]int64
	memory  time.Duration
	ticker  *timerqueue.Entry
	began   time.Duration

	good, bad int64 // of the answers until the latest look
	share     float64
}

// kept is what is needed to take a connection back: a duplicate of its descriptor, the state
// that its front had last without an open request, and what was read and written since.
type kept struct {
	fd      int
	state   []byte
	in      []byte // read and not yet stood for by the state
	inAt    int64  // its place
	came    time.Duration
	sending *RequestRecord
	out     []byte
	outAt   int64
	ending  bool
}

// NewSource returns what can give this process's work away.
func NewSource(loop *netio.Loop, c *core.Core, front Frontend, opts SourceOptions, counters *metrics.Counters, log *slog.Logger) *Source {
	o := &Source{loop: loop, core: c, front: front, opts: opts, stats: counters, log: log}
	o.look()
	return o
}

// look measures the share of answers that are no good, for the new process to be judged by.
func (o *Source) look() {
	good, bad := CountAnswers(o.stats)
	if n := good - o.good + bad - o.bad; n > 0 {
		o.share += 0.3 * (float64(bad-o.bad)/float64(n) - o.share)
	}
	o.good, o.bad = good, bad
	o.loop.Timers.Add(o.loop.Now()+time.Second, o.look)
}

// CountAnswers tells the answers given so far that were served, and that were not: refusals,
// failures, and calls that the front itself found at fault.
func CountAnswers(c *metrics.Counters) (good, bad int64) {
	bad = c.Sum("answered.refused.") + c.Sum("answered.failed.") + c.Get("rest.bad-calls")
	return c.Sum("answered.served."), max(bad, c.Sum("pgwire.errors."))
}

// Phase is where an upgrade stands.
func (o *Source) Phase() string {
	if o.machine == nil {
		return decide.Idle.String()
	}
	return o.machine.Phase().String()
}

// InProgress tells whether an upgrade is under way.
func (o *Source) InProgress() bool { return o.machine != nil && o.machine.Phase() != decide.Idle }

// Program is what an upgrade starts unless it is told otherwise.
func (o *Source) Program() Program { return o.opts.Program }

// Upgrade begins an upgrade to a program, which has this process's own arguments where it
// names none. tell hears of each phase and, once, with done, of the end; why is "" when all
// is well.
func (o *Source) Upgrade(p Program, tell func(phase, why string, done bool)) {
	if o.InProgress() {
		tell(o.Phase(), "another upgrade is under way", true)
		return
	}
	o.machine = decide.NewSource(o.opts.Config, Version)
	o.tell, o.told, o.build, o.began = tell, decide.Idle, "", o.loop.Now()
	o.program = p
	o.mine, o.busy, o.kept = map[decide.ConnID]*netio.Conn{}, map[decide.ConnID]bool{}, map[decide.ConnID]*kept{}
	for c := range o.loop.Conns() {
		if m := movable(c); m != nil && !m.Closing() {
			o.enter(c)
		}
	}
	o.front.OnAccept(func(c *netio.Conn) { // its handler is there from the next turn on
		o.loop.Post(func() {
			if o.InProgress() && movable(c) != nil {
				o.step(decide.ConnectionAccepted{Conn: o.enter(c)})
			}
		})
	})
	for id := range uint32(len(o.mine)) {
		o.machine.Step(o.loop.Now(), decide.ConnectionAccepted{Conn: decide.ConnID(o.last - uint32(len(o.mine)) + 1 + id)})
	}
	o.step(decide.UpgradeRequested{UsualBadShare: o.share})
}

func (o *Source) enter(c *netio.Conn) decide.ConnID {
	o.last++
	id := decide.ConnID(o.last)
	o.mine[id] = c
	return id
}

// Shutdown asks for a planned stop: an upgrade that is not through is given up first. It tells
// whether the upgrade sees to the stop.
func (o *Source) Shutdown() bool {
	if !o.InProgress() {
		return false
	}
	o.step(decide.StopRequested{})
	return true
}

// ForwardReload has the new process read its files again as well.
func (o *Source) ForwardReload() {
	if o.InProgress() && o.proc != nil {
		_ = o.proc.ch.Send(&Reload{}) // one that has ended needs none
	}
}

func (o *Source) step(in any) {
	if _, died := in.(decide.TargetExited); died {
		o.recall()
	}
	o.effects = append(o.effects, o.machine.Step(o.loop.Now(), in)...)
	o.run()
}

// run carries effects out in order, as many as a turn may; the rest follow later.
func (o *Source) run() {
	if o.running {
		return
	}
	o.running = true
	now := o.loop.Now()
	if now-o.round >= poll {
		o.round, o.given = now, 0
	}
	later := time.Duration(-1)
	for back := 0; len(o.effects) > 0; {
		switch o.effects[0].(type) {
		case decide.TransferConnection:
			if o.given >= perPoll {
				later = poll
			}
			o.given++
		case decide.ReclaimConnection:
			if back++; back > perTurn {
				later = 0
			}
		case decide.KillTarget:
			o.recall()
		}
		if later >= 0 {
			break
		}
		e := o.effects[0]
		o.effects = o.effects[1:]
		o.do(e)
	}
	o.running = false
	if p := o.machine.Phase(); p != o.told {
		o.told = p
		o.log.Info("upgrade.phase", "phase", p.String(), "mine", len(o.mine), "theirs", len(o.kept))
		if p != decide.Idle && p != decide.Exited {
			o.tell(p.String(), "", false)
		}
	}
	o.again.Stop()
	if later >= 0 {
		o.again = o.loop.Timers.Add(now+later, o.run)
	}
}

// recall drops what was to be given and is not yet: the new process is being ended, or dead.
func (o *Source) recall() {
	var kept []decide.ConnID
	o.effects = slices.DeleteFunc(o.effects, func(e any) bool {
		g, ok := e.(decide.TransferConnection)
		if ok {
			kept = append(kept, g.Conn)
		}
		return ok
	})
	for _, id := range kept {
		o.busy[id] = true // until it is looked at again
		o.machine.Step(o.loop.Now(), decide.TransferCancelled{Conn: id})
	}
}

func (o *Source) do(effect any) {
	switch e := effect.(type) {
	case decide.StartTarget:
		o.spawn()
	case decide.SendState:
		o.sendState()
	case decide.SendServe:
		o.send(&SharedState{o.front.SharedState()})
		o.front.OnSharedChange(func(b []byte) { o.send(&SharedState{b}) })
		o.front.OnUnknownCall(func(b []byte) { o.send(&ForwardedCall{b}) })
		o.send(&Serve{})
	case decide.StopAccepting:
		o.front.Listener().Pause()
	case decide.StartAccepting:
		o.front.Listener().Resume()
		if o.opts.OnReturned != nil {
			o.opts.OnReturned()
		}
	case decide.SendCommit:
		o.send(&SharedState{o.front.SharedState()})
		o.send(&OwnershipCommit{})
		if o.opts.OnHandedOver != nil {
			o.opts.OnHandedOver()
		}
	case decide.TransferConnection:
		o.give(e.Conn)
	case decide.ReleaseDuplicate:
		o.forget(e.Conn)
	case decide.KillTarget:
		o.log.Warn("upgrade.ending", "why", o.machine.Why())
		if o.proc != nil {
			o.proc.kill()
		} else {
			o.loop.Post(func() { o.step(decide.TargetExited{}) })
		}
	case decide.ReclaimConnection:
		o.takeBack(e)
	case decide.ReportOutcome:
		o.report(e.Why)
	case decide.BeginShutdown:
		o.opts.BeginShutdown()
	case decide.Exit:
		o.exit()
	}
}

func (o *Source) send(m Message, fds ...int) {
	if o.proc == nil {
		return
	}
	if err := o.proc.ch.Send(m, fds...); err != nil { // it has died, which is told soon
		o.log.Warn("upgrade.unsent", "error", err)
	}
}

func (o *Source) spawn() {
	o.tick()
	f, err := o.front.Listener().File()
	if err == nil {
		o.proc, err = spawn(o.program, f, len(o.mine))
		_ = f.Close()
	}
	if err != nil {
		o.loop.Post(func() { o.step(decide.TargetHello{Version: Version, Problem: err.Error()}) })
		return
	}
	o.log.Info("upgrade.started", "program", o.program.Path, "pid", o.proc.cmd.Process.Pid)
	proc, read := o.proc, make(chan struct{})
	go func() {
		err := proc.ch.Read(func(m Message, fds []int) {
			for _, fd := range fds { // a new process has none to give
				_ = unix.Close(fd)
			}
			o.loop.Post(func() { o.message(m) })
		})
		close(read)
		o.loop.Post(func() {
			if err != nil {
				o.log.Warn("upgrade.channel", "error", err)
			}
			// What it says can't be heard any more: it is of no use, whether it lives or not.
			o.loop.Timers.Add(o.loop.Now()+endedGrace, func() {
				if o.proc == proc && o.machine.Phase() != decide.Finishing {
					proc.kill()
				}
			})
		})
	}()
	go func() {
		state := proc.cmd.Wait()
		// What it started may hold the channel open, and write to it still.
		proc.kill()
		<-read
		o.loop.Post(func() {
			o.log.Info("upgrade.process-ended", "pid", proc.cmd.Process.Pid, "state", state)
			_ = proc.ch.Close()
			if o.proc == proc {
				o.proc = nil
				o.step(decide.TargetExited{})
			}
		})
	}()
}

func (o *Source) sendState() {
	k := o.opts.State()
	o.counted = maps.Clone(k.Counters)
	k.Clock = Clock{Now: o.loop.Now(), Monotonic: monotonic()}
	k.Shared = o.front.SharedState()
	w, err := k.encode()
	if err != nil { // then it knows nothing, and is not ready in time
		o.log.Error("upgrade.state", "error", err)
		return
	}
	o.send(w)
}

// message takes a message of the new process.
func (o *Source) message(m Message) {
	if o.proc == nil || o.machine == nil {
		return
	}
	switch m := m.(type) {
	case *Hello:
		o.build = m.Build
		o.step(decide.TargetHello{Version: decide.Version{Major: m.Major, Minor: m.Minor}, Problem: m.Problem})
	case *Ready:
		o.sync()
		o.step(decide.TargetReady{})
	case *Heartbeat:
		o.step(decide.TargetHeartbeat{Good: m.Good, Bad: m.Bad, InFlight: m.InFlight})
	case *InputRecord:
		if k := o.kept[decide.ConnID(m.Conn)]; k != nil {
			k.input(m)
		}
		o.step(decide.TargetActive{})
	case *RequestRecord:
		if k := o.kept[decide.ConnID(m.Conn)]; k != nil {
			k.sending = m
		}
		o.step(decide.RequestRecorded{Conn: decide.ConnID(m.Conn), Request: m.request()})
	case *OutputRecord:
		if k := o.kept[decide.ConnID(m.Conn)]; k != nil {
			k.output(m)
		}
		if m.Idle {
			o.step(decide.RequestRecorded{Conn: decide.ConnID(m.Conn)})
		}
	case *ConnectionClosed:
		o.step(decide.TargetClosedConnection{Conn: decide.ConnID(m.Conn)})
	case *SharedState:
		if err := o.front.ApplySharedState(m.Data); err != nil {
			o.log.Warn("upgrade.shared", "error", err)
		}
	case *ForwardedCall:
		o.front.HandleForwardedCall(m.Data)
	default:
		o.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}

func (m *RequestRecord) request() decide.Request {
	return decide.Request{
		InFlight: true, Idempotency: decide.Idempotency(m.Idempotency), Sent: true, FirstSend: m.FirstSend, KeyWindow: m.KeyWindow, Deadline: m.Deadline,
	}
}

func (k *kept) input(m *InputRecord) {
	if len(k.in) == 0 {
		k.inAt = m.Offset
	}
	k.in = append(k.in, m.Data...)
	k.came = m.ReceivedAt
}

func (k *kept) output(m *OutputRecord) {
	if len(k.out) > pruneOver {
		if p, err := netio.StreamPositionOf(k.fd); err == nil {
			if done := min(p.Written-k.outAt, int64(len(k.out))); done > 0 {
				k.out, k.outAt = append([]byte(nil), k.out[done:]...), k.outAt+done
			}
		}
	}
	if len(k.out) == 0 {
		k.outAt = m.Offset
	}
	k.out = append(k.out, m.Data...)
	switch {
	case !m.Idle:
		return
	case m.Closing: // nothing more is read
		k.ending, k.sending, k.in = true, nil, nil
		return
	}
	k.state, k.sending = m.State, nil
	if n := min(m.Consumed-k.inAt, int64(len(k.in))); n > 0 {
		k.in, k.inAt = k.in[n:], k.inAt+n
		if len(k.in) == 0 {
			k.in = nil
		}
	}
}

// sync tells the machine what is busy here, as it is about to give connections away.
func (o *Source) sync() {
	for id, c := range o.mine {
		m := movable(c)
		if c.Ended() {
			delete(o.mine, id)
			delete(o.busy, id)
			o.step(decide.ConnectionClosed{Conn: id})
			continue
		}
		if ok := free(c, m); ok == o.busy[id] {
			if ok {
				delete(o.busy, id)
				o.step(decide.ConnectionIdle{Conn: id})
			} else {
				o.busy[id] = true
				o.step(decide.ConnectionBusy{Conn: id})
			}
		}
	}
}

func (o *Source) give(id decide.ConnID) {
	c := o.mine[id]
	if c == nil {
		return
	}
	m := movable(c)
	if !c.Ended() && !free(c, m) {
		o.busy[id] = true
		o.effects = append(o.effects, o.machine.Step(o.loop.Now(), decide.TransferCancelled{Conn: id})...)
		return
	}
	delete(o.mine, id)
	delete(o.busy, id)
	state := m.EncodeState()
	fd, unread, err := c.Detach()
	if err != nil { // its end is told soon
		o.effects = append(o.effects, o.machine.Step(o.loop.Now(), decide.TargetClosedConnection{Conn: id})...)
		return
	}
	m.Transferred()
	k := &kept{fd: fd, state: state, in: unread}
	if p, err := netio.StreamPositionOf(fd); err == nil { // else it has ended, which the new process will find
		k.inAt = p.Read - int64(len(unread))
	}
	o.kept[id] = k
	o.send(&ConnectionTransfer{Conn: uint32(id), Frontend: o.front.Name(), State: state, Unread: unread}, fd)
}

func (o *Source) forget(id decide.ConnID) {
	if k := o.kept[id]; k != nil {
		delete(o.kept, id)
		_ = unix.Close(k.fd)
	}
}

// takeBack makes a connection this process's own again. What the new one had recorded to
// write and did not is written first; what it had read and not answered is read anew, and
// what it had sent to an engine goes out again only as Recover says.
func (o *Source) takeBack(e decide.ReclaimConnection) {
	k := o.kept[e.Conn]
	if k == nil {
		return
	}
	delete(o.kept, e.Conn)
	place, err := netio.StreamPositionOf(k.fd)
	if err != nil {
		o.log.Warn("upgrade.lost-connection", "error", err)
		_ = unix.Close(k.fd)
		return
	}
	var rest []byte
	if done := place.Written - k.outAt; len(k.out) > 0 && done < int64(len(k.out)) {
		rest = k.out[max(done, 0):]
	}
	unread := k.in
	if n := place.Read - k.inAt; len(unread) > 0 && n < int64(len(unread)) {
		unread = unread[:max(n, 0)] // the rest is in the socket still
	}
	if k.ending {
		unread = nil
	}
	left := core.Orphan{ReceivedAt: k.came}
	if k.sending != nil {
		left.FirstSentAt = k.sending.FirstSend
		left.MustFail = decide.Recover(k.sending.request(), 0, o.loop.Now()) != decide.Resend
	}
	restore, err := o.front.RestoreConnection(k.state)
	if err != nil {
		o.log.Warn("upgrade.lost-connection", "error", err)
		_ = unix.Close(k.fd)
		return
	}
	c, err := o.loop.Attach(k.fd, o.front.ReadLimit(), unread, func(c *netio.Conn) netio.Handler {
		h := restore(c)
		if m, ok := h.(Transferable); ok && len(unread) > 0 {
			m.RecoverRequest(left)
		}
		return h
	})
	if err != nil {
		o.log.Warn("upgrade.lost-connection", "error", err)
		return
	}
	o.stats.Add("upgrade.taken-back")
	if left.MustFail {
		o.stats.Add("upgrade.in-doubt")
	}
	if len(rest) > 0 {
		o.stats.Add("upgrade.answers-finished")
		c.Write(rest)
	}
	if k.ending {
		c.Close()
	}
}

// tick looks at what happens without a word.
func (o *Source) tick() {
	o.ticker.Stop()
	if !o.InProgress() {
		return
	}
	now := o.loop.Now()
	o.ticker = o.loop.Timers.Add(now+poll, o.tick)
	if p := o.machine.Phase(); p == decide.Probation || p == decide.Finishing {
		if len(o.effects) == 0 { // else connections are still being given
			o.sync()
		}
	}
	if o.proc != nil && now-o.memory >= memoryEvery {
		o.memory = now
		o.step(decide.TargetMemory{Bytes: metrics.ResidentBytes(o.proc.cmd.Process.Pid)})
	}
	o.step(decide.Tick{})
}

func (o *Source) report(why string) {
	o.front.OnSharedChange(nil)
	o.front.OnUnknownCall(nil)
	took := o.loop.Now() - o.began
	if why != "" {
		o.stats.Add("upgrade.returned")
		o.log.Warn("upgrade.returned", "why", why, "took", took)
		o.tell(o.Phase(), why, true)
		return
	}
	o.stats.Add("upgrade.done")
	o.log.Info("upgrade.done", "took", took, "build", o.build, "in_flight", len(o.mine))
	if o.proc != nil { // what ends here from now on may be shared with it still
		o.front.OnSharedChange(func(b []byte) { o.send(&SharedState{b}) })
		o.front.OnUnknownCall(func(b []byte) { o.send(&ForwardedCall{b}) })
	}
	o.tell(o.Phase(), "", true)
}

// exit tells the other what was counted here since, and ends this process.
func (o *Source) exit() {
	now := o.opts.Counters()
	for name, n := range o.counted {
		now[name] -= n
	}
	o.send(&CounterIncrements{now})
	o.log.Info("upgrade.exit", "pid", os.Getpid())
	o.opts.Exit()
}
