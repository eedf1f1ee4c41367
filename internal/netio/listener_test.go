package netio

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Another process that shares a listener's socket may make it blocking, so that an accept blocks in the kernel. Close
// must return soon all the same. Otherwise the loop would block in Close until the next client connects.
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
	dial() // the accept may wait in Go's poller now; after this client the next one blocks in the kernel
	<-r.accepted
	closed := make(chan struct{})
	l.Post(func() {
		_ = ln.Close()
		close(closed)
	})
	select {
	case <-closed:
	case <-time.After(awaitLimit):
		t.Error("Close blocked until the next client, want it to return within maxCloseWait")
		dial()
		<-closed
	}
}
