package link

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"gannetspur/internal/site/forwarding"
	"gannetspur/internal/site/frame"
	"gannetspur/internal/timerqueue"
)

const (
	writeTimeout = 10 * time.Second // for one buffer
	writeSize    = 128 << 10        // bytes that are pulled at once, about
	maxWrites    = 2                // buffers that may wait for the socket
	readSize     = 64 << 10
)

// conn is the connection of a link. It is a forwarding.Transport. A goroutine reads and another
// writes; both end once the socket is closed.
type conn struct {
	runner  *Runner
	tls     *tls.Conn
	peer    identity
	dialled bool
	link    *forwarding.Link
	expiry  *timerqueue.Timer // of the peer's certificate

	// For the loop's goroutine:
	writes  int      // buffers that wait for the socket
	spare   [][]byte // buffers to use again
	partial []byte   // what has come of a frame that is not complete
	closed  bool

	toWrite     chan []byte
	consumed    chan struct{} // what was read is consumed
	closeSocket sync.Once
}

func newConn(r *Runner, socket *tls.Conn, peer identity, dialled bool) *conn {
	return &conn{
		runner: r, tls: socket, peer: peer, dialled: dialled,
		toWrite: make(chan []byte, maxWrites), consumed: make(chan struct{}, 1),
	}
}

// Ready pulls what the socket may take.
func (c *conn) Ready() {
	for !c.closed && c.writes < maxWrites && c.link != nil && c.link.Waiting() {
		c.writes++
		c.toWrite <- c.link.Pull(c.takeSpare(), writeSize)
	}
}

// takeSpare is an empty buffer, or nil.
func (c *conn) takeSpare() []byte {
	n := len(c.spare)
	if n == 0 {
		return nil
	}
	b := c.spare[n-1][:0]
	c.spare = c.spare[:n-1]
	return b
}

// Close ends the link.
func (c *conn) Close(cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.expiry.Stop()
	delete(c.runner.conns, c)
	close(c.toWrite)
	go c.shut()
	r := c.runner
	r.counters.Inc("site.links-ended")
	if cause != nil && !errors.Is(cause, io.EOF) {
		r.log.Warn("site.link-ended", "peer", c.peer.name.String(), "error", cause)
	}
	r.loop.Post(c.link.Closed)
}

func (c *conn) shut() { c.closeSocket.Do(func() { _ = c.tls.NetConn().Close() }) }

// read hands over what comes, one piece at a time: while the loop has not consumed it, no more is
// read.
func (c *conn) read() {
	b := make([]byte, readSize)
	for {
		n, err := c.tls.Read(b)
		if n > 0 {
			c.runner.loop.Post(func() {
				c.input(b[:n])
				c.consumed <- struct{}{}
			})
			<-c.consumed
		}
		if err != nil {
			c.runner.loop.Post(func() { c.Close(err) })
			return
		}
	}
}

// input consumes what was read. It keeps a frame that is not complete, and never more than one.
func (c *conn) input(b []byte) {
	if c.closed {
		return
	}
	if len(c.partial) > 0 {
		c.partial = append(c.partial, b...)
		b = c.partial
	}
	n, err := c.link.Input(b)
	if err != nil {
		c.Close(err)
		return
	}
	rest := b[n:]
	if len(rest) > frame.HeaderSize+frame.MaxBodySize { // Input would have read it
		c.Close(fmt.Errorf("%w: %d bytes", frame.ErrLength, len(rest)))
		return
	}
	c.partial = append(c.partial[:0], rest...)
}

// write sends buffers until Close closes the channel.
func (c *conn) write() {
	for b := range c.toWrite {
		_ = c.tls.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.tls.Write(b)
		c.runner.loop.Post(func() { c.written(b, err) })
		if err != nil {
			c.shut()
			for range c.toWrite { // drop the rest, so that Ready is never blocked
			}
			return
		}
	}
}

// written takes note that a buffer was sent, or of the error.
func (c *conn) written(b []byte, err error) {
	if err != nil {
		c.Close(err)
		return
	}
	c.writes--
	c.spare = append(c.spare, b)
	c.Ready()
}
