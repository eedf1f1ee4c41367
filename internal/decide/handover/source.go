package handover

import "time"

// Source is the state machine of the process that serves and hands over. Its zero value is not
// ready: use NewSource.
type Source struct {
	cfg           Config
	version       Version
	phase         Phase
	phaseSince    time.Duration
	probation     probation
	failure       Failure // why the target is killed
	stopRequested bool    // a graceful shutdown waits for the end of the upgrade
	connections   connectionTable
}

// NewSource returns the machine of a process that serves.
func NewSource(cfg Config, v Version) *Source { return &Source{cfg: cfg, version: v} }

// Failure is why the target was killed, or died.
func (s *Source) Failure() Failure { return s.failure }

// Phase is the state of the upgrade.
func (s *Source) Phase() Phase { return s.phase }

// Step takes one event and returns what to do, in order.
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
		if s.transferring() { // accepted just before the listener was the target's
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
	return s.phase == Greeting || s.phase == Warming || s.phase == Probation
}

// transferring reports whether connections go to the target as soon as they are idle.
func (s *Source) transferring() bool { return s.phase == Probation || s.phase == Finishing }

func (s *Source) startUpgrade(now time.Duration, event UpgradeRequested) []SourceEffect {
	if s.phase != Idle || s.stopRequested {
		return []SourceEffect{ReportOutcome{Failure{Reason: AnotherUpgradeInProgress}}}
	}
	s.enter(Greeting, now)
	s.probation = newProbation(s.cfg.MaxFailureRate, event.UsualFailureRate, now)
	s.failure = Failure{}
	return []SourceEffect{StartTarget{}}
}

// requestStop takes the request for a graceful shutdown: an upgrade that can still be revoked
// is given up first. Otherwise the shutdown follows once the target is dead, or the end of this
// process is near anyway.
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

// handleMessage takes a message of the target. Records count in every phase, also while it is
// being killed: what it wrote last is read after its death.
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
		if s.phase == Greeting {
			return s.handleHello(now, message)
		}
	case TargetReady:
		if s.phase == Warming {
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
	s.enter(Warming, now)
	return []SourceEffect{SendState{}}
}

// startProbation begins the transfer: every connection that is idle is transferred, and so is
// each that is accepted from here on.
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
	verdict, reason := s.probation.judge(s.cfg, now-s.phaseSince, heartbeat.InFlight)
	switch verdict {
	case verdictFailed:
		return s.fail(now, reason)
	case verdictPassed:
		return s.commit(now)
	}
	return nil
}

// commit makes the target the owner for good.
func (s *Source) commit(now time.Duration) []SourceEffect {
	s.enter(Finishing, now)
	effects := []SourceEffect{StopAccepting{}, SendCommit{}}
	effects = append(effects, s.connections.releaseTransferred()...)
	effects = append(effects, ReportOutcome{})
	return append(effects, s.exitIfDone()...)
}

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

func (s *Source) transfer(id ConnID) []SourceEffect {
	if s.phase == Finishing { // nothing is reclaimed any more
		s.connections.remove(id)
		return []SourceEffect{TransferConnection{id}, ReleaseDuplicate{id}}
	}
	c := s.connections.find(id)
	c.transferred = true
	c.busy = false
	c.request = Request{}
	return []SourceEffect{TransferConnection{id}}
}

// exitIfDone ends the process once no request is in flight here.
func (s *Source) exitIfDone() []SourceEffect {
	if s.phase != Finishing || !s.connections.empty() {
		return nil
	}
	s.phase = Exited
	return []SourceEffect{Exit{}}
}

func (s *Source) checkTimeouts(now time.Duration) []SourceEffect {
	spent := now - s.phaseSince
	switch {
	case s.phase == Greeting && spent >= s.cfg.GreetTimeout:
		return s.fail(now, GreetTimedOut)
	case s.phase == Warming && spent >= s.cfg.WarmTimeout:
		return s.fail(now, WarmTimedOut)
	case s.phase == Probation && now-s.probation.lastMessage >= s.cfg.HeartbeatTimeout:
		return s.fail(now, HeartbeatTimedOut)
	}
	return nil
}

func (s *Source) fail(now time.Duration, reason FailureReason) []SourceEffect {
	return s.kill(now, Failure{Reason: reason})
}

// kill ends the target. Nothing is reclaimed before it is known to be dead: until then it may
// still write to its connections.
func (s *Source) kill(now time.Duration, failure Failure) []SourceEffect {
	s.failure = failure
	s.enter(Returning, now)
	return []SourceEffect{KillTarget{}}
}

// targetExited reclaims everything if the target died before it was the owner. If it dies later
// its connections are lost, but while this process lives it serves again.
func (s *Source) targetExited(now time.Duration) []SourceEffect {
	switch s.phase {
	case Idle, Exited:
		return nil
	case Finishing:
		s.enter(Idle, now)
		return []SourceEffect{StartAccepting{}, ReportOutcome{Failure{Reason: OwnerDied}}}
	case Greeting, Warming, Probation:
		s.failure = Failure{Reason: TargetDied}
	case Returning: // its failure is known
	}
	s.enter(Idle, now)
	effects := append(s.connections.reclaimTransferred(), ReportOutcome{s.failure})
	if s.stopRequested {
		effects = append(effects, BeginShutdown{})
	}
	return effects
}
