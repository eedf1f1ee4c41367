package netio

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// Closing a connection while its socket holds unread bytes, more of them than the buffer takes, must not reset it:
// the peer receives what was written and then the end of the stream, and the handler gets no further call of Data.
func TestCloseWithUnreadData(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	_, client := serve(t, l, h)
	c := await(t, "a connection", h.accepted)
	sent := make(chan error, 1)
	l.Post(func() {
		go func() {
			_, err := client.Write(make([]byte, 200<<10)) // a third of this fits into the buffer
			sent <- err
		}()
		for c.Unread() == 0 {
			runtime.Gosched()
		}
		c.Write([]byte("the last"))
		c.Close()
	})
	b, err := io.ReadAll(client)
	if string(b) != "the last" || err != nil {
		t.Errorf("the peer received %q, error %v; want %q and no error", b, err, "the last")
	}
	if err := await(t, "the end of the peer's write", sent); err != nil {
		t.Error(err)
	}
	_ = client.Close()
	_ = await(t, "the end", h.closed)
	select {
	case got := <-h.received:
		t.Errorf("the handler received %d bytes after Close, want none", len(got))
	default:
	}
}

// After Close, a connection ends even if its peer never closes its side and keeps sending.
func TestCloseWithPeerThatStaysOpen(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	_, client := serve(t, l, h)
	c := await(t, "a connection", h.accepted)
	l.Post(c.Close)
	written := make(chan int, 1)
	go func() {
		total := 0
		var err error
		for err == nil {
			var n int
			n, err = client.Write(make([]byte, 32<<10))
			total += n
		}
		written <- total
	}()
	_ = await(t, "the end", h.closed)
	await(t, "the end at the peer", written)
}

// Small writes are sent at once (TCP_NODELAY): bytes that the kernel holds back would be lost in a reset.
func TestSmallWritesAreNotDelayed(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	ln, _ := serve(t, l, h)
	dialed := make(chan *Conn, 1)
	l.Post(func() {
		l.Dial(ln.Addr().String(), maxFlushTime, 1024, newRecorder(), func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
			}
			dialed <- c
		})
	})
	for name, c := range map[string]*Conn{"accepted": await(t, "a connection", h.accepted), "dialed": await(t, "a connection", dialed)} {
		if on, err := unix.GetsockoptInt(c.socket.Hash(), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("%s connection: got TCP_NODELAY %d, error %v; want it set", name, on, err)
		}
	}
}

// A connection that its peer resets just before Close ends once, and not with net.ErrClosed.
func TestCloseAfterReset(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	_, client := serve(t, l, h)
	c := await(t, "a connection", h.accepted)
	l.Post(func() {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		for !c.Disconnected() {
			runtime.Gosched()
		}
		c.Close()
	})
	if err := await(t, "the end", h.closed); errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection ended with %v, want any error but net.ErrClosed", err)
	}
}

// byteCounter is a handler that consumes and counts all input.
type byteCounter struct {
	n       int
	counted chan int // receives the count after each call of Data; nil if not wanted
	closed  chan int // receives the count at the end of the connection
}

func (h *byteCounter) Data(_ *Conn, in *Buffer) {
	h.n += in.Len()
	in.Consume(in.Len())
	if h.counted != nil {
		h.counted <- h.n
	}
}

func (h *byteCounter) Closed(*Conn, error) { h.closed <- h.n }

// A dialed peer writes more than the buffer's limit and closes while the loop's goroutine is busy: the handler
// receives all of it before Closed is called. The poller closes the socket, and bytes left in it would be lost.
func TestDataBeforePeerClose(t *testing.T) {
	const size = 60 << 10 // two reads
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	l := startLoop(t)
	h := &byteCounter{closed: make(chan int, 1)}
	l.Post(func() {
		l.Dial(ln.Addr().String(), maxFlushTime, 1024, h, func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			peer, err := ln.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = peer.Write(make([]byte, size))
			_ = peer.Close()
			for !c.Disconnected() {
				runtime.Gosched()
			}
		})
	})
	if n := await(t, "the end", h.closed); n != size {
		t.Errorf("the handler received %d bytes, want %d", n, size)
	}
}
