package handover

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
	decide "gannetspur/internal/decide/handover"

	"github.com/fxamacker/cbor/v2"
)

// Version is what this program speaks. The minor one rises with every change that the one
// before can pass by; the major one with every other.
var Version = decide.Version{Major: 1, Minor: 0}

// Message is one message of the channel.
type Message interface{ kind() byte }

// Messages of the new process.
type (
	// Hello says what it is. Problem is why it can't take over; "": it can.
	Hello struct {
		Major   int    `cbor:"1,keyasint"`
		Minor   int    `cbor:"2,keyasint"`
		Problem string `cbor:"3,keyasint,omitempty"`
		Build   string `cbor:"4,keyasint,omitempty"` // as ringwood version tells it
	}
	// Ready says that it has taken what is known.
	Ready struct{}
	// Heartbeat says that it lives, and how its answers were since the last.
	Heartbeat struct {
		Good     int `cbor:"1,keyasint"`
		Bad      int `cbor:"2,keyasint"`
		InFlight int `cbor:"3,keyasint"` // requests that it has taken and not answered
	}
	// InputRecord are bytes that lie in a connection's socket from At on, and are consumed next.
	InputRecord struct {
		Conn       uint32        `cbor:"1,keyasint"`
		Offset     int64         `cbor:"2,keyasint"`
		ReceivedAt time.Duration `cbor:"3,keyasint"`
		Data       []byte        `cbor:"4,keyasint"`
	}
	// RequestRecord says that the request which is open on a connection goes to an engine next.
	RequestRecord struct {
		Conn        uint32        `cbor:"1,keyasint"`
		Idempotency uint8         `cbor:"2,keyasint"`
		FirstSend   time.Duration `cbor:"3,keyasint"` // of the first send
		KeyWindow   time.Duration `cbor:"4,keyasint"`
		Deadline    time.Duration `cbor:"5,keyasint"`
	}
	// OutputRecord are bytes that are written to a connection next, from At on. Where Settled, no
	// request is open behind them: State stands for all that was read before Consumed.
	OutputRecord struct {
		Conn     uint32 `cbor:"1,keyasint"`
		Offset   int64  `cbor:"2,keyasint"`
		Data     []byte `cbor:"3,keyasint"`
		Idle     bool   `cbor:"4,keyasint,omitempty"`
		Closing  bool   `cbor:"5,keyasint,omitempty"` // the connection ends behind them
		Consumed int64  `cbor:"6,keyasint,omitempty"`
		State    []byte `cbor:"7,keyasint,omitempty"`
	}
	// ConnectionClosed says that a connection has ended.
	ConnectionClosed struct {
		Conn uint32 `cbor:"1,keyasint"`
	}
)

// Messages of the old process.
type (
	// State is what it knows, by the names of its sections. One that the other does not know
	// is named in its log and passed by.
	State struct {
		Sections map[string]cbor.RawMessage `cbor:"1,keyasint"`
	}
	// Serve tells it to serve.
	Serve struct{}
	// ConnectionTransfer comes with the descriptor of a connection: its front's state, and what was read
	// of it and not consumed.
	ConnectionTransfer struct {
		Conn     uint32 `cbor:"1,keyasint"`
		Frontend string `cbor:"2,keyasint"`
		State    []byte `cbor:"3,keyasint"`
		Unread   []byte `cbor:"4,keyasint,omitempty"`
	}
	// OwnershipCommit tells it that it is the owner for good.
	OwnershipCommit struct{}
	// Reload tells it to read its files again, as the old one was told meanwhile.
	Reload struct{}
	// CounterIncrements are the counters of what ended in the old process since World.
	CounterIncrements struct {
		Counters map[string]int64 `cbor:"1,keyasint"`
	}
)

// Messages of both.
type (
	// SharedState is what all connections of a front share, as the front tells it.
	SharedState struct {
		Data []byte `cbor:"1,keyasint"`
	}
	// ForwardedCall is a call that only the other may have the answer to.
	ForwardedCall struct {
		Data []byte `cbor:"1,keyasint"`
	}
)

func (*Hello) kind() byte              { return 1 }
func (*Ready) kind() byte              { return 2 }
func (*Heartbeat) kind() byte          { return 3 }
func (*InputRecord) kind() byte        { return 4 }
func (*RequestRecord) kind() byte      { return 5 }
func (*OutputRecord) kind() byte       { return 6 }
func (*ConnectionClosed) kind() byte   { return 7 }
func (*State) kind() byte              { return 8 }
func (*Serve) kind() byte              { return 9 }
func (*ConnectionTransfer) kind() byte { return 10 }
func (*OwnershipCommit) kind() byte    { return 11 }
func (*Reload) kind() byte             { return 12 }
func (*CounterIncrements) kind() byte  { return 13 }
func (*SharedState) kind() byte        { return 14 }
func (*ForwardedCall) kind() byte      { return 15 }

// blank is an empty message of a kind; nil: there is none.
func blank(kind byte) Message {
	for _, m := range []Message{
		&Hello{}, &Ready{}, &Heartbeat{}, &InputRecord{}, &RequestRecord{}, &OutputRecord{}, &ConnectionClosed{}, &State{}, &Serve{}, &ConnectionTransfer{}, &OwnershipCommit{},
		&Reload{}, &CounterIncrements{}, &SharedState{}, &ForwardedCall{},
	} {
		if m.kind() == kind {
			return m
		}
	}
	return nil
}

// Clock is the time of both processes at one moment: Mono is the machine's monotonic clock.
type Clock struct {
	Now       time.Duration `cbor:"1,keyasint"`
	Monotonic time.Duration `cbor:"2,keyasint"`
}

// ProcessState is what a process that serves knows.
type ProcessState struct {
	Clock       Clock
	Core        core.Snapshot
	LastEvent   uint64 // number of the event bus's last event taken; 0: none
	Shared      []byte // of the front
	QueryShapes []byte // a snapshot; nil: none
	Membership  []byte // of internal/membership: the fleet as this member knows it; nil: it is none
	Counters    map[string]int64
}

// sections are the parts of a World by name.
func (k *ProcessState) sections() map[string]any {
	return map[string]any{
		"clock": &k.Clock, "core": &k.Core, "event": &k.LastEvent, "shared": &k.Shared, "shapes": &k.QueryShapes, "members": &k.Membership, "counters": &k.Counters,
	}
}

func (k *ProcessState) encode() (*State, error) {
	w := &State{Sections: map[string]cbor.RawMessage{}}
	for name, part := range k.sections() {
		b, err := cbor.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", name, err)
		}
		w.Sections[name] = b
	}
	return w, nil
}

// decode reads a World. unknown names the sections that this version has no use for.
func (w *State) decode() (k *ProcessState, unknown []string, err error) {
	k = &ProcessState{}
	parts := k.sections()
	for name, b := range w.Sections {
		part, ok := parts[name]
		if !ok {
			unknown = append(unknown, name)
			continue
		}
		if err := decoder.Unmarshal(b, part); err != nil {
			return nil, nil, fmt.Errorf("handover: %s: %w", name, err)
		}
	}
	return k, unknown, nil
}

// Encode writes what is known for another process of the same or another version.
func (k *ProcessState) Encode() ([]byte, error) {
	w, err := k.encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

// DecodeProcessState reads what Encode wrote. unknown names the parts that this version has no use
// for.
func DecodeProcessState(b []byte) (k *ProcessState, unknown []string, err error) {
	var w State
	if err := decoder.Unmarshal(b, &w); err != nil {
		return nil, nil, fmt.Errorf("handover: what is known: %w", err)
	}
	return w.decode()
}
