package handover

import (
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
)

// Frontend is the client side of a gateway, as far as a handover needs it.
type Frontend interface {
	Name() string
	ReadLimit() int // bytes that are read of a connection and not consumed, at most
	Listener() *netio.Listener
	// OnAccept sets who hears of each accepted connection.
	OnAccept(func(*netio.Conn))
	// OnSharedChange sets who hears of changes of SharedState; nil: nobody.
	OnSharedChange(func([]byte))
	// OnUnknownCall sets who hears of calls that only the other process may have an answer to; nil:
	// nobody.
	OnUnknownCall(func([]byte))
	// SharedState is what all connections share, for ApplySharedState of the other process.
	SharedState() []byte
	ApplySharedState([]byte) error
	// HandleForwardedCall answers a call that the other process had no answer to.
	HandleForwardedCall([]byte)
	// RestoreConnection makes a handler from Transferable.EncodeState.
	RestoreConnection(state []byte) (func(*netio.Conn) netio.Handler, error)
}

// Transferable is the handler of a connection that can go on in another process.
type Transferable interface {
	netio.Handler
	// Idle reports whether no request is in flight.
	Idle() bool
	// Closing reports whether the connection is about to end.
	Closing() bool
	// EncodeState is what RestoreConnection needs. The connection must be idle.
	EncodeState() []byte
	// Transferred tells the handler that the connection goes on elsewhere.
	Transferred()
	// RecoverRequest tells the handler that its first request was in flight in a process that died.
	RecoverRequest(core.Orphan)
}

// transferableHandler returns the handler of a client's connection, or nil if it is no client's.
func transferableHandler(c *netio.Conn) Transferable {
	t, _ := c.Handler().(Transferable)
	return t
}

// canTransfer reports whether a connection can be transferred now.
func canTransfer(c *netio.Conn, t Transferable) bool {
	return t.Idle() && !t.Closing() && c.Pending() == 0
}
