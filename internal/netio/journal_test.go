package netio

import (
	"testing"

	"golang.org/x/sys/unix"
)

// journalRecorder is a journal that passes on what it is told, in order.
type journalRecorder struct{ entries chan string }

func (r journalRecorder) Input(_ *Conn, _ int64, b []byte) { r.entries <- "in " + string(b) }

func (r journalRecorder) Output(_ *Conn, _ int64, b []byte) { r.entries <- "out " + string(b) }

func (r journalRecorder) Ended(*Conn) { r.entries <- "end" }

// A journal is given bytes before they are consumed or written, at the positions that the
// kernel reports, and is told of the connection's end.
func TestJournal(t *testing.T) {
	l := startLoop(t)
	client, server, fd := tcpPair(t)
	start, err := StreamPositionOf(fd)
	if err != nil {
		t.Fatal(err)
	}
	dup, _ := unix.Dup(fd)
	_ = server.Close()
	h, r := newRecorder(), journalRecorder{make(chan string, 10)}
	conns := make(chan *Conn, 1)
	l.Post(func() {
		c, err := l.Attach(dup, 1<<16, nil, func(c *Conn) Handler {
			c.SetJournal(r)
			return h
		})
		if err != nil {
			t.Error(err)
		}
		conns <- c
	})
	c := await(t, "connection", conns)
	_, _ = client.Write([]byte("abc"))
	if got := await(t, "record", r.entries); got != "in abc" {
		t.Errorf("recorded %q", got)
	}
	await(t, "data", h.received)
	done := make(chan int64, 2)
	l.Post(func() {
		done <- c.ConsumedPosition() - start.Read
		c.Write([]byte("xyz"))
	})
	if n := await(t, "position", done); n != 2 {
		t.Errorf("consumed to %d, want 2", n)
	}
	if got := await(t, "record", r.entries); got != "out xyz" {
		t.Errorf("recorded %q", got)
	}
	_ = client.Close()
	if got := await(t, "record", r.entries); got != "end" {
		t.Errorf("recorded %q", got)
	}
}
