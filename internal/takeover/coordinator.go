// Package takeover lets a process that the platform has started next to a running one take over from
// it. The processes exchange their states as files in a shared folder. Package
// internal/decide/takeover decides which process takes over, and when.
package takeover

import (
	"log/slog"
	"slices"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/takeover"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
)

// scanInterval is the time between two scans for the files of other processes. A new process waits two
// intervals for the state of the old one (a scan by each of them), out of the 6 s that the platform
// allows it for becoming ready. A scan of a folder without changes takes about 20 us.
const scanInterval = 100 * time.Millisecond

// Options configure a Coordinator. The functions are called on the loop's goroutine.
type Options struct {
	// EventSourceChecksum is a checksum of the configuration of endpoint lists. Two processes number events
	// in the same way only if their checksums are equal.
	EventSourceChecksum uint64
	State               func() *handover.ProcessState      // returns the state of this process
	ApplyState          func(*handover.ProcessState) error // applies another process's state to this one
	// StartAlone starts serving from the configuration, without another process's state.
	StartAlone func()
	// OnLimitShare is called with the share of the limits that this process may use, 0 to 1, when the
	// share changes.
	OnLimitShare func(share float64)
	// OnReplaced is called once, when this process was told to shut down and another process serves in
	// its place.
	OnReplaced func()
}

// Coordinator coordinates this process with the other processes of the same front end. It must be used
// only on the loop's goroutine.
type Coordinator struct {
	loop   *netio.Loop
	core   *core.Core
	folder *Folder
	sent   *SentIDs
	opts   Options
	log    *slog.Logger

	self       decide.Process   // this process, as announced to the others
	others     []decide.Process // as of the latest scan
	limitShare float64          // share of the limits at the latest call of OnLimitShare; 1 before the first
	replaced   bool             // OnReplaced was called
}

// New opens the folder dir, in which this process gets an ID. The caller has to call Start.
func New(loop *netio.Loop, c *core.Core, dir string, opts Options, log *slog.Logger) (*Coordinator, error) {
	folder, err := OpenFolder(dir)
	if err != nil {
		return nil, err
	}
	journals := takeJournalsOfDead(folder) // before the files of dead processes are removed
	adoptClock(loop, folder, log)
	sent := newSentIDs(folder, loop, c, log)
	c.SetSentIDExchange(sent)
	for _, content := range journals {
		replayJournal(content, loop, c)
	}
	c.AnnounceSent(sent) // should this process die too
	return &Coordinator{
		loop: loop, core: c, folder: folder, sent: sent, opts: opts, log: log, limitShare: 1,
		self: decide.Process{ID: folder.Self(), StartedAt: loop.Now()},
	}, nil
}

// adoptClock sets the clock of this process to that of another process in the folder, if there is one. They compare their
// starts and pass on instants, and the system's time may have been stepped since the other one started.
func adoptClock(loop *netio.Loop, folder *Folder, log *slog.Logger) {
	states, err := folder.Others()
	if err != nil { // the first scan logs it
		return
	}
	for _, state := range states {
		if state.Clock == (handover.Clock{}) {
			continue
		}
		step := loop.Now()
		loop.AdoptClock(state.Clock.Current())
		log.Info("takeover.clock", "from", state.ID, "step", loop.Now()-step)
		return
	}
}

// Start announces this process to the others and takes over if another one serves. It leads to a call of
// ApplyState, or of StartAlone if there is no state or it can't be applied. The call may come before
// Start returns.
func (c *Coordinator) Start() {
	c.writeState()
	c.core.OnOverridesChanged(c.writeState)
	c.scanRepeatedly()
}

// AnnounceShutdown announces to the others that this process was told to shut down, and checks whether it
// has already been replaced.
func (c *Coordinator) AnnounceShutdown() {
	c.self.ShuttingDown = true
	c.writeState()
	if c.self.Ready {
		c.scan()
	}
}

// Close removes this process's files, which tells the others that it has ended. What it has sent stays for a process that
// starts soon after, if there is none now that has read it.
func (c *Coordinator) Close() {
	if len(c.others) > 0 || !c.sent.hasSent() {
		c.folder.Close()
		return
	}
	c.folder.CloseKeepingJournal()
}

// writeState replaces this process's state file. If that fails, for example because the disk is full,
// this process continues; a process that would take over from it then starts from its configuration.
func (c *Coordinator) writeState() {
	s := State{Process: c.self, Clock: handover.ReadClock(c.loop), Overrides: c.core.Overrides(), EventSourceChecksum: c.opts.EventSourceChecksum}
	if c.self.StateWritten {
		encoded, err := c.opts.State().Encode()
		if err != nil {
			c.log.Error("takeover.state", "error", err)
		}
		s.ProcessState = encoded
	}
	if err := c.folder.Write(&s); err != nil {
		c.log.Error("takeover.state", "error", err, "then", "processes that take over don't see the change")
	}
}

// scanRepeatedly scans now and after each scanInterval.
func (c *Coordinator) scanRepeatedly() {
	c.scan()
	c.loop.Timers.Add(c.loop.Now()+scanInterval, c.scanRepeatedly)
}

// scan reads the states of the other processes and acts on them: it updates the limit share, and takes
// over or starts alone if this process does not serve yet. If the folder can't be read, a process that
// does not serve yet starts alone.
func (c *Coordinator) scan() {
	states, err := c.folder.Others()
	if err != nil {
		c.log.Error("takeover.scan", "error", err)
		if !c.self.Ready {
			c.startAlone()
		}
		return
	}
	c.updateOthers(states)
	c.sent.update(len(states), c.core)
	if share := decide.LimitShare(c.others); share != c.limitShare {
		c.limitShare = share
		c.opts.OnLimitShare(share)
	}
	if c.self.Ready {
		c.updateStateFile()
		c.checkReplaced()
		return
	}
	switch action, from := decide.NextAction(c.self, c.others, c.loop.Now()); action {
	case decide.Wait:
	case decide.StartAlone:
		c.startAlone()
	case decide.TakeOver:
		for _, s := range states {
			if s.ID == from {
				c.takeOver(s)
			}
		}
	}
}

// updateOthers stores the other processes and merges the operators' overrides from their states. New
// overrides are written at once, because this process may be the only one that the next process to
// start finds.
func (c *Coordinator) updateOthers(states []State) {
	c.others = c.others[:0]
	changed := false
	for _, s := range states {
		c.others = append(c.others, s.Process)
		if c.core.MergeOverrides(s.Overrides) {
			changed = true
		}
	}
	if changed {
		c.writeState()
	}
}

// updateStateFile rewrites this process's file if it has found other processes than before, or if the
// need for its ProcessState has changed. The file includes that state while another process waits
// for it. Once none does, it is removed from the file, which frees disk space.
func (c *Coordinator) updateStateFile() {
	known := make([]string, 0, len(c.others))
	for _, other := range c.others {
		known = append(known, other.ID)
	}
	wanted := decide.StateWanted(c.self, c.others)
	if slices.Equal(known, c.self.KnownProcesses) && wanted == c.self.StateWritten {
		return
	}
	c.self.KnownProcesses = known
	c.self.StateWritten = wanted
	c.writeState()
}

// checkReplaced calls OnReplaced, once only, if this process is shutting down and has been replaced.
func (c *Coordinator) checkReplaced() {
	if c.self.ShuttingDown && !c.replaced && decide.Replaced(c.self, c.others) {
		c.replaced = true
		c.opts.OnReplaced()
	}
}

// takeOver applies another process's state and starts serving. If that fails, this process starts
// alone.
func (c *Coordinator) takeOver(s State) {
	if err := c.applyState(s); err != nil {
		c.log.Error("takeover.failed", "from", s.ID, "error", err)
		c.startAlone()
		return
	}
	c.log.Info("takeover.completed", "from", s.ID, "after", c.loop.Now()-c.self.StartedAt)
	c.setReady()
}

// applyState decodes and applies another process's state.
func (c *Coordinator) applyState(s State) error {
	state, unknown, err := handover.DecodeProcessState(s.ProcessState)
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		c.log.Warn("takeover.unknown-sections", "sections", unknown, "then", "they are ignored")
	}
	if s.EventSourceChecksum != c.opts.EventSourceChecksum { // it numbers events differently
		state.LastEvent = 0
	}
	return c.opts.ApplyState(state)
}

// startAlone starts serving without another process's state.
func (c *Coordinator) startAlone() {
	if len(c.others) > 0 {
		c.log.Warn("takeover.alone", "others", len(c.others), "why", "no process wrote its state in time")
	}
	c.opts.StartAlone()
	c.setReady()
}

// setReady announces to the others that this process serves.
func (c *Coordinator) setReady() {
	c.self.Ready = true
	c.writeState()
}
