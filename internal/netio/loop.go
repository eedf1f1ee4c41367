// Package netio runs the sockets. One nbio poller reads into the buffer of each
// connection; everything else happens on the one goroutine that calls Run.
package netio

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gannetspur/internal/timerqueue"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

// MaxPendingWrite bounds what waits for a slow reader; past it the connection is closed.
const MaxPendingWrite = 8 << 20

// DefaultBufferBudget is the BufferBudget of a new loop.
const DefaultBufferBudget = 48 << 20

// errBudget ends a connection that would take more than is left for all buffers.
var errBudget = errors.New("the buffers of all connections are full")

// readSize is how much one read takes. A connection that is held goes on being
// read up to this size.
const readSize = 32 << 10

// lingerMost is how long a closed connection may take to send what waits.
const lingerMost = 3 * time.Second

// lingerRead is how long a connection is read on, once its peer was told that nothing more
// comes, for the peer to close its side too.
const lingerRead = 500 * time.Millisecond

// lingerBytes is how much of that is read; the rest waits in the socket. Guards against paying
// for all that a peer goes on sending.
const lingerBytes = 256 << 10

// acceptPause is the rest after a failed accept. Guards against spinning while
// the descriptor table is full: the listener stays readable all that time.
const acceptPause = 20 * time.Millisecond

// acceptTries bounds how often an accepted connection tries for a descriptor.
const acceptTries = 250

// stopWithin bounds the wait for the poller at the end.
const stopWithin = 100 * time.Millisecond

// Handler is told of one connection, on the loop's goroutine.
type Handler interface {
	// Data tells that the buffer has grown. What it leaves there is kept.
	Data(c *Conn, in *Buffer)
	// Closed tells that the connection has ended, once; err is nil where the
	// peer or Close ended it in the usual way.
	Closed(c *Conn, err error)
}

// Loop owns the sockets, the timers and the goroutine that all handlers run on.
type Loop struct {
	Timers *timerqueue.Queue
	// BufferBudget bounds what the buffers of all connections hold together, in bytes. Past
	// it the next connection to take more than one read ends. Set it before Run.
	BufferBudget int64

	origin time.Time
	unix   time.Duration
	engine *nbio.Engine
	fence  *fence
	polls  []int  // epoll descriptors of the process
	buf    []byte // for reads from the loop
	filled atomic.Int64

	mu    sync.Mutex
	queue []func()
	spare []func()
	first []func()    // urgent work, which waits for no more than one other piece
	hasty atomic.Bool // there is some
	wake  chan struct{}
	open  map[*Conn]struct{}
	dials int // under way
	files int // most descriptors of connections and dials; 0: no such limit

	sockets, kept int // descriptors that the process may hold, and what it keeps of them
	stop          bool
}

// New starts the poller. maxFiles is the descriptor limit.
func New(maxFiles int) (*Loop, error) {
	logging.SetLevel(logging.LevelNone)
	if maxFiles > 0 {
		nbio.MaxOpenFiles = maxFiles + 64
	}
	now := time.Now()
	l := &Loop{
		Timers: timerqueue.New(), BufferBudget: DefaultBufferBudget, origin: now, unix: time.Duration(now.UnixNano()),
		wake: make(chan struct{}, 1), open: map[*Conn]struct{}{}, buf: make([]byte, readSize),
	}
	l.engine = nbio.NewEngine(nbio.Config{
		Name: "ringwood", NPoller: 1, ReadBufferSize: readSize,
		MaxWriteBufferSize: MaxPendingWrite, EpollMod: nbio.EPOLLET,
	})
	l.engine.OnOpen(func(*nbio.Conn) {})
	// Where the system gives no pair of sockets, the program serves without the fence.
	l.fence, _ = newFence()
	watched := l.fence.conn
	// Edge-triggered, so that what is not read for want of room raises no further event.
	buf := make([]byte, readSize)
	l.engine.OnRead(func(nc *nbio.Conn) {
		if nc == watched {
			l.fence.passed(nc)
		} else if c, ok := nc.Session().(*Conn); ok {
			if c.read(buf) { // the poller would close it, and not forget it
				c.end(io.EOF)
			}
		}
	})
	l.engine.OnWrittenSize(func(nc *nbio.Conn, _ []byte, n int) {
		if c, ok := nc.Session().(*Conn); ok && c.pending.Add(-int64(n)) == 0 && c.waiting.Load() {
			l.Post(c.written)
		}
	})
	l.engine.OnClose(func(nc *nbio.Conn, err error) {
		if c, ok := nc.Session().(*Conn); ok {
			c.gone.Store(true)
			c.post(func() { c.ended(err) })
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, fmt.Errorf("start the poller: %w", err)
	}
	if watched != nil {
		if _, err := l.engine.AddConn(watched); err != nil {
			return nil, fmt.Errorf("poll the fence: %w", err)
		}
	}
	l.polls = pollers(watched)
	return l, nil
}

// Now is the time since the Unix epoch by a clock that never goes back: the
// system's at the start, and monotonic from there.
func (l *Loop) Now() time.Duration { return l.unix + time.Since(l.origin) }

// AdvanceClock has the clock tell a moment, which must not lie before the present one: two
// processes of one machine then share theirs.
func (l *Loop) AdvanceClock(now time.Duration) { l.origin, l.unix = time.Now(), max(now, l.Now()) }

// Post has f called on the loop's goroutine. It may be called from anywhere.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// urgent has f called on the loop's goroutine before any other work that waits.
func (l *Loop) urgent(f func()) {
	l.mu.Lock()
	l.first = append(l.first, f)
	l.hasty.Store(true)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// hasten runs what is urgent.
func (l *Loop) hasten() {
	if !l.hasty.Load() {
		return
	}
	l.mu.Lock()
	work := l.first
	l.first = nil
	l.hasty.Store(false)
	l.mu.Unlock()
	for _, f := range work {
		f()
	}
}

// LimitDescriptors bounds the descriptors that connections and dials take together: of the sockets
// that the process may hold, what it has open by now and spare are left out. Past it dials fail as
// they do when the table is full, but for DialReserved. Guards against a control endpoint, a roster or a disk that
// finds no descriptor. It is called once, before there are connections.
func (l *Loop) LimitDescriptors(sockets, spare int) error {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return fmt.Errorf("count the open descriptors: %w", err)
	}
	l.sockets, l.kept = sockets, len(entries)+spare
	l.SetDescriptorShare(1)
	return nil
}

// SetDescriptorShare leaves a part of the process's descriptors to another process of the same limit.
func (l *Loop) SetDescriptorShare(part float64) {
	if l.sockets > 0 {
		l.files = max(int(part*float64(l.sockets))-l.kept, 1)
	}
}

// dialFiles is what a dial may take at once: the socket, and its copy for the poller.
const dialFiles = 2

// ReservedDescriptors is what DialReserved takes of the spare descriptors, where one connection follows another.
const ReservedDescriptors = dialFiles + 2

// Run turns until Stop: what came in, then what is due.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.stop {
		l.mu.Lock()
		work := l.queue
		l.queue = l.spare[:0]
		l.mu.Unlock()
		for i, f := range work {
			l.hasten()
			f()
			work[i] = nil
		}
		l.spare = work[:0]
		l.hasten()
		l.Timers.Sweep(l.Now())
		wait := time.Hour
		if at, ok := l.Timers.Next(); ok {
			wait = at - l.Now()
		}
		if wait <= 0 || l.stop {
			continue
		}
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
	for c := range l.open {
		_ = c.nc.Close()
	}
	l.fence.stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	_ = l.engine.Shutdown(ctx) // one that takes longer ends with the process
}

// Stop ends Run after the present turn.
func (l *Loop) Stop() { l.stop = true }

// BufferedBytes is what the buffers of all connections hold. It may be called from anywhere.
func (l *Loop) BufferedBytes() int64 { return l.filled.Load() }

// Conns are the open connections, in no order.
func (l *Loop) Conns() iter.Seq[*Conn] { return maps.Keys(l.open) }

// ConnCount is the number of open connections.
func (l *Loop) ConnCount() int { return len(l.open) }

// Listener accepts connections for a loop. It can pause, with its socket open: who connects
// meanwhile waits unaccepted.
type Listener struct {
	// HighPriority is that its connections go before all others in each turn. Set it before Serve.
	HighPriority bool

	tcp    *net.TCPListener
	mu     sync.Mutex
	paused *pause // nil: it accepts
}

type pause struct{ parked, over chan struct{} }

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// closeMost is how long Close may take of its caller.
const closeMost = 10 * time.Millisecond

// Close ends it. It waits no longer than closeMost: where another process that has the socket made it a blocking one, an accept
// hangs in the kernel until the next connection comes, and closing waits for that. What comes to it then is served.
func (l *Listener) Close() error {
	l.Resume()
	done := make(chan error, 1)
	go func() { done <- l.tcp.Close() }()
	select {
	case err := <-done:
		return err
	case <-time.After(closeMost):
		return nil
	}
}

// File is a duplicate of its socket.
func (l *Listener) File() (*os.File, error) { return l.tcp.File() }

// Pause stops accepting. One connection may still be on its way in; what is returned is
// closed once none is.
func (l *Listener) Pause() (parked <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = &pause{make(chan struct{}), make(chan struct{})}
		_ = l.tcp.SetDeadline(time.Unix(1, 0)) // fails only once it is closed
	}
	return l.paused.parked
}

// Resume accepts again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		_ = l.tcp.SetDeadline(time.Time{})
		close(l.paused.over)
		l.paused = nil
	}
}

// park waits out a pause.
func (l *Listener) park() {
	l.mu.Lock()
	p := l.paused
	l.mu.Unlock()
	if p != nil {
		close(p.parked)
		<-p.over
	}
}

// Listen opens a listener at an address, for Serve.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{tcp: ln.(*net.TCPListener)}, nil // of "tcp"
}

// InheritListener is a listener over a socket that another process opened; it accepts nothing
// before Resume. It takes the file.
func InheritListener(f *os.File) (*Listener, error) {
	defer f.Close()
	// Not by f.Fd: that makes the socket a blocking one for a moment, and for the process that still accepts there as well.
	raw, err := f.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	on := 0
	if cerr := raw.Control(func(fd uintptr) { on, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ACCEPTCONN) }); cerr != nil || err != nil || on == 0 {
		return nil, errors.Join(errors.New("inherited listener: the descriptor is no socket that listens"), cerr, err)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("inherited listener: %s is no TCP address", ln.Addr())
	}
	in := &Listener{tcp: tcp}
	in.Pause()
	return in, nil
}

// Serve accepts connections until the listener is closed. While most of them are open (0: no
// such limit) the next ones wait unaccepted. Guards against clients that leave no descriptor
// for the engines.
func (l *Loop) Serve(ln *Listener, limit, most int, accept func(*Conn) Handler) {
	room := make(chan struct{}, most)
	done := func() {
		if most > 0 {
			<-room
		}
	}
	go func() {
		for {
			ln.park()
			if most > 0 {
				room <- struct{}{}
			}
			std, err := ln.tcp.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case errors.Is(err, os.ErrDeadlineExceeded): // told to pause
				done()
			case err != nil:
				done()
				time.Sleep(acceptPause)
			default:
				nc := convert(std)
				if nc == nil {
					done()
					continue
				}
				post := l.Post
				if ln.HighPriority {
					post = l.urgent
				}
				post(func() { _, _ = l.adopt(nc, limit, nil, ln.HighPriority, false, accept, done) })
			}
		}
	}()
}

// convert makes an accepted connection nbio's, for which it takes a second
// descriptor for a moment. Where the first was the last, it waits for another
// before the next is accepted: closing it would turn a client away, and accepting
// more would leave none for any.
func convert(std net.Conn) *nbio.Conn {
	for range acceptTries {
		nc, err := private(std)
		if err == nil {
			return nc
		}
		if !IsDescriptorShortage(err) {
			break
		}
		time.Sleep(acceptPause)
	}
	_ = std.Close()
	return nil
}

// private makes a connection nbio's with a descriptor that no program started from here
// inherits, as nbio's own way would have it. Guards against a peer that sees no end of a
// connection while another process holds it, and against a table that fills up over
// generations of upgrades.
func private(std net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nc, err := nbio.NBConn(std)
	if err == nil {
		syscall.CloseOnExec(nc.Hash())
	}
	return nc, err
}

// adopt hands a connected socket to the poller. The function done is called once
// the connection has ended.
func (l *Loop) adopt(nc *nbio.Conn, limit int, unread []byte, urgent, shared bool, accept func(*Conn) Handler, done func()) (*Conn, error) {
	c := new(Conn)
	c.mu.Lock() // the poller goes through the same lock before it reads a field
	c.loop, c.nc, c.limit, c.shared, c.done, c.post = l, nc, limit, shared, done, l.Post
	if urgent {
		c.post = l.urgent
	}
	if len(unread) > 0 {
		c.in.append(unread)
		l.filled.Add(int64(len(unread)))
		c.told = true
		c.post(c.data)
	}
	c.mu.Unlock()
	c.handler = accept(c)
	nc.SetSession(c)
	l.fence.wait(nc.Hash()) // here and not earlier: what is closed is closed on the loop
	l.open[c] = struct{}{}
	if _, err := l.engine.AddConn(nc); err != nil {
		_ = nc.Close()
		l.Post(func() { c.ended(err) })
		return nil, fmt.Errorf("poll the connection: %w", err)
	}
	return c, nil
}

// Dial connects within the time-out and calls done on the loop's goroutine. The
// handler is told of nothing before done has returned. Calling the returned
// function gives the dial up; done is called all the same.
func (l *Loop) Dial(addr string, timeout time.Duration, limit int, h Handler, done func(*Conn, error)) (cancel func()) {
	if l.files > 0 && len(l.open)+dialFiles*(l.dials+1) > l.files {
		l.Post(func() { done(nil, fmt.Errorf("dial %s: %w", addr, syscall.EMFILE)) })
		return func() {}
	}
	return l.DialReserved(addr, timeout, limit, h, done)
}

// DialReserved is Dial for the one connection that descriptors are kept back for.
func (l *Loop) DialReserved(addr string, timeout time.Duration, limit int, h Handler, done func(*Conn, error)) (cancel func()) {
	l.dials++
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		var d net.Dialer
		std, err := d.DialContext(ctx, "tcp", addr)
		cancel()
		var nc *nbio.Conn
		if err == nil {
			if nc, err = private(std); err != nil {
				_ = std.Close()
			}
		}
		l.Post(func() {
			l.dials--
			if err != nil {
				done(nil, err)
				return
			}
			done(l.adopt(nc, limit, nil, false, false, func(c *Conn) Handler { c.dialed = true; return h }, func() {}))
		})
	}()
	return cancel
}

// IsConnectionRefused tells whether a dial failed with word from the other side, or for want
// of descriptors here, rather than in silence.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsDescriptorShortage tells whether a dial failed because this process has none left.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Conn is one connection. Its methods are for the loop's goroutine.
type Conn struct {
	loop    *Loop
	nc      *nbio.Conn
	handler Handler
	limit   int
	over    bool              // Closed was told
	linger  *timerqueue.Entry // ends a connection that is closing
	post    func(func())      // has something done on the loop
	done    func()            // called once it has ended
	shared  bool              // another process may hold the same socket
	dialed  bool              // from here
	shut    atomic.Bool       // nothing more is read
	closing atomic.Bool       // from here: what is read is dropped, and nothing more is written
	gone    atomic.Bool       // the socket is closed, as Closed will tell
	then    func()            // called once all is written
	pending atomic.Int64      // bytes not yet written
	waiting atomic.Bool       // the loop wants to know when there are none
	secure  *secure           // nil: plain

	mu      sync.Mutex
	journal Journal // nil: none
	readAt  int64   // place of what is read next, while there is a journal
	base    int64   // place of the buffer's first byte of all
	wroteAt int64   // and of what is written next
	in      Buffer
	told    bool // a call of Data is on its way
	paused  bool // there may be more to read, and no room
	dropped int  // bytes
	held    atomic.Bool
}

// read takes what the socket has until the buffer is full. It runs on the poller's
// goroutine on word of new data, and on the loop's when there is room again. over tells that another process
// may hold the socket, and that its peer has closed it.
func (c *Conn) read(buf []byte) (over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	over = c.shared && hungUp(c.nc.Hash())
	got := false
	for !c.shut.Load() {
		if c.closing.Load() {
			n, err := c.nc.Read(buf)
			if c.dropped += max(n, 0); c.dropped > lingerBytes {
				c.shut.Store(true)
			}
			if n <= 0 && !errors.Is(err, syscall.EINTR) {
				break // at the end of the stream the poller closes
			}
			continue
		}
		if c.in.Len() >= c.room() && !(c.dialed && hungUp(c.nc.Hash())) { // what came before the end can't wait: the poller closes
			c.paused = true
			break
		}
		var n int
		var err error
		if c.journal != nil {
			n, err = c.peek(buf)
		} else {
			n, err = c.nc.Read(buf)
		}
		if n > 0 {
			c.in.append(buf[:n])
			got = true
			// Guards against many peers that each stop in the middle of a long message.
			if c.loop.filled.Add(int64(n)) > c.loop.BufferBudget && c.in.Len() > readSize {
				c.shut.Store(true)
				c.loop.filled.Add(-int64(c.in.Len())) // at once: others need the room
				c.in = Buffer{}
				c.end(errBudget)
				break
			}
			continue
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			c.end(err)
		}
		break // at the end of the stream the poller closes
	}
	if got && !c.told {
		c.told = true
		c.post(c.data)
	}
	return over
}

// room is how much the buffer may hold before reading pauses; the peer's own
// writes then wait. It has to be enough for the largest message, which may be
// passed by one read.
func (c *Conn) room() int {
	if c.held.Load() {
		return min(readSize, c.limit)
	}
	return c.limit
}

// LimitReadAhead keeps what is read ahead small while the handler takes nothing, as a client's
// open request is awaited. ScheduleData must be called after it is lifted.
func (c *Conn) LimitReadAhead(on bool) { c.held.Store(on) }

func (c *Conn) data() {
	c.mu.Lock()
	c.told = false
	if !c.over {
		before := c.in.Len()
		switch {
		case c.closing.Load(): // a call that is read now would be answered by nobody
			c.in.Consume(before)
		case c.secure != nil:
			c.secure.data()
		default:
			c.handler.Data(c, &c.in)
		}
		c.loop.filled.Add(int64(c.in.Len() - before))
	}
	resume := c.paused && c.in.Len() < c.room()
	if resume {
		c.paused = false
	}
	c.mu.Unlock()
	if resume {
		c.read(c.loop.buf)
	}
}

// ScheduleData has Data called once more, for what an earlier call left in the buffer.
func (c *Conn) ScheduleData() { c.loop.Post(c.data) }

func (c *Conn) ended(err error) {
	if c.over {
		return
	}
	c.over = true
	c.linger.Stop()
	delete(c.loop.open, c)
	c.tellEnd()
	c.mu.Lock()
	c.loop.filled.Add(-int64(c.in.Len()))
	c.in = Buffer{}
	if s := c.secure; s != nil {
		c.loop.filled.Add(-int64(s.plain.Len()))
		s.plain = Buffer{}
		s.pipe.end()
	}
	c.mu.Unlock()
	c.done()
	c.handler.Closed(c, err)
}

// Write sends, or queues what the socket does not take at once. It tells whether it did either: else no byte
// has left, and never will, and Closed is told.
func (c *Conn) Write(p []byte) bool {
	if c.over || c.closing.Load() || len(p) == 0 {
		return false
	}
	if s := c.secure; s != nil {
		if !s.up {
			return false
		}
		_, err := s.conn.Write(p) // a failure closes the connection
		return err == nil
	}
	return c.writeRaw(p)
}

// writeRaw sends bytes as they are.
func (c *Conn) writeRaw(p []byte) bool {
	if c.over || c.closing.Load() || len(p) == 0 {
		return false
	}
	if c.journal != nil { // only the loop sets it
		c.journal.Output(c, c.wroteAt, p)
		c.wroteAt += int64(len(p))
	}
	c.pending.Add(int64(len(p)))
	if _, err := c.nc.Write(p); err != nil { // that has closed the connection, if it was not before
		c.loop.fence.close(c.nc.Hash())
		return false
	}
	return true
}

// Pending is the number of bytes that wait to be sent.
func (c *Conn) Pending() int { return int(c.pending.Load()) }

// WhenWritten has f called on a later turn, once nothing waits to be sent.
func (c *Conn) WhenWritten(f func()) {
	c.then = f
	c.waiting.Store(true)
	if c.pending.Load() == 0 {
		c.loop.Post(c.written)
	}
}

func (c *Conn) written() {
	if c.pending.Load() > 0 || !c.waiting.Swap(false) {
		return
	}
	if c.closing.Load() {
		c.halfClose()
	}
	if f := c.then; f != nil {
		c.then = nil
		f()
	}
}

// Close ends the connection in good order: what was written is sent, the peer is told that
// nothing more comes, and what it still sends is read and dropped until it closes its side, for a
// while. The handler is told of no more bytes, and of Closed later. Guards against a reset, by
// which a close over unread bytes eats answers that the peer has not read, and against taking
// what came in the moment of the close.
func (c *Conn) Close() {
	if c.closing.Load() || c.over {
		return
	}
	if s := c.secure; s != nil && s.up {
		_ = s.conn.CloseWrite() // tells the peer that nothing was cut off
	}
	c.closing.Store(true)
	c.ScheduleData() // what is in the buffer goes, and a pause for want of room ends
	if c.pending.Load() == 0 {
		c.halfClose()
		return
	}
	c.linger = c.loop.Timers.Add(c.loop.Now()+lingerMost, func() { c.end(nil) })
	c.WhenWritten(nil)
}

// halfClose tells the peer that nothing more comes.
func (c *Conn) halfClose() {
	c.nc.Lock() // the poller closes under it, and the number may be another's then
	closed, _ := c.nc.IsClosed()
	if !closed {
		_ = unix.Shutdown(c.nc.Hash(), unix.SHUT_WR) // fails where the peer has reset it, as the poller hears too
	}
	c.nc.Unlock()
	c.linger.Stop()
	c.linger = c.loop.Timers.Add(c.loop.Now()+lingerRead, func() { c.end(nil) })
}

// Disconnected tells whether the connection has ended, as Closed tells once its turn has come.
func (c *Conn) Disconnected() bool { return c.gone.Load() }

// tellEnd tells the journal that the connection is over.
func (c *Conn) tellEnd() {
	if j := c.journal; j != nil {
		c.mu.Lock()
		c.journal = nil
		c.mu.Unlock()
		j.Ended(c)
	}
}

// Ended tells whether the connection has ended.
func (c *Conn) Ended() bool { return c.over }

// Handler is who is told of the connection.
func (c *Conn) Handler() Handler { return c.handler }

// Abort ends the connection at once.
func (c *Conn) Abort() { c.end(nil) }

// end closes the socket here, at once; what waits to be written is dropped.
func (c *Conn) end(err error) {
	fd := c.nc.Hash()
	if c.shared && sameSocket(fd, c.nc.RemoteAddr()) { // else it is closed, and its number another's
		c.loop.forget(fd)
	}
	_ = c.nc.CloseWithError(err)
	c.loop.fence.close(fd)
}

// Unread is the number of bytes received that the handler has left.
func (c *Conn) Unread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.secure != nil {
		return c.in.Len() + c.secure.plain.Len()
	}
	return c.in.Len()
}

// RemoteAddr names the peer.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }
