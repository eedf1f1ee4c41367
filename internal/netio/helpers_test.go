package netio

import (
	"net"
	"testing"
	"time"
)

// awaitLimit bounds each wait of a test.
const awaitLimit = 5 * time.Second

// recorder is a handler that passes on what it is told of one connection. It consumes two bytes of each call.
type recorder struct {
	received chan string
	closed   chan error
	accepted chan *Conn
}

func newRecorder() *recorder {
	return &recorder{received: make(chan string, 10), closed: make(chan error, 1), accepted: make(chan *Conn, 1)}
}

func (r *recorder) Data(_ *Conn, in *Buffer) {
	r.received <- string(in.Bytes())
	in.Consume(min(in.Len(), 2))
}

func (r *recorder) Closed(_ *Conn, err error) { r.closed <- err }

// accept is the recorder as the handler of an accepted connection.
func (r *recorder) accept(c *Conn) Handler {
	r.accepted <- c
	return r
}

// startLoop is a loop that runs until the test's end.
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

// serve is a listener of a loop whose connections the recorder has, and a client of it.
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
		_ = client.Close() // some tests have closed it
		_ = ln.Close()
	})
	return ln, client
}

// tcpPair is both ends of a connection, and another descriptor of the server's.
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
		_ = dialed.Close() // some tests have closed them
		_ = accepted.Close()
		_ = file.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn), int(file.Fd())
}

// await receives within awaitLimit.
func await[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(awaitLimit):
		t.Fatalf("no %s", what)
	}
	return v
}
