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
	writeTimeout = 10 * time.Second // limit for writing one buffer
	writeSize    = 128 << 10        // approximate bytes pulled into one buffer
	maxWrites    = 2                // buffers that may wait to be written
	readSize     = 64 << 10         // bytes of the read buffer
)

// conn is the TLS connection of a link and implements forwarding.Transport. One goroutine reads and
// another writes; both end when the socket is closed.
type conn struct {
	runner  *Runner
	tls     *tls.Conn
	peer    identity
	dialled bool
	link    *forwarding.Link
	expiry  *timerqueue.Timer // fires when the peer's certificate expires

	// Used only on the loop's goroutine:
	writes  int      // buffers that wait to be written
	spare   [][]byte // buffers for reuse
	partial []byte   // received part of an incomplete frame
	closed  bool

	toWrite     chan []byte   // buffers for the writing goroutine
	consumed    chan struct{} // signals that the loop has processed the read buffer
	closeSocket sync.Once
}

func newConn(r *Runner, socket *tls.Conn, peer identity, dialled bool) *conn {
	return &conn{
		runner: r, tls: socket, peer: peer, dialled: dialled,
		toWrite: make(chan []byte, maxWrites), consumed: make(chan struct{}, 1),
	}
}

// Ready pulls output from the link while fewer than maxWrites buffers wait to be written.
func (c *conn) Ready() {
	for !c.closed && c.writes < maxWrites && c.link != nil && c.link.Waiting() {
		c.writes++
		c.toWrite <- c.link.Pull(c.takeSpare(), writeSize)
	}
}

// takeSpare returns an empty buffer for reuse, or nil if there is none.
func (c *conn) takeSpare() []byte {
	n := len(c.spare)
	if n == 0 {
		return nil
	}
	b := c.spare[n-1][:0]
	c.spare = c.spare[:n-1]
	return b
}

// Close closes the connection and reports the end of the link to the service. cause is logged unless it
// is nil or io.EOF.
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

// shut closes the underlying socket, once.
func (c *conn) shut() { c.closeSocket.Do(func() { _ = c.tls.NetConn().Close() }) }

// read passes received bytes to the loop, one buffer at a time. It reads no more until the loop has
// processed the buffer.
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

// input processes received bytes. It keeps at most one incomplete frame.
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
	if len(rest) > frame.HeaderSize+frame.MaxBodySize { // Input would have consumed a frame
		c.Close(fmt.Errorf("%w: incomplete frame of %d bytes", frame.ErrLength, len(rest)))
		return
	}
	c.partial = append(c.partial[:0], rest...)
}

// write writes buffers to the socket until Close closes the channel.
func (c *conn) write() {
	for b := range c.toWrite {
		_ = c.tls.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.tls.Write(b)
		c.runner.loop.Post(func() { c.written(b, err) })
		if err != nil {
			c.shut()
			for range c.toWrite { // discard the rest, so that Ready never blocks
			}
			return
		}
	}
}

// written handles the end of writing a buffer, with its error or nil.
func (c *conn) written(b []byte, err error) {
	if err != nil {
		c.Close(err)
		return
	}
	c.writes--
	c.spare = append(c.spare, b)
	c.Ready()
}
