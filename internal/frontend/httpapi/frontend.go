// Package httpapi is the platform's frontend. Clients send statements in HTTP/1.1 requests; a
// connection handles one request at a time.
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
	defaultMaxClients   = 512      // connections
	defaultMaxHeldBytes = 16 << 20 // bytes
)

// Options configures a Frontend. Limits of zero or less select the defaults.
type Options struct {
	// MaxClients is the maximum number of connections. Above it, connections that are not in use
	// are evicted.
	MaxClients int
	// MaxHeldBytes is the maximum size in bytes of all results that are held for clients to fetch.
	MaxHeldBytes int
	// Shapes estimates statements by their query shape. Nil disables these estimates.
	Shapes *queryshape.Service
	// RequestTimeout is the time in which a new connection must complete its first request, and
	// any connection a request that it has begun.
	RequestTimeout time.Duration
}

// Frontend accepts client connections and passes their requests to the core.
type Frontend struct {
	loop     *netio.Loop
	core     *core.Core
	options  Options
	counters *metrics.Counters
	listener *netio.Listener

	connections     map[*conn]struct{}
	openRequests    map[string]*conn // connections with an unanswered request, by request ID
	results         resultStore
	evictionPending bool // a timer is set that calls evictExcess again

	shutdown shutdownState
	hooks    hooks
}

// shutdownState records which steps of a shutdown or a handover to another process are in effect.
type shutdownState struct {
	draining           bool // connections are closed as soon as nothing is in progress on them
	closeAfterResponse bool // each connection is closed after its next response
	unpaged            bool // each result is sent whole in one response
}

// hooks are callbacks for the handover of connections to another process; each may be nil.
type hooks struct {
	onAccept            func(*netio.Conn) // called for each accepted connection
	onSharedStateChange func([]byte)      // called with each encoded change of the state that connections share
}

// New returns a frontend that passes its requests to the core.
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

// Listen opens a listener on the address and accepts connections from it.
func (f *Frontend) Listen(addr string) error {
	ln, err := netio.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	f.ListenOn(ln)
	return nil
}

// ListenOn accepts connections from a listener, which another process may have opened.
func (f *Frontend) ListenOn(ln *netio.Listener) {
	f.listener = ln
	f.loop.Serve(ln, http1.MaxRequestSize, f.options.MaxClients+spareConnections, f.accept)
	f.closeIdle()
}

// Listener returns the listener set by Listen or ListenOn.
func (f *Frontend) Listener() *netio.Listener { return f.listener }

// Addr returns the address on which clients connect.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// CloseListener stops accepting connections. Open connections are not affected.
func (f *Frontend) CloseListener() { _ = f.listener.Close() }

func (f *Frontend) accept(socket *netio.Conn) netio.Handler {
	f.counters.Inc("rest.connections")
	c := &conn{frontend: f, socket: socket, lastActivity: f.loop.Now()}
	f.add(c)
	c.startRequestTimer()
	if f.hooks.onAccept != nil {
		f.hooks.onAccept(socket)
	}
	return c
}

// add registers a connection and evicts others if there are more than MaxClients.
func (f *Frontend) add(c *conn) {
	f.connections[c] = struct{}{}
	if len(f.connections) > f.options.MaxClients {
		f.evictExcess()
	}
}

// CloseAfterResponse closes each connection after its next response, which carries "Connection:
// close". The client then reconnects to another process that accepts on the same address.
func (f *Frontend) CloseAfterResponse() { f.shutdown.closeAfterResponse = true }

// SetUnpaged sets whether each result is sent whole in one response, whatever its size. This is
// needed while the request for a further page may reach another process on a new connection.
func (f *Frontend) SetUnpaged(on bool) { f.shutdown.unpaged = on }

// Drain closes each connection as soon as nothing is in progress on it. A partly received request
// is still awaited, pipelined requests are answered, and further pages of a result can be fetched.
func (f *Frontend) Drain() {
	f.shutdown.draining = true
	for c := range f.connections {
		if c.request == nil && !c.nextPagePending && !c.partialRequest && !c.ended {
			c.end()
		}
	}
}

// Idle reports whether no connection is open and the last page of every held result was sent.
func (f *Frontend) Idle() bool { return f.results.allFetched() && len(f.connections) == 0 }
