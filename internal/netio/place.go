package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// StreamPosition is how far a TCP stream has got at this end, in bytes since its start, as the kernel
// tells of a socket whoever used it (tcp(7), TCP_INFO; SIOCINQ, SIOCOUTQ). The origins of
// both are arbitrary: places of one socket are compared, nothing else.
type StreamPosition struct {
	Read    int64 // consumed by a process
	Written int64 // given to the kernel by a process
}

// StreamPositionOf reads the place of a TCP socket. A way in that the peer has closed counts one more
// received byte, which is taken off here.
func StreamPositionOf(fd int) (StreamPosition, error) {
	for range 8 {
		before, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("TCP_INFO: %w", err)
		}
		in, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("SIOCINQ: %w", err)
		}
		out, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("SIOCOUTQ: %w", err)
		}
		after, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return StreamPosition{}, fmt.Errorf("TCP_INFO: %w", err)
		}
		if before.Bytes_acked != after.Bytes_acked || before.Bytes_received != after.Bytes_received || before.State != after.State {
			continue // something came in between
		}
		p := StreamPosition{Read: int64(after.Bytes_received) - int64(in), Written: int64(after.Bytes_acked) + int64(out)}
		switch after.State {
		case tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
			p.Read--
		}
		return p, nil
	}
	return StreamPosition{}, errors.New("the socket's place did not hold still")
}

// States of a TCP socket whose peer has closed its side, as the kernel numbers them.
const (
	tcpTimeWait  = 6
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// Journal is told what a connection is about to read and to write, before it does. A process
// that has yet to prove itself keeps one, so that another can go on where it died.
type Journal interface {
	// Input tells bytes that lie in the socket from a place on. They are consumed once it
	// returns. It may be called from the poller's goroutine.
	Input(c *Conn, at int64, b []byte)
	// Output tells bytes that are about to be written from a place on.
	Output(c *Conn, at int64, b []byte)
	// Ended tells that the connection has ended or was closed here.
	Ended(c *Conn)
}

// SetJournal begins or, with nil, ends the journal of a connection.
func (c *Conn) SetJournal(j Journal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journal = j
	if j == nil {
		return
	}
	if p, err := StreamPositionOf(c.nc.Hash()); err == nil { // else it is closed, and says so soon
		c.readAt, c.wroteAt = p.Read, p.Written+c.pending.Load()
	}
	c.base = c.readAt - int64(c.in.Len()) - c.in.taken
}

// ConsumedPosition is the place up to which the handler has consumed what was read, while there is
// a journal.
func (c *Conn) ConsumedPosition() int64 { return c.base + c.in.taken }

// HasJournal tells whether there is a journal.
func (c *Conn) HasJournal() bool { return c.journal != nil }

// peek reads what the socket has, tells the journal of it, and takes it then: a process that
// dies at any point in between leaves every byte either in the socket or in the journal.
func (c *Conn) peek(buf []byte) (int, error) {
	fd := c.nc.Hash()
	n, _, err := syscall.Recvfrom(fd, buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return 0, err
	}
	c.journal.Input(c, c.readAt, buf[:n])
	n, err = c.nc.Read(buf[:n])
	if n > 0 {
		c.readAt += int64(n)
	}
	return n, err
}

// ErrConnEnded is that a connection can't be handed on any more.
var ErrConnEnded = errors.New("the connection has ended")

// Detach takes a connection out of the loop without ending it: its descriptor, which the
// caller owns then, and what was read of it and not consumed. Neither side of the connection
// notices; Closed is not told. Nothing may wait to be written.
func (c *Conn) Detach() (fd int, unread []byte, err error) {
	if c.over || c.closing.Load() || c.secure != nil || c.pending.Load() > 0 {
		return -1, nil, ErrConnEnded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut.Load() {
		return -1, nil, ErrConnEnded
	}
	own := c.nc.Hash()
	c.loop.forget(own)
	fd, err = unix.FcntlInt(uintptr(own), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, nil, fmt.Errorf("%w: %w", ErrConnEnded, err)
	}
	// Guards against a poller that has closed it meanwhile: the number may be another's.
	if !sameSocket(fd, c.nc.RemoteAddr()) {
		_ = unix.Close(fd)
		return -1, nil, ErrConnEnded
	}
	c.shut.Store(true)
	unread = append([]byte(nil), c.in.Bytes()...)
	c.loop.filled.Add(-int64(c.in.Len()))
	c.in = Buffer{}
	c.over = true
	delete(c.loop.open, c)
	c.end(nil)
	c.done()
	return fd, unread, nil
}

// forget has the poller hear nothing more of a descriptor. nbio leaves it to the kernel to forget one that is
// closed. The kernel does not while another is open on the same socket, here or in another process: its events
// would then be taken for those of whoever has the number next.
func (l *Loop) forget(fd int) {
	for _, ep := range l.polls {
		_ = unix.EpollCtl(ep, unix.EPOLL_CTL_DEL, fd, nil) // one of them has it
	}
}

// hungUp tells whether the peer has closed its side, or the connection has ended.
func hungUp(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, _ := unix.Poll(p, 0)
	return n > 0
}

func sameSocket(fd int, peer net.Addr) bool {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return false
	}
	a, ok := peer.(*net.TCPAddr)
	if !ok {
		return false
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return sa.Port == a.Port && a.IP.Equal(net.IP(sa.Addr[:]))
	case *unix.SockaddrInet6:
		return sa.Port == a.Port && a.IP.Equal(net.IP(sa.Addr[:]))
	}
	return false
}

// pollers are the epoll descriptors that nbio may have its connections in: the one with the watched connection,
// or all of this process where there is none. They, and what else nbio has opened for itself, are kept from
// programs that are started from here.
func pollers(watched *nbio.Conn) (fds []int) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil
	}
	for _, e := range entries {
		to, err := os.Readlink("/proc/self/fd/" + e.Name())
		fd, bad := strconv.Atoi(e.Name())
		if err != nil || bad != nil || !strings.HasPrefix(to, "anon_inode:") {
			continue
		}
		unix.CloseOnExec(fd)
		if !strings.Contains(to, "eventpoll") {
			continue
		}
		if watched != nil {
			// A descriptor that is there already is refused (epoll_ctl(2), EEXIST).
			err := unix.EpollCtl(fd, unix.EPOLL_CTL_ADD, watched.Hash(), &unix.EpollEvent{})
			if err == nil {
				_ = unix.EpollCtl(fd, unix.EPOLL_CTL_DEL, watched.Hash(), nil)
			}
			if !errors.Is(err, unix.EEXIST) {
				continue
			}
		}
		fds = append(fds, fd)
	}
	return fds
}

// Attach makes a connected TCP socket one of the loop's, with bytes that were read of it
// before. It takes the descriptor. The bytes are told to the handler on a later turn.
func (l *Loop) Attach(fd, limit int, unread []byte, accept func(*Conn) Handler) (*Conn, error) {
	f := os.NewFile(uintptr(fd), "connection")
	std, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return nil, fmt.Errorf("attach: %w", err)
	}
	nc := convert(std)
	if nc == nil {
		return nil, errors.New("attach: no descriptor is free")
	}
	return l.adopt(nc, limit, unread, false, true, accept, func() {})
}
