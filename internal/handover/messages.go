package handover

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Message is a message that the source and the target exchange over a Channel.
type Message interface{ kind() byte }

// Messages that the target sends. Conn is the ID of a connection in both processes. Offsets are
// byte positions in the stream that a connection receives or sends, as counted by the kernel from an
// arbitrary origin. Times are those of the event loop's clock, which the target sets to the source's.
type (
	// Hello is the target's first message. Major and Minor are its protocol version. Problem says
	// why the target can't take over; it is empty if it can.
	Hello struct {
		Major   int    `cbor:"1,keyasint"`
		Minor   int    `cbor:"2,keyasint"`
		Problem string `cbor:"3,keyasint,omitempty"`
		Build   string `cbor:"4,keyasint,omitempty"` // as printed by the version command
		// ReadsSentKeys means that the target knows the message SentKeyChanged.
		ReadsSentKeys bool `cbor:"5,keyasint,omitempty"`
	}
	// Ready reports that the target has applied the state.
	Ready struct{}
	// Heartbeat reports that the target is alive, and the numbers of its successful and failed
	// answers since the previous heartbeat.
	Heartbeat struct {
		Successes int `cbor:"1,keyasint"`
		Failures  int `cbor:"2,keyasint"`
		InFlight  int `cbor:"3,keyasint"` // requests that are not answered yet
	}
	// InputRecord holds the bytes, starting at Offset, that the target is about to read from a
	// connection. ReceivedAt is when the target found them in the socket.
	InputRecord struct {
		Conn       uint32        `cbor:"1,keyasint"`
		Offset     int64         `cbor:"2,keyasint"`
		ReceivedAt time.Duration `cbor:"3,keyasint"`
		Data       []byte        `cbor:"4,keyasint"`
	}
	// OutputRecord holds the bytes, starting at Offset, that the target is about to write to a
	// connection. If Idle is set, no request is in flight after them, and State is the encoded state
	// of the handler, which covers all input before the position Consumed. State is nil if Closing is
	// set, because no more input will be read then. InTransaction means that a transaction is open: the
	// connection goes on, and State is set. Closing is set as well then, for sources of protocol 1.0: they
	// don't know InTransaction, and must close the connection instead of handling its input again.
	OutputRecord struct {
		Conn          uint32 `cbor:"1,keyasint"`
		Offset        int64  `cbor:"2,keyasint"`
		Data          []byte `cbor:"3,keyasint"`
		Idle          bool   `cbor:"4,keyasint,omitempty"`
		Closing       bool   `cbor:"5,keyasint,omitempty"` // the connection is closed after Data, unless InTransaction is set
		Consumed      int64  `cbor:"6,keyasint,omitempty"`
		State         []byte `cbor:"7,keyasint,omitempty"`
		InTransaction bool   `cbor:"8,keyasint,omitempty"`
	}
	// ConnectionClosed reports that a connection has ended.
	ConnectionClosed struct {
		Conn uint32 `cbor:"1,keyasint"`
	}
)

// Messages that the source sends.
type (
	// State is a ProcessState, encoded as named sections. The target logs the name of a section that
	// it does not know, and ignores the section.
	State struct {
		Sections map[string]cbor.RawMessage `cbor:"1,keyasint"`
	}
	// Serve tells the target to start serving.
	Serve struct{}
	// ConnectionTransfer transfers a connection, whose descriptor is sent with the message. Frontend
	// is the name of the frontend it belongs to, State the encoded state of its handler and Unread
	// the input that was read but not consumed.
	ConnectionTransfer struct {
		Conn     uint32 `cbor:"1,keyasint"`
		Frontend string `cbor:"2,keyasint"`
		State    []byte `cbor:"3,keyasint"`
		Unread   []byte `cbor:"4,keyasint,omitempty"`
	}
	// OwnershipCommit makes the target the owner permanently: the source reclaims nothing after it.
	OwnershipCommit struct{}
	// Reload tells the target to reload its files, because the source was asked to reload during the
	// upgrade.
	Reload struct{}
	// CounterIncrements holds what the source has counted since it sent State, by counter name.
	CounterIncrements struct {
		Counters map[string]int64 `cbor:"1,keyasint"`
	}
)

// Messages that both processes send.
type (
	// SharedState holds the state that all connections of a frontend share, or a changed part of it,
	// for Frontend.ApplySharedState.
	SharedState struct {
		Data []byte `cbor:"1,keyasint"`
	}
	// ForwardedCall holds a request that the sender can't answer but the other process may be able to,
	// for Frontend.HandleForwardedRequest.
	ForwardedCall struct {
		Data []byte `cbor:"1,keyasint"`
	}
)

// Message kinds, as they are encoded in a frame's header.
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
	kindSentKeyChanged
)

// endsConnection reports whether the connection is closed after the output.
func (m *OutputRecord) endsConnection() bool { return m.Closing && !m.InTransaction }

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
func (*SentKeyChanged) kind() byte     { return kindSentKeyChanged }

// messageConstructors holds a constructor of an empty message for each kind.
var messageConstructors = map[byte]func() Message{
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
	kindSentKeyChanged:     func() Message { return &SentKeyChanged{} },
}

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
func newMessage(kind byte) Message {
	if create, ok := messageConstructors[kind]; ok {
		return create()
	}
	return nil
}
