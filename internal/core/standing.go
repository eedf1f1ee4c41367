package core

import (
	"cmp"
	"slices"

	"gannetspur/internal/decide/adminstate"
	"gannetspur/policy"
)

// Operators' bans: the core merges them into what the roster says, so that the module and the
// links hear one word on each engine.

// Ban takes an engine out of use, or back, on the operators' call. Its error is the
// decision's: no such engine, or too many are out.
func (c *Core) Ban(id string, out bool) error {
	changed, err := c.stand.Call(c.clock.Now(), id, out)
	if err != nil || !changed {
		return err
	}
	c.stats.Add("bans.called")
	c.log.Info("ban", "engine", id, "out", out)
	c.again([]string{id})
	if c.changed != nil {
		c.changed()
	}
	return nil
}

// OnOverridesChanged names who hears of each call that changed something, before it is answered.
func (c *Core) OnOverridesChanged(f func()) { c.changed = f }

// Overrides are the operators' words on engines.
func (c *Core) Overrides() adminstate.Overrides { return c.stand.Overrides() }

// MergeOverrides merges in what operators have told another process, and tells whether that was news.
func (c *Core) MergeOverrides(other adminstate.Overrides) bool {
	changed := c.stand.Merge(other)
	if len(changed) > 0 {
		c.log.Info("bans.taken", "engines", changed)
		c.again(changed)
	}
	return len(changed) > 0
}

// again tells anew of engines on which another word holds now.
func (c *Core) again(ids []string) {
	ev := policy.EngineList{Mode: policy.ListChanges}
	for _, id := range ids {
		if e, ok := c.engines[id]; ok {
			ev.Engines = append(ev.Engines, c.hear(e).Engine)
		}
	}
	if len(ev.Engines) > 0 {
		c.tell(ev)
	}
}

// BeginWrite is asked by links right before they write an attempt whole, and counts it: one that was not has never run. It may
// no longer be written where its client has left or has its answer, where an earlier one may have run and its key's window is
// about to close, or where its engine drains or was taken out while it waited for a connection: it ends as not sent then.
func (c *Core) BeginWrite(a *Attempt) bool {
	r := a.Request
	if l, ok := r.Client.(DisconnectDetector); r.answered || ok && l.Disconnected() {
		return false
	}
	if a.notAfter > 0 && c.clock.Now() >= a.notAfter || c.stand.Disabled(a.Engine) || c.engines[a.Engine].State != policy.EngineLive {
		return false
	}
	c.written++
	a.wrote = true
	return true
}

// ClassFigures are the final answers to requests of one class.
type ClassFigures struct {
	Class                    string
	Served, Rejected, Failed int64
}

// Figures are what operators are told, counted since the process began.
type Figures struct {
	Classes         []ClassFigures // in order of name
	AttemptsWritten int64          // attempts written whole to engines
	InFlight        int            // requests taken and not ended
	EnginesListed   int            // engines that the roster names
	EnginesDown     int            // of these, how many are avoided: by operators, or by the module
	Peers           *PeerFigures   // nil: this front end is no member among others
}

// PeerFigures tell of other front ends, itself included.
type PeerFigures struct {
	Live, Named, Cut, Lost, View int // in the view; known or named; of these cut; dead or lost; the view's number
	Majority                     bool
}

// Figures is a snapshot.
func (c *Core) Figures() Figures {
	f := Figures{AttemptsWritten: c.written, InFlight: c.unended, EnginesListed: c.stand.Listed()}
	for _, k := range c.figures {
		f.Classes = append(f.Classes, *k)
	}
	slices.SortFunc(f.Classes, func(a, b ClassFigures) int { return cmp.Compare(a.Class, b.Class) })
	for id := range c.engines {
		if c.stand.Disabled(id) || c.gateway.IsEjected(id) {
			f.EnginesDown++
		}
	}
	return f
}

// counted counts a final answer.
func (c *Core) counted(r *Request, v Verdict) {
	f := c.figures[r.Class]
	if f == nil { // a class that the settings don't have; the module refuses it
		return
	}
	switch v {
	case Served:
		f.Served++
	case Rejected:
		f.Rejected++
	default:
		f.Failed++
	}
}
