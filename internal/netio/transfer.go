package netio

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// ErrConnEnded is returned for a connection that has ended and can't be detached any more.
var ErrConnEnded = errors.New("the connection has ended")

var errNoDescriptorFree = errors.New("no descriptor is free")

// Detach takes a connection out of the loop without ending it. It returns the descriptor, which the
// caller owns then, and what was read and not consumed. Neither side of the connection
// notices; Closed is not called. Nothing may wait to be written.
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
	unread = append([]byte(nil), c.in.Bytes()...) // nil where there is nothing
	c.loop.bufferedBytes.Add(-int64(c.in.Len()))
	c.in = Buffer{}
	c.ended = true
	delete(c.loop.conns, c)
	c.closeSocket(nil)
	c.onEnd()
	return fd, unread, nil
}

// duplicate takes the socket out of epoll and returns another descriptor of it.
func (c *Conn) duplicate() (int, error) {
	own := c.socket.Hash()
	c.loop.poller.forget(own)
	fd, err := unix.FcntlInt(uintptr(own), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", ErrConnEnded, err)
	}
	// Guards against a poller that has closed it meanwhile: the number may be another's.
	if !isConnectedTo(fd, c.socket.RemoteAddr()) {
		_ = unix.Close(fd)
		return -1, ErrConnEnded
	}
	return fd, nil
}

// isConnectedTo reports whether a descriptor is a socket with this peer.
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

// Attach adds a connected TCP socket to the loop, with bytes that were read of it before. It owns the
// descriptor. The handler receives the bytes in a later iteration.
func (l *Loop) Attach(fd, readLimit int, unread []byte, accept func(*Conn) Handler) (*Conn, error) {
	file := os.NewFile(uintptr(fd), "connection")
	std, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	socket := convert(std)
	if socket == nil {
		return nil, fmt.Errorf("attach: %w", errNoDescriptorFree)
	}
	return l.open(socket, connOptions{
		readLimit: readLimit, unread: unread, shared: true, accept: accept, onEnd: func() {},
	})
}
