package handover

import (
	"time"

	decide "gannetspur/internal/decide/handover"

	"github.com/fxamacker/cbor/v2"
)

// Message is one message of the channel.
type Message interface{ kind() byte }

// Messages of the target.
type (
	// Hello is its first message. Problem is why it can't take over; "": it can.
	Hello struct {
		Major   int    `cbor:"1,keyasint"`
		Minor   int    `cbor:"2,keyasint"`
		Problem string `cbor:"3,keyasint,omitempty"`
		Build   string `cbor:"4,keyasint,omitempty"` // as the command version prints it
	}
	// Ready says that it has applied the state.
	Ready struct{}
	// Heartbeat says that it lives, and counts its answers since the last heartbeat.
	Heartbeat struct {
		Successes int `cbor:"1,keyasint"`
		Failures  int `cbor:"2,keyasint"`
		InFlight  int `cbor:"3,keyasint"` // requests without an answer
	}
	// InputRecord has the bytes that it consumes next of a connection, from Offset on.
	InputRecord struct {
		Conn       uint32        `cbor:"1,keyasint"`
		Offset     int64         `cbor:"2,keyasint"`
		ReceivedAt time.Duration `cbor:"3,keyasint"`
		Data       []byte        `cbor:"4,keyasint"`
	}
	// RequestRecord says that the request in flight on a connection goes to an engine next.
	RequestRecord struct {
		Conn        uint32        `cbor:"1,keyasint"`
		Idempotency uint8         `cbor:"2,keyasint"`
		FirstSend   time.Duration `cbor:"3,keyasint"`
		KeyWindow   time.Duration `cbor:"4,keyasint"`
		Deadline    time.Duration `cbor:"5,keyasint"`
	}
	// OutputRecord has the bytes that it writes next to a connection, from Offset on. If Idle, no
	// request is in flight behind them: State stands for all that was read before Consumed.
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

// Messages of the source.
type (
	// State is a ProcessState by the names of its sections. A section that the target does not
	// know is named in its log and ignored.
	State struct {
		Sections map[string]cbor.RawMessage `cbor:"1,keyasint"`
	}
	// Serve tells the target to serve.
	Serve struct{}
	// ConnectionTransfer comes with the descriptor of a connection. State is its handler's,
	// Unread what was read of the connection and not consumed.
	ConnectionTransfer struct {
		Conn     uint32 `cbor:"1,keyasint"`
		Frontend string `cbor:"2,keyasint"`
		State    []byte `cbor:"3,keyasint"`
		Unread   []byte `cbor:"4,keyasint,omitempty"`
	}
	// OwnershipCommit tells the target that it is the owner for good.
	OwnershipCommit struct{}
	// Reload tells the target to read its files again, as the source was told meanwhile.
	Reload struct{}
	// CounterIncrements are what was counted in the source since State.
	CounterIncrements struct {
		Counters map[string]int64 `cbor:"1,keyasint"`
	}
)

// Messages of both.
type (
	// SharedState is what all connections of a frontend share.
	SharedState struct {
		Data []byte `cbor:"1,keyasint"`
	}
	// ForwardedCall is a call that only the other process may have an answer to.
	ForwardedCall struct {
		Data []byte `cbor:"1,keyasint"`
	}
)

// The kinds of messages in a frame's header.
const (
	kindHello byte = iota + 1
	kindReady
	kindHeartbeat
	kindInputRecord
	kindRequestRecord
	kindOutputRecord
	kindConnectionClosed
	kindState
	kindServe
	kindConnectionTransfer
	kindOwnershipCommit
	kindReload
	kindCounterIncrements
	kindSharedState
	kindForwardedCall
)

func (*Hello) kind() byte              { return kindHello }
func (*Ready) kind() byte              { return kindReady }
func (*Heartbeat) kind() byte          { return kindHeartbeat }
func (*InputRecord) kind() byte        { return kindInputRecord }
func (*RequestRecord) kind() byte      { return kindRequestRecord }
func (*OutputRecord) kind() byte       { return kindOutputRecord }
func (*ConnectionClosed) kind() byte   { return kindConnectionClosed }
func (*State) kind() byte              { return kindState }
func (*Serve) kind() byte              { return kindServe }
func (*ConnectionTransfer) kind() byte { return kindConnectionTransfer }
func (*OwnershipCommit) kind() byte    { return kindOwnershipCommit }
func (*Reload) kind() byte             { return kindReload }
func (*CounterIncrements) kind() byte  { return kindCounterIncrements }
func (*SharedState) kind() byte        { return kindSharedState }
func (*ForwardedCall) kind() byte      { return kindForwardedCall }

// messageByKind makes an empty message of each kind.
var messageByKind = map[byte]func() Message{
	kindHello:              func() Message { return &Hello{} },
	kindReady:              func() Message { return &Ready{} },
	kindHeartbeat:          func() Message { return &Heartbeat{} },
	kindInputRecord:        func() Message { return &InputRecord{} },
	kindRequestRecord:      func() Message { return &RequestRecord{} },
	kindOutputRecord:       func() Message { return &OutputRecord{} },
	kindConnectionClosed:   func() Message { return &ConnectionClosed{} },
	kindState:              func() Message { return &State{} },
	kindServe:              func() Message { return &Serve{} },
	kindConnectionTransfer: func() Message { return &ConnectionTransfer{} },
	kindOwnershipCommit:    func() Message { return &OwnershipCommit{} },
	kindReload:             func() Message { return &Reload{} },
	kindCounterIncrements:  func() Message { return &CounterIncrements{} },
	kindSharedState:        func() Message { return &SharedState{} },
	kindForwardedCall:      func() Message { return &ForwardedCall{} },
}

// newMessage returns an empty message of a kind, or nil if there is none.
func newMessage(kind byte) Message {
	if create, ok := messageByKind[kind]; ok {
		return create()
	}
	return nil
}

// request is the record as the decisions take it.
func (m *RequestRecord) request() decide.Request {
	return decide.Request{
		InFlight: true, Idempotency: decide.Idempotency(m.Idempotency), Sent: true,
		FirstSend: m.FirstSend, KeyWindow: m.KeyWindow, Deadline: m.Deadline,
	}
}
