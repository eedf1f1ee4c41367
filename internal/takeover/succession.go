package takeover

import (
	"log/slog"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/takeover"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
)

// lookEvery is how often a process looks for others: a new one waits twice that for what the
// old one knows, of the 6 s that the platform gives it. A look at a folder where nothing has
// changed takes some 20 us.
const lookEvery = 100 * time.Millisecond

// Options are what a process does in its place.
type Options struct {
	EventSourceSum uint64                             // sum of what the configuration told of the roster
	State          func() *handover.ProcessState      // what this process knows
	ApplyState     func(*handover.ProcessState) error // goes on from what another one knows
	// StartAlone serves from the configuration: there is nobody to take over from.
	StartAlone func()
	// OnLimitShare is told the part of the limits that this process may use, when that changes.
	OnLimitShare func(part float64)
	// OnReplaced is called once another process serves in this one's place, by the time that this
	// one was told to end, or later.
	OnReplaced func()
}

// Coordinator is this process among those of its front end. It belongs to the loop's goroutine.
type Coordinator struct {
	loop   *netio.Loop
	core   *core.Core
	folder *Folder
	opts   Options
	log    *slog.Logger

	self     decide.Process
	others   []decide.Process
	share    float64
	replaced bool
}

// New enters the folder. Begin must follow.
func New(loop *netio.Loop, c *core.Core, dir string, opts Options, log *slog.Logger) (*Coordinator, error) {
	folder, err := Open(dir)
	if err != nil {
		return nil, err
	}
	r := &Coordinator{loop: loop, core: c, folder: folder, opts: opts, log: log, share: 1}
	r.self = decide.Process{ID: folder.Self(), Began: loop.Now()}
	return r, nil
}

// Start announces this process, and takes over where another one serves. Alone or Take is
// called once, maybe before Start returns.
func (r *Coordinator) Start() {
	r.write()
	r.core.OnOverridesChanged(r.write)
	r.look()
}

// ShuttingDown tells that this process was told to end.
func (r *Coordinator) ShuttingDown() {
	r.self.Stopping = true
	r.write()
	if r.self.Ready {
		r.see()
	}
}

// Close tells the others that this process is over.
func (r *Coordinator) Close() { r.folder.Close() }

// write replaces this process's file. Where it can't, as there is no room, the
// process goes on: another one starts from its configuration then.
func (r *Coordinator) write() {
	s := State{Process: r.self, Bans: r.core.Overrides(), Events: r.opts.EventSourceSum}
	if r.self.Knows {
		var err error
		if s.World, err = r.opts.State().Encode(); err != nil {
			r.log.Error("succession.state", "error", err)
		}
	}
	if err := r.folder.Write(&s); err != nil {
		r.log.Error("succession.state", "error", err, "then", "a process that takes over does not hear of it")
	}
}

// look looks for others again and again.
func (r *Coordinator) look() {
	r.see()
	r.loop.Timers.Add(r.loop.Now()+lookEvery, r.look)
}

// see does what there is to do since the last look.
func (r *Coordinator) see() {
	states, err := r.folder.Others()
	if err != nil {
		r.log.Error("succession.look", "error", err)
		if !r.self.Ready {
			r.alone()
		}
		return
	}
	r.others = r.others[:0]
	news := false
	for _, s := range states {
		r.others = append(r.others, s.Process)
		news = r.core.MergeOverrides(s.Bans) || news
	}
	if news { // whoever comes next may find this process alone
		r.write()
	}
	if part := decide.Share(r.others); part != r.share {
		r.share = part
		r.opts.OnLimitShare(part)
	}
	if r.self.Ready {
		r.tell()
		r.end()
		return
	}
	switch step, from := decide.Next(r.self, r.others, r.loop.Now()); step {
	case decide.Alone:
		r.alone()
	case decide.Take:
		for _, s := range states {
			if s.ID == from {
				r.take(s)
			}
		}
	}
}

// tell writes down what this process knows where another one has come that waits for it, and
// frees that room again.
func (r *Coordinator) tell() {
	heard := make([]string, 0, len(r.others))
	news := len(r.others) != len(r.self.Heard)
	for i, o := range r.others {
		heard = append(heard, o.ID)
		news = news || o.ID != r.self.Heard[i]
	}
	asked := decide.Asked(r.self, r.others)
	if !news && asked == r.self.Knows {
		return
	}
	r.self.Heard, r.self.Knows = heard, asked
	r.write()
}

// end tells once that another process serves in this one's place.
func (r *Coordinator) end() {
	if r.self.Stopping && !r.replaced && decide.Replaced(r.self, r.others) {
		r.replaced = true
		r.opts.OnReplaced()
	}
}

func (r *Coordinator) take(s State) {
	k, unknown, err := handover.DecodeProcessState(s.World)
	if len(unknown) > 0 {
		r.log.Warn("succession.unknown", "parts", unknown, "then", "they are passed by")
	}
	if err == nil {
		if s.Events != r.opts.EventSourceSum { // its numbers of events are others than this process's
			k.LastEvent = 0
		}
		err = r.opts.ApplyState(k)
	}
	if err != nil {
		r.log.Error("succession.take", "from", s.ID, "error", err)
		r.alone()
		return
	}
	r.log.Info("succession.taken", "from", s.ID, "after", r.loop.Now()-r.self.Began)
	r.serves()
}

func (r *Coordinator) alone() {
	if len(r.others) > 0 {
		r.log.Warn("succession.alone", "others", len(r.others), "why", "none told what it knows in time")
	}
	r.opts.StartAlone()
	r.serves()
}

func (r *Coordinator) serves() {
	r.self.Ready = true
	r.write()
}
