package handover

import (
	"gannetspur/internal/core"
	"gannetspur/internal/netio"
)

// Frontend is the part of a gateway's frontend, which serves its clients, that a handover uses.
type Frontend interface {
	// Name identifies the frontend in both processes.
	Name() string
	// ReadLimit is the maximum number of bytes that are read from a connection and not consumed.
	ReadLimit() int
	// Listener returns the listener for client connections.
	Listener() *netio.Listener
	// OnAccept sets the function that is called with each accepted connection.
	OnAccept(func(*netio.Conn))
	// OnSharedStateChange sets the function that is called when the shared state changes, with the changed
	// part in the encoding that ApplySharedState decodes. It is called before any response that
	// relies on the change. Nil unsets the function.
	OnSharedStateChange(func([]byte))
	// OnUnknownRequest sets the function that is called with each request that this process can't answer
	// but the other one may be able to, such as PostgreSQL's CancelRequest for a connection that this
	// process does not have. Nil unsets the function.
	OnUnknownRequest(func([]byte))
	// SharedState returns the encoded state that all connections share, such as the results held for
	// clients to fetch.
	SharedState() []byte
	// ApplySharedState applies state of the other process: the result of its SharedState, or a change
	// that the function set by its OnSharedStateChange was called with.
	ApplySharedState([]byte) error
	// HandleForwardedRequest answers a request that the other process could not answer.
	HandleForwardedRequest([]byte)
	// RestoreConnection decodes a state that Transferable.EncodeState has encoded. It returns a
	// function that creates the handler of a connection in that state.
	RestoreConnection(state []byte) (func(*netio.Conn) netio.Handler, error)
}

// Transferable is the handler of a client connection that can be transferred to another process.
type Transferable interface {
	netio.Handler
	// Idle reports whether the connection can be transferred: no request is in flight, and no transaction
	// is open.
	Idle() bool
	// Settled reports whether no request is in flight, so that EncodeState covers all input that was
	// consumed. An idle connection is settled.
	Settled() bool
	// Closing reports whether the connection is about to end.
	Closing() bool
	// EncodeState encodes the handler's state for Frontend.RestoreConnection. The connection must be
	// settled. A transaction that it has open at an engine counts as lost once the state is restored.
	EncodeState() []byte
	// Transferred tells the handler that the connection now belongs to another process.
	Transferred()
	// RecoverRequest tells the handler that the first request it will read was in flight in a process
	// that died.
	RecoverRequest(core.Orphan)
}

// transferableHandler returns the handler of a client connection, or nil if c is not a client
// connection.
func transferableHandler(c *netio.Conn) Transferable {
	t, _ := c.Handler().(Transferable)
	return t
}

// canTransfer reports whether a connection with the handler t can be transferred now: it is idle, is
// not about to end and has no pending output.
func canTransfer(c *netio.Conn, t Transferable) bool {
	return t.Idle() && !t.Closing() && c.Pending() == 0
}
