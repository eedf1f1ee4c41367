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

// Ban is the operators' latest word on one engine. At is when it was given, on the clock of
// the caller, which all processes that share bans must share.
type Ban struct {
	Out   bool          `cbor:"1,keyasint"`           // nothing more to it
	At    time.Duration `cbor:"2,keyasint"`           // of the word
	Since time.Duration `cbor:"3,keyasint,omitempty"` // of the call out that a call back undid; 0: there was none
}

// Merge is the word that holds of two: the later one, and of two at one moment the call out, which is
// the cautious one. In whatever order words are merged, and however often, the same one holds.
func (b Ban) Merge(o Ban) Ban {
	if b.before(o) {
		return o
	}
	return b
}

func (b Ban) before(o Ban) bool {
	switch {
	case b.At != o.At:
		return b.At < o.At
	case b.Out != o.Out:
		return o.Out
	}
	return b.Since < o.Since
}

// Bans are the operators' words by the engine's id.
type Bans map[string]Ban

// Faults of a call.
var (
	ErrUnknown = errors.New("there is no engine of this id")
	ErrTooMany = errors.New("too many engines are disabled")
)

const (
	// mostBans bounds the engines that are out at once, and so what a caller can make this
	// program keep.
	mostBans = 1024
	// backFor is how long a call back is kept: longer than a cold engine is cold, or two
	// processes serve side by side.
	backFor = time.Hour
)

// Standing is what both voices say. The zero value is not ready; use New.
type Standing struct {
	listed map[string]bool // by the roster, not gone
	bans   Bans
}

// New returns a Standing that knows of no engine.
func New() *Standing { return &Standing{listed: map[string]bool{}, bans: Bans{}} }

// Clear forgets which engines are listed, as a whole list follows. Bans stay.
func (s *Standing) Clear() { clear(s.listed) }

// Hear takes the roster's word on an engine and returns the one that holds: a banned engine
// that is ready counts as draining, and one that came back counts as started when it did,
// unless the roster knows of a start since it went out. Guards against feeding an
// engine that was restarted while out as if it were warm: the roster need not tell.
func (s *Standing) Hear(e policy.Engine) policy.Engine {
	if e.State == policy.EngineDeparted {
		delete(s.listed, e.ID)
		return e
	}
	s.listed[e.ID] = true
	b, ok := s.bans[e.ID]
	switch {
	case !ok:
	case b.Out && e.State == policy.EngineLive:
		e.State = policy.EngineDraining
	case !b.Out && b.Since > 0 && (!e.StartKnown || e.Started < b.Since):
		e.Started, e.StartKnown = b.At, true
	}
	return e
}

// Barred tells whether operators have taken an engine out.
func (s *Standing) Barred(id string) bool { return s.bans[id].Out }

// Listed is the number of engines that the roster names and that are not gone.
func (s *Standing) Listed() int { return len(s.listed) }

// Call takes an operator's call: out, or back. It tells whether anything changed. An engine
// that the roster does not name is unknown, unless it is out. Calling out twice is calling once, and so is
// calling back.
func (s *Standing) Call(now time.Duration, id string, out bool) (changed bool, err error) {
	b, known := s.bans[id]
	if !s.listed[id] && !b.Out {
		return false, ErrUnknown
	}
	if out == b.Out {
		return false, nil
	}
	s.forget(now)
	if out && s.out() >= mostBans {
		return false, ErrTooMany
	}
	if known {
		now = max(now, b.At+1) // the later word, also where the clock stood still
	}
	next := Ban{Out: out, At: now}
	if !out {
		next.Since = b.At
	}
	s.bans[id] = next
	return true, nil
}

// Bans is a copy of the operators' words.
func (s *Standing) Bans() Bans { return maps.Clone(s.bans) }

// Take merges another process's words in, and names the engines for which another one holds
// now, in order.
func (s *Standing) Take(other Bans) (changed []string) {
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
func (s *Standing) out() (n int) {
	for _, b := range s.bans {
		if b.Out {
			n++
		}
	}
	return n
}

// forget drops calls back that no longer matter.
func (s *Standing) forget(now time.Duration) {
	maps.DeleteFunc(s.bans, func(_ string, b Ban) bool { return !b.Out && now-b.At > backFor })
}
