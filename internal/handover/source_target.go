package handover

import (
	"maps"
	"time"

	decide "gannetspur/internal/decide/handover"
)

// channelClosedGrace is how long the target may keep running after its end of the channel has closed.
const channelClosedGrace = 200 * time.Millisecond

// startTarget starts polling and starts the target, with a goroutine that reads its channel until the
// channel ends and a goroutine that waits for its exit. After the exit, processes that the target has
// started may still hold the channel open and write to it. So the waiting goroutine kills the target's
// whole process group, which ends the channel, and reports the exit once the channel has been read to
// its end. A target that can't be started is reported like one whose Hello has a problem.
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
			closeDescriptors(fds) // the target sends no descriptors
			s.loop.Post(func() { s.handleMessage(m) })
		})
		close(channelRead)
		s.loop.Post(func() { s.channelEnded(target, err) })
	}()
	go func() {
		state := target.cmd.Wait()
		target.kill()
		<-channelRead
		s.loop.Post(func() { s.targetExited(target, state) })
	}()
}

// channelEnded kills the target channelClosedGrace after its channel has ended, unless the target is the
// owner by then. A target whose messages can't be read is useless, even if it is still running.
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

// targetExited handles the target's exit, after all that the target wrote to the channel has been read.
func (s *Source) targetExited(target *targetProcess, state error) {
	s.log.Info("upgrade.process-ended", "pid", target.pid(), "state", state)
	_ = target.channel.Close() // it has been read to its end
	if s.target == target {
		s.target = nil
		s.step(decide.TargetExited{})
	}
}

// sendState sends the state of this process to the target.
func (s *Source) sendState() {
	state := s.opts.State()
	s.attempt.countersSent = maps.Clone(state.Counters)
	state.Clock = ReadClock(s.loop)
	state.Shared = s.frontend.SharedState()
	m, err := state.message()
	if err != nil { // the target gets no state, so the upgrade fails when WarmUpTimeout expires
		s.log.Error("upgrade.state", "error", err)
		return
	}
	s.send(m)
	s.forwardSentKeys()
}

// handleMessage handles a message from the target.
func (s *Source) handleMessage(m Message) {
	if s.target == nil || s.machine == nil {
		return
	}
	switch m := m.(type) {
	case *Hello:
		s.attempt.build = m.Build
		s.attempt.readsSentKeys = m.ReadsSentKeys
		s.step(decide.TargetHello{Version: decide.Version{Major: m.Major, Minor: m.Minor}, Problem: m.Problem})
	case *Ready:
		s.updateConnections()
		s.step(decide.TargetReady{})
	case *Heartbeat:
		s.step(decide.TargetHeartbeat{Successes: m.Successes, Failures: m.Failures, InFlight: m.InFlight})
	case *InputRecord:
		if r := s.connections.retained(m.Conn); r != nil {
			r.recordInput(m)
		}
		s.step(decide.TargetActive{})
	case *RequestRecord:
		if r := s.connections.retained(m.Conn); r != nil {
			s.rememberKey(r.request, m)
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
		s.frontend.HandleForwardedRequest(m.Data)
	default:
		s.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}
