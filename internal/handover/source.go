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
	// pollEvery is how often the source looks for connections that have become idle.
	pollEvery = 2 * time.Millisecond
	// memoryCheckEvery is how often the target's memory is checked.
	memoryCheckEvery = 200 * time.Millisecond
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
	s.step(decide.UpgradeRequested{UsualFailureRate: s.quality.failureRate})
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
