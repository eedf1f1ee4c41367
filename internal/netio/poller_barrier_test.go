package netio

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// gate is a journal that holds the poller's goroutine where it reads.
type gate struct {
	entered chan struct{}
	proceed chan struct{}
}

func (g gate) Input(*Conn, int64, []byte) {
	g.entered <- struct{}{}
	<-g.proceed
}

func (gate) Output(*Conn, int64, []byte) {}

func (gate) Ended(*Conn) {}

// A connection is not ended by the end of another that had its number before: the poller has fetched that event and
// not handled it when the loop closes the one and attaches the other.
func TestStaleCloseEvent(t *testing.T) {
	for range 20 {
		if staleCloseEvent(t) {
			return
		}
	}
	t.Error("the number was never taken again: the case did not occur")
}

// staleCloseEvent reports whether the number was taken: what an earlier test leaves may give others free at any time.
func staleCloseEvent(t *testing.T) (shown bool) {
	t.Helper()
	l := startLoop(t)
	do := func(f func()) {
		done := make(chan struct{})
		l.Post(func() { f(); close(done) })
		await(t, "the loop", done)
	}
	enter := func() (net.Conn, *Conn) {
		h := newRecorder()
		_, peer := serve(t, l, h)
		return peer, await(t, "a connection", h.accepted)
	}
	gates, peers := [2]gate{}, [2]net.Conn{}
	for i := range gates {
		peer, c := enter()
		gates[i], peers[i] = gate{make(chan struct{}), make(chan struct{}, 4)}, peer
		do(func() { c.SetJournal(gates[i]) })
	}
	ends, old := enter()
	peer, _, fd := tcpPair(t)
	// The poller is held; the second to wake it and the end then come in one iteration, in this order.
	_, _ = peers[0].Write([]byte("a"))
	await(t, "the poller", gates[0].entered)
	_, _ = peers[1].Write([]byte("b"))
	_ = ends.Close()
	for info := (&unix.TCPInfo{}); info.State != tcpCloseWait; {
		var err error
		if info, err = unix.GetsockoptTCPInfo(old.socket.Hash(), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			t.Fatal(err)
		}
	}
	gates[0].proceed <- struct{}{}
	await(t, "the poller's next iteration", gates[1].entered)

	number := old.socket.Hash()
	given := spare(t, fd, number)
	do(old.Abort)
	fresh, taken := newRecorder(), make(chan int, 1)
	l.Post(func() {
		c, err := l.Attach(given, 1024, nil, func(*Conn) Handler { return fresh })
		if err != nil {
			t.Error(err)
		}
		taken <- c.socket.Hash()
	})
	select {
	case got := <-taken: // nothing has waited
		taken <- got
	case <-time.After(200 * time.Millisecond):
	}
	gates[1].proceed <- struct{}{}
	got := await(t, "the connection", taken)
	_, _ = peers[0].Write([]byte("a")) // in a later iteration
	await(t, "the poller", gates[0].entered)
	gates[0].proceed <- struct{}{}
	_, _ = peer.Write([]byte("x"))
	select {
	case <-fresh.received:
	case err := <-fresh.closed:
		t.Errorf("the end of another has closed it: %v", err)
	case <-time.After(awaitLimit):
		t.Error("it receives nothing")
	}
	return got == number
}

// spare is another descriptor of a socket, with which its way into a loop ends at the number once that is free:
// lower ones are taken but one, which that way goes through.
func spare(t *testing.T, fd, number int) int {
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
	given := dup(number + 1)
	_ = unix.Close(low)
	return given
}

// A connection is not ended by the end of another that had its number, was closed here and is still open in another
// process, as in an upgrade: the kernel goes on reporting events for it.
func TestCloseEventOfSharedSocket(t *testing.T) {
	for range 20 {
		if closeEventOfSharedSocket(t) {
			return
		}
	}
	t.Error("the number was never taken again: the case did not occur")
}

func closeEventOfSharedSocket(t *testing.T) (shown bool) {
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
	own := func(fd int) int {
		n, err := unix.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	ends, _, kept := tcpPair(t)
	peer, _, next := tcpPair(t)
	old := newRecorder()
	hole := own(kept)
	c := attach(own(kept), old)
	number := c.socket.Hash()
	_ = unix.Close(hole)
	given := spare(t, next, number)
	l.Post(c.Abort)
	_ = await(t, "the end", old.closed)
	fresh := newRecorder()
	got := attach(given, fresh).socket.Hash()
	_ = ends.Close()
	for info := (&unix.TCPInfo{}); info.State != tcpCloseWait; {
		var err error
		if info, err = unix.GetsockoptTCPInfo(kept, unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 { // the second in an iteration after all events of before
		_, _ = peer.Write([]byte("x"))
		select {
		case <-fresh.received:
		case err := <-fresh.closed:
			t.Errorf("the end of another has closed it: %v", err)
			return true
		case <-time.After(awaitLimit):
			t.Error("it receives nothing")
			return true
		}
	}
	return got == number
}
