package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo starts a server that echoes each byte and sends each byte it received on seen.
func echo(t *testing.T) (addr string, seen chan byte) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	seen = make(chan byte, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					seen <- b[0]
					if _, err := c.Write(b); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), seen
}

// open starts a link to an echo server and connects one client to it.
func open(t *testing.T, opts Options) (*Link, net.Conn, chan byte) {
	t.Helper()
	addr, seen := echo(t)
	l, err := Listen(addr, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return l, c, seen
}

// exchange sends one byte and returns the reply.
func exchange(c net.Conn, b byte) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	return got[0], err
}

// A link delays both directions by at least Delay, and keeps bytes in order in spite of jitter.
func TestDelay(t *testing.T) {
	_, c, _ := open(t, Options{Delay: 20 * time.Millisecond, Jitter: 10 * time.Millisecond, Seed: 1})
	start := time.Now()
	if got, err := exchange(c, 'a'); err != nil || got != 'a' || time.Since(start) < 40*time.Millisecond {
		t.Errorf("got reply %q, error %v after %v; want 'a' after at least 40ms", got, err, time.Since(start))
	}
	want := []byte("the order is kept")
	for _, b := range want {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %q, error %v; want %q", got, err, want)
	}
}

// Each kind of fault has its documented effect, and no other.
func TestFaults(t *testing.T) {
	for _, kind := range []Kind{DroppedReplies, Garbage, Cut, Reset, HalfClose, Silence} {
		t.Run(string(kind), func(t *testing.T) {
			l, c, seen := open(t, Options{Faults: []Fault{{Kind: kind, From: 100 * time.Millisecond, For: 200 * time.Millisecond}}, Seed: 1})
			if got, err := exchange(c, 'a'); err != nil || got != 'a' {
				t.Fatalf("before the fault: got reply %q, error %v; want 'a'", got, err)
			}
			<-seen
			change := l.nextChange()
			if !l.active(kind) {
				<-change // closed when the fault begins
			}
			switch kind {
			case DroppedReplies:
				_, _ = c.Write([]byte{'b'})
				if got := <-seen; got != 'b' {
					t.Errorf("the server received %q, want 'b'", got)
				}
				for l.active(kind) {
					<-l.nextChange()
				}
				if got, err := exchange(c, 'c'); err != nil || got != 'c' {
					t.Errorf("after the fault: got reply %q, error %v; want 'c'", got, err)
				}
			case Garbage:
				if got, err := exchange(c, 'b'); err != nil || got == 'b' {
					t.Errorf("got reply %q, error %v; want a byte other than 'b'", got, err)
				}
			case Silence:
				start := time.Now()
				if got, err := exchange(c, 'b'); err != nil || got != 'b' || time.Since(start) < 20*time.Millisecond {
					t.Errorf("got reply %q, error %v after %v; want 'b' after at least 20ms", got, err, time.Since(start))
				}
			case Reset:
				if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("read: got error %v, want ECONNRESET", err)
				}
			case Cut:
				if _, err := c.Read(make([]byte, 1)); err == nil {
					t.Error("read from the existing connection succeeded, want an error")
				}
				n, err := net.Dial("tcp", l.Addr())
				if err == nil {
					defer func() { _ = n.Close() }()
					_, err = n.Read(make([]byte, 1))
				}
				if err == nil {
					t.Error("a new connection works during the cut, want it refused")
				}
			case HalfClose:
				if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("read: got error %v, want EOF", err)
				}
			}
		})
	}
	if _, err := Listen("127.0.0.1:1", Options{Faults: []Fault{{Kind: "odd"}}}); err == nil {
		t.Error("Listen accepted an unknown kind of fault, want an error")
	}
	if _, err := Listen("10.0.0.1:1", Options{}); err == nil {
		t.Error("Listen accepted an address outside loopback, want an error")
	}
}
