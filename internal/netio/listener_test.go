package netio

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A listener is closed at once though its accept hangs in the kernel, as another process that holds the socket has made it a
// blocking one. Guards against a loop that blocks in Close until the next client comes.
func TestCloseOfBlockingListener(t *testing.T) {
	l := startLoop(t)
	r := &recorder{accepted: make(chan *Conn, 2), closed: make(chan error, 2)}
	ln, client := serve(t, l, r)
	defer func() { _ = client.Close() }()
	<-r.accepted
	other, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	if err := unix.SetNonblock(int(other.Fd()), false); err != nil {
		t.Fatal(err)
	}
	dial := func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	dial() // whether the accept waits in the poller or in the kernel: after this one it is in the kernel
	<-r.accepted
	closed := make(chan struct{})
	l.Post(func() {
		_ = ln.Close()
		close(closed)
	})
	select {
	case <-closed:
	case <-time.After(awaitLimit):
		t.Error("the loop waits for the next client")
		dial()
		<-closed
	}
}
