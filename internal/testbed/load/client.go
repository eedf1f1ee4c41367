// Package load sends traffic to a gateway as its clients do, and records the outcome of each
// request. Arrivals do not wait for answers (an open loop): when a gateway stalls, the latency of all
// requests that arrive meanwhile shows it.
package load

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"
)

// Verdict is the outcome of a request, as its client sees it.
type Verdict string

// The outcomes of a request.
const (
	Served      Verdict = "served"  // answered with the request's own rows
	Refused     Verdict = "refused" // not executed: a retry is safe
	Failed      Verdict = "failed"  // answered with an error that none of the other verdicts covers
	Ambiguous   Verdict = "doubt"   // the request may or may not have run (SQLSTATE 40003)
	Late        Verdict = "late"    // the deadline expired (SQLSTATE 57014)
	Reset       Verdict = "reset"   // the connection ended without an answer
	Silent      Verdict = "silent"  // no answer in time
	Corrupt     Verdict = "spoilt"  // an answer to another request, or an unreadable one
	Unreachable Verdict = "unasked" // no connection could be made
)

// Kind is what a request does.
type Kind byte

// Kinds of request. The letter of its kind begins a request's mark.
const (
	Lookup Kind = 'q' // reads few rows
	Report Kind = 'r' // aggregates many rows
	Load   Kind = 'k' // bulk load with an idempotency key
	Write  Kind = 'w' // write that is not idempotent
)

// Statement is a recorded statement that a request sends in place of the client's own. The
// request's mark is appended as a comment.
type Statement struct {
	Text           string
	Values         [][]byte // bound values, nil for null; if there are none, the text is sent as a Query or as the body of an HTTP call
	Formats, Types []byte   // format codes and type object ids of the values, encoded as in Bind and Parse but without their counts
}

// Client is one connection of a client.
type Client interface {
	// Send sends one request and waits for its answer until a second after the deadline within. It
	// returns the verdict and a description of an unsuccessful one. A nil statement stands for the
	// client's own statement of the kind.
	Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string)
	// Idle checks the connection between two requests. It returns Served if nothing has arrived,
	// Corrupt if unexpected input has, and Reset if the connection has ended.
	Idle() Verdict
	// Close closes the connection.
	Close()
}

const (
	// grace is how long after a request's deadline its answer still counts.
	grace = time.Second
	// setupTimeout bounds the first exchange on a connection, such as the login.
	setupTimeout = 10 * time.Second
	dialTimeout  = 5 * time.Second
)

// transport is the network connection of a client of either protocol.
type transport struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(addr string) (transport, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return transport{}, err
	}
	return transport{c, bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (w *transport) Close() { _ = w.conn.Close() }

// Idle waits a millisecond for input, which would answer no request, or the end of the connection.
func (w *transport) Idle() Verdict {
	_ = w.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := w.in.Peek(1)
	_ = w.conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return Corrupt
	case errors.Is(err, io.EOF) || !isTimeout(err):
		return Reset
	}
	return Served
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// connectionError returns the verdict of a connection error, and its text.
func connectionError(err error) (Verdict, string) {
	if isTimeout(err) {
		return Silent, err.Error()
	}
	return Reset, err.Error()
}
