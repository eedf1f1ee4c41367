package netio

import (
	"net"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func pair(t *testing.T) (client, server *net.TCPConn, fd int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	f, err := s.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close(); f.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn), int(f.Fd())
}

// The kernel tells how far a stream has got, whoever read and wrote it: of reading, what was
// consumed and not what was peeked at or lies there; of writing, all that it was given, also
// what the peer has not taken. A peer that has closed its side counts nothing.
func TestPlace(t *testing.T) {
	client, server, fd := pair(t)
	start, err := StreamPositionOf(fd)
	if err != nil {
		t.Fatal(err)
	}
	expect := func(what string, read, written int64) {
		t.Helper()
		for range 200 { // what crosses the loopback is counted a moment later
			p, err := StreamPositionOf(fd)
			if err != nil {
				t.Fatal(err)
			}
			if p.Read-start.Read == read && p.Written-start.Written == written {
				return
			}
			time.Sleep(time.Millisecond)
		}
		p, _ := StreamPositionOf(fd)
		t.Errorf("%s: read %d, written %d, want %d, %d", what, p.Read-start.Read, p.Written-start.Written, read, written)
	}
	buf := make([]byte, 64)
	_, _ = client.Write(make([]byte, 100))
	expect("what lies in the socket", 0, 0)
	if _, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK); err != nil {
		t.Fatal(err)
	}
	expect("what was peeked at", 0, 0)
	n, _ := server.Read(buf)
	expect("what was read", int64(n), 0)
	_, _ = server.Write(make([]byte, 5000))
	expect("what nobody has taken", int64(n), 5000)
	_ = client.CloseWrite()
	expect("the peer's end, with data before it", int64(n), 5000)
	rest, _ := server.Read(make([]byte, 100))
	expect("the peer's end, with none", int64(n+rest), 5000)
}

type taker struct {
	got    chan string
	closed chan error
	c      chan *Conn
}

func (h *taker) Data(_ *Conn, in *Buffer) {
	h.got <- string(in.Bytes())
	in.Consume(min(in.Len(), 2))
}
func (h *taker) Closed(_ *Conn, err error) { h.closed <- err }

// running is a loop that turns until the test's end.
func running(t *testing.T) *Loop {
	t.Helper()
	l, err := New(0)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run()
	t.Cleanup(func() { l.Post(l.Stop) })
	return l
}

// served is a listener of a loop whose connections the taker has, and a client of it.
func served(t *testing.T, l *Loop, h *taker) (*Listener, net.Conn) {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(ln, 1<<16, 10, func(c *Conn) Handler { h.c <- c; return h })
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); ln.Close() })
	return ln, client
}

func newTaker() *taker {
	return &taker{got: make(chan string, 10), closed: make(chan error, 1), c: make(chan *Conn, 1)}
}

func await[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(5 * time.Second):
		t.Fatalf("no %s", what)
	}
	return v
}

// A connection goes from one loop to another with what was read of it, while a duplicate of
// it stays open: its peer notices nothing, the first loop hears nothing more of it (also not
// under the number of its descriptor, which another has next), and its listener can pause.
func TestDetachAttach(t *testing.T) {
	loops := [2]*Loop{}
	for i := range loops {
		loops[i] = running(t)
	}
	first, second := newTaker(), newTaker()
	ln, client := served(t, loops[0], first)
	_, _ = client.Write([]byte("abcdef"))
	if got := await(t, "data", first.got); got != "abcdef" {
		t.Errorf("the first loop read %q", got)
	}
	c := await(t, "connection", first.c)
	kept := make(chan int, 1)
	loops[0].Post(func() {
		fd, unread, err := c.Detach()
		if err != nil || string(unread) != "cdef" {
			t.Errorf("detached with %q, %v", unread, err)
		}
		dup, _ := unix.Dup(fd)
		kept <- dup
		loops[1].Post(func() {
			if _, err := loops[1].Attach(fd, 1<<16, unread, func(c *Conn) Handler { second.c <- c; return second }); err != nil {
				t.Error(err)
			}
		})
	})
	defer unix.Close(await(t, "duplicate", kept))
	if got := await(t, "what was read before", second.got); got != "cdef" {
		t.Errorf("the second loop took %q", got)
	}
	await(t, "pause", ln.Pause())
	other, err := net.Dial("tcp", ln.Addr().String()) // it is in the backlog
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	_, _ = client.Write([]byte("gh"))
	if got := await(t, "news", second.got); got != "efgh" {
		t.Errorf("the second loop read %q", got)
	}
	select {
	case <-first.c:
		t.Error("a paused listener accepted")
	case got := <-first.got:
		t.Errorf("the first loop read %q", got)
	default:
	}
	ln.Resume()
	await(t, "connection after the pause", first.c)
	d := await(t, "connection", second.c)
	loops[1].Post(func() { d.Write([]byte("ok")) })
	b := make([]byte, 2)
	if _, err := client.Read(b); err != nil || string(b) != "ok" {
		t.Errorf("the client read %q, %v", b, err)
	}
	_ = client.Close()
	await(t, "end", second.closed)
	select {
	case err := <-first.closed:
		t.Errorf("the first loop was told of the end: %v", err)
	default:
	}
}

// records is a journal that says what it heard, in order.
type records struct{ said chan string }

func (r records) Input(_ *Conn, at int64, b []byte)  { r.said <- "in " + string(b) }
func (r records) Output(_ *Conn, at int64, b []byte) { r.said <- "out " + string(b) }
func (r records) Ended(*Conn)                        { r.said <- "end" }

// A journal hears of bytes before they are consumed or written, at the places that the
// kernel tells of, and of the connection's end.
func TestJournal(t *testing.T) {
	l := running(t)
	client, server, fd := pair(t)
	start, err := StreamPositionOf(fd)
	if err != nil {
		t.Fatal(err)
	}
	dup, _ := unix.Dup(fd)
	_ = server.Close()
	h, r := newTaker(), records{make(chan string, 10)}
	conns := make(chan *Conn, 1)
	l.Post(func() {
		c, err := l.Attach(dup, 1<<16, nil, func(c *Conn) Handler { c.SetJournal(r); return h })
		if err != nil {
			t.Error(err)
		}
		conns <- c
	})
	c := await(t, "connection", conns)
	_, _ = client.Write([]byte("abc"))
	if got := await(t, "record", r.said); got != "in abc" {
		t.Errorf("recorded %q", got)
	}
	await(t, "data", h.got)
	done := make(chan int64, 2)
	l.Post(func() { done <- c.ConsumedPosition() - start.Read; c.Write([]byte("xyz")) })
	if n := await(t, "place", done); n != 2 {
		t.Errorf("consumed to %d, want 2", n)
	}
	if got := await(t, "record", r.said); got != "out xyz" {
		t.Errorf("recorded %q", got)
	}
	_ = client.Close()
	if got := await(t, "record", r.said); got != "end" {
		t.Errorf("recorded %q", got)
	}
}

// A program that is started from here inherits none of the loop's descriptors: neither the
// poller's own nor those of connections.
func TestDescriptorsArePrivate(t *testing.T) {
	l := running(t)
	h := newTaker()
	served(t, l, h)
	await(t, "connection", h.c)
	out, err := exec.Command("ls", "-l", "/proc/self/fd").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(out), "\n") {
		if strings.Contains(line, "socket:") || strings.Contains(line, "anon_inode:") {
			t.Errorf("a program inherits %s", line)
		}
	}
}
