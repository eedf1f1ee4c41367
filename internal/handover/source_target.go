package handover

import (
	"maps"
	"time"

	decide "gannetspur/internal/decide/handover"
)

// channelClosedGrace is how long the target may live on after its end of the channel has closed.
const channelClosedGrace = 200 * time.Millisecond

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
		s.step(decide.TargetHeartbeat{Successes: m.Successes, Failures: m.Failures, InFlight: m.InFlight})
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
