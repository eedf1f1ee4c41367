package netio

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ErrConnEnded is returned by Conn.Detach for a connection that has ended, or can't be detached because it is
// closing, uses TLS or has pending writes, or because no descriptor is free for the duplicate.
var ErrConnEnded = errors.New("the connection has ended")

// errNoDescriptorFree is returned by Loop.Attach if the socket could not be prepared for the poller.
var errNoDescriptorFree = errors.New("no descriptor is free")

// Detach removes a connection from the loop without ending it. It returns a duplicate of the socket's descriptor,
// which the caller owns, and the bytes that were read and not consumed, nil if there are none. The peer does not
// notice, and Handler.Closed is not called. See ErrConnEnded for the cases in which it fails.
func (c *Conn) Detach() (fd int, unread []byte, err error) {
	if c.ended || c.closing.Load() || c.tls != nil || c.pendingBytes.Load() > 0 {
		return -1, nil, ErrConnEnded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped.Load() {
		return -1, nil, ErrConnEnded
	}
	fd, err = c.duplicate()
	if err != nil {
		return -1, nil, err
	}
	c.readStopped.Store(true)
	unread = append([]byte(nil), c.in.Bytes()...) // nil if there are none
	c.dropInput()
	c.ended = true
	delete(c.loop.conns, c)
	c.closeSocket(nil)
	c.onEnd()
	return fd, unread, nil
}

// duplicate removes the socket from epoll and returns a duplicate of its descriptor.
func (c *Conn) duplicate() (int, error) {
	original := c.socket.Hash()
	c.loop.poller.forget(original)
	fd, err := unix.FcntlInt(uintptr(original), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", ErrConnEnded, err)
	}
	// The poller may have closed the socket meanwhile, and the descriptor number may belong to another one.
	if !isConnectedTo(fd, c.socket.RemoteAddr()) {
		_ = unix.Close(fd)
		return -1, ErrConnEnded
	}
	return fd, nil
}

// isConnectedTo reports whether a descriptor is a TCP socket connected to peer.
func isConnectedTo(fd int, peer net.Addr) bool {
	sockaddr, err := unix.Getpeername(fd)
	if err != nil {
		return false
	}
	want, ok := peer.(*net.TCPAddr)
	if !ok {
		return false
	}
	switch got := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return got.Port == want.Port && want.IP.Equal(net.IP(got.Addr[:]))
	case *unix.SockaddrInet6:
		return got.Port == want.Port && want.IP.Equal(net.IP(got.Addr[:]))
	}
	return false
}

// Attach adds a connected TCP socket to the loop, with the bytes that were read from it before and not consumed.
// It takes over the descriptor fd, also on an error. readLimit is the number of bytes that the buffer may hold
// before reading pauses. The handler receives the unread bytes in a later iteration of the loop.
func (l *Loop) Attach(fd, readLimit int, unread []byte, accept func(*Conn) Handler) (*Conn, error) {
	file := os.NewFile(uintptr(fd), "connection")
	std, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	socket := pollerSocketWithRetry(std)
	if socket == nil {
		return nil, fmt.Errorf("attach: %w", errNoDescriptorFree)
	}
	return l.open(socket, connOptions{
		readLimit: readLimit, unread: unread, shared: true, accept: accept, onEnd: func() {},
	})
}
