// Package postgres implements the frontend for clients that speak the PostgreSQL wire protocol, with
// simple and extended queries. Each execution becomes one request to the core and gets one final answer: a
// completion or one ErrorResponse. A transaction is one streaming request.
package postgres

import (
	"fmt"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/loginlimit"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
)

// Frontend accepts clients and owns their connections. It must only be used on the event loop's
// goroutine.
type Frontend struct {
	loop         *netio.Loop
	core         *core.Core
	opts         Options
	counters     *metrics.Counters
	listener     *netio.Listener
	loginLimiter *loginlimit.Limiter
	draining     bool // Drain was called
	heldBytes    int  // size of the unsent rows in all open portals, in bytes
	clientBytes  int  // size of what all clients make the frontend keep, see clientMemory, in bytes

	connections   map[uint32]*connection // by process ID
	lastProcessID uint32                 // highest process ID that was assigned

	onAccept        func(*netio.Conn) // called for each accepted connection; may be nil
	onUnknownCancel func(body []byte) // called for a CancelRequest of an unknown connection; may be nil
}

// New returns a frontend that submits its requests to the core.
func New(loop *netio.Loop, c *core.Core, opts Options, counters *metrics.Counters) *Frontend {
	f := &Frontend{
		loop:         loop,
		core:         c,
		counters:     counters,
		loginLimiter: loginlimit.New(loginlimit.Defaults()),
		connections:  map[uint32]*connection{},
	}
	f.SetOptions(opts)
	return f
}

// SetOptions replaces the options. They apply to statements that are prepared and clients that connect
// afterwards.
func (f *Frontend) SetOptions(opts Options) {
	if opts.MaxHeldBytes <= 0 {
		opts.MaxHeldBytes = defaultMaxHeldBytes
	}
	if opts.MaxClientBytes <= 0 {
		opts.MaxClientBytes = defaultMaxClientBytes
	}
	f.opts = opts
}

// Listen starts accepting clients at the address.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for PostgreSQL clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn starts accepting clients from a listener, which another process may have opened.
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

// CloseListener stops accepting connections. Open connections are not affected.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

// accept returns the handler of a connection that was just accepted.
func (f *Frontend) accept(socket *netio.Conn) netio.Handler {
	f.counters.Inc("pgwire.connections")
	f.lastProcessID++
	c := f.addConnection(socket, f.lastProcessID)
	if f.onAccept != nil {
		f.onAccept(socket)
	}
	return c
}

// addConnection registers a connection and closes it unless its startup completes in time.
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

// removeConnection unregisters a connection and releases what it keeps.
func (f *Frontend) removeConnection(c *connection) {
	c.ended = true
	c.stallTimer.Stop()
	delete(f.connections, c.processID)
	c.releaseAll()
}

// Drain closes each connection as soon as no request and no transaction is open on it. A transaction
// may continue until the process ends.
func (f *Frontend) Drain() {
	f.draining = true
	for _, c := range f.connections {
		if c.quiescent() {
			c.fatal(errShutdown())
		}
	}
}

// CloseUnmovable closes each connection that can't be handed over to another process because it uses
// TLS, as soon as no request and no transaction is open on it.
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

// countUserConnections returns the number of the user's connections that have started and not ended.
func (f *Frontend) countUserConnections(user string) (n int) {
	for _, c := range f.connections {
		if c.started && !c.ended && c.user == user {
			n++
		}
	}
	return n
}
