package handover

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// Frontend is what a front tells of its connections and takes of them.
type Frontend interface {
	Name() string
	ReadLimit() int // bytes that are read of a connection and not consumed, at most
	Listener() *netio.Listener
	OnAccept(func(*netio.Conn))
	OnSharedChange(func([]byte))
	OnUnknownCall(func([]byte))
	SharedState() []byte
	ApplySharedState([]byte) error
	HandleForwardedCall([]byte)
	RestoreConnection(state []byte) (func(*netio.Conn) netio.Handler, error)
}

// Transferable is the handler of a connection that can go on in another process.
type Transferable interface {
	netio.Handler
	// Idle tells whether no request is open, and Ending whether it is about to end.
	Idle() bool
	Closing() bool
	// EncodeState is what Restore needs, of one that is settled.
	EncodeState() []byte
	// Transferred tells that it goes on elsewhere.
	Transferred()
	// RecoverRequest tells of the request that comes first: a process that died had it.
	RecoverRequest(core.Orphan)
}

// movable is the handler of a client's connection; nil: it is somebody else's.
func movable(c *netio.Conn) Transferable {
	m, _ := c.Handler().(Transferable)
	return m
}

// free tells whether a connection can be given away just now.
func free(c *netio.Conn, m Transferable) bool {
	return m.Idle() && !m.Closing() && c.Pending() == 0
}

// monotonic is the machine's monotonic clock, which all its processes share
// (clock_gettime(2), CLOCK_MONOTONIC).
func monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
