package netio

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"

	"golang.org/x/sys/unix"
)

// Bytes lie unread, more than are ever read, when a connection is closed: its peer has what was written
// and then the end, not a reset, and the handler hears of nothing more.
func TestCloseWithUnreadData(t *testing.T) {
	l := startLoop(t)
	h := newRecorder()
	_, client := serve(t, l, h)
	c := await(t, "a connection", h.accepted)
	sent := make(chan error, 1)
	l.Post(func() {
		go func() {
			_, err := client.Write(make([]byte, 200<<10)) // a third of it fits into the buffer
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
		t.Errorf("the peer has %q, %v", b, err)
	}
	if err := await(t, "what was written ahead", sent); err != nil {
		t.Error(err)
	}
	_ = client.Close()
	_ = await(t, "the end", h.closed)
	select {
	case got := <-h.received:
		t.Errorf("the handler has %d bytes that came after it had closed", len(got))
	default:
	}
}

// A peer that never closes its side is left in the end, however much it goes on sending.
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

// Small writes go out at once: what the system holds back would go with a reset.
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
			t.Errorf("%s: TCP_NODELAY is %d, %v", name, on, err)
		}
	}
}

// A connection whose peer has reset it just before it is closed ends once.
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
		t.Error(err)
	}
}

// byteCounter counts all that it is told.
type byteCounter struct {
	n       int
	counted chan int // the count after each call; nil: not wanted
	closed  chan int
}

func (h *byteCounter) Data(_ *Conn, in *Buffer) {
	h.n += in.Len()
	in.Consume(in.Len())
	if h.counted != nil {
		h.counted <- h.n
	}
}

func (h *byteCounter) Closed(*Conn, error) { h.closed <- h.n }

// A peer that was dialed writes more than a buffer holds, and closes, while the loop stands still: the handler has all
// of it before it hears of the end.
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
		t.Errorf("%d bytes of %d", n, size)
	}
}
