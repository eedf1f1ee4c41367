// Package control is the control endpoint, where operators read figures and disable engines: calls
// of HTTP/1.1 at an address of their own, one to a connection. It reads a call, asks the gateway,
// answers and closes.
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
	// maxCallers bounds the connections; further ones wait unaccepted.
	maxCallers = 12
	// maxSilentCallers bounds the connections that have made no complete call: past it the oldest
	// one is closed. Guards against callers that connect, send nothing and keep others out.
	maxSilentCallers = 8
	// callTimeout is by when a call must be complete; no caller waits longer for its answer.
	callTimeout = time.Second
	// spareDescriptors are the listener's, and that of a connection that is closed as the next
	// one is accepted.
	spareDescriptors = 2
)

// Descriptors is how many file descriptors of the process the control endpoint may take.
const Descriptors = maxCallers + spareDescriptors

// Gateway is what the control endpoint asks. It is called on the loop's goroutine.
type Gateway interface {
	// Ready returns nil if this process can serve, or why it can't.
	Ready() error
	Figures() core.Figures
	// DisableEngine takes an engine out of use; EnableEngine undoes it.
	DisableEngine(id string) error
	EnableEngine(id string) error
}

// Server answers operators. It belongs to the loop's goroutine and starts none of its own.
type Server struct {
	loop     *netio.Loop
	gateway  Gateway
	counters *metrics.Counters
	listener *netio.Listener
	silent   map[*caller]struct{} // have made no complete call
}

// Open listens for operators until the loop ends.
func Open(loop *netio.Loop, addr string, g Gateway, counters *metrics.Counters) (*Server, error) {
	ln, err := netio.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	ln.HighPriority = true
	s := &Server{loop: loop, gateway: g, counters: counters, listener: ln, silent: map[*caller]struct{}{}}
	loop.Serve(ln, http1.MaxRequestSize, maxCallers, s.accept)
	return s, nil
}

// Addr is the address that operators call.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept(c *netio.Conn) netio.Handler {
	k := &caller{server: s, conn: c, acceptedAt: s.loop.Now()}
	k.timeout = s.loop.Timers.Add(k.acceptedAt+callTimeout, k.closeSilent)
	s.silent[k] = struct{}{}
	if len(s.silent) > maxSilentCallers {
		s.oldestSilent(k).closeSilent()
	}
	return k
}

// oldestSilent is the silent caller that was accepted first; of several at one time, newest if it
// is one of them.
func (s *Server) oldestSilent(newest *caller) *caller {
	oldest := newest
	for k := range s.silent {
		if k.acceptedAt < oldest.acceptedAt {
			oldest = k
		}
	}
	return oldest
}

// caller is one connection, which makes one call.
type caller struct {
	server     *Server
	conn       *netio.Conn
	acceptedAt time.Duration
	timeout    *timerqueue.Entry
	done       bool // its call was answered, or it was closed
}

// closeSilent closes a connection that has made no call.
func (k *caller) closeSilent() {
	if k.done {
		return
	}
	k.server.counters.Add("control.silent")
	k.finish()
	k.conn.Abort()
}

// finish marks that nothing more is read.
func (k *caller) finish() {
	k.done = true
	k.timeout.Stop()
	delete(k.server.silent, k)
}

// Data reads the call and answers it. It is netio's call.
func (k *caller) Data(_ *netio.Conn, in *netio.Buffer) {
	if k.done {
		in.Consume(in.Len())
		return
	}
	call, size, fault := http1.ParseRequest(in.Bytes())
	if fault == nil && size == 0 { // not complete yet
		return
	}
	var answer http1.Response
	if fault == nil {
		answer, fault = k.server.answer(call)
	}
	if fault != nil {
		k.server.counters.Add("control.refused")
		answer = faultAnswer(fault)
	} else {
		k.server.counters.Add("control.answered")
	}
	answer.Close = true
	in.Consume(in.Len())
	k.finish()
	k.conn.Write(answer.Append(nil))
	k.conn.Close()
}

// Closed forgets the caller. It is netio's call.
func (k *caller) Closed(*netio.Conn, error) { k.finish() }
