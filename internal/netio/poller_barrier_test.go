package netio

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// maxReuseAttempts bounds how often a test tries to get a descriptor number reused.
const maxReuseAttempts = 20

// blockingJournal is a journal whose Input blocks the poller's goroutine during a read.
type blockingJournal struct {
	entered chan struct{} // receives a value at each call of Input
	proceed chan struct{} // each value lets one call of Input return
}

func (j blockingJournal) Input(*Conn, int64, []byte) {
	j.entered <- struct{}{}
	<-j.proceed
}

func (blockingJournal) Output(*Conn, int64, []byte) {}

func (blockingJournal) Ended(*Conn) {}

// The hang-up event of a closed connection must not close a new connection that has the same descriptor number. It
// could if the poller has fetched the event and not yet handled it when the loop closes the old connection and
// attaches the new one.
func TestStaleCloseEvent(t *testing.T) {
	for range maxReuseAttempts {
		if staleCloseEvent(t) {
			return
		}
	}
	t.Errorf("the descriptor number was not reused in %d attempts, so the case was not tested", maxReuseAttempts)
}

// staleCloseEvent runs the test once and reports whether the descriptor number was reused. It may not be, as
// descriptors of earlier tests may be closed, and so become free, at any time.
func staleCloseEvent(t *testing.T) (reused bool) {
	t.Helper()
	l := startLoop(t)
	do := func(f func()) {
		done := make(chan struct{})
		l.Post(func() { f(); close(done) })
		await(t, "a call on the loop", done)
	}
	connect := func() (net.Conn, *Conn) {
		h := newRecorder()
		_, peer := serve(t, l, h)
		return peer, await(t, "a connection", h.accepted)
	}
	journals, peers := [2]blockingJournal{}, [2]net.Conn{}
	for i := range journals {
		peer, c := connect()
		journals[i], peers[i] = blockingJournal{make(chan struct{}), make(chan struct{}, 4)}, peer
		do(func() { c.SetJournal(journals[i]) })
	}
	oldPeer, old := connect()
	newPeer, _, fd := tcpPair(t)
	// The first connection blocks the poller. Its next iteration then fetches the input of the second connection
	// and the hang-up of the old one, in this order.
	_, _ = peers[0].Write([]byte("a"))
	await(t, "the poller's read of the first connection", journals[0].entered)
	_, _ = peers[1].Write([]byte("b"))
	_ = oldPeer.Close()
	for info := (&unix.TCPInfo{}); info.State != tcpCloseWait; {
		var err error
		if info, err = unix.GetsockoptTCPInfo(old.socket.Hash(), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			t.Fatal(err)
		}
	}
	journals[0].proceed <- struct{}{}
	await(t, "the poller's read of the second connection", journals[1].entered)

	number := old.socket.Hash()
	attached := duplicateForNumber(t, fd, number)
	do(old.Abort)
	newHandler, newNumber := newRecorder(), make(chan int, 1)
	l.Post(func() {
		c, err := l.Attach(attached, 1024, nil, func(*Conn) Handler { return newHandler })
		if err != nil {
			t.Error(err)
		}
		newNumber <- c.socket.Hash()
	})
	select {
	case got := <-newNumber: // Attach did not wait
		newNumber <- got
	case <-time.After(200 * time.Millisecond):
	}
	journals[1].proceed <- struct{}{}
	got := await(t, "the new connection", newNumber)
	_, _ = peers[0].Write([]byte("a")) // handled in a later iteration
	await(t, "the poller's read of the first connection", journals[0].entered)
	journals[0].proceed <- struct{}{}
	_, _ = newPeer.Write([]byte("x"))
	select {
	case <-newHandler.received:
	case err := <-newHandler.closed:
		t.Errorf("the event of the old connection closed the new one with error %v, want it open", err)
	case <-time.After(awaitLimit):
		t.Error("the new connection received nothing, want one byte")
	}
	return got == number
}

// duplicateForNumber returns a duplicate of fd for Loop.Attach, chosen so that the attached connection gets the
// descriptor number once that is free. All lower numbers are occupied but one, which Attach itself uses for a
// moment.
func duplicateForNumber(t *testing.T, fd, number int) int {
	t.Helper()
	dup := func(minimum int) int {
		n, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, minimum)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	low := dup(0)
	for n := low; n < number; {
		n = dup(0)
		t.Cleanup(func() { _ = unix.Close(n) })
	}
	duplicate := dup(number + 1)
	_ = unix.Close(low)
	return duplicate
}

// A connection must not be closed by the hang-up event of an older one that had the same descriptor number, was closed
// in this process and is still open in another one, as during an upgrade. The kernel would go on reporting events for
// the older socket if it were not removed from epoll.
func TestCloseEventOfSharedSocket(t *testing.T) {
	for range maxReuseAttempts {
		if closeEventOfSharedSocket(t) {
			return
		}
	}
	t.Errorf("the descriptor number was not reused in %d attempts, so the case was not tested", maxReuseAttempts)
}

// closeEventOfSharedSocket runs the test once and reports whether the descriptor number was reused, see
// staleCloseEvent.
func closeEventOfSharedSocket(t *testing.T) (reused bool) {
	t.Helper()
	l := startLoop(t)
	attach := func(fd int, h *recorder) *Conn {
		c := make(chan *Conn, 1)
		l.Post(func() {
			got, err := l.Attach(fd, 1024, nil, func(*Conn) Handler { return h })
			if err != nil {
				t.Error(err)
			}
			c <- got
		})
		return await(t, "a connection", c)
	}
	dup := func(fd int) int {
		n, err := unix.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	oldPeer, _, oldFD := tcpPair(t) // oldFD stays open in place of another process's descriptor
	newPeer, _, newFD := tcpPair(t)
	oldHandler := newRecorder()
	lowFD := dup(oldFD) // keeps a lower number for duplicateForNumber
	c := attach(dup(oldFD), oldHandler)
	number := c.socket.Hash()
	_ = unix.Close(lowFD)
	duplicate := duplicateForNumber(t, newFD, number)
	l.Post(c.Abort)
	_ = await(t, "the end", oldHandler.closed)
	newHandler := newRecorder()
	got := attach(duplicate, newHandler).socket.Hash()
	_ = oldPeer.Close()
	for info := (&unix.TCPInfo{}); info.State != tcpCloseWait; {
		var err error
		if info, err = unix.GetsockoptTCPInfo(oldFD, unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 { // the second byte is handled in an iteration after all earlier events
		_, _ = newPeer.Write([]byte("x"))
		select {
		case <-newHandler.received:
		case err := <-newHandler.closed:
			t.Errorf("the event of the old socket closed the new connection with error %v, want it open", err)
			return true
		case <-time.After(awaitLimit):
			t.Error("the new connection received nothing, want one byte")
			return true
		}
	}
	return got == number
}
