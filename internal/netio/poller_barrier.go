package netio

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pollerBarrier delays the reuse of a closed descriptor's number by a new connection until the poller has handled
// the events that it had fetched before the close. It guards against stale events: epoll_wait(2) returns several
// events at once, each with only a descriptor number, and nbio looks up the connection when it handles the
// event. If the loop has closed that connection meanwhile and a new one has its number, the hang-up event of the
// first connection would close the second.
//
// The barrier writes a byte to a socket that the poller watches. As only one byte is in flight at a time, the
// byte's event is returned by a later epoll_wait; once the poller reads the byte, it has handled all events that
// it had fetched before the byte was written.
//
// recordClose and wait are called on the loop's goroutine (recordClose on the poller's too, for a connection that
// it closes), handleByte on the poller's, and stop on the loop's when the poller is stopped.
type pollerBarrier struct {
	mu      sync.Mutex
	cond    sync.Cond
	watched *nbio.Conn     // read end, which the poller watches; nil if there is no barrier
	writeFD int            // write end
	closes  map[int]uint64 // by descriptor, the sequence number of its close; deleted once the number may be reused
	last    uint64         // sequence number of the last recorded close
	covered uint64         // sequence number of the last close recorded before the byte in flight was written
	pending bool           // a byte is in flight
}

// newPollerBarrier returns a barrier. Together with an error it returns one whose wait never blocks.
func newPollerBarrier() (*pollerBarrier, error) {
	b := &pollerBarrier{writeFD: -1, closes: map[int]uint64{}}
	b.cond.L = &b.mu
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return b, fmt.Errorf("socketpair: %w", err)
	}
	watched, err := readEnd(pair[0])
	if err != nil {
		_ = unix.Close(pair[1])
		return b, fmt.Errorf("socketpair: %w", err)
	}
	b.watched = watched
	b.writeFD = pair[1]
	return b, nil
}

// readEnd converts one socket of the pair to a connection of nbio. It takes over the descriptor.
func readEnd(fd int) (*nbio.Conn, error) {
	file := os.NewFile(uintptr(fd), "barrier")
	std, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return nil, err
	}
	socket, err := pollerSocket(std)
	if err != nil {
		_ = std.Close()
		return nil, err
	}
	return socket, nil
}

// recordClose records that Conn.closeSocket or a failed write closed a descriptor. A descriptor that nbio closes
// while it handles an event of that descriptor needs no record: epoll_wait returns at most one event per
// descriptor, so the poller holds no further one for it.
func (b *pollerBarrier) recordClose(fd int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.watched == nil {
		return
	}
	b.last++
	b.closes[fd] = b.last
	if !b.pending {
		b.send()
	}
}

// send writes a byte that covers all closes recorded so far. The lock is held.
func (b *pollerBarrier) send() {
	b.covered = b.last
	b.pending = true
	if _, err := unix.Write(b.writeFD, []byte{1}); err != nil {
		b.release() // the socket can't be full, so it is unusable: go on without a barrier
	}
}

// handleByte reads the byte on the poller's goroutine and ends the waits for the closes that it covers. If further
// closes were recorded meanwhile, it sends another byte, which raises another event.
func (b *pollerBarrier) handleByte(socket *nbio.Conn) {
	var buffer [8]byte
	if n, _ := socket.Read(buffer[:]); n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for fd, sequence := range b.closes {
		if sequence <= b.covered {
			delete(b.closes, fd)
		}
	}
	b.pending = false
	if len(b.closes) > 0 {
		b.send()
	}
	b.cond.Broadcast()
}

// wait blocks until a new connection may use the descriptor number fd. If no recorded close of that number is left,
// it returns at once; otherwise once the poller has read the byte in flight and, if that was written before the
// close, one more.
func (b *pollerBarrier) wait(fd int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.closes[fd] != 0 {
		b.cond.Wait()
	}
}

// stop ends all waits, as the poller is about to end.
func (b *pollerBarrier) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

// release closes the write end and ends all waits; later ones return at once. The lock is held.
func (b *pollerBarrier) release() {
	if b.watched != nil {
		_ = unix.Close(b.writeFD)
		b.watched = nil
	}
	clear(b.closes)
	b.cond.Broadcast()
}
