package netio

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// A connection goes from one loop to another with what was read of it, while a duplicate of
// it stays open: its peer notices nothing, the first loop is told nothing more of it (also not
// under the number of its descriptor, which another has next), and its listener can pause.
func TestDetachAttach(t *testing.T) {
	loops := [2]*Loop{}
	for i := range loops {
		loops[i] = startLoop(t)
	}
	first, second := newRecorder(), newRecorder()
	ln, client := serve(t, loops[0], first)
	_, _ = client.Write([]byte("abcdef"))
	if got := await(t, "data", first.received); got != "abcdef" {
		t.Errorf("the first loop read %q", got)
	}
	c := await(t, "connection", first.accepted)
	kept := make(chan int, 1)
	loops[0].Post(func() {
		fd, unread, err := c.Detach()
		if err != nil || string(unread) != "cdef" {
			t.Errorf("detached with %q, %v", unread, err)
		}
		dup, _ := unix.Dup(fd)
		kept <- dup
		loops[1].Post(func() {
			if _, err := loops[1].Attach(fd, 1<<16, unread, second.accept); err != nil {
				t.Error(err)
			}
		})
	})
	duplicate := await(t, "duplicate", kept)
	defer func() { _ = unix.Close(duplicate) }()
	if got := await(t, "what was read before", second.received); got != "cdef" {
		t.Errorf("the second loop took %q", got)
	}
	await(t, "pause", ln.Pause())
	other, err := net.Dial("tcp", ln.Addr().String()) // it is in the backlog
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	_, _ = client.Write([]byte("gh"))
	if got := await(t, "new data", second.received); got != "efgh" {
		t.Errorf("the second loop read %q", got)
	}
	select {
	case <-first.accepted:
		t.Error("a paused listener accepted")
	case got := <-first.received:
		t.Errorf("the first loop read %q", got)
	default:
	}
	ln.Resume()
	await(t, "connection after the pause", first.accepted)
	d := await(t, "connection", second.accepted)
	loops[1].Post(func() { d.Write([]byte("ok")) })
	b := make([]byte, 2)
	if _, err := client.Read(b); err != nil || string(b) != "ok" {
		t.Errorf("the client read %q, %v", b, err)
	}
	_ = client.Close()
	_ = await(t, "end", second.closed)
	select {
	case err := <-first.closed:
		t.Errorf("the first loop was told of the end: %v", err)
	default:
	}
}
