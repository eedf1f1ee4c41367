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
	// acceptPause is the rest after a failed accept. Guards against spinning while the descriptor
	// table is full: the listener stays readable all that time.
	acceptPause = 20 * time.Millisecond
	// maxConvertAttempts bounds how often an accepted connection tries for its second descriptor.
	maxConvertAttempts = 250
	// maxCloseWait is how long Listener.Close may block its caller.
	maxCloseWait = 10 * time.Millisecond
)

// Listener accepts connections for a loop. It can pause, with its socket open: clients that connect
// meanwhile wait in the backlog. Its methods may be called from any goroutine.
type Listener struct {
	// HighPriority has its connections handled before all other work that is posted. Set it before Serve.
	HighPriority bool

	tcp    *net.TCPListener
	mu     sync.Mutex
	paused *pause // nil: it accepts
}

// pause is one pause of a listener.
type pause struct {
	parked  chan struct{} // closed once no connection is on its way in
	resumed chan struct{} // closed by Resume
}

// Listen opens a listener at an address, for Serve.
func Listen(addr string) (*Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: listener.(*net.TCPListener)}, nil // of "tcp"
}

// InheritListener returns a listener over a socket that another process opened. It is paused until Resume,
// and owns the file.
func InheritListener(file *os.File) (*Listener, error) {
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
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
		return nil, fmt.Errorf("inherited listener: %s is no TCP address", std.Addr())
	}
	l := &Listener{tcp: tcp}
	l.Pause()
	return l, nil
}

// checkListens returns an error where a descriptor is no socket that listens. It does not use File.Fd, which
// makes the socket a blocking one for a moment, for the process that still accepts on it as well.
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
		return errors.Join(errors.New("inherited listener: the descriptor is no socket that listens"), controlErr, optionErr)
	}
	return nil
}

// Addr returns the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// File returns a duplicate of its socket.
func (l *Listener) File() (*os.File, error) { return l.tcp.File() }

// Close closes the socket, which ends the goroutine that Serve started. It blocks no longer than maxCloseWait:
// where another process that has the socket made it a blocking one, an accept hangs in the kernel until the next
// connection comes, and closing waits for that, on a goroutine that ends with it. That connection is still served.
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

// Pause stops accepting. One connection may still be on its way in; the returned channel is closed
// once none is.
func (l *Listener) Pause() (parked <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = &pause{parked: make(chan struct{}), resumed: make(chan struct{})}
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // fails only once it is closed
	}
	return l.paused.parked
}

// Resume accepts again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		return
	}
	_ = l.tcp.SetDeadline(time.Time{}) // fails only once it is closed
	close(l.paused.resumed)
	l.paused = nil
}

// park waits for the end of a pause, if there is one.
func (l *Listener) park() {
	l.mu.Lock()
	p := l.paused
	l.mu.Unlock()
	if p != nil {
		close(p.parked)
		<-p.resumed
	}
}

// Serve accepts connections on a goroutine of its own, which ends once the listener is closed. While maxConns
// of them are open (0: no such limit) the next ones stay in the backlog, and that goroutine waits, also for its
// end. Guards against clients that leave no descriptor for the engines.
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

// acceptor is the goroutine that accepts a listener's connections.
type acceptor struct {
	loop      *Loop
	listener  *Listener
	readLimit int
	post      func(func())        // has something done on the loop's goroutine
	accept    func(*Conn) Handler // called on the loop's goroutine
	slots     chan struct{}       // one element for each open connection; nil: no limit
}

func (a *acceptor) run() {
	for {
		a.listener.park()
		a.takeSlot()
		std, err := a.listener.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // paused
			a.freeSlot()
		case err != nil:
			a.freeSlot()
			time.Sleep(acceptPause)
		default:
			a.take(std)
		}
	}
}

// take hands a connection to the loop.
func (a *acceptor) take(std net.Conn) {
	socket := convert(std)
	if socket == nil {
		a.freeSlot()
		return
	}
	a.post(func() {
		// Where it fails, the handler is notified by Closed.
		_, _ = a.loop.open(socket, connOptions{
			readLimit: a.readLimit, highPriority: a.listener.HighPriority, accept: a.accept, onEnd: a.freeSlot,
		})
	})
}

func (a *acceptor) takeSlot() {
	if a.slots != nil {
		a.slots <- struct{}{}
	}
}

func (a *acceptor) freeSlot() {
	if a.slots != nil {
		<-a.slots
	}
}

// convert makes an accepted connection nbio's, for which it takes a second descriptor for a moment. Where the
// first was the last, it waits for another before the next is accepted: closing it would reject a client, and
// accepting more would leave none for any. It returns nil, and has closed the connection, where none came free.
func convert(std net.Conn) *nbio.Conn {
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
