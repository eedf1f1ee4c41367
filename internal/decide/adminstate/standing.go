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
func (s *Table) Listed() int { return len(s.listed) }

// Call takes an operator's call: out, or back. It tells whether anything changed. An engine
// that the roster does not name is unknown, unless it is out. Calling out twice is calling once, and so is
// calling back.
func (s *Table) Call(now time.Duration, id string, out bool) (changed bool, err error) {
	b, known := s.bans[id]
	if !s.listed[id] && !b.Disabled {
		return false, ErrUnknownEngine
	}
	if out == b.Disabled {
		return false, nil
	}
	s.forget(now)
	if out && s.out() >= mostBans {
		return false, ErrTooManyDisabled
	}
	if known {
		now = max(now, b.At+1) // the later word, also where the clock stood still
	}
	next := Override{Disabled: out, At: now}
	if !out {
		next.DisabledSince = b.At
	}
	s.bans[id] = next
	return true, nil
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
