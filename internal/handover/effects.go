package handover

import (
	"slices"
	"time"

	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/timerqueue"
)

const (
	// maxTransfersPerPoll is the maximum number of connections transferred within pollInterval. It
	// prevents a pause in service: the target receives connections on the loop that also handles
	// requests, so requests would wait while it receives thousands of connections.
	maxTransfersPerPoll = 32
	// maxReclaimsPerIteration is the maximum number of connections reclaimed in one iteration of the
	// loop.
	maxReclaimsPerIteration = 128
)

// effectQueue holds the effects that the source has yet to execute, in order.
type effectQueue struct {
	pending         []decide.SourceEffect
	running         bool              // runEffects is executing effects; nested calls of it do nothing
	resumeTimer     *timerqueue.Timer // continues with postponed effects
	windowStart     time.Duration     // when the current window of pollInterval started
	windowTransfers int               // transfers since windowStart
}

func (q *effectQueue) add(effects []decide.SourceEffect) { q.pending = append(q.pending, effects...) }

func (q *effectQueue) empty() bool { return len(q.pending) == 0 }

func (q *effectQueue) next() decide.SourceEffect {
	e := q.pending[0]
	q.pending = q.pending[1:]
	return e
}

// startWindow starts a new window and resets the count of transfers once pollInterval has passed.
func (q *effectQueue) startWindow(now time.Duration) {
	if now-q.windowStart >= pollInterval {
		q.windowStart = now
		q.windowTransfers = 0
	}
}

// removeTransfers removes all pending transfers and returns the IDs of their connections.
func (q *effectQueue) removeTransfers() []decide.ConnID {
	var ids []decide.ConnID
	q.pending = slices.DeleteFunc(q.pending, func(e decide.SourceEffect) bool {
		t, ok := e.(decide.TransferConnection)
		if ok {
			ids = append(ids, t.Conn)
		}
		return ok
	})
	return ids
}

// step passes an event to the state machine and executes the resulting effects.
func (s *Source) step(event decide.SourceEvent) {
	if _, exited := event.(decide.TargetExited); exited {
		s.cancelTransfers()
	}
	s.effects.add(s.machine.Step(s.loop.Now(), event))
	s.runEffects()
}

// runEffects executes pending effects up to the limits of one iteration of the loop, and schedules
// the rest for later.
func (s *Source) runEffects() {
	q := &s.effects
	if q.running {
		return
	}
	q.running = true
	now := s.loop.Now()
	q.startWindow(now)
	reclaims := 0
	postponed := false
	var delay time.Duration
	for !q.empty() && !postponed {
		switch q.pending[0].(type) {
		case decide.TransferConnection:
			postponed = q.windowTransfers >= maxTransfersPerPoll
			delay = pollInterval
			q.windowTransfers++
		case decide.ReclaimConnection:
			postponed = reclaims >= maxReclaimsPerIteration
			delay = 0
			reclaims++
		case decide.KillTarget:
			s.cancelTransfers()
		}
		if !postponed {
			s.execute(q.next())
		}
	}
	q.running = false
	s.reportPhase()
	q.resumeTimer.Stop()
	if postponed {
		q.resumeTimer = s.loop.Timers.Add(now+delay, s.runEffects)
	}
}

// reportPhase logs the phase of the upgrade and reports it as progress, if it has changed.
func (s *Source) reportPhase() {
	phase := s.machine.Phase()
	if phase == s.attempt.reportedPhase {
		return
	}
	s.attempt.reportedPhase = phase
	s.log.Info("upgrade.phase", "phase", phase.String(), "mine", s.connections.localCount(), "theirs", len(s.connections.transferred))
	if phase != decide.Idle && phase != decide.Exited {
		s.attempt.onProgress(Progress{Phase: phase.String()})
	}
}

// cancelTransfers cancels the pending transfers, because the target is being killed or has died.
func (s *Source) cancelTransfers() {
	for _, id := range s.effects.removeTransfers() {
		s.connections.busy[id] = true // until updateConnections checks it again
		s.machine.Step(s.loop.Now(), decide.TransferCancelled{Conn: id})
	}
}

// execute executes one effect.
func (s *Source) execute(effect decide.SourceEffect) {
	switch e := effect.(type) {
	case decide.StartTarget:
		s.startTarget()
	case decide.SendState:
		s.sendState()
	case decide.SendServe:
		s.send(&SharedState{s.frontend.SharedState()})
		s.startForwarding()
		s.send(&Serve{})
	case decide.StopAccepting:
		s.frontend.Listener().Pause()
	case decide.StartAccepting:
		s.frontend.Listener().Resume()
		if s.opts.OnServingResumed != nil {
			s.opts.OnServingResumed()
		}
	case decide.SendCommit:
		s.send(&SharedState{s.frontend.SharedState()})
		s.send(&OwnershipCommit{})
		if s.opts.OnHandedOver != nil {
			s.opts.OnHandedOver()
		}
	case decide.TransferConnection:
		s.transfer(e.Conn)
	case decide.ReleaseDuplicate:
		if r := s.connections.removeRetained(e.Conn); r != nil {
			r.close()
		}
	case decide.KillTarget:
		s.killTarget()
	case decide.ReclaimConnection:
		s.reclaim(e.Conn)
	case decide.ReportOutcome:
		s.reportOutcome(e.Failure)
	case decide.BeginShutdown:
		s.opts.BeginShutdown()
	case decide.Exit:
		s.exit()
	}
}

// killTarget kills the target and all processes that it has started. If the target could not be
// started, there is no process whose exit is awaited, so killTarget posts decide.TargetExited itself.
func (s *Source) killTarget() {
	s.log.Warn("upgrade.ending", "why", s.machine.Failure().String())
	if s.target != nil {
		s.target.kill()
		return
	}
	s.loop.Post(func() { s.step(decide.TargetExited{}) })
}
