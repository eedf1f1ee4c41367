package netio

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// A connection moves from one loop to another together with its unread bytes, while a duplicate of its socket stays
// open. The peer notices nothing, and the first loop gets no further event of the connection, also not for the next
// connection that has the same descriptor number. The first loop's listener can pause and resume.
func TestDetachAttach(t *testing.T) {
	loops := [2]*Loop{}
	for i := range loops {
		loops[i] = startLoop(t)
	}
	first, second := newRecorder(), newRecorder()
	ln, client := serve(t, loops[0], first)
	_, _ = client.Write([]byte("abcdef"))
	if got := await(t, "data", first.received); got != "abcdef" {
		t.Errorf("the first loop got %q, want %q", got, "abcdef")
	}
	c := await(t, "a connection", first.accepted)
	duplicates := make(chan int, 1)
	loops[0].Post(func() {
		fd, unread, err := c.Detach()
		if err != nil || string(unread) != "cdef" {
			t.Errorf("Detach returned unread bytes %q, error %v; want %q and no error", unread, err, "cdef")
		}
		dup, _ := unix.Dup(fd)
		duplicates <- dup
		loops[1].Post(func() {
			if _, err := loops[1].Attach(fd, 1<<16, unread, second.accept); err != nil {
				t.Error(err)
			}
		})
	})
	duplicate := await(t, "the duplicate", duplicates)
	defer func() { _ = unix.Close(duplicate) }()
	if got := await(t, "the unread bytes", second.received); got != "cdef" {
		t.Errorf("the second loop got %q, want %q", got, "cdef")
	}
	await(t, "the pause", ln.Pause())
	other, err := net.Dial("tcp", ln.Addr().String()) // stays in the backlog during the pause
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	_, _ = client.Write([]byte("gh"))
	if got := await(t, "new data", second.received); got != "efgh" {
		t.Errorf("the second loop got %q, want %q", got, "efgh")
	}
	select {
	case <-first.accepted:
		t.Error("the paused listener accepted a connection, want none")
	case got := <-first.received:
		t.Errorf("the first loop got %q after the transfer, want nothing", got)
	default:
	}
	ln.Resume()
	await(t, "a connection after the pause", first.accepted)
	d := await(t, "a connection", second.accepted)
	loops[1].Post(func() { d.Write([]byte("ok")) })
	b := make([]byte, 2)
	if _, err := client.Read(b); err != nil || string(b) != "ok" {
		t.Errorf("the client read %q, error %v; want %q and no error", b, err, "ok")
	}
	_ = client.Close()
	_ = await(t, "the end", second.closed)
	select {
	case err := <-first.closed:
		t.Errorf("the first loop called Closed with error %v, want no call", err)
	default:
	}
}
