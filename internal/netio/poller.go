package netio

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

const (
	// readSize is the maximum size of one read, in bytes. A connection whose read-ahead is limited is still
	// read until its buffer holds this much.
	readSize = 32 << 10
	// tableMargin is the number of entries that nbio's table of connections has beyond the descriptor limit.
	tableMargin = 64
	// maxStopWait bounds how long stop waits for the poller's goroutine to end.
	maxStopWait = 100 * time.Millisecond
)

// poller is an nbio engine with one poller. Its callbacks run on the engine's goroutine, which newPoller starts
// and stop ends, called the poller's goroutine in this package. forget may be called on any goroutine, the other
// methods only on the loop's.
type poller struct {
	engine  *nbio.Engine
	barrier *pollerBarrier
	epolls  []int // epoll descriptors in which connections may be registered
}

// newPoller starts the poller. maxDescriptors is the process's descriptor limit; 0 keeps nbio's default size of
// its table of connections.
func newPoller(maxDescriptors int) (*poller, error) {
	logging.SetLevel(logging.LevelNone)
	if maxDescriptors > 0 {
		nbio.MaxOpenFiles = maxDescriptors + tableMargin
	}
	p := &poller{engine: nbio.NewEngine(nbio.Config{
		Name: "ringwood", NPoller: 1, ReadBufferSize: readSize,
		// Edge-triggered, so that input left in a socket because a buffer is full raises no further event.
		MaxWriteBufferSize: MaxPendingWrite, EpollMod: nbio.EPOLLET,
	})}
	// If no socket pair can be opened, the poller works without the barrier.
	p.barrier, _ = newPollerBarrier()
	watched := p.barrier.watched
	p.handleEvents(watched)
	if err := p.engine.Start(); err != nil {
		return nil, fmt.Errorf("start the poller: %w", err)
	}
	if watched != nil {
		if _, err := p.engine.AddConn(watched); err != nil {
			return nil, fmt.Errorf("poll the barrier: %w", err)
		}
	}
	p.epolls = epollDescriptors(watched)
	return p, nil
}

// handleEvents sets the engine's callbacks, which pass events to the connections and to the barrier, whose
// socket is watched (nil if there is no barrier).
func (p *poller) handleEvents(watched *nbio.Conn) {
	p.engine.OnOpen(func(*nbio.Conn) {})
	buffer := make([]byte, readSize)
	p.engine.OnRead(func(socket *nbio.Conn) {
		if socket == watched {
			p.barrier.handleByte(socket)
			return
		}
		c, ok := socket.Session().(*Conn)
		if ok && c.read(buffer) {
			c.closeSocket(io.EOF) // the poller would close the socket too, but leave it in epoll
		}
	})
	p.engine.OnWrittenSize(func(socket *nbio.Conn, _ []byte, n int) {
		if c, ok := socket.Session().(*Conn); ok {
			c.sent(n)
		}
	})
	p.engine.OnClose(func(socket *nbio.Conn, err error) {
		if c, ok := socket.Session().(*Conn); ok {
			c.disconnected.Store(true)
			c.post(func() { c.end(err) })
		}
	})
}

// add has the poller watch a connection's socket.
func (p *poller) add(socket *nbio.Conn) error {
	if _, err := p.engine.AddConn(socket); err != nil {
		return fmt.Errorf("poll the connection: %w", err)
	}
	return nil
}

// forget removes a descriptor from epoll. nbio leaves that to the kernel, which removes a descriptor when it is
// closed, but not while another descriptor of the same socket is open, here or in another process. The
// socket's events would then be taken for those of the next connection with the same descriptor number.
func (p *poller) forget(fd int) {
	for _, epoll := range p.epolls {
		_ = unix.EpollCtl(epoll, unix.EPOLL_CTL_DEL, fd, nil) // fails for all but the one that has it
	}
}

// stop ends the poller's goroutine. If that takes longer than maxStopWait, stop returns earlier, and the goroutine
// ends with the process at the latest.
func (p *poller) stop() {
	p.barrier.stop()
	ctx, cancel := context.WithTimeout(context.Background(), maxStopWait)
	defer cancel()
	_ = p.engine.Shutdown(ctx)
}

// pollerSocket converts a connection to one of nbio and sets close-on-exec on its descriptor, which nbio itself
// does not, so that no child process inherits it. Otherwise a peer would not see the end of a connection while
// another process has it open, and the descriptor table would fill up over a series of upgrades.
func pollerSocket(std net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	socket, err := nbio.NBConn(std)
	if err == nil {
		syscall.CloseOnExec(socket.Hash())
	}
	return socket, err
}

// epollDescriptors returns the epoll descriptors in which nbio may have registered its connections: the one that
// contains the watched connection, or all of this process if watched is nil. It sets close-on-exec on them and
// on the other anonymous descriptors that nbio opened for itself, so that no child process inherits them.
func epollDescriptors(watched *nbio.Conn) (epolls []int) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		target, err := os.Readlink("/proc/self/fd/" + entry.Name())
		fd, notNumber := strconv.Atoi(entry.Name())
		if err != nil || notNumber != nil || !strings.HasPrefix(target, "anon_inode:") {
			continue
		}
		unix.CloseOnExec(fd)
		if !strings.Contains(target, "eventpoll") {
			continue
		}
		if watched == nil || epollContains(fd, watched.Hash()) {
			epolls = append(epolls, fd)
		}
	}
	return epolls
}

// epollContains reports whether fd is registered in an epoll descriptor: adding one that is there already fails
// with EEXIST, see epoll_ctl(2).
func epollContains(epoll, fd int) bool {
	err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{})
	if err == nil {
		_ = unix.EpollCtl(epoll, unix.EPOLL_CTL_DEL, fd, nil) // it was not registered: remove it again
	}
	return errors.Is(err, unix.EEXIST)
}
