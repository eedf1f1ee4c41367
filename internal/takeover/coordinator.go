// Package takeover lets a process that the platform starts beside a running one take its place:
// state passes through a folder that both see. internal/decide/takeover decides what they do.
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

// scanEvery is how often a process looks for others: a new one waits twice that for the state of
// the old one, of the 6 s that the platform gives it. A scan of a folder where nothing has
// changed takes some 20 us.
const scanEvery = 100 * time.Millisecond

// Options configure a Coordinator. The functions are called on the loop.
type Options struct {
	// EventSourceSum is a checksum of the configuration of endpoint lists. The event numbers of two
	// processes are the same only if it is.
	EventSourceSum uint64
	State          func() *handover.ProcessState      // of this process
	ApplyState     func(*handover.ProcessState) error // goes on from another process's state
	// StartAlone serves from the configuration: there is nobody to take over from.
	StartAlone func()
	// OnLimitShare is called with the part of the limits that this process may use, when that changes.
	OnLimitShare func(share float64)
	// OnReplaced is called once another process serves in this one's place and this one was told to
	// shut down.
	OnReplaced func()
}

// Coordinator is this process among those of its front end. It belongs to the loop's goroutine.
type Coordinator struct {
	loop   *netio.Loop
	core   *core.Core
	folder *Folder
	opts   Options
	log    *slog.Logger

	self       decide.Process
	others     []decide.Process // at the latest scan
	limitShare float64
	replaced   bool
}

// New enters the folder. Start must follow.
func New(loop *netio.Loop, c *core.Core, dir string, opts Options, log *slog.Logger) (*Coordinator, error) {
	folder, err := OpenFolder(dir)
	if err != nil {
		return nil, err
	}
	return &Coordinator{
		loop: loop, core: c, folder: folder, opts: opts, log: log, limitShare: 1,
		self: decide.Process{ID: folder.Self(), StartedAt: loop.Now()},
	}, nil
}

// Start announces this process and takes over if another one serves. StartAlone or ApplyState is
// called once, maybe before Start returns.
func (c *Coordinator) Start() {
	c.write()
	c.core.OnOverridesChanged(c.write)
	c.scanRepeatedly()
}

// ShuttingDown tells the others that this process was told to shut down.
func (c *Coordinator) ShuttingDown() {
	c.self.ShuttingDown = true
	c.write()
	if c.self.Ready {
		c.scan()
	}
}

// Close tells the others that this process is over.
func (c *Coordinator) Close() { c.folder.Close() }

// write replaces this process's file. If it can't, as there is no space, the process goes on:
// another one starts from its configuration then.
func (c *Coordinator) write() {
	s := State{Process: c.self, Overrides: c.core.Overrides(), EventSourceSum: c.opts.EventSourceSum}
	if c.self.StateWritten {
		encoded, err := c.opts.State().Encode()
		if err != nil {
			c.log.Error("takeover.state", "error", err)
		}
		s.ProcessState = encoded
	}
	if err := c.folder.Write(&s); err != nil {
		c.log.Error("takeover.state", "error", err, "then", "a process that takes over does not hear of it")
	}
}

func (c *Coordinator) scanRepeatedly() {
	c.scan()
	c.loop.Timers.Add(c.loop.Now()+scanEvery, c.scanRepeatedly)
}

// scan reads the states of the other processes and does what follows from them.
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
	if share := decide.LimitShare(c.others); share != c.limitShare {
		c.limitShare = share
		c.opts.OnLimitShare(share)
	}
	if c.self.Ready {
		c.writeIfWanted()
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

// updateOthers takes the processes and the operators' overrides from the states. New overrides
// are written at once: the next process to start may find this one alone.
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
		c.write()
	}
}

// writeIfWanted writes this process's state if another one waits for it, and frees its disk
// space again once nobody does.
func (c *Coordinator) writeIfWanted() {
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
	c.write()
}

// checkReplaced calls OnReplaced once.
func (c *Coordinator) checkReplaced() {
	if c.self.ShuttingDown && !c.replaced && decide.Replaced(c.self, c.others) {
		c.replaced = true
		c.opts.OnReplaced()
	}
}

// takeOver goes on from another process's state.
func (c *Coordinator) takeOver(s State) {
	if err := c.applyState(s); err != nil {
		c.log.Error("takeover.failed", "from", s.ID, "error", err)
		c.startAlone()
		return
	}
	c.log.Info("takeover.completed", "from", s.ID, "after", c.loop.Now()-c.self.StartedAt)
	c.setReady()
}

func (c *Coordinator) applyState(s State) error {
	state, unknown, err := handover.DecodeProcessState(s.ProcessState)
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		c.log.Warn("takeover.unknown-sections", "sections", unknown, "then", "they are ignored")
	}
	if s.EventSourceSum != c.opts.EventSourceSum { // its event numbers mean nothing here
		state.LastEvent = 0
	}
	return c.opts.ApplyState(state)
}

func (c *Coordinator) startAlone() {
	if len(c.others) > 0 {
		c.log.Warn("takeover.alone", "others", len(c.others), "why", "no process wrote its state in time")
	}
	c.opts.StartAlone()
	c.setReady()
}

// setReady announces that this process serves.
func (c *Coordinator) setReady() {
	c.self.Ready = true
	c.write()
}
