package netio

import (
	"net"
	"slices"
	"testing"
	"time"
)

// TestCompareHolders checks who is closed first when memory is short.
func TestCompareHolders(t *testing.T) {
	usualMoves := holder{bytes: 90, served: true}
	usualStalled := holder{bytes: 90, served: true, stalled: true}
	newMoves := holder{bytes: 50}
	newStalled := holder{bytes: 10, stalled: true}
	newLarge := holder{bytes: 60}
	got := []holder{usualMoves, newMoves, usualStalled, newLarge, newStalled}
	slices.SortFunc(got, compareHolders)
	want := []holder{newStalled, newLarge, newMoves, usualStalled, usualMoves}
	if !slices.Equal(got, want) {
		t.Errorf("order = %+v, want %+v", got, want)
	}
}

// TestDialedConnectionIsReadOn guards against answers of engines that wait because clients have filled the buffers.
func TestDialedConnectionIsReadOn(t *testing.T) {
	const message = 20 << 10 // more than is read of a client while memory is short
	l := startLoop(t)
	l.SetBufferBudget(0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = c.Write(make([]byte, message))
		}
	}()
	dialed := make(chan *Conn, 1)
	l.Post(func() {
		l.Dial(ln.Addr().String(), time.Second, 1<<16, hoarder{}, func(c *Conn, err error) {
			if err != nil {
				t.Error(err)
			}
			dialed <- c
		})
	})
	c := await(t, "the connection", dialed)
	for deadline := time.Now().Add(awaitLimit); ; time.Sleep(time.Millisecond) {
		unread := 0
		onLoop(t, l, func() { unread = c.Unread() })
		if unread == message {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes were read, want %d", unread, message)
		}
	}
}

// hoarder is a handler that consumes nothing.
type hoarder struct{}

func (hoarder) Data(*Conn, *Buffer) {}
func (hoarder) Closed(*Conn, error) {}
