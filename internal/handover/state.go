package handover

import (
	"fmt"
	"time"

	"gannetspur/internal/core"

	"github.com/fxamacker/cbor/v2"
)

// Clock holds the event loop's time and the machine's monotonic time at the same moment. A process
// on the same machine sets its loop's clock from the pair.
type Clock struct {
	Now       time.Duration `cbor:"1,keyasint"` // time of the loop
	Monotonic time.Duration `cbor:"2,keyasint"` // time of the machine's monotonic clock
}

// ReadClock returns the time of a loop's clock and of the machine's monotonic clock.
func ReadClock(loop core.Clock) Clock {
	return Clock{Now: loop.Now(), Monotonic: monotonicNow()}
}

// Current returns the time that the loop's clock shows now.
func (c Clock) Current() time.Duration { return c.Now + monotonicNow() - c.Monotonic }

// ProcessState is the state of a serving process that a process taking over continues from.
type ProcessState struct {
	Clock       Clock            // set only in a live upgrade
	Core        core.Snapshot    // engines, learned policy and the operators' overrides
	LastEvent   uint64           // number of the last event taken from the event bus; 0 if there is none
	Shared      []byte           // state from Frontend.SharedState
	QueryShapes []byte           // snapshot of the query shapes; nil if there is none
	Membership  []byte           // the fleet's state from internal/membership; nil if this process is not a member of a fleet
	Counters    map[string]int64 // counter values by name
}

// sections returns pointers to the parts of the state, by the section names under which they are
// encoded.
func (s *ProcessState) sections() map[string]any {
	return map[string]any{
		"clock":    &s.Clock,
		"core":     &s.Core,
		"event":    &s.LastEvent,
		"shared":   &s.Shared,
		"shapes":   &s.QueryShapes,
		"members":  &s.Membership,
		"counters": &s.Counters,
	}
}

// message encodes the state as a State message.
func (s *ProcessState) message() (*State, error) {
	m := &State{Sections: map[string]cbor.RawMessage{}}
	for name, section := range s.sections() {
		b, err := cbor.Marshal(section)
		if err != nil {
			return nil, fmt.Errorf("handover: encode section %s: %w", name, err)
		}
		m.Sections[name] = b
	}
	return m, nil
}

// decode decodes the sections. unknown holds the names of sections that this version does not know.
func (m *State) decode() (state *ProcessState, unknown []string, err error) {
	state = &ProcessState{}
	sections := state.sections()
	for name, b := range m.Sections {
		section, ok := sections[name]
		if !ok {
			unknown = append(unknown, name)
			continue
		}
		if err := decoder.Unmarshal(b, section); err != nil {
			return nil, nil, fmt.Errorf("handover: decode section %s: %w", name, err)
		}
	}
	return state, unknown, nil
}

// Encode encodes the state for a process of the same or another version.
func (s *ProcessState) Encode() ([]byte, error) {
	m, err := s.message()
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: encode state: %w", err)
	}
	return b, nil
}

// DecodeProcessState decodes a state that Encode has encoded. unknown holds the names of sections that
// this version does not know.
func DecodeProcessState(b []byte) (state *ProcessState, unknown []string, err error) {
	var m State
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, nil, fmt.Errorf("handover: decode state: %w", err)
	}
	return m.decode()
}
