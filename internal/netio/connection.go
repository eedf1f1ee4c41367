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
	// maxFlushTime bounds how long a connection that is closing may take to send its pending writes.
	maxFlushTime = 3 * time.Second
	// maxDrainTime bounds how long input is read and dropped after this side has shut down its write
	// side, while the peer has not closed its own.
	maxDrainTime = 500 * time.Millisecond
	// maxDrainBytes bounds how many bytes a closing connection reads and drops, but for the last read, which
	// may exceed it; the rest stays in the socket. It limits the cost of a peer that keeps sending.
	maxDrainBytes = 256 << 10
)

// Handler handles the input and the end of one connection. Its methods are called on the loop's goroutine.
type Handler interface {
	// Data is called when bytes were added to the buffer. Bytes that it does not consume stay in the
	// buffer. The connection's lock is held during the call: Data must not call Conn.Unread,
	// Conn.SetJournal or Conn.Detach.
	Data(c *Conn, in *Buffer)
	// Closed is called once, when the connection has ended. err is nil if the peer or Close ended it
	// normally.
	Closed(c *Conn, err error)
}

// Conn is one TCP connection of a loop. Disconnected may be called from any goroutine; all other methods
// may be called only on the loop's goroutine.
type Conn struct {
	// Set before the connection is added to the poller, and not changed afterwards.
	loop      *Loop
	socket    *nbio.Conn
	handler   Handler
	readLimit int
	post      func(func()) // queues a function for the loop's goroutine
	onEnd     func()       // called once the connection has ended
	shared    bool         // another process may have the same socket open
	dialed    bool         // opened by Dial rather than accepted or attached

	// Used only on the loop's goroutine.
	ended           bool              // Closed was called, or the socket was detached
	lingerTimer     *timerqueue.Timer // closes the socket of a closing connection when its time is up
	onWritten       func()            // called once nothing is pending; may be nil
	writtenPosition int64             // stream position of the next byte to write, while there is a journal
	basePosition    int64             // stream position of the first byte that the buffer ever held, while there is a journal
	tls             *tlsSession       // nil for a connection without TLS

	// Used on any goroutine.
	closing          atomic.Bool  // Close was called: input is dropped, and no further write is accepted
	disconnected     atomic.Bool  // the socket is closed; the call of Closed follows
	readStopped      atomic.Bool  // the socket is not read any more
	readAheadLimited atomic.Bool  // the handler consumes nothing at present, see LimitReadAhead
	pendingBytes     atomic.Int64 // bytes accepted by Write that the socket has not taken yet
	notifyWritten    atomic.Bool  // written is to be called once pendingBytes is zero
	dataScheduled    atomic.Bool  // a call of deliver is queued
	lastRead         progress     // latest read that received bytes
	lastSent         progress     // latest time at which the socket took bytes

	mu             sync.Mutex // guards the fields below, which the poller's and the loop's goroutine share
	journal        Journal    // nil if there is none; only the loop changes it, and reads it without the lock
	readPosition   int64      // stream position of the next byte to read, while there is a journal
	in             Buffer     // bytes read from the socket, encrypted ones on a TLS connection
	readPaused     bool       // reading stopped at a full buffer; the socket may hold more
	memoryPaused   bool       // reading stopped because the buffers of all connections are full
	discardedBytes int        // bytes read and dropped since Close
}

// connOptions holds the initial settings of a connection.
type connOptions struct {
	readLimit    int                 // bytes that the buffer may hold before reading pauses
	unread       []byte              // bytes that a previous owner read from the socket and did not consume
	highPriority bool                // its events are handled before all other posted work
	shared       bool                // another process may have the same socket open
	dialed       bool                // opened by Dial rather than accepted or attached
	accept       func(*Conn) Handler // returns the connection's handler
	onEnd        func()              // called on the loop's goroutine once the connection has ended
}

// open returns a Conn for a connected socket and adds the socket to the poller.
func (l *Loop) open(socket *nbio.Conn, o connOptions) (*Conn, error) {
	c := new(Conn)
	c.initialize(l, socket, o)
	c.handler = o.accept(c)
	socket.SetSession(c)
	// The wait is directly before the add, so that the loop can't close another socket in between.
	l.poller.barrier.wait(socket.Hash())
	l.conns[c] = struct{}{}
	if err := l.poller.add(socket); err != nil {
		_ = socket.Close()
		l.Post(func() { c.end(err) })
		return nil, err
	}
	return c, nil
}

// initialize sets the fields that the poller's goroutine reads. It holds the mutex, as the poller's goroutine
// locks it before it reads them. A composite literal would write the mutex itself without holding it.
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
		l.input.used.Add(int64(len(o.unread)))
		c.ScheduleData()
	}
}

// Handler returns the handler that the connection was opened with.
func (c *Conn) Handler() Handler { return c.handler }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.socket.RemoteAddr().String() }

// Disconnected reports whether the socket is closed. Handler.Closed is called in a later iteration of the loop.
func (c *Conn) Disconnected() bool { return c.disconnected.Load() }

// Ended reports whether the connection was detached, or has ended and Handler.Closed was called.
func (c *Conn) Ended() bool { return c.ended }

// Close ends the connection gracefully: pending writes are sent, the write side is shut down, and what the
// peer still sends is read and dropped until it closes its side, up to maxDrainTime and maxDrainBytes. Data
// is not called again; Closed is called later. Closing a socket that holds unread bytes would send a reset,
// which destroys responses that the peer has not read yet. Dropping the input also means that no request that
// arrives at the moment of the close is accepted.
func (c *Conn) Close() {
	if c.closing.Load() || c.ended {
		return
	}
	if c.tls != nil && c.tls.established {
		_ = c.tls.conn.CloseWrite() // close_notify tells the peer that nothing was truncated
	}
	c.closing.Store(true)
	c.ScheduleData() // drops the buffered bytes, and resumes reading
	if c.pendingBytes.Load() == 0 {
		c.closeWrite()
		return
	}
	c.lingerFor(maxFlushTime)
	c.WhenWritten(nil)
}

// closeWrite shuts down the write side, and gives the peer maxDrainTime to close its own.
func (c *Conn) closeWrite() {
	c.socket.Lock() // the poller closes under this lock; after that the descriptor number may belong to another socket
	closed, _ := c.socket.IsClosed()
	if !closed {
		_ = unix.Shutdown(c.socket.Hash(), unix.SHUT_WR) // fails if the peer has reset the connection, which the poller notices too
	}
	c.socket.Unlock()
	c.lingerTimer.Stop()
	c.lingerFor(maxDrainTime)
}

// lingerFor starts the timer that closes the socket of a closing connection after d.
func (c *Conn) lingerFor(d time.Duration) {
	c.lingerTimer = c.loop.Timers.Add(c.loop.Now()+d, func() { c.closeSocket(nil) })
}

// Abort closes the connection at once; pending writes are dropped.
func (c *Conn) Abort() { c.closeSocket(nil) }

// closeSocket closes the socket at once; pending writes are dropped. It is called on the loop's
// goroutine, and on the poller's goroutine while it handles an event of the connection.
func (c *Conn) closeSocket(err error) {
	fd := c.socket.Hash()
	if c.shared && isConnectedTo(fd, c.socket.RemoteAddr()) { // a closed socket's number may belong to another connection
		c.loop.poller.forget(fd)
	}
	_ = c.socket.CloseWithError(err) // fails only if the socket was closed before
	c.loop.poller.barrier.recordClose(fd)
}

// end releases the state of a connection whose socket is closed, and calls Handler.Closed. Only the first
// call has an effect.
func (c *Conn) end(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.lingerTimer.Stop()
	delete(c.loop.conns, c)
	c.endJournal()
	c.mu.Lock()
	c.dropInput()
	if c.tls != nil {
		c.tls.pipe.close() // ends a handshake that waits for input
	}
	c.mu.Unlock()
	c.releaseOutput()
	c.onEnd()
	c.handler.Closed(c, err)
}
