package netio

import (
	"sync"
	"sync/atomic"
	"time"

	"gannetspur/internal/timerqueue"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	// maxFlushTime is how long a closed connection may take to send what waits.
	maxFlushTime = 3 * time.Second
	// maxDrainTime is how long reading continues after this side has shut its writes, for the peer to
	// close its side too.
	maxDrainTime = 500 * time.Millisecond
	// maxDrainBytes is how much is read in that time; the rest stays in the socket. Guards against
	// the cost of a peer that goes on sending.
	maxDrainBytes = 256 << 10
)

// Handler receives the input and the end of one connection, on the loop's goroutine.
type Handler interface {
	// Data is called when the buffer has grown. What it does not consume stays in the buffer. The connection's
	// lock is held: Conn.Unread, Conn.SetJournal and Conn.Detach must not be called from here.
	Data(c *Conn, in *Buffer)
	// Closed is called when the connection has ended, once; err is nil where the peer or Close
	// ended it in the usual way.
	Closed(c *Conn, err error)
}

// Conn is one connection. Disconnected may be called from any goroutine; all other methods are for the
// loop's.
type Conn struct {
	// Set before the poller has the connection, and not changed.
	loop      *Loop
	socket    *nbio.Conn
	handler   Handler
	readLimit int
	post      func(func()) // has something done on the loop's goroutine
	onEnd     func()       // called once it has ended
	shared    bool         // another process may hold the same socket
	dialed    bool         // from here

	// For the loop's goroutine.
	ended           bool              // Closed was called, or the socket was detached
	lingerTimer     *timerqueue.Timer // ends a connection that is closing
	onWritten       func()            // called once all is written
	writtenPosition int64             // of what is written next, while there is a journal
	basePosition    int64             // of the buffer's first byte of all, while there is a journal
	tls             *tlsSession       // nil: plain

	// For any goroutine.
	closing          atomic.Bool  // from here: what is read is dropped, and nothing more is written
	disconnected     atomic.Bool  // the socket is closed; Closed follows
	readStopped      atomic.Bool  // nothing more is read
	readAheadLimited atomic.Bool  // the handler takes nothing at present
	pendingBytes     atomic.Int64 // not yet written
	notifyWritten    atomic.Bool  // the loop waits until there are none

	mu             sync.Mutex // for what the poller's goroutine and the loop's share
	journal        Journal    // nil: none. Changed by the loop, which reads it without the lock
	readPosition   int64      // of what is read next, while there is a journal
	in             Buffer
	dataScheduled  bool // a call of Data is on its way
	readPaused     bool // there may be more to read, and the buffer is full
	discardedBytes int  // since closing
}

// connOptions says how a connection begins.
type connOptions struct {
	readLimit    int
	unread       []byte // read before, by another owner of the socket
	highPriority bool
	shared       bool // another process may hold the same socket
	dialed       bool
	accept       func(*Conn) Handler
	onEnd        func() // called on the loop's goroutine once it has ended
}

// open hands a connected socket to the poller.
func (l *Loop) open(socket *nbio.Conn, o connOptions) (*Conn, error) {
	c := new(Conn)
	c.initialize(l, socket, o)
	c.handler = o.accept(c)
	socket.SetSession(c)
	l.poller.barrier.wait(socket.Hash()) // not earlier: no close by the loop may come between
	l.conns[c] = struct{}{}
	if err := l.poller.add(socket); err != nil {
		_ = socket.Close()
		l.Post(func() { c.end(err) })
		return nil, err
	}
	return c, nil
}

// initialize sets what the poller reads, under the lock that the poller takes before it reads a field. A
// composite literal would write the lock itself without holding it.
func (c *Conn) initialize(l *Loop, socket *nbio.Conn, o connOptions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loop = l
	c.socket = socket
	c.readLimit = o.readLimit
	c.shared = o.shared
	c.dialed = o.dialed
	c.onEnd = o.onEnd
	c.post = l.work.post
	if o.highPriority {
		c.post = l.work.postFirst
	}
	if len(o.unread) > 0 {
		c.in.append(o.unread)
		l.bufferedBytes.Add(int64(len(o.unread)))
		c.dataScheduled = true
		c.post(c.deliver)
	}
}

// Handler returns the handler that the connection was opened with.
func (c *Conn) Handler() Handler { return c.handler }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.socket.RemoteAddr().String() }

// Disconnected reports whether the socket is closed. Closed is called in a later iteration.
func (c *Conn) Disconnected() bool { return c.disconnected.Load() }

// Ended reports whether the connection has ended and Closed was called, or it was detached.
func (c *Conn) Ended() bool { return c.ended }

// Close ends the connection gracefully: pending writes are sent, the write side is shut, and what the
// peer still sends is read and dropped until it closes its side, for maxDrainTime at most. Data is not
// called again; Closed is, later. Guards against a reset, by which a close over unread bytes destroys
// responses that the peer has not read, and against accepting a request that came in the moment of the
// close.
func (c *Conn) Close() {
	if c.closing.Load() || c.ended {
		return
	}
	if c.tls != nil && c.tls.established {
		_ = c.tls.conn.CloseWrite() // lets the peer know that nothing was cut off
	}
	c.closing.Store(true)
	c.ScheduleData() // drops what is in the buffer, and resumes reading
	if c.pendingBytes.Load() == 0 {
		c.closeWrite()
		return
	}
	c.lingerFor(maxFlushTime)
	c.WhenWritten(nil)
}

// closeWrite shuts the write side, and waits for the peer to close its own.
func (c *Conn) closeWrite() {
	c.socket.Lock() // the poller closes under it, and the number may be another's then
	closed, _ := c.socket.IsClosed()
	if !closed {
		_ = unix.Shutdown(c.socket.Hash(), unix.SHUT_WR) // fails where the peer has reset it, which the poller sees too
	}
	c.socket.Unlock()
	c.lingerTimer.Stop()
	c.lingerFor(maxDrainTime)
}

// lingerFor bounds how long a connection that is closing stays open.
func (c *Conn) lingerFor(d time.Duration) {
	c.lingerTimer = c.loop.Timers.Add(c.loop.Now()+d, func() { c.closeSocket(nil) })
}

// Abort ends the connection at once.
func (c *Conn) Abort() { c.closeSocket(nil) }

// closeSocket closes the socket at once; pending writes are dropped. It is called on the loop's
// goroutine, and on the poller's while that handles an event of the connection.
func (c *Conn) closeSocket(err error) {
	fd := c.socket.Hash()
	if c.shared && isConnectedTo(fd, c.socket.RemoteAddr()) { // else it is closed, and its number another's
		c.loop.poller.forget(fd)
	}
	_ = c.socket.CloseWithError(err) // it always succeeds, or was closed before
	c.loop.poller.barrier.closed(fd)
}

// end drops the state of a connection whose socket is closed, and notifies its handler.
func (c *Conn) end(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.lingerTimer.Stop()
	delete(c.loop.conns, c)
	c.endJournal()
	c.mu.Lock()
	c.loop.bufferedBytes.Add(-int64(c.in.Len()))
	c.in = Buffer{}
	if c.tls != nil {
		c.tls.end()
	}
	c.mu.Unlock()
	c.onEnd()
	c.handler.Closed(c, err)
}
