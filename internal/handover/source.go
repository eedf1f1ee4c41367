package handover

import (
	"log/slog"
	"maps"
	"os"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
)

const (
	// pollEvery is how often the source looks for connections that have become idle.
	pollEvery = 2 * time.Millisecond
	// memoryCheckEvery is how often the target's memory is checked.
	memoryCheckEvery = 200 * time.Millisecond
	// channelClosedGrace is how long the target may live on after its end of the channel has closed.
	channelClosedGrace = 200 * time.Millisecond
)

// SourceOptions configure a Source. The functions are called on the loop.
type SourceOptions struct {
	Program       Program // that takes over by default
	Config        decide.Config
	State         func() *ProcessState    // of this process, without Clock and Shared
	Counters      func() map[string]int64 // of this process
	BeginShutdown func()                  // begins the graceful shutdown
	OnHandedOver  func()                  // the target is the owner; may be nil
	OnReturned    func()                  // the owner has died and this process serves again; may be nil
	Exit          func()                  // ends this process: nothing is left here
}

// Progress is a step of an upgrade, for whoever asked for it.
type Progress struct {
	Phase   string
	Problem string // why it failed; "" if it did not
	Done    bool   // no other step follows
}

// Source hands this process's work over to another one, and reclaims it if that fails.
type Source struct {
	loop     *netio.Loop
	frontend Frontend
	opts     SourceOptions
	stats    *metrics.Counters
	log      *slog.Logger
	quality  answerQuality

	machine     *decide.Source // nil: there never was an upgrade
	attempt     upgradeAttempt
	target      *targetProcess // nil: none lives
	connections connectionTable
	effects     effectQueue
	poller      *timerqueue.Entry
}

// upgradeAttempt is the upgrade in progress, or the last one.
type upgradeAttempt struct {
	program       Program
	onProgress    func(Progress)
	startedAt     time.Duration
	reportedPhase decide.Phase
	build         string           // of the target
	countersSent  map[string]int64 // with the state
	memoryChecked time.Duration
}

// NewSource returns a Source for this process.
func NewSource(loop *netio.Loop, frontend Frontend, opts SourceOptions, counters *metrics.Counters, log *slog.Logger) *Source {
	s := &Source{loop: loop, frontend: frontend, opts: opts, stats: counters, log: log}
	s.sampleQuality()
	return s
}

// sampleQuality measures the usual share of bad answers, by which a target is judged.
func (s *Source) sampleQuality() {
	s.quality.sample(CountAnswers(s.stats))
	s.loop.Timers.Add(s.loop.Now()+qualitySampleEvery, s.sampleQuality)
}

// Phase is the phase of the upgrade.
func (s *Source) Phase() string { return s.phase().String() }

func (s *Source) phase() decide.Phase {
	if s.machine == nil {
		return decide.Idle
	}
	return s.machine.Phase()
}

// InProgress reports whether an upgrade is in progress.
func (s *Source) InProgress() bool { return s.phase() != decide.Idle }

// Program is what an upgrade starts by default.
func (s *Source) Program() Program { return s.opts.Program }

// Upgrade begins an upgrade to a program. onProgress is called for each phase and, once with
// Done, at the end.
func (s *Source) Upgrade(p Program, onProgress func(Progress)) {
	if s.InProgress() {
		onProgress(Progress{Phase: s.Phase(), Problem: "another upgrade is under way", Done: true})
		return
	}
	s.machine = decide.NewSource(s.opts.Config, Version)
	s.attempt = upgradeAttempt{
		program: p, onProgress: onProgress, startedAt: s.loop.Now(), memoryChecked: s.attempt.memoryChecked,
	}
	s.connections.reset()
	for c := range s.loop.Conns() {
		t := transferableHandler(c)
		if t == nil || t.Closing() {
			continue
		}
		s.machine.Step(s.loop.Now(), decide.ConnectionAccepted{Conn: s.connections.add(c)})
	}
	s.frontend.OnAccept(s.accepted)
	s.step(decide.UpgradeRequested{UsualBadShare: s.quality.badShare})
}

// accepted adds a new connection, which has its handler from the loop's next iteration on.
func (s *Source) accepted(c *netio.Conn) {
	s.loop.Post(func() {
		if s.InProgress() && transferableHandler(c) != nil {
			s.step(decide.ConnectionAccepted{Conn: s.connections.add(c)})
		}
	})
}

// Shutdown asks for a graceful shutdown: an upgrade that can still be revoked is given up
// first. It reports whether the upgrade takes care of the shutdown.
func (s *Source) Shutdown() bool {
	if !s.InProgress() {
		return false
	}
	s.step(decide.StopRequested{})
	return true
}

// ForwardReload has the target read its files again as well.
func (s *Source) ForwardReload() {
	if s.InProgress() && s.target != nil {
		_ = s.target.channel.Send(&Reload{}) // a target that has died needs none
	}
}

func (s *Source) send(m Message, fds ...int) {
	if s.target == nil {
		return
	}
	if err := s.target.channel.Send(m, fds...); err != nil { // it has died, which is reported soon
		s.log.Warn("upgrade.unsent", "error", err)
	}
}

// startTarget starts the target, with a goroutine that reads its channel and one that waits for
// its end. The first ends at the channel's end, which the second forces by killing all that the
// target has started: any of it may hold the channel open, and write to it still.
func (s *Source) startTarget() {
	s.poll()
	listener, err := s.frontend.Listener().File()
	if err == nil {
		s.target, err = startProcess(s.attempt.program, listener, s.connections.localCount())
		_ = listener.Close()
	}
	if err != nil {
		problem := err.Error()
		s.loop.Post(func() { s.step(decide.TargetHello{Version: Version, Problem: problem}) })
		return
	}
	target := s.target
	s.log.Info("upgrade.started", "program", s.attempt.program.Path, "pid", target.pid())
	channelRead := make(chan struct{})
	go func() {
		err := target.channel.Read(func(m Message, fds []int) {
			closeDescriptors(fds) // a target has none to transfer
			s.loop.Post(func() { s.handleMessage(m) })
		})
		close(channelRead)
		s.loop.Post(func() { s.channelEnded(target, err) })
	}()
	go func() {
		state := target.cmd.Wait()
		target.kill()
		<-channelRead
		s.loop.Post(func() { s.targetEnded(target, state) })
	}()
}

// channelEnded kills a target whose messages can't be read any more: it is of no use, whether
// it lives or not.
func (s *Source) channelEnded(target *targetProcess, err error) {
	if err != nil {
		s.log.Warn("upgrade.channel", "error", err)
	}
	s.loop.Timers.Add(s.loop.Now()+channelClosedGrace, func() {
		if s.target == target && s.machine.Phase() != decide.Finishing {
			target.kill()
		}
	})
}

// targetEnded takes the target's death, after all that it wrote was read.
func (s *Source) targetEnded(target *targetProcess, state error) {
	s.log.Info("upgrade.process-ended", "pid", target.pid(), "state", state)
	_ = target.channel.Close() // it was read to its end
	if s.target == target {
		s.target = nil
		s.step(decide.TargetExited{})
	}
}

func (s *Source) sendState() {
	state := s.opts.State()
	s.attempt.countersSent = maps.Clone(state.Counters)
	state.Clock = Clock{Now: s.loop.Now(), Monotonic: monotonicNow()}
	state.Shared = s.frontend.SharedState()
	m, err := state.message()
	if err != nil { // then the target has no state, and is not ready in time
		s.log.Error("upgrade.state", "error", err)
		return
	}
	s.send(m)
}

// handleMessage takes a message of the target.
func (s *Source) handleMessage(m Message) {
	if s.target == nil || s.machine == nil {
		return
	}
	switch m := m.(type) {
	case *Hello:
		s.attempt.build = m.Build
		s.step(decide.TargetHello{Version: decide.Version{Major: m.Major, Minor: m.Minor}, Problem: m.Problem})
	case *Ready:
		s.updateConnections()
		s.step(decide.TargetReady{})
	case *Heartbeat:
		s.step(decide.TargetHeartbeat{Good: m.Good, Bad: m.Bad, InFlight: m.InFlight})
	case *InputRecord:
		if r := s.connections.retained(m.Conn); r != nil {
			r.recordInput(m)
		}
		s.step(decide.TargetActive{})
	case *RequestRecord:
		if r := s.connections.retained(m.Conn); r != nil {
			r.request = m
		}
		s.step(decide.RequestRecorded{Conn: decide.ConnID(m.Conn), Request: m.request()})
	case *OutputRecord:
		if r := s.connections.retained(m.Conn); r != nil {
			r.recordOutput(m)
		}
		if m.Idle {
			s.step(decide.RequestRecorded{Conn: decide.ConnID(m.Conn)})
		}
	case *ConnectionClosed:
		s.step(decide.TargetClosedConnection{Conn: decide.ConnID(m.Conn)})
	case *SharedState:
		if err := s.frontend.ApplySharedState(m.Data); err != nil {
			s.log.Warn("upgrade.shared", "error", err)
		}
	case *ForwardedCall:
		s.frontend.HandleForwardedCall(m.Data)
	default:
		s.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}

// poll looks at what happens without a message.
func (s *Source) poll() {
	s.poller.Stop()
	if !s.InProgress() {
		return
	}
	now := s.loop.Now()
	s.poller = s.loop.Timers.Add(now+pollEvery, s.poll)
	phase := s.machine.Phase()
	transferring := phase == decide.Probation || phase == decide.Finishing
	if transferring && s.effects.empty() { // else connections are still being transferred
		s.updateConnections()
	}
	if s.target != nil && now-s.attempt.memoryChecked >= memoryCheckEvery {
		s.attempt.memoryChecked = now
		s.step(decide.TargetMemory{Bytes: metrics.ResidentBytes(s.target.pid())})
	}
	s.step(decide.Tick{})
}

// linkFrontend passes what the frontend shares, and calls that it has no answer to, to the target.
func (s *Source) linkFrontend() {
	s.frontend.OnSharedChange(func(b []byte) { s.send(&SharedState{b}) })
	s.frontend.OnUnknownCall(func(b []byte) { s.send(&ForwardedCall{b}) })
}

func (s *Source) unlinkFrontend() {
	s.frontend.OnSharedChange(nil)
	s.frontend.OnUnknownCall(nil)
}

func (s *Source) reportOutcome(failure decide.Failure) {
	s.unlinkFrontend()
	took := s.loop.Now() - s.attempt.startedAt
	if failure.Failed() {
		s.stats.Add("upgrade.returned")
		s.log.Warn("upgrade.returned", "why", failure.String(), "took", took)
	} else {
		s.stats.Add("upgrade.done")
		s.log.Info("upgrade.done", "took", took, "build", s.attempt.build, "in_flight", s.connections.localCount())
		if s.target != nil { // what ends here from now on may be shared with it still
			s.linkFrontend()
		}
	}
	s.attempt.onProgress(Progress{Phase: s.Phase(), Problem: failure.String(), Done: true})
}

// exit sends what was counted here since the state was sent, and ends this process.
func (s *Source) exit() {
	increments := s.opts.Counters()
	for name, n := range s.attempt.countersSent {
		increments[name] -= n
	}
	s.send(&CounterIncrements{increments})
	s.log.Info("upgrade.exit", "pid", os.Getpid())
	s.opts.Exit()
}

// updateConnections tells the machine which connections have ended, and which can be transferred.
func (s *Source) updateConnections() {
	for id, c := range s.connections.local {
		if c.Ended() {
			s.connections.removeLocal(id)
			s.step(decide.ConnectionClosed{Conn: id})
			continue
		}
		idle := canTransfer(c, transferableHandler(c))
		if idle != s.connections.busy[id] {
			continue // as the machine knows it
		}
		if idle {
			delete(s.connections.busy, id)
			s.step(decide.ConnectionIdle{Conn: id})
		} else {
			s.connections.busy[id] = true
			s.step(decide.ConnectionBusy{Conn: id})
		}
	}
}

// transfer sends a connection to the target and retains what is needed to reclaim it.
func (s *Source) transfer(id decide.ConnID) {
	c := s.connections.local[id]
	if c == nil {
		return
	}
	handler := transferableHandler(c)
	if !c.Ended() && !canTransfer(c, handler) {
		s.connections.busy[id] = true
		s.effects.add(s.machine.Step(s.loop.Now(), decide.TransferCancelled{Conn: id}))
		return
	}
	s.connections.removeLocal(id)
	state := handler.EncodeState()
	fd, unread, err := c.Detach()
	if err != nil { // its end is reported soon
		s.effects.add(s.machine.Step(s.loop.Now(), decide.TargetClosedConnection{Conn: id}))
		return
	}
	handler.Transferred()
	s.connections.transferred[id] = newRetained(fd, state, unread)
	s.send(&ConnectionTransfer{Conn: uint32(id), Frontend: s.frontend.Name(), State: state, Unread: unread}, fd)
}

// reclaim makes a connection this process's own again. What the target had recorded to write
// and did not is written first; what it had read and not answered is handled anew, and what it
// had sent to an engine is sent again only as Recover says.
func (s *Source) reclaim(id decide.ConnID) {
	r := s.connections.takeRetained(id)
	if r == nil {
		return
	}
	orphan, err := s.reattach(r)
	if err != nil {
		s.log.Warn("upgrade.lost-connection", "error", err)
		return
	}
	s.stats.Add("upgrade.taken-back")
	if orphan.MustFail {
		s.stats.Add("upgrade.in-doubt")
	}
}

// reattach puts a retained connection back into the loop. It owns the descriptor.
func (s *Source) reattach(r *retainedConnection) (core.Orphan, error) {
	place, err := netio.StreamPositionOf(r.fd)
	if err != nil {
		r.close()
		return core.Orphan{}, err
	}
	restore, err := s.frontend.RestoreConnection(r.state)
	if err != nil {
		r.close()
		return core.Orphan{}, err
	}
	unread := r.unanswered(place)
	orphan := r.orphanedRequest(s.loop.Now())
	c, err := s.loop.Attach(r.fd, s.frontend.ReadLimit(), unread, func(c *netio.Conn) netio.Handler {
		h := restore(c)
		if t, ok := h.(Transferable); ok && len(unread) > 0 {
			t.RecoverRequest(orphan)
		}
		return h
	})
	if err != nil {
		return core.Orphan{}, err
	}
	if remainder := r.unwritten(place); len(remainder) > 0 {
		s.stats.Add("upgrade.answers-finished")
		c.Write(remainder)
	}
	if r.closing {
		c.Close()
	}
	return orphan, nil
}
