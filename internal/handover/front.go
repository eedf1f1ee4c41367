package handover

import (
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/netio"

	"golang.org/x/sys/unix"
)

// Front is what a front tells of its connections and takes of them.
type Front interface {
	Name() string
	Limit() int // bytes that are read of a connection and not consumed, at most
	Listener() *netio.Listener
	OnAccept(func(*netio.Conn))
	OnShared(func([]byte))
	OnStray(func([]byte))
	Shared() []byte
	TakeShared([]byte) error
	TakeStray([]byte)
	Restore(state []byte) (func(*netio.Conn) netio.Handler, error)
}

// Movable is the handler of a connection that can go on in another process.
type Movable interface {
	netio.Handler
	// Settled tells whether no request is open, and Ending whether it is about to end.
	Settled() bool
	Ending() bool
	// State is what Restore needs, of one that is settled.
	State() []byte
	// Left tells that it goes on elsewhere.
	Left()
	// Recover tells of the request that comes first: a process that died had it.
	Recover(core.Orphan)
}

// movable is the handler of a client's connection; nil: it is somebody else's.
func movable(c *netio.Conn) Movable {
	m, _ := c.Handler().(Movable)
	return m
}

// free tells whether a connection can be given away just now.
func free(c *netio.Conn, m Movable) bool {
	return m.Settled() && !m.Ending() && c.Pending() == 0
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
