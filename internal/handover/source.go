package handover

import (
	"log/slog"
	"os"
	"time"

	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
)

const (
	// pollInterval is the time between two checks for connections that have become idle.
	pollInterval = 2 * time.Millisecond
	// memoryCheckInterval is the time between two checks of the target's memory.
	memoryCheckInterval = 200 * time.Millisecond
)

// SourceOptions configure a Source. The functions are called on the loop's goroutine.
type SourceOptions struct {
	Program Program // started by an upgrade that names no other program
	Config  decide.Config
	// State returns the state of this process. Clock and Shared are set by the Source.
	State func() *ProcessState
	// Counters returns a copy of this process's counters.
	Counters func() map[string]int64
	// BeginShutdown starts the graceful shutdown of this process.
	BeginShutdown func()
	// OnHandedOver is called when the target becomes the owner; it may be nil.
	OnHandedOver func()
	// OnServingResumed is called when this process accepts connections again, because the target has died
	// as the owner; it may be nil.
	OnServingResumed func()
	// SentKeys remembers where requests with an idempotency key were sent; it may be nil.
	SentKeys SentKeyStore
	// Exit ends this process. It is called when the target is the owner and all connections are
	// transferred or closed.
	Exit func()
}

// Progress reports a step of an upgrade to its requester.
type Progress struct {
	Phase   string // name of the current phase, as returned by Source.Phase
	Problem string // why the upgrade failed; empty if it has not failed
	Done    bool   // the upgrade has ended and no other report follows
}

// Source hands the work of this process over to a target, and reclaims it if the upgrade fails.
type Source struct {
	loop     *netio.Loop
	frontend Frontend
	opts     SourceOptions
	counters *metrics.Counters
	log      *slog.Logger
	quality  answerQuality

	machine     *decide.Source // nil before the first upgrade
	attempt     upgradeAttempt
	target      *targetProcess // nil if no target is running
	connections connectionTable
	effects     effectQueue
	pollTimer   *timerqueue.Timer
}

// upgradeAttempt holds the state of the upgrade in progress, or of the last one.
type upgradeAttempt struct {
	program         Program
	onProgress      func(Progress)
	startedAt       time.Duration
	reportedPhase   decide.Phase     // phase that was last logged and reported
	build           string           // build of the target, from its Hello
	readsSentKeys   bool             // the target knows SentKeyChanged, from its Hello
	countersSent    map[string]int64 // counters that were sent with the state
	memoryCheckedAt time.Duration    // when the target's memory was last checked
}

// NewSource returns a Source for this process and starts sampling its answers.
func NewSource(loop *netio.Loop, frontend Frontend, opts SourceOptions, counters *metrics.Counters, log *slog.Logger) *Source {
	s := &Source{loop: loop, frontend: frontend, opts: opts, counters: counters, log: log}
	s.sampleQuality()
	return s
}

// sampleQuality updates the usual failure rate of this process's answers, with which the target's
// is compared.
func (s *Source) sampleQuality() {
	s.quality.sample(AnswerTotals(s.counters))
	s.loop.Timers.Add(s.loop.Now()+qualitySampleInterval, s.sampleQuality)
}

// Phase returns the name of the current phase; "idle" if no upgrade is in progress.
func (s *Source) Phase() string { return s.phase().String() }

func (s *Source) phase() decide.Phase {
	if s.machine == nil {
		return decide.Idle
	}
	return s.machine.Phase()
}

// InProgress reports whether an upgrade is in progress.
func (s *Source) InProgress() bool { return s.phase() != decide.Idle }

// Program returns the program that an upgrade starts by default.
func (s *Source) Program() Program { return s.opts.Program }

// Upgrade starts an upgrade to a program. onProgress is called for each phase, and once with Done
// set at the end. If another upgrade is in progress, none is started, and onProgress is called once,
// with the Problem and Done set.
func (s *Source) Upgrade(p Program, onProgress func(Progress)) {
	if s.InProgress() {
		onProgress(Progress{Phase: s.Phase(), Problem: "another upgrade is under way", Done: true})
		return
	}
	s.machine = decide.NewSource(s.opts.Config, Version)
	s.attempt = upgradeAttempt{
		program: p, onProgress: onProgress, startedAt: s.loop.Now(), memoryCheckedAt: s.attempt.memoryCheckedAt,
	}
	s.connections.reset()
	for c := range s.loop.Conns() {
		t := transferableHandler(c)
		if t == nil || t.Closing() {
			continue
		}
		s.machine.Step(s.loop.Now(), decide.ConnectionAccepted{Conn: s.connections.add(c)})
	}
	s.frontend.OnAccept(s.connectionAccepted)
	s.step(decide.UpgradeRequested{UsualFailureRate: s.quality.failureRate})
}

// connectionAccepted adds a new connection. It does so in the loop's next iteration, because the
// connection has no handler before that.
func (s *Source) connectionAccepted(c *netio.Conn) {
	s.loop.Post(func() {
		if s.InProgress() && transferableHandler(c) != nil {
			s.step(decide.ConnectionAccepted{Conn: s.connections.add(c)})
		}
	})
}

// Shutdown requests a graceful shutdown while an upgrade is in progress. The upgrade is cancelled
// first unless the target is already the owner. Shutdown returns false if no upgrade is in progress:
// then the caller has to shut down itself.
func (s *Source) Shutdown() bool {
	if !s.InProgress() {
		return false
	}
	s.step(decide.StopRequested{})
	return true
}

// ForwardReload tells the target, if there is one, to reload its files.
func (s *Source) ForwardReload() {
	if s.InProgress() && s.target != nil {
		_ = s.target.channel.Send(&Reload{}) // an error means that the target has died, and then no reload is needed
	}
}

// send sends a message to the target, if there is one. An error is only logged.
func (s *Source) send(m Message, fds ...int) {
	if s.target == nil {
		return
	}
	if err := s.target.channel.Send(m, fds...); err != nil { // the target has died; its exit is reported separately
		s.log.Warn("upgrade.unsent", "error", err)
	}
}

// poll checks for changes that no message reports: idle and closed connections, the target's memory
// and timeouts. It reschedules itself while an upgrade is in progress.
func (s *Source) poll() {
	s.pollTimer.Stop()
	if !s.InProgress() {
		return
	}
	now := s.loop.Now()
	s.pollTimer = s.loop.Timers.Add(now+pollInterval, s.poll)
	phase := s.machine.Phase()
	transferring := phase == decide.Probation || phase == decide.Finishing
	if transferring && s.effects.empty() { // otherwise transfers are still pending
		s.updateConnections()
	}
	if s.target != nil && now-s.attempt.memoryCheckedAt >= memoryCheckInterval {
		s.attempt.memoryCheckedAt = now
		s.step(decide.TargetMemory{Bytes: metrics.ResidentBytes(s.target.pid())})
	}
	s.step(decide.Tick{})
}

// startForwarding forwards changes of the frontend's shared state, and calls that it can't answer, to
// the target.
func (s *Source) startForwarding() {
	s.forwardSentKeys()
	s.frontend.OnSharedStateChange(func(b []byte) { s.send(&SharedState{b}) })
	s.frontend.OnUnknownRequest(func(b []byte) { s.send(&ForwardedCall{b}) })
}

// stopForwarding undoes startForwarding.
func (s *Source) stopForwarding() {
	s.stopForwardingSentKeys()
	s.frontend.OnSharedStateChange(nil)
	s.frontend.OnUnknownRequest(nil)
}

// reportOutcome logs and counts the result of the upgrade and reports it to the requester.
func (s *Source) reportOutcome(failure decide.Failure) {
	s.stopForwarding()
	took := s.loop.Now() - s.attempt.startedAt
	if failure.Failed() {
		s.counters.Inc("upgrade.returned")
		s.log.Warn("upgrade.returned", "why", failure.String(), "took", took)
	} else {
		s.counters.Inc("upgrade.done")
		s.log.Info("upgrade.done", "took", took, "build", s.attempt.build, "in_flight", s.connections.localCount())
		if s.target != nil { // requests that this process still completes may change the shared state
			s.startForwarding()
		}
	}
	s.attempt.onProgress(Progress{Phase: s.Phase(), Problem: failure.String(), Done: true})
}

// exit sends the target what this process has counted since the state was sent, and ends the process.
func (s *Source) exit() {
	increments := s.opts.Counters()
	for name, n := range s.attempt.countersSent {
		increments[name] -= n
	}
	s.send(&CounterIncrements{increments})
	s.log.Info("upgrade.exit", "pid", os.Getpid())
	s.opts.Exit()
}
