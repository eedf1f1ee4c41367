package handover

import (
	"slices"
	"time"

	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/timerqueue"
)

const (
	// maxTransfersPerPoll bounds the connections that are transferred within pollEvery. Guards
	// against a pause: the target takes connections in turn with requests, and those of thousands
	// would wait behind.
	maxTransfersPerPoll = 32
	// maxReclaimsPerIteration bounds the connections that are reclaimed in one iteration of the loop.
	maxReclaimsPerIteration = 128
)

// effectQueue has the effects of the source that are to be carried out, in order.
type effectQueue struct {
	pending     []decide.SourceEffect
	running     bool              // they are being carried out
	resume      *timerqueue.Entry // goes on with what is left
	windowStart time.Duration     // transfers are counted since then
	transfers   int
}

func (q *effectQueue) add(effects []decide.SourceEffect) { q.pending = append(q.pending, effects...) }

func (q *effectQueue) empty() bool { return len(q.pending) == 0 }

func (q *effectQueue) next() decide.SourceEffect {
	e := q.pending[0]
	q.pending = q.pending[1:]
	return e
}

// startWindow begins to count transfers anew once pollEvery has passed.
func (q *effectQueue) startWindow(now time.Duration) {
	if now-q.windowStart >= pollEvery {
		q.windowStart = now
		q.transfers = 0
	}
}

// removeTransfers removes the transfers that are pending and returns their connections.
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

// step has the machine take an event and carries out its effects.
func (s *Source) step(event decide.SourceEvent) {
	if _, exited := event.(decide.TargetExited); exited {
		s.cancelTransfers()
	}
	s.effects.add(s.machine.Step(s.loop.Now(), event))
	s.runEffects()
}

// runEffects carries effects out, as many as one iteration of the loop may; the rest follow later.
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
			postponed = q.transfers >= maxTransfersPerPoll
			delay = pollEvery
			q.transfers++
		case decide.ReclaimConnection:
			postponed = reclaims >= maxReclaimsPerIteration
			delay = 0
			reclaims++
		case decide.KillTarget:
			s.cancelTransfers()
		}
		if !postponed {
			s.carryOut(q.next())
		}
	}
	q.running = false
	s.reportPhase()
	q.resume.Stop()
	if postponed {
		q.resume = s.loop.Timers.Add(now+delay, s.runEffects)
	}
}

// reportPhase reports the phase if it has changed.
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

// cancelTransfers drops the transfers that are pending: the target is being killed, or dead.
func (s *Source) cancelTransfers() {
	for _, id := range s.effects.removeTransfers() {
		s.connections.busy[id] = true // until it is looked at again
		s.machine.Step(s.loop.Now(), decide.TransferCancelled{Conn: id})
	}
}

func (s *Source) carryOut(effect decide.SourceEffect) {
	switch e := effect.(type) {
	case decide.StartTarget:
		s.startTarget()
	case decide.SendState:
		s.sendState()
	case decide.SendServe:
		s.send(&SharedState{s.frontend.SharedState()})
		s.linkFrontend()
		s.send(&Serve{})
	case decide.StopAccepting:
		s.frontend.Listener().Pause()
	case decide.StartAccepting:
		s.frontend.Listener().Resume()
		if s.opts.OnReturned != nil {
			s.opts.OnReturned()
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
		if r := s.connections.takeRetained(e.Conn); r != nil {
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

func (s *Source) killTarget() {
	s.log.Warn("upgrade.ending", "why", s.machine.Failure().String())
	if s.target != nil {
		s.target.kill()
		return
	}
	s.loop.Post(func() { s.step(decide.TargetExited{}) }) // it could not be started
}
