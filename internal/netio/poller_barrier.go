package netio

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pollerBarrier keeps the number of a closed descriptor from a new connection until the poller is through with
// the events that it had fetched before. Guards against a stale event: epoll_wait(2) returns many at once, each
// with a number alone, and nbio looks the connection up when it comes to it. Where the loop has closed one
// meanwhile and the number is another's, the end of the first would end the second.
//
// A byte is written to a socket that the poller watches. Once the poller reads it, all that it had fetched before
// the byte was written is handled, as only one byte is in flight at a time: its event is of a later epoll_wait.
//
// closed and wait are called on the loop's goroutine (closed on the poller's too, for a connection that it
// ends), reached on the poller's, and stop on the loop's at the end.
type pollerBarrier struct {
	mu      sync.Mutex
	cond    sync.Cond
	watched *nbio.Conn     // nil: there is no barrier
	writeFD int            // the other end of watched
	closes  map[int]uint64 // by descriptor: the sequence number of its close, until the poller is past it
	last    uint64         // the last sequence number in closes
	covered uint64         // the last sequence number that the byte in flight stands for
	pending bool           // a byte is in flight
}

// newPollerBarrier returns a barrier that holds nobody up where it fails.
func newPollerBarrier() (*pollerBarrier, error) {
	b := &pollerBarrier{writeFD: -1, closes: map[int]uint64{}}
	b.cond.L = &b.mu
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return b, fmt.Errorf("socketpair: %w", err)
	}
	watched, err := watchedEnd(pair[0])
	if err != nil {
		_ = unix.Close(pair[1])
		return b, fmt.Errorf("socketpair: %w", err)
	}
	b.watched = watched
	b.writeFD = pair[1]
	return b, nil
}

// watchedEnd makes a socket nbio's. It takes the descriptor.
func watchedEnd(fd int) (*nbio.Conn, error) {
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

// closed notes that a connection was closed other than by the poller for an event of its. What the poller itself
// closes has no other event behind it: the kernel has one entry for each.
func (b *pollerBarrier) closed(fd int) {
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

// send writes the byte. The lock is held.
func (b *pollerBarrier) send() {
	b.covered = b.last
	b.pending = true
	if _, err := unix.Write(b.writeFD, []byte{1}); err != nil {
		b.release() // the socket can't be full; without it there is no barrier
	}
}

// reached notes that the poller has come to the byte. One read takes it; another byte raises another event.
func (b *pollerBarrier) reached(socket *nbio.Conn) {
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

// wait returns once the descriptor's number may be a new connection's: after the poller's present iteration
// at the latest.
func (b *pollerBarrier) wait(fd int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.closes[fd] != 0 {
		b.cond.Wait()
	}
}

// stop ends all waits: the poller ends.
func (b *pollerBarrier) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

// release holds nobody up from now on. The lock is held.
func (b *pollerBarrier) release() {
	if b.watched != nil {
		_ = unix.Close(b.writeFD)
		b.watched = nil
	}
	clear(b.closes)
	b.cond.Broadcast()
}
