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

// aliveEvery is how often the new process says that it lives.
const aliveEvery = 100 * time.Millisecond

// TargetOptions say what the new process does on its way.
type TargetOptions struct {
	ApplyState func(*ProcessState) error // takes what is known
	OnOwner    func()                    // it is the owner for good
	// Reload has the files read again; Stop ends the process, which is no owner.
	Reload func()
	Abort  func()
}

// Target takes an old process's work over.
type Target struct {
	loop  *netio.Loop
	core  *core.Core
	front Frontend
	ch    *Channel
	opts  TargetOptions
	stats *metrics.Counters
	log   *slog.Logger

	machine   *decide.Target
	build     string
	alone     bool // the old process is dead or has left
	good, bad int64
	journals  map[core.Client]*journal
}

// NewTarget returns what takes over by way of the channel. Begin follows.
func NewTarget(loop *netio.Loop, c *core.Core, front Frontend, ch *Channel, opts TargetOptions, counters *metrics.Counters, log *slog.Logger) *Target {
	return &Target{
		loop: loop, core: c, front: front, ch: ch, opts: opts, stats: counters, log: log,
		machine: decide.NewTarget(Version), journals: map[core.Client]*journal{},
	}
}

// Begin says what this process is and begins to listen to the old one.
func (n *Target) Begin(build string) {
	n.core.OnFirstSend(n.sending)
	n.front.OnSharedChange(func(b []byte) { n.send(&SharedState{b}) })
	n.front.OnUnknownCall(func(b []byte) { n.send(&ForwardedCall{b}) })
	go func() {
		err := n.ch.Read(func(m Message, fds []int) { n.loop.Post(func() { n.message(m, fds) }) })
		n.loop.Post(func() { n.ended(err) })
	}()
	n.build = build
	n.step(decide.TargetStarted{})
	n.alive()
}

// SourceExited tells whether no old process is left.
func (n *Target) SourceExited() bool { return n.alone }

// Owner tells whether this process is the owner for good.
func (n *Target) Owner() bool { return n.machine.Owner() }

func (n *Target) send(m Message) {
	if n.alone {
		return
	}
	if err := n.ch.Send(m); err != nil { // the old process has died, which the channel's end tells
		n.log.Debug("upgrade.unsent", "error", err)
	}
}

func (n *Target) alive() {
	if n.machine.Owner() {
		return
	}
	if n.machine.Serving() {
		good, bad := CountAnswers(n.stats)
		n.send(&Heartbeat{int(good - n.good), int(bad - n.bad), n.core.Unanswered()})
		n.good, n.bad = good, bad
	}
	n.loop.Timers.Add(n.loop.Now()+aliveEvery, n.alive)
}

func (n *Target) step(in any) {
	for _, e := range n.machine.Step(n.loop.Now(), in) {
		switch e := e.(type) {
		case decide.SendHello:
			n.send(&Hello{e.Version.Major, e.Version.Minor, e.Problem, n.build})
		case decide.SendReady:
			n.send(&Ready{})
		case decide.StopRecording:
			n.stopRecording()
		case decide.StartAccepting:
			n.front.Listener().Resume()
			n.log.Info("upgrade.owner")
			n.opts.OnOwner()
		case decide.Exit:
			n.opts.Abort()
		}
	}
}

func (n *Target) message(m Message, fds []int) {
	if _, ok := m.(*ConnectionTransfer); !ok {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
	}
	switch m := m.(type) {
	case *State:
		n.world(m)
	case *Serve:
		good, bad := CountAnswers(n.stats)
		n.good, n.bad = good, bad
		n.step(decide.ServeRequested{})
	case *ConnectionTransfer:
		n.given(m, fds)
	case *OwnershipCommit:
		n.step(decide.OwnershipCommitted{})
	case *Reload:
		n.opts.Reload()
	case *CounterIncrements:
		for name, by := range m.Counters {
			n.stats.AddN(name, by)
		}
	case *SharedState:
		if err := n.front.ApplySharedState(m.Data); err != nil {
			n.log.Warn("upgrade.shared", "error", err)
		}
	case *ForwardedCall:
		n.front.HandleForwardedCall(m.Data)
	default:
		n.log.Warn("upgrade.odd-message", "kind", m.kind())
	}
}

// world takes what the old process knows. Where that can't be read, this process is not
// ready: it ends, and the old one goes on.
func (n *Target) world(w *State) {
	n.step(decide.StateReceived{})
	k, unknown, err := w.decode()
	for _, name := range unknown {
		n.log.Warn("upgrade.section-passed-by", "section", name)
	}
	if err == nil {
		n.loop.AdvanceClock(k.Clock.Now + monotonic() - k.Clock.Monotonic)
		if err = n.opts.ApplyState(k); err == nil && len(k.Shared) > 0 {
			err = n.front.ApplySharedState(k.Shared)
		}
	}
	if err != nil {
		n.log.Error("upgrade.state", "error", err)
		n.opts.Abort()
		return
	}
	n.step(decide.StateApplied{})
}

func (n *Target) given(m *ConnectionTransfer, fds []int) {
	if len(fds) != 1 {
		n.log.Warn("upgrade.odd-message", "kind", m.kind(), "descriptors", len(fds))
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
		return
	}
	restore, err := n.front.RestoreConnection(m.State)
	if err == nil && m.Frontend != n.front.Name() {
		err = fmt.Errorf("it is of the front %q", m.Frontend)
	}
	if err != nil {
		n.log.Warn("upgrade.lost-connection", "error", err)
		_ = unix.Close(fds[0])
		n.send(&ConnectionClosed{m.Conn})
		return
	}
	_, err = n.loop.Attach(fds[0], n.front.ReadLimit(), m.Unread, func(c *netio.Conn) netio.Handler {
		h := restore(c)
		if !n.machine.Owner() {
			j := &journal{new: n, conn: m.Conn}
			j.movable, _ = h.(Transferable)
			if client, ok := h.(core.Client); ok {
				j.client = client
				n.journals[client] = j
			}
			c.SetJournal(j)
		}
		return h
	})
	if err != nil {
		n.log.Warn("upgrade.lost-connection", "error", err)
		n.send(&ConnectionClosed{m.Conn})
		return
	}
	n.stats.Add("upgrade.adopted")
	n.step(decide.ConnectionReceived{Conn: decide.ConnID(m.Conn)})
}

func (n *Target) stopRecording() {
	for c := range n.loop.Conns() {
		if c.HasJournal() {
			c.SetJournal(nil)
		}
	}
	clear(n.journals)
	n.core.OnFirstSend(nil)
}

// ended takes the channel's end: the old process has died, or has left in good order.
func (n *Target) ended(err error) {
	if err != nil {
		n.log.Warn("upgrade.channel", "error", err)
	}
	n.alone = true
	n.front.OnSharedChange(nil)
	n.front.OnUnknownCall(nil)
	_ = n.ch.Close()
	n.step(decide.SourceExited{})
}

// sending records that a request goes to an engine, before it does.
func (n *Target) sending(r *core.Request, at time.Duration) {
	j := n.journals[r.Client]
	if j == nil {
		return
	}
	class, _ := n.core.Class(r.Class)
	n.send(&RequestRecord{j.conn, uint8(class.Idempotency), at, class.DedupWindow, r.Deadline})
}

// journal records one connection.
type journal struct {
	new     *Target
	conn    uint32
	movable Transferable
	client  core.Client
}

func (j *journal) Input(_ *netio.Conn, at int64, b []byte) {
	j.new.send(&InputRecord{j.conn, at, j.new.loop.Now(), b})
}

func (j *journal) Output(c *netio.Conn, at int64, b []byte) {
	m := &OutputRecord{Conn: j.conn, Offset: at, Data: b}
	if h := j.movable; h != nil && (h.Idle() || h.Closing()) {
		m.Idle, m.Closing, m.Consumed = true, h.Closing(), c.ConsumedPosition()
		if !m.Closing {
			m.State = h.EncodeState()
		}
	}
	j.new.send(m)
}

func (j *journal) Ended(*netio.Conn) {
	delete(j.new.journals, j.client)
	j.new.send(&ConnectionClosed{j.conn})
}
