// Package load sends traffic to a gateway as its clients do, and records the outcome of each
// request. Arrivals do not wait for answers (an open loop): when a gateway stalls, all requests that
// arrive meanwhile see it.
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

// Verdicts.
const (
	Served      Verdict = "served"
	Refused     Verdict = "refused" // a retry is safe
	Failed      Verdict = "failed"
	Ambiguous   Verdict = "doubt"   // it may have run (40003)
	Late        Verdict = "late"    // its deadline expired (57014)
	Reset       Verdict = "reset"   // the connection ended without an answer
	Silent      Verdict = "silent"  // no answer in time
	Corrupt     Verdict = "spoilt"  // an answer to another request, or an unreadable one
	Unreachable Verdict = "unasked" // no connection could be made
)

// Kind is what a request does.
type Kind byte

// Kinds of request; its letter begins the mark.
const (
	Lookup Kind = 'q'
	Report Kind = 'r'
	Load   Kind = 'k'
	Write  Kind = 'w'
)

// Statement is a recorded statement that a request sends in place of the client's own. The
// request's mark is appended as a comment.
type Statement struct {
	Text           string
	Values         [][]byte // bound; none: it is sent as a Query, or as the body of a call
	Formats, Types []byte   // of them, as in Bind and Parse but without their counts
}

// Client is one connection of a client.
type Client interface {
	// Send sends one request and waits for its answer. A nil statement stands for the client's own.
	Send(kind Kind, mark string, statement *Statement, within time.Duration) (Verdict, string)
	// Idle checks the connection between two requests: Served if nothing has arrived.
	Idle() Verdict
	// Close closes the connection.
	Close()
}

const (
	// grace is how long after a request's deadline its answer still counts.
	grace = time.Second
	// setupTimeout bounds the first exchange on a connection.
	setupTimeout = 10 * time.Second
	dialTimeout  = 5 * time.Second
)

// wire is what the clients of both protocols have in common.
type wire struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(addr string) (wire, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return wire{}, err
	}
	return wire{c, bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (w *wire) Close() { _ = w.conn.Close() }

// Idle waits a moment for input, which is an answer to no request, or the end of the connection.
func (w *wire) Idle() Verdict {
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

// broken returns the verdict of a connection error.
func broken(err error) (Verdict, string) {
	if isTimeout(err) {
		return Silent, err.Error()
	}
	return Reset, err.Error()
}
