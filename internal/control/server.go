// Package control implements the control endpoint, an HTTP/1.1 server at an address of its own,
// through which operators read statistics and disable engines. Each connection carries one request
// and is closed after the response.
package control

import (
	"fmt"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/http1"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/internal/timerqueue"
)

const (
	// maxConns bounds the connections; further ones wait to be accepted.
	maxConns = 12
	// maxIdleConns bounds the connections without a complete request. Beyond it the oldest of them
	// is closed, so that clients that connect and send nothing cannot keep others out.
	maxIdleConns = 8
	// requestTimeout bounds the time from accepting a connection to its complete request. The
	// response follows at once.
	requestTimeout = time.Second
	// spareDescriptors covers the listener, and a connection that is still being closed when the
	// next one is accepted.
	spareDescriptors = 2
)

// Descriptors is the maximum number of file descriptors that the control endpoint uses.
const Descriptors = maxConns + spareDescriptors

// Gateway carries out the requests of operators. Its methods are called on the loop's goroutine.
type Gateway interface {
	// Ready returns nil if this process can serve clients, or the reason why it cannot.
	Ready() error
	// Stats returns the current statistics of the gateway.
	Stats() core.Stats
	// DisableEngine stops sending requests to an engine. It fails if no engine has the id, or if too
	// many engines are disabled.
	DisableEngine(id string) error
	// EnableEngine undoes DisableEngine. It fails if no engine has the id.
	EnableEngine(id string) error
}

// Server is the control endpoint's HTTP server. It runs on the loop's goroutine and starts none of its own.
type Server struct {
	loop     *netio.Loop
	gateway  Gateway
	counters *metrics.Counters
	listener *netio.Listener
	idle     map[*conn]struct{} // without a complete request
}

// Open opens the control endpoint at addr. It serves until the loop ends.
func Open(loop *netio.Loop, addr string, g Gateway, counters *metrics.Counters) (*Server, error) {
	ln, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("control endpoint: %w", err)
	}
	ln.HighPriority = true
	s := &Server{loop: loop, gateway: g, counters: counters, listener: ln, idle: map[*conn]struct{}{}}
	loop.Serve(ln, http1.MaxRequestSize, maxConns, s.accept)
	return s, nil
}

// Addr returns the address that the endpoint listens at.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// accept starts to serve a connection. It closes the oldest idle one if there are too many.
func (s *Server) accept(netConn *netio.Conn) netio.Handler {
	c := &conn{server: s, netConn: netConn, acceptedAt: s.loop.Now()}
	c.timeout = s.loop.Timers.Add(c.acceptedAt+requestTimeout, c.closeIdle)
	s.idle[c] = struct{}{}
	if len(s.idle) > maxIdleConns {
		s.oldestIdle(c).closeIdle()
	}
	return c
}

// oldestIdle returns the idle connection that was accepted first. Among connections accepted at the same time it prefers
// newest.
func (s *Server) oldestIdle(newest *conn) *conn {
	oldest := newest
	for c := range s.idle {
		if c.acceptedAt < oldest.acceptedAt {
			oldest = c
		}
	}
	return oldest
}

// conn is a client connection. It carries one request. It implements netio.Handler.
type conn struct {
	server     *Server
	netConn    *netio.Conn
	parser     http1.Parser
	acceptedAt time.Duration     // on the loop's clock
	timeout    *timerqueue.Timer // closes the connection unless its request is complete by then
	done       bool              // the request was answered, or the connection was closed
}

// closeIdle closes a connection that has not sent a complete request.
func (c *conn) closeIdle() {
	if c.done {
		return
	}
	c.server.counters.Inc("control.silent")
	c.finish()
	c.netConn.Abort()
}

// finish marks the connection as done: nothing more is read from it.
func (c *conn) finish() {
	c.done = true
	c.timeout.Stop()
	delete(c.server.idle, c)
}

// Data handles the request once it is complete, and closes the connection after the response. The loop calls it whenever
// bytes have arrived.
func (c *conn) Data(_ *netio.Conn, in *netio.Buffer) {
	if c.done {
		in.Consume(in.Len())
		return
	}
	request, size, fault := c.parser.Parse(in.Bytes())
	if fault == nil && size == 0 { // not complete yet
		return
	}
	var response http1.Response
	if fault == nil {
		response, fault = c.server.handle(request)
	}
	if fault != nil {
		c.server.counters.Inc("control.refused")
		response = errorResponse(fault)
	} else {
		c.server.counters.Inc("control.answered")
	}
	response.Close = true
	in.Consume(in.Len())
	c.finish()
	c.netConn.Write(response.Append(nil))
	c.netConn.Close()
}

// Closed releases the connection. The loop calls it once the connection has ended.
func (c *conn) Closed(*netio.Conn, error) { c.finish() }
