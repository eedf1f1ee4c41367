// Package postgres is the frontend for clients that speak the PostgreSQL wire protocol, with simple
// and extended queries. Each execution becomes one request to the core and gets one final answer: a
// completion or one ErrorResponse. A transaction is one streaming request.
package postgres

import (
	"fmt"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/loginlimit"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
)

// Frontend accepts clients and owns their connections. It belongs to the event loop's goroutine.
type Frontend struct {
	loop       *netio.Loop
	core       *core.Core
	opts       Options
	counters   *metrics.Counters
	listener   *netio.Listener
	loginLimit *loginlimit.Limiter
	draining   bool
	heldBytes  int // rows in open portals

	connections   map[uint32]*connection // by process ID
	lastProcessID uint32

	onAccept        func(*netio.Conn)
	onUnknownCancel func(body []byte)
}

// New returns a frontend that puts its requests to the core.
func New(loop *netio.Loop, c *core.Core, opts Options, counters *metrics.Counters) *Frontend {
	f := &Frontend{
		loop:        loop,
		core:        c,
		counters:    counters,
		loginLimit:  loginlimit.New(loginlimit.Defaults()),
		connections: map[uint32]*connection{},
	}
	f.SetOptions(opts)
	return f
}

// SetOptions changes the options, for statements prepared and clients that connect from now on.
func (f *Frontend) SetOptions(opts Options) {
	if opts.MaxHeldBytes <= 0 {
		opts.MaxHeldBytes = defaultMaxHeldBytes
	}
	f.opts = opts
}

// Listen accepts clients at the address.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for PostgreSQL clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn accepts clients from a listener, which another process may have opened.
func (f *Frontend) ListenOn(ln *netio.Listener) {
	maxConnections := f.opts.MaxClients
	if maxConnections > 0 {
		maxConnections += spareConnections
	}
	f.listener = ln
	f.loop.Serve(ln, maxReadBuffer, maxConnections, f.accept)
}

// Listener returns the listener that clients are accepted from.
func (f *Frontend) Listener() *netio.Listener { return f.listener }

// Addr returns the address that clients connect to.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// CloseListener accepts no new connections; those that are open go on.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

func (f *Frontend) accept(socket *netio.Conn) netio.Handler {
	f.counters.Inc("pgwire.connections")
	f.lastProcessID++
	c := f.addConnection(socket, f.lastProcessID)
	if f.onAccept != nil {
		f.onAccept(socket)
	}
	return c
}

// addConnection registers a connection that has not started.
func (f *Frontend) addConnection(socket *netio.Conn, processID uint32) *connection {
	c := &connection{
		frontend:      f,
		socket:        socket,
		processID:     processID,
		extendedQuery: extendedQuery{statements: map[string]*statement{}, portals: map[string]*portal{}},
	}
	f.connections[processID] = c
	f.loop.Timers.Add(f.loop.Now()+startupTimeout, func() {
		if !c.started && !c.ended {
			socket.Close()
		}
	})
	return c
}

// removeConnection forgets a connection and the rows that its portals hold.
func (f *Frontend) removeConnection(c *connection) {
	c.ended = true
	c.stallTimer.Stop()
	delete(f.connections, c.processID)
	c.dropPortals()
}

// Drain closes each connection as soon as nothing is open on it. A transaction may go on until the
// process ends.
func (f *Frontend) Drain() {
	f.draining = true
	for _, c := range f.connections {
		if c.quiescent() {
			c.fatal(errShutdown())
		}
	}
}

// CloseUnmovable closes each connection that can't be handed over to another process, as soon as
// nothing is open on it.
func (f *Frontend) CloseUnmovable() {
	for _, c := range f.connections {
		if !c.socket.UsesTLS() {
			continue
		}
		c.closeWhenQuiescent = true
		if c.started && c.quiescent() {
			c.fatal(errShutdown())
		}
	}
}

// Idle reports whether no client is left.
func (f *Frontend) Idle() bool { return len(f.connections) == 0 }

// countUserConnections returns how many connections of a user have started and not ended.
func (f *Frontend) countUserConnections(user string) (n int) {
	for _, c := range f.connections {
		if c.started && !c.ended && c.user == user {
			n++
		}
	}
	return n
}
