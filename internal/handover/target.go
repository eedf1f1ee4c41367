package handover

import (
	"fmt"
	"log/slog"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// heartbeatInterval is the time between two heartbeats of the target.
const heartbeatInterval = 100 * time.Millisecond

// TargetOptions configure a Target. The functions are called on the loop's goroutine.
type TargetOptions struct {
	ApplyState func(*ProcessState) error // applies the source's state to this process
	OnOwner    func()                    // called when this process becomes the owner permanently
	Reload     func()                    // reloads this process's files
	Abort      func()                    // ends this process, which is not the owner
}

// Target takes over the work of another process, the source.
type Target struct {
	loop     *netio.Loop
	core     *core.Core
	frontend Frontend
	channel  *Channel
	opts     TargetOptions
	counters *metrics.Counters
	log      *slog.Logger

	machine      *decide.Target
	build        string                              // build of this program, for the Hello
	sourceExited bool                                // the source has died or exited
	lastReported struct{ successes, failures int64 } // totals of answers at the latest heartbeat, or at Serve
	recorders    map[core.Client]*recorder           // by the handler, if that is a client of the core
}

// NewTarget returns a Target that communicates with its source over ch. The caller has to call Start.
func NewTarget(loop *netio.Loop, c *core.Core, frontend Frontend, ch *Channel, opts TargetOptions, counters *metrics.Counters, log *slog.Logger) *Target {
	return &Target{
		loop: loop, core: c, frontend: frontend, channel: ch, opts: opts, counters: counters, log: log,
		machine: decide.NewTarget(Version), recorders: map[core.Client]*recorder{},
	}
}

// Start sends the Hello, with the build of this program, and starts the heartbeats and a goroutine that
// reads the channel. The goroutine returns when the source has died or exited.
func (t *Target) Start(build string) {
	t.core.OnAttemptsChanged(t.recordRequest)
	t.frontend.OnSharedStateChange(func(b []byte) { t.send(&SharedState{b}) })
	t.frontend.OnUnknownRequest(func(b []byte) { t.send(&ForwardedCall{b}) })
	go func() {
		err := t.channel.Read(func(m Message, fds []int) { t.loop.Post(func() { t.handleMessage(m, fds) }) })
		t.loop.Post(func() { t.channelEnded(err) })
	}()
	t.build = build
	t.step(decide.TargetStarted{})
	t.sendHeartbeats()
}

// SourceExited reports whether the source has died or exited.
func (t *Target) SourceExited() bool { return t.sourceExited }

// Owner reports whether this process is the owner permanently: the source can't reclaim anything.
func (t *Target) Owner() bool { return t.machine.Owner() }

// send sends a message to the source, unless it has exited. An error is only logged.
func (t *Target) send(m Message) {
	if t.sourceExited {
		return
	}
	if err := t.channel.Send(m); err != nil { // the source has died, which is detected at the end of the channel
		t.log.Debug("upgrade.unsent", "error", err)
	}
}

// sendHeartbeats sends a heartbeat each heartbeatInterval while this process serves, until it is the
// owner.
func (t *Target) sendHeartbeats() {
	if t.machine.Owner() {
		return
	}
	if t.machine.Serving() {
		successes, failures := AnswerTotals(t.counters)
		t.send(&Heartbeat{
			Successes: int(successes - t.lastReported.successes),
			Failures:  int(failures - t.lastReported.failures),
			InFlight:  t.core.Unanswered(),
		})
		t.setLastReported(successes, failures)
	}
	t.loop.Timers.Add(t.loop.Now()+heartbeatInterval, t.sendHeartbeats)
}

func (t *Target) setLastReported(successes, failures int64) {
	t.lastReported.successes = successes
	t.lastReported.failures = failures
}

// step passes an event to the state machine and executes the resulting effects.
func (t *Target) step(event decide.TargetEvent) {
	for _, effect := range t.machine.Step(event) {
		switch e := effect.(type) {
		case decide.SendHello:
			t.send(&Hello{Major: e.Version.Major, Minor: e.Version.Minor, Problem: e.Problem, Build: t.build, ReadsSentKeys: true})
		case decide.SendReady:
			t.send(&Ready{})
		case decide.StopRecording:
			t.stopRecording()
		case decide.StartAccepting:
			t.frontend.Listener().Resume()
			t.log.Info("upgrade.owner")
			t.opts.OnOwner()
		case decide.Exit:
			t.opts.Abort()
		case decide.ApplyState, decide.AdoptConnection: // already done when the message was handled
		}
	}
}

// handleMessage handles a message from the source.
func (t *Target) handleMessage(m Message, fds []int) {
	if transfer, ok := m.(*ConnectionTransfer); ok {
		t.receiveConnection(transfer, fds)
		return
	}
	closeDescriptors(fds)
	switch m := m.(type) {
	case *State:
		t.applyState(m)
	case *Serve:
		t.setLastReported(AnswerTotals(t.counters))
		t.step(decide.ServeRequested{})
	case *OwnershipCommit:
		t.step(decide.OwnershipCommitted{})
	case *Reload:
		t.opts.Reload()
	case *CounterIncrements:
		for name, n := range m.Counters {
			t.counters.AddN(name, n)
		}
	case *SharedState:
		if err := t.frontend.ApplySharedState(m.Data); err != nil {
			t.log.Warn("upgrade.shared", "error", err)
		}
	case *SentKeyChanged:
		t.core.ApplySentKey(m.Change.Change())
	case *ForwardedCall:
		t.frontend.HandleForwardedRequest(m.Data)
	default:
		t.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}

// applyState applies the source's state and sets the loop's clock to the source's. If that fails, this
// process aborts without reporting that it is ready, and the source continues to serve.
func (t *Target) applyState(m *State) {
	t.step(decide.StateReceived{})
	state, unknown, err := m.decode()
	for _, name := range unknown {
		t.log.Warn("upgrade.section-passed-by", "section", name)
	}
	if err == nil {
		t.loop.AdoptClock(state.Clock.Current())
		err = t.opts.ApplyState(state)
	}
	if err == nil && len(state.Shared) > 0 {
		err = t.frontend.ApplySharedState(state.Shared)
	}
	if err != nil {
		t.log.Error("upgrade.state", "error", err)
		t.opts.Abort()
		return
	}
	t.step(decide.StateApplied{})
}

// receiveConnection takes over a connection from the source. If that fails, the connection is closed
// and reported to the source as closed. A message without exactly one descriptor is only logged.
func (t *Target) receiveConnection(m *ConnectionTransfer, fds []int) {
	if len(fds) != 1 {
		t.log.Warn("upgrade.odd-message", "kind", m.kind(), "descriptors", len(fds))
		closeDescriptors(fds)
		return
	}
	if err := t.attach(m, fds[0]); err != nil {
		t.log.Warn("upgrade.lost-connection", "error", err)
		t.send(&ConnectionClosed{m.Conn})
		return
	}
	t.counters.Inc("upgrade.adopted")
	t.step(decide.ConnectionReceived{Conn: decide.ConnID(m.Conn)})
}

// attach adds a transferred connection to the loop, with a recorder until this process is the owner.
// It takes ownership of the descriptor.
func (t *Target) attach(m *ConnectionTransfer, fd int) error {
	restore, err := t.frontend.RestoreConnection(m.State)
	if err == nil && m.Frontend != t.frontend.Name() {
		err = fmt.Errorf("connection belongs to frontend %q, want %q", m.Frontend, t.frontend.Name())
	}
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	_, err = t.loop.Attach(fd, t.frontend.ReadLimit(), m.Unread, func(c *netio.Conn) netio.Handler {
		h := restore(c)
		if !t.machine.Owner() {
			c.SetJournal(t.newRecorder(m.Conn, h))
		}
		return h
	})
	return err
}

// channelEnded handles the end of the channel: the source has died or has exited regularly.
func (t *Target) channelEnded(err error) {
	if err != nil {
		t.log.Warn("upgrade.channel", "error", err)
	}
	t.sourceExited = true
	t.frontend.OnSharedStateChange(nil)
	t.frontend.OnUnknownRequest(nil)
	_ = t.channel.Close() // it has been read to its end
	t.step(decide.SourceExited{})
}
