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
	// readSize is how much one read takes, in bytes. A connection whose read-ahead is limited goes
	// on being read up to this size.
	readSize = 32 << 10
	// tableMargin is how many entries nbio's table of connections has past the descriptor limit.
	tableMargin = 64
	// maxStopWait bounds the wait for the poller at the end.
	maxStopWait = 100 * time.Millisecond
)

// poller is nbio's engine with one poller. Its callbacks run on the engine's goroutine, which newPoller starts
// and stop ends; its methods are for the loop's goroutine.
type poller struct {
	engine  *nbio.Engine
	barrier *pollerBarrier
	epolls  []int // epoll descriptors of the process that may hold connections
}

func newPoller(maxDescriptors int) (*poller, error) {
	logging.SetLevel(logging.LevelNone)
	if maxDescriptors > 0 {
		nbio.MaxOpenFiles = maxDescriptors + tableMargin
	}
	p := &poller{engine: nbio.NewEngine(nbio.Config{
		Name: "ringwood", NPoller: 1, ReadBufferSize: readSize,
		// Edge-triggered, so that what is not read because a buffer is full raises no further event.
		MaxWriteBufferSize: MaxPendingWrite, EpollMod: nbio.EPOLLET,
	})}
	// Where the system gives no pair of sockets, the program serves without the barrier.
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

// handleEvents has the engine's events reach the connections and the barrier.
func (p *poller) handleEvents(watched *nbio.Conn) {
	p.engine.OnOpen(func(*nbio.Conn) {})
	buffer := make([]byte, readSize)
	p.engine.OnRead(func(socket *nbio.Conn) {
		if socket == watched {
			p.barrier.reached(socket)
			return
		}
		c, ok := socket.Session().(*Conn)
		if ok && c.read(buffer) {
			c.closeSocket(io.EOF) // the poller would close it, and leave its epoll entry
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

// add has the poller watch a connection.
func (p *poller) add(socket *nbio.Conn) error {
	if _, err := p.engine.AddConn(socket); err != nil {
		return fmt.Errorf("poll the connection: %w", err)
	}
	return nil
}

// forget removes a descriptor from epoll. nbio leaves that to the kernel, which does it when a descriptor is
// closed, but not while another is open on the same socket, here or in another process: its events would
// then be taken for those of the next connection with the number.
func (p *poller) forget(fd int) {
	for _, epoll := range p.epolls {
		_ = unix.EpollCtl(epoll, unix.EPOLL_CTL_DEL, fd, nil) // one of them has it
	}
}

// stop ends the poller's goroutine. One that takes longer than maxStopWait ends with the process.
func (p *poller) stop() {
	p.barrier.stop()
	ctx, cancel := context.WithTimeout(context.Background(), maxStopWait)
	defer cancel()
	_ = p.engine.Shutdown(ctx)
}

// pollerSocket makes a connection nbio's, with a descriptor that no program started from here inherits, as
// nbio's own way would have it. Guards against a peer that sees no end of a connection while another process
// holds it, and against a table that fills up over generations of upgrades.
func pollerSocket(std net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	socket, err := nbio.NBConn(std)
	if err == nil {
		syscall.CloseOnExec(socket.Hash())
	}
	return socket, err
}

// epollDescriptors are the epoll descriptors that nbio may have its connections in: the one with the watched
// connection, or all of this process where there is none. They, and what else nbio has opened for itself, are
// kept from programs that are started from here.
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
		if watched == nil || watches(fd, watched.Hash()) {
			epolls = append(epolls, fd)
		}
	}
	return epolls
}

// watches reports whether an epoll descriptor has another in it: adding one that is there already is refused
// (epoll_ctl(2), EEXIST).
func watches(epoll, fd int) bool {
	err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{})
	if err == nil {
		_ = unix.EpollCtl(epoll, unix.EPOLL_CTL_DEL, fd, nil) // added just now
	}
	return errors.Is(err, unix.EEXIST)
}
