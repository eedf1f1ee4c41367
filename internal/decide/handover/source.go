package handover

import "time"

// Source is the state machine of the process that serves and hands over. Its zero value is not
// usable; NewSource creates one.
type Source struct {
	cfg           Config
	version       Version
	phase         Phase
	phaseSince    time.Duration // when the phase began
	probation     probation     // of the current upgrade
	failure       Failure       // why the latest upgrade was rolled back; zero: it was not
	stopRequested bool          // a graceful shutdown was requested; upgrades are rejected from then on
	connections   connectionTable
}

// NewSource returns the state machine of a process that serves. v is the protocol version of that
// process.
func NewSource(cfg Config, v Version) *Source { return &Source{cfg: cfg, version: v} }

// Failure returns why the target of the latest upgrade was killed, or that it died, before ownership
// was committed. It is the zero value if neither has happened, and also if the target died later.
func (s *Source) Failure() Failure { return s.failure }

// Phase returns the state of the upgrade.
func (s *Source) Phase() Phase { return s.phase }

// Step processes one event and returns the effects to carry out, in order. now is on a clock that
// never goes back.
func (s *Source) Step(now time.Duration, event SourceEvent) []SourceEffect {
	switch event := event.(type) {
	case TargetMessage:
		return s.handleMessage(now, event)
	case UpgradeRequested:
		return s.startUpgrade(now, event)
	case StopRequested:
		return s.requestStop(now)
	case ConnectionAccepted:
		s.connections.add(event.Conn)
		if s.transferring() { // even in Finishing: it may have been accepted just before StopAccepting
			return s.transfer(event.Conn)
		}
	case ConnectionBusy:
		if c := s.connections.local(event.Conn); c != nil {
			c.busy = true
		}
	case ConnectionIdle:
		return s.connectionIdle(event.Conn)
	case TransferCancelled:
		if c := s.connections.remote(event.Conn); c != nil {
			c.transferred = false
			c.busy = true
		}
	case ConnectionClosed:
		if c := s.connections.local(event.Conn); c != nil {
			s.connections.remove(event.Conn)
			return s.exitIfDone()
		}
	case TargetExited:
		return s.targetExited(now)
	case TargetMemory:
		if s.cfg.MaxMemory > 0 && event.Bytes > s.cfg.MaxMemory && s.revocable() {
			return s.fail(now, TooMuchMemory)
		}
	case Tick:
		return s.checkTimeouts(now)
	}
	return nil
}

func (s *Source) enter(p Phase, now time.Duration) {
	s.phase = p
	s.phaseSince = now
}

// revocable reports whether the target lives and can still be killed.
func (s *Source) revocable() bool {
	return s.phase == AwaitingHello || s.phase == WarmingUp || s.phase == Probation
}

// transferring reports whether connections are transferred to the target as soon as they are idle.
func (s *Source) transferring() bool { return s.phase == Probation || s.phase == Finishing }

func (s *Source) startUpgrade(now time.Duration, event UpgradeRequested) []SourceEffect {
	if s.phase != Idle || s.stopRequested {
		return []SourceEffect{ReportOutcome{Failure{Reason: UpgradeOrShutdownInProgress}}}
	}
	s.enter(AwaitingHello, now)
	s.probation = newProbation(s.cfg.MaxFailureFraction, event.UsualFailureRate, now)
	s.failure = Failure{}
	return []SourceEffect{StartTarget{}}
}

// requestStop handles the first request for a graceful shutdown and ignores later ones. In Idle the
// shutdown begins at once. An upgrade that can still be revoked is aborted first, and the shutdown
// begins once the target is dead, as it does if the request comes in RollingBack. In Finishing the
// request has no effect of its own, as the process exits anyway once it has no connections left. But
// if the target dies before that, targetExited makes the process serve again without beginning the
// shutdown.
func (s *Source) requestStop(now time.Duration) []SourceEffect {
	if s.stopRequested {
		return nil
	}
	s.stopRequested = true
	switch {
	case s.phase == Idle:
		return []SourceEffect{BeginShutdown{}}
	case s.revocable():
		return s.fail(now, ShutdownRequested)
	}
	return nil
}

// handleMessage processes a message of the target. Records and closed connections are processed in
// every phase, including RollingBack, as the last messages of a target are read after its death.
func (s *Source) handleMessage(now time.Duration, message TargetMessage) []SourceEffect {
	s.probation.lastMessage = now
	switch message := message.(type) {
	case RequestRecorded:
		if c := s.connections.remote(message.Conn); c != nil {
			c.request = message.Request
		}
	case TargetClosedConnection:
		if c := s.connections.remote(message.Conn); c != nil {
			s.connections.remove(message.Conn)
			return []SourceEffect{ReleaseDuplicate(message)}
		}
	case TargetHello:
		if s.phase == AwaitingHello {
			return s.handleHello(now, message)
		}
	case TargetReady:
		if s.phase == WarmingUp {
			return s.startProbation(now)
		}
	case TargetHeartbeat:
		if s.phase == Probation {
			return s.handleHeartbeat(now, message)
		}
	}
	return nil
}

func (s *Source) handleHello(now time.Duration, hello TargetHello) []SourceEffect {
	if hello.Problem != "" {
		return s.kill(now, Failure{Reason: TargetProblem, Detail: hello.Problem})
	}
	if !s.version.CompatibleWith(hello.Version) {
		return s.fail(now, IncompatibleVersion)
	}
	s.enter(WarmingUp, now)
	return []SourceEffect{SendState{}}
}

// startProbation tells the target to serve and begins to transfer connections: at once all that are
// idle, and from now on each one that is accepted or becomes idle.
func (s *Source) startProbation(now time.Duration) []SourceEffect {
	s.enter(Probation, now)
	effects := []SourceEffect{SendServe{}}
	for _, id := range s.connections.idle() {
		effects = append(effects, s.transfer(id)...)
	}
	return effects
}

func (s *Source) handleHeartbeat(now time.Duration, heartbeat TargetHeartbeat) []SourceEffect {
	s.probation.count(heartbeat)
	result, reason := s.probation.evaluate(s.cfg, now-s.phaseSince, heartbeat.InFlight)
	switch result {
	case probationFailed:
		return s.fail(now, reason)
	case probationPassed:
		return s.commit(now)
	}
	return nil
}

// commit makes the target the permanent owner of the listener and of the transferred connections.
// From now on the upgrade can't be revoked.
func (s *Source) commit(now time.Duration) []SourceEffect {
	s.enter(Finishing, now)
	effects := []SourceEffect{StopAccepting{}, SendCommit{}}
	effects = append(effects, s.connections.releaseTransferred()...)
	effects = append(effects, ReportOutcome{})
	return append(effects, s.exitIfDone()...)
}

// connectionIdle handles a connection without a request in flight, which can be transferred.
func (s *Source) connectionIdle(id ConnID) []SourceEffect {
	c := s.connections.local(id)
	if c == nil {
		return nil
	}
	c.busy = false
	if !s.transferring() {
		return nil
	}
	return append(s.transfer(id), s.exitIfDone()...)
}

// transfer moves a connection to the target. Until ownership is committed the source keeps a
// duplicate of its descriptor, so that it can reclaim the connection.
func (s *Source) transfer(id ConnID) []SourceEffect {
	if s.phase == Finishing { // connections are not reclaimed any more
		s.connections.remove(id)
		return []SourceEffect{TransferConnection{id}, ReleaseDuplicate{id}}
	}
	c := s.connections.find(id)
	c.transferred = true
	c.busy = false
	c.request = Request{}
	return []SourceEffect{TransferConnection{id}}
}

// exitIfDone ends the process once it is in Finishing and has no connections left.
func (s *Source) exitIfDone() []SourceEffect {
	if s.phase != Finishing || !s.connections.empty() {
		return nil
	}
	s.phase = Exited
	return []SourceEffect{Exit{}}
}

func (s *Source) checkTimeouts(now time.Duration) []SourceEffect {
	elapsed := now - s.phaseSince
	switch {
	case s.phase == AwaitingHello && elapsed >= s.cfg.HelloTimeout:
		return s.fail(now, HelloTimedOut)
	case s.phase == WarmingUp && elapsed >= s.cfg.WarmUpTimeout:
		return s.fail(now, WarmUpTimedOut)
	case s.phase == Probation && now-s.probation.lastMessage >= s.cfg.HeartbeatTimeout:
		return s.fail(now, HeartbeatTimedOut)
	}
	return nil
}

func (s *Source) fail(now time.Duration, reason FailureReason) []SourceEffect {
	return s.kill(now, Failure{Reason: reason})
}

// kill ends the target. No connection is reclaimed before the target is known to be dead, as until
// then it may still write to its connections.
func (s *Source) kill(now time.Duration, failure Failure) []SourceEffect {
	s.failure = failure
	s.enter(RollingBack, now)
	return []SourceEffect{KillTarget{}}
}

// targetExited handles the death of the target. If ownership was not committed yet, all
// transferred connections are reclaimed, and a shutdown that was requested begins. If it was
// committed, the target's connections are lost, and this process, which still completes its
// requests in flight, accepts new connections again, even if a shutdown was requested.
func (s *Source) targetExited(now time.Duration) []SourceEffect {
	switch s.phase {
	case Idle, Exited:
		return nil
	case Finishing:
		s.enter(Idle, now)
		return []SourceEffect{StartAccepting{}, ReportOutcome{Failure{Reason: OwnerDied}}}
	case AwaitingHello, WarmingUp, Probation:
		s.failure = Failure{Reason: TargetDied}
	case RollingBack: // kill has set s.failure
	}
	s.enter(Idle, now)
	effects := append(s.connections.reclaimTransferred(), ReportOutcome{s.failure})
	if s.stopRequested {
		effects = append(effects, BeginShutdown{})
	}
	return effects
}
