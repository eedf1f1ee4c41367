package netio

import (
	"testing"

	"golang.org/x/sys/unix"
)

// journalRecorder is a journal that reports its entries on a channel, in order.
type journalRecorder struct{ entries chan string }

func (r journalRecorder) Input(_ *Conn, _ int64, b []byte) { r.entries <- "in " + string(b) }

func (r journalRecorder) Output(_ *Conn, _ int64, b []byte) { r.entries <- "out " + string(b) }

func (r journalRecorder) Ended(*Conn) { r.entries <- "end" }

// A journal records bytes before they are consumed or written, its positions agree with those that the kernel
// reports, and it is notified of the connection's end.
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
	c := await(t, "a connection", conns)
	_, _ = client.Write([]byte("abc"))
	if got := await(t, "a journal entry", r.entries); got != "in abc" {
		t.Errorf("got journal entry %q, want %q", got, "in abc")
	}
	await(t, "data", h.received)
	consumed := make(chan int64, 2)
	l.Post(func() {
		consumed <- c.ConsumedPosition() - start.Read
		c.Write([]byte("xyz"))
	})
	if n := await(t, "the position", consumed); n != 2 {
		t.Errorf("got consumed position %d after the start, want 2", n)
	}
	if got := await(t, "a journal entry", r.entries); got != "out xyz" {
		t.Errorf("got journal entry %q, want %q", got, "out xyz")
	}
	_ = client.Close()
	if got := await(t, "a journal entry", r.entries); got != "end" {
		t.Errorf("got journal entry %q, want %q", got, "end")
	}
}
