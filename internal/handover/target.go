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

// heartbeatEvery is how often the target says that it lives.
const heartbeatEvery = 100 * time.Millisecond

// TargetOptions configure a Target. The functions are called on the loop.
type TargetOptions struct {
	ApplyState func(*ProcessState) error // goes on from the source's state
	OnOwner    func()                    // this process is the owner for good
	Reload     func()                    // has the files read again
	Abort      func()                    // ends the process, which is no owner
}

// Target takes over from another process.
type Target struct {
	loop     *netio.Loop
	core     *core.Core
	frontend Frontend
	channel  *Channel
	opts     TargetOptions
	stats    *metrics.Counters
	log      *slog.Logger

	machine      *decide.Target
	build        string
	sourceExited bool
	reported     struct{ successes, failures int64 } // answers up to the latest heartbeat
	recorders    map[core.Client]*recorder
}

// NewTarget returns a Target that speaks to its source over the channel. Begin must follow.
func NewTarget(loop *netio.Loop, c *core.Core, frontend Frontend, ch *Channel, opts TargetOptions, counters *metrics.Counters, log *slog.Logger) *Target {
	return &Target{
		loop: loop, core: c, frontend: frontend, channel: ch, opts: opts, stats: counters, log: log,
		machine: decide.NewTarget(Version), recorders: map[core.Client]*recorder{},
	}
}

// Begin says hello and begins to read the channel. The goroutine that reads it ends with the
// channel, when the source has died or left.
func (t *Target) Begin(build string) {
	t.core.OnFirstSend(t.recordRequest)
	t.frontend.OnSharedChange(func(b []byte) { t.send(&SharedState{b}) })
	t.frontend.OnUnknownCall(func(b []byte) { t.send(&ForwardedCall{b}) })
	go func() {
		err := t.channel.Read(func(m Message, fds []int) { t.loop.Post(func() { t.handleMessage(m, fds) }) })
		t.loop.Post(func() { t.channelEnded(err) })
	}()
	t.build = build
	t.step(decide.TargetStarted{})
	t.sendHeartbeats()
}

// SourceExited reports whether the source has died or left.
func (t *Target) SourceExited() bool { return t.sourceExited }

// Owner reports whether this process is the owner for good.
func (t *Target) Owner() bool { return t.machine.Owner() }

func (t *Target) send(m Message) {
	if t.sourceExited {
		return
	}
	if err := t.channel.Send(m); err != nil { // the source has died, which the channel's end tells
		t.log.Debug("upgrade.unsent", "error", err)
	}
}

// sendHeartbeats sends a heartbeat now and again, until this process is the owner.
func (t *Target) sendHeartbeats() {
	if t.machine.Owner() {
		return
	}
	if t.machine.Serving() {
		successes, failures := CountAnswers(t.stats)
		t.send(&Heartbeat{
			Successes: int(successes - t.reported.successes),
			Failures:  int(failures - t.reported.failures),
			InFlight:  t.core.Unanswered(),
		})
		t.setReported(successes, failures)
	}
	t.loop.Timers.Add(t.loop.Now()+heartbeatEvery, t.sendHeartbeats)
}

func (t *Target) setReported(successes, failures int64) {
	t.reported.successes = successes
	t.reported.failures = failures
}

func (t *Target) step(event decide.TargetEvent) {
	for _, effect := range t.machine.Step(event) {
		switch e := effect.(type) {
		case decide.SendHello:
			t.send(&Hello{Major: e.Version.Major, Minor: e.Version.Minor, Problem: e.Problem, Build: t.build})
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
		case decide.ApplyState, decide.AdoptConnection: // was done with the message
		}
	}
}

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
		t.setReported(CountAnswers(t.stats))
		t.step(decide.ServeRequested{})
	case *OwnershipCommit:
		t.step(decide.OwnershipCommitted{})
	case *Reload:
		t.opts.Reload()
	case *CounterIncrements:
		for name, n := range m.Counters {
			t.stats.AddN(name, n)
		}
	case *SharedState:
		if err := t.frontend.ApplySharedState(m.Data); err != nil {
			t.log.Warn("upgrade.shared", "error", err)
		}
	case *ForwardedCall:
		t.frontend.HandleForwardedCall(m.Data)
	default:
		t.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}

// applyState goes on from the source's state. If it can't, this process is not ready: it ends,
// and the source goes on.
func (t *Target) applyState(m *State) {
	t.step(decide.StateReceived{})
	state, unknown, err := m.decode()
	for _, name := range unknown {
		t.log.Warn("upgrade.section-passed-by", "section", name)
	}
	if err == nil {
		t.loop.AdvanceClock(state.Clock.Now + monotonicNow() - state.Clock.Monotonic)
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

// receiveConnection makes a connection of the source this process's own.
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
	t.stats.Add("upgrade.adopted")
	t.step(decide.ConnectionReceived{Conn: decide.ConnID(m.Conn)})
}

// attach puts a connection into the loop. It owns the descriptor.
func (t *Target) attach(m *ConnectionTransfer, fd int) error {
	restore, err := t.frontend.RestoreConnection(m.State)
	if err == nil && m.Frontend != t.frontend.Name() {
		err = fmt.Errorf("it is of the front %q", m.Frontend)
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

// channelEnded takes the channel's end: the source has died, or has left in good order.
func (t *Target) channelEnded(err error) {
	if err != nil {
		t.log.Warn("upgrade.channel", "error", err)
	}
	t.sourceExited = true
	t.frontend.OnSharedChange(nil)
	t.frontend.OnUnknownCall(nil)
	_ = t.channel.Close() // it was read to its end
	t.step(decide.SourceExited{})
}
