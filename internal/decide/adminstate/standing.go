// Package standing merges two voices on each engine into one state: the roster's word and
// the operators' bans. It does no I/O and reads no clock.
package adminstate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"gannetspur/policy"
)

// Override is the operators' latest word on one engine. At is when it was given, on the clock of
// the caller, which all processes that share bans must share.
type Override struct {
	Disabled      bool          `cbor:"1,keyasint"`           // nothing more to it
	At            time.Duration `cbor:"2,keyasint"`           // of the word
	DisabledSince time.Duration `cbor:"3,keyasint,omitempty"` // of the call out that a call back undid; 0: there was none
}

// Merge is the word that holds of two: the later one, and of two at one moment the call out, which is
// the cautious one. In whatever order words are merged, and however often, the same one holds.
func (b Override) Merge(o Override) Override {
	if b.before(o) {
		return o
	}
	return b
}

func (b Override) before(o Override) bool {
	switch {
	case b.At != o.At:
		return b.At < o.At
	case b.Disabled != o.Disabled:
		return o.Disabled
	}
	return b.DisabledSince < o.DisabledSince
}

// Overrides are the operators' words by the engine's id.
type Overrides map[string]Override

// Faults of a call.
var (
	ErrUnknownEngine   = errors.New("there is no engine of this id")
	ErrTooManyDisabled = errors.New("too many engines are disabled")
)

const (
	// mostBans bounds the engines that are out at once, and so what a caller can make this
	// program keep.
	mostBans = 1024
	// backFor is how long a call back is kept: longer than a cold engine is cold, or two
	// processes serve side by side.
	backFor = time.Hour
)

// Table is what both voices say. The zero value is not ready; use New.
type Table struct {
	listed map[string]bool // by the roster, not gone
	bans   Overrides
}

// New returns a Standing that knows of no engine.
func New() *Table { return &Table{listed: map[string]bool{}, bans: Overrides{}} }

// Clear forgets which engines are listed, as a whole list follows. Bans stay.
func (s *Table) Clear() { clear(s.listed) }

// Update takes the roster's word on an engine and returns the one that holds: a banned engine
// that is ready counts as draining, and one that came back counts as started when it did,
// unless the roster knows of a start since it went out. Guards against feeding an
// engine that was restarted while out as if it were warm: the roster need not tell.
func (s *Table) Update(e policy.Engine) policy.Engine {
	if e.State == policy.EngineDeparted {
		delete(s.listed, e.ID)
		return e
	}
	s.listed[e.ID] = true
	b, ok := s.bans[e.ID]
	switch {
	case !ok:
	case b.Disabled && e.State == policy.EngineLive:
		e.State = policy.EngineDraining
	case !b.Disabled && b.DisabledSince > 0 && (!e.StartKnown || e.Started < b.DisabledSince):
		e.Started, e.StartKnown = b.At, true
	}
	return e
}

// Disabled tells whether operators have taken an engine out.
func (s *Table) Disabled(id string) bool { return s.bans[id].Disabled }

// Listed is the number of engines that the roster names and that are not gone.
func (s *Table) ListedCount() int { return len(s.listed) }

// Disable takes an operator's call to take an engine out of use. It reports whether that
// changed anything: disabling twice is disabling once.
func (s *Table) Disable(now time.Duration, id string) (changed bool, err error) {
	b := s.bans[id]
	switch {
	case b.Disabled:
		return false, nil
	case !s.listed[id]:
		return false, ErrUnknownEngine
	}
	s.forget(now)
	if s.out() >= mostBans {
		return false, ErrTooManyDisabled
	}
	s.bans[id] = Override{Disabled: true, At: s.later(now, id)}
	return true, nil
}

// Enable takes an operator's call to use an engine again, also one that discovery no longer
// lists. It reports whether that changed anything.
func (s *Table) Enable(now time.Duration, id string) (changed bool, err error) {
	b := s.bans[id]
	switch {
	case !b.Disabled && !s.listed[id]:
		return false, ErrUnknownEngine
	case !b.Disabled:
		return false, nil
	}
	s.forget(now)
	s.bans[id] = Override{At: s.later(now, id), DisabledSince: b.At}
	return true, nil
}

// later is the time of a new override: after the engine's last one, also where the clock
// stood still.
func (s *Table) later(now time.Duration, id string) time.Duration {
	if last, known := s.bans[id]; known {
		return max(now, last.At+1)
	}
	return now
}

// Overrides is a copy of the operators' words.
func (s *Table) Overrides() Overrides { return maps.Clone(s.bans) }

// Merge merges another process's words in, and names the engines for which another one holds
// now, in order.
func (s *Table) Merge(other Overrides) (changed []string) {
	for id, o := range other {
		b, known := s.bans[id]
		if known && b.Merge(o) == b || !known && len(s.bans) >= 2*mostBans {
			continue
		}
		s.bans[id] = o
		changed = append(changed, id)
	}
	slices.Sort(changed)
	return changed
}

// out is how many engines are out.
func (s *Table) out() (n int) {
	for _, b := range s.bans {
		if b.Disabled {
			n++
		}
	}
	return n
}

// forget drops calls back that no longer matter.
func (s *Table) forget(now time.Duration) {
	maps.DeleteFunc(s.bans, func(_ string, b Override) bool { return !b.Disabled && now-b.At > backFor })
}
