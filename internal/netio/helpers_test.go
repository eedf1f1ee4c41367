package netio

import (
	"net"
	"testing"
	"time"
)

// awaitLimit bounds how long a test waits for one event.
const awaitLimit = 5 * time.Second

// recorder is a handler that reports the events of its connection on channels. Each call of Data consumes at most
// two bytes.
type recorder struct {
	received chan string // the whole buffer at each call of Data
	closed   chan error  // the error of Closed
	accepted chan *Conn  // the connection, at each call of accept
}

func newRecorder() *recorder {
	return &recorder{received: make(chan string, 10), closed: make(chan error, 1), accepted: make(chan *Conn, 1)}
}

func (r *recorder) Data(_ *Conn, in *Buffer) {
	r.received <- string(in.Bytes())
	in.Consume(min(in.Len(), 2))
}

func (r *recorder) Closed(_ *Conn, err error) { r.closed <- err }

// accept returns the recorder as the handler of c.
func (r *recorder) accept(c *Conn) Handler {
	r.accepted <- c
	return r
}

// startLoop returns a loop that runs until the end of the test.
func startLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return l
}

// serve returns a listener of a loop, with the recorder as the handler of its connections, and a client that is
// connected to it.
func serve(t *testing.T, l *Loop, r *recorder) (*Listener, net.Conn) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(ln, 1<<16, 10, r.accept)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close() // fails if the test has closed it
		_ = ln.Close()
	})
	return ln, client
}

// tcpPair returns both ends of a TCP connection, and a duplicate of the server's descriptor.
func tcpPair(t *testing.T) (client, server *net.TCPConn, serverFD int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	file, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close() // fails if the test has closed it
		_ = accepted.Close()
		_ = file.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn), int(file.Fd())
}

// await receives from c, and fails the test if nothing arrives within awaitLimit.
func await[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(awaitLimit):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}
