// Package httpapi is the platform's frontend: HTTP/1.1 requests of clients, one at a time on a
// connection.
package httpapi

import (
	"fmt"
	"strconv"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/queryshape"
)

const (
	defaultMaxClients   = 512
	defaultMaxHeldBytes = 16 << 20
)

// Options bound what clients may take.
type Options struct {
	MaxClients     int                 // connections at once; past that the longest idle ones are closed
	MaxHeldBytes   int                 // of results that wait to be fetched
	Shapes         *queryshape.Service // estimates by the shapes of statements; nil: off
	RequestTimeout time.Duration       // a connection's first request, and any that has begun, must be complete
}

// Frontend accepts clients.
type Frontend struct {
	loop     *netio.Loop
	core     *core.Core
	options  Options
	counters *metrics.Counters
	listener *netio.Listener

	connections     map[*conn]struct{}
	openRequests    map[string]*conn // by request id
	results         resultStore
	evictionPending bool // a timer calls evictExcess again

	shutdown shutdownState
	hooks    hooks
}

// shutdownState is how far this process has retired from its clients.
type shutdownState struct {
	draining           bool
	closeAfterResponse bool // each connection ends behind its next response
	unpaged            bool // each result goes in one response
}

// hooks are callbacks for the transfer of connections to another process; each may be nil.
type hooks struct {
	onAccept       func(*netio.Conn)
	onSharedChange func([]byte)
}

// New returns a frontend that gives its requests to the core.
func New(loop *netio.Loop, c *core.Core, options Options, counters *metrics.Counters) *Frontend {
	if options.MaxClients <= 0 {
		options.MaxClients = defaultMaxClients
	}
	if options.MaxHeldBytes <= 0 {
		options.MaxHeldBytes = defaultMaxHeldBytes
	}
	if options.RequestTimeout <= 0 {
		options.RequestTimeout = defaultRequestTimeout
	}
	return &Frontend{
		loop: loop, core: c, options: options, counters: counters,
		connections: map[*conn]struct{}{}, openRequests: map[string]*conn{},
		results: newResultStore(strconv.FormatInt(int64(c.Now()), 36)),
	}
}

// Listen accepts at the address.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn accepts from a listener, which another process may have opened.
func (f *Frontend) ListenOn(ln *netio.Listener) {
	f.listener = ln
	f.loop.Serve(ln, http1.MaxRequestSize, f.options.MaxClients+spareConnections, f.accept)
	f.closeIdle()
}

// Listener is the listener that it accepts from.
func (f *Frontend) Listener() *netio.Listener { return f.listener }

// Addr is the address where clients connect.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// CloseListener accepts no more connections; those that are open go on.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

func (f *Frontend) accept(socket *netio.Conn) netio.Handler {
	f.counters.Add("rest.connections")
	c := &conn{front: f, socket: socket, lastActivity: f.loop.Now()}
	f.add(c)
	c.startRequestTimer()
	if f.hooks.onAccept != nil {
		f.hooks.onAccept(socket)
	}
	return c
}

// add registers a connection and closes others for it where there are too many.
func (f *Frontend) add(c *conn) {
	f.connections[c] = struct{}{}
	if len(f.connections) > f.options.MaxClients {
		f.evictExcess()
	}
}

// CloseAfterResponse ends each connection behind its next response, and tells its client so:
// another process accepts the next one.
func (f *Frontend) CloseAfterResponse() { f.shutdown.closeAfterResponse = true }

// SetUnpaged sets whether each result goes in one response, whatever its size: the request for a
// further page may come to another process on a new connection.
func (f *Frontend) SetUnpaged(on bool) { f.shutdown.unpaged = on }

// Drain ends each connection as soon as nothing is open on it: a request that has begun to come is
// still waited for, and those that a client has pipelined are answered.
func (f *Frontend) Drain() {
	f.shutdown.draining = true
	for c := range f.connections {
		if c.request == nil && !c.nextPagePending && !c.partialRequest && !c.ended {
			c.end()
		}
	}
}

// Idle tells whether all clients have had all of their responses.
func (f *Frontend) Idle() bool { return f.results.allFetched() && len(f.connections) == 0 }
