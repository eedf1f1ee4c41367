package netio

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Bytes lie unread, more than are ever read, when a connection is closed: its peer has what was written
// and then the end, not a reset, and the handler hears of nothing more.
func TestCloseOverUnread(t *testing.T) {
	l := running(t)
	h := newTaker()
	_, client := served(t, l, h)
	c := await(t, "a connection", h.c)
	sent := make(chan error, 1)
	l.Post(func() {
		go func() {
			_, err := client.Write(make([]byte, 200<<10)) // a third of it fits into the buffer
			sent <- err
		}()
		for c.Unread() == 0 {
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
	await(t, "the end", h.closed)
	select {
	case got := <-h.got:
		t.Errorf("the handler has %d bytes that came after it had closed", len(got))
	default:
	}
}

// A peer that never closes its side is left in the end, however much it goes on sending.
func TestCloseOfOneThatStays(t *testing.T) {
	l := running(t)
	h := newTaker()
	_, client := served(t, l, h)
	c := await(t, "a connection", h.c)
	l.Post(c.Close)
	written := make(chan int, 1)
	go func() {
		n, err := 0, error(nil)
		for err == nil {
			var one int
			one, err = client.Write(make([]byte, 32<<10))
			n += one
		}
		written <- n
	}()
	await(t, "the end", h.closed)
	await(t, "the end at the peer", written)
}

// Small writes go out at once: what the system holds back would go with a reset.
func TestNothingIsHeldBack(t *testing.T) {
	l := running(t)
	h := newTaker()
	ln, _ := served(t, l, h)
	dialed := make(chan *Conn, 1)
	l.Post(func() {
		l.Dial(ln.Addr().String(), lingerMost, 1024, newTaker(), func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
			}
			dialed <- c
		})
	})
	for name, c := range map[string]*Conn{"accepted": await(t, "a connection", h.c), "dialed": await(t, "a connection", dialed)} {
		if on, err := unix.GetsockoptInt(c.nc.Hash(), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", name, on, err)
		}
	}
}

// A connection whose peer has reset it just before it is closed ends once.
func TestCloseAfterReset(t *testing.T) {
	l := running(t)
	h := newTaker()
	_, client := served(t, l, h)
	c := await(t, "a connection", h.c)
	l.Post(func() {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		for !c.Disconnected() {
		}
		c.Close()
	})
	if err := await(t, "the end", h.closed); errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// gatherer keeps all that it is told.
type gatherer struct {
	n      int
	closed chan int
}

func (h *gatherer) Data(_ *Conn, in *Buffer)  { h.n += in.Len(); in.Consume(in.Len()) }
func (h *gatherer) Closed(_ *Conn, err error) { h.closed <- h.n }

// A peer that was dialed writes more than a buffer holds, and closes, while the loop stands still: the handler has all
// of it before it hears of the end.
func TestAllThatCameBeforeTheEnd(t *testing.T) {
	const size = 60 << 10 // two reads
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := running(t)
	h := &gatherer{closed: make(chan int, 1)}
	l.Post(func() {
		l.Dial(ln.Addr().String(), lingerMost, 1024, h, func(c *Conn, err error) {
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
			}
		})
	})
	if n := await(t, "the end", h.closed); n != size {
		t.Errorf("%d bytes of %d", n, size)
	}
}

// Where connections have taken all descriptors that they may, the roster's finds those that are kept back for it.
func TestKeptDescriptors(t *testing.T) {
	l := running(t)
	h := newTaker()
	ln, _ := served(t, l, h)
	await(t, "a connection", h.c)
	ends := make(chan error, 2)
	l.Post(func() {
		if err := l.LimitDescriptors(1, 0); err != nil {
			t.Error(err)
		}
		tell := func(_ *Conn, err error) { ends <- err }
		l.Dial(ln.Addr().String(), lingerMost, 1024, newTaker(), tell)
		l.DialReserved(ln.Addr().String(), lingerMost, 1024, newTaker(), tell)
	})
	if err := await(t, "an end", ends); !IsDescriptorShortage(err) {
		t.Errorf("a dial: %v", err)
	}
	if err := await(t, "an end", ends); err != nil {
		t.Errorf("the kept dial: %v", err)
	}
}

// A loop that is told to stop does not sleep first until something else happens.
func TestStopEndsTheTurn(t *testing.T) {
	for name, stop := range map[string]func(*Loop){
		"by a timer": func(l *Loop) { l.Timers.Add(l.Now(), l.Stop) },
		"by a timer, as another is far away": func(l *Loop) {
			l.Timers.Add(l.Now(), l.Stop)
			l.Timers.Add(l.Now()+time.Hour, func() {})
		},
	} {
		l, err := New(64)
		if err != nil {
			t.Fatal(err)
		}
		stop(l)
		done := make(chan struct{})
		go func() { l.Run(); close(done) }()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: it goes on", name)
			l.Post(func() {})
			<-done
		}
	}
}
