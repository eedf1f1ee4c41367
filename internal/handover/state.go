package handover

import (
	"fmt"
	"time"

	"gannetspur/internal/core"

	"github.com/fxamacker/cbor/v2"
)

// Clock is the time of both processes at one moment.
type Clock struct {
	Now       time.Duration `cbor:"1,keyasint"` // of the loop
	Monotonic time.Duration `cbor:"2,keyasint"` // of the machine
}

// ProcessState is what a process that serves knows, for one that takes over.
type ProcessState struct {
	Clock       Clock
	Core        core.Snapshot
	LastEvent   uint64 // number of the event bus's last event taken; 0: none
	Shared      []byte // of the frontend
	QueryShapes []byte // a snapshot of query shapes; nil: none
	Membership  []byte // of internal/membership: the fleet as this member knows it; nil: it is none
	Counters    map[string]int64
}

// sections are the parts of a state by the names under which they are encoded.
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

func (s *ProcessState) message() (*State, error) {
	m := &State{Sections: map[string]cbor.RawMessage{}}
	for name, section := range s.sections() {
		b, err := cbor.Marshal(section)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", name, err)
		}
		m.Sections[name] = b
	}
	return m, nil
}

// decode reads the sections. unknown names those that this version has no use for.
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
			return nil, nil, fmt.Errorf("handover: %s: %w", name, err)
		}
	}
	return state, unknown, nil
}

// Encode encodes the state for another process of the same or another version.
func (s *ProcessState) Encode() ([]byte, error) {
	m, err := s.message()
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: state: %w", err)
	}
	return b, nil
}

// DecodeProcessState decodes what Encode wrote. unknown names the sections that this version has
// no use for.
func DecodeProcessState(b []byte) (state *ProcessState, unknown []string, err error) {
	var m State
	if err := decoder.Unmarshal(b, &m); err != nil {
		return nil, nil, fmt.Errorf("handover: state: %w", err)
	}
	return m.decode()
}
