package netio

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	// acceptPause is the delay after a failed accept. Without it the goroutine would spin while the
	// descriptor table is full, as the listener stays readable all that time.
	acceptPause = 20 * time.Millisecond
	// maxConvertAttempts bounds how often pollerSocketWithRetry tries to get a descriptor for one connection,
	// at intervals of acceptPause.
	maxConvertAttempts = 250
	// maxCloseWait bounds how long Listener.Close blocks its caller.
	maxCloseWait = 10 * time.Millisecond
)

// Listener accepts connections for a loop. It can be paused with its socket open: clients that connect
// meanwhile wait in the backlog. Its methods may be called from any goroutine.
type Listener struct {
	// HighPriority makes the loop handle the events of the listener's connections before all other posted
	// work. It must be set before Serve.
	HighPriority bool

	tcp    *net.TCPListener
	mu     sync.Mutex
	paused *pause // nil while it accepts
}

// pause is one pause of a listener.
type pause struct {
	idle    chan struct{} // closed once the accepting goroutine waits, so that no accept is in progress
	resumed chan struct{} // closed by Resume
}

// Listen opens a listener at a TCP address. It accepts nothing until Serve.
func Listen(addr string) (*Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: listener.(*net.TCPListener)}, nil // the network is "tcp"
}

// InheritListener returns a listener for a socket that another process opened. It is paused until Resume.
// InheritListener closes the file, also on an error.
func InheritListener(file *os.File) (*Listener, error) {
	defer func() { _ = file.Close() }() // the listener has its own duplicate of the descriptor
	if err := checkListens(file); err != nil {
		return nil, err
	}
	std, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	tcp, ok := std.(*net.TCPListener)
	if !ok {
		_ = std.Close()
		return nil, fmt.Errorf("inherited listener: %s is not a TCP address", std.Addr())
	}
	l := &Listener{tcp: tcp}
	l.Pause()
	return l, nil
}

// checkListens returns an error if file is not a listening socket. It does not use File.Fd, which would make
// the socket blocking for a moment, also for the process that still accepts on it.
func checkListens(file *os.File) error {
	raw, err := file.SyscallConn()
	if err != nil {
		return fmt.Errorf("inherited listener: %w", err)
	}
	listens := 0
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		listens, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	})
	if controlErr != nil || optionErr != nil || listens == 0 {
		return errors.Join(errors.New("inherited listener: the descriptor is not a listening socket"), controlErr, optionErr)
	}
	return nil
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// File returns a duplicate of the listener's socket, which the caller must close.
func (l *Listener) File() (*os.File, error) { return l.tcp.File() }

// Close closes the socket, which ends the goroutine that Serve started. It blocks for at most maxCloseWait. If
// another process that shares the socket has made it blocking, an accept blocks in the kernel until the next
// connection arrives, and the close waits for that accept on a goroutine of its own, which ends with it. That
// connection is still served.
func (l *Listener) Close() error {
	l.Resume()
	done := make(chan error, 1)
	go func() { done <- l.tcp.Close() }()
	select {
	case err := <-done:
		return err
	case <-time.After(maxCloseWait):
		return nil
	}
}

// Pause stops accepting. One accept may still be in progress; the returned channel is closed once none is.
func (l *Listener) Pause() (idle <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = &pause{idle: make(chan struct{}), resumed: make(chan struct{})}
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // interrupts an accept; fails only if the socket is closed
	}
	return l.paused.idle
}

// Resume ends a pause. Without a pause it does nothing.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		return
	}
	_ = l.tcp.SetDeadline(time.Time{}) // fails only if the socket is closed
	close(l.paused.resumed)
	l.paused = nil
}

// waitWhilePaused returns at once if the listener is not paused, else at the end of the pause.
func (l *Listener) waitWhilePaused() {
	l.mu.Lock()
	p := l.paused
	l.mu.Unlock()
	if p != nil {
		close(p.idle)
		<-p.resumed
	}
}

// Serve accepts connections on a separate goroutine, which ends once the listener is closed. accept is called on
// the loop's goroutine and returns the handler of a new connection. readLimit is the number of bytes that a
// connection's buffer may hold before reading pauses. While maxConns connections are open (0 means no limit),
// further clients stay in the backlog, so that clients can't use up the descriptors that the engines need; the
// goroutine then ends only after one of the connections has.
func (l *Loop) Serve(ln *Listener, readLimit, maxConns int, accept func(*Conn) Handler) {
	a := &acceptor{loop: l, listener: ln, readLimit: readLimit, post: l.work.post, accept: accept}
	if ln.HighPriority {
		a.post = l.work.postFirst
	}
	if maxConns > 0 {
		a.slots = make(chan struct{}, maxConns)
	}
	go a.run()
}

// acceptor accepts a listener's connections; run is its goroutine.
type acceptor struct {
	loop      *Loop
	listener  *Listener
	readLimit int                 // bytes that a connection's buffer may hold before reading pauses
	post      func(func())        // queues a function for the loop's goroutine
	accept    func(*Conn) Handler // called on the loop's goroutine
	slots     chan struct{}       // semaphore with one element per open connection; nil for no limit
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	for {
		a.listener.waitWhilePaused()
		a.acquireSlot()
		std, err := a.listener.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // paused
			a.releaseSlot()
		case err != nil:
			a.releaseSlot()
			time.Sleep(acceptPause)
		default:
			a.handOver(std)
		}
	}
}

// handOver prepares an accepted connection for the poller and posts it to the loop.
func (a *acceptor) handOver(std net.Conn) {
	socket := pollerSocketWithRetry(std)
	if socket == nil {
		a.releaseSlot()
		return
	}
	a.post(func() {
		// The error needs no handling here: open passes it to the handler's Closed.
		_, _ = a.loop.open(socket, connOptions{
			readLimit: a.readLimit, highPriority: a.listener.HighPriority, accept: a.accept, onEnd: a.releaseSlot,
		})
	})
}

func (a *acceptor) acquireSlot() {
	if a.slots != nil {
		a.slots <- struct{}{}
	}
}

func (a *acceptor) releaseSlot() {
	if a.slots != nil {
		<-a.slots
	}
}

// pollerSocketWithRetry converts a connection to one of nbio, which takes a second descriptor for a moment. If none
// is free, it waits for one. It blocks its caller meanwhile, so that an acceptor accepts nothing else: closing the
// connection would reject a client, and accepting more would use up the descriptors that become free. If none
// becomes free in maxConvertAttempts, or on any other error, it closes the connection and returns nil.
func pollerSocketWithRetry(std net.Conn) *nbio.Conn {
	for range maxConvertAttempts {
		socket, err := pollerSocket(std)
		if err == nil {
			return socket
		}
		if !IsDescriptorShortage(err) {
			break
		}
		time.Sleep(acceptPause)
	}
	_ = std.Close()
	return nil
}
