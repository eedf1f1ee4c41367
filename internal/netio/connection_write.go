package netio

// MaxPendingWrite bounds what a slow reader may leave unsent, in bytes; past it the connection is closed.
const MaxPendingWrite = 8 << 20

// Write sends, or queues what the socket does not take at once. It reports whether it did either. If not,
// no byte was or will be sent, and Closed is called.
func (c *Conn) Write(p []byte) bool {
	if c.ended || c.closing.Load() || len(p) == 0 {
		return false
	}
	if c.tls != nil {
		return c.tls.write(p)
	}
	return c.writeSocket(p)
}

// writeSocket sends bytes as they are.
func (c *Conn) writeSocket(p []byte) bool {
	if c.ended || c.closing.Load() || len(p) == 0 {
		return false
	}
	if c.journal != nil {
		c.journal.Output(c, c.writtenPosition, p)
		c.writtenPosition += int64(len(p))
	}
	c.pendingBytes.Add(int64(len(p)))
	if _, err := c.socket.Write(p); err != nil { // that has closed the connection, if it was not before
		c.loop.poller.barrier.closed(c.socket.Hash())
		return false
	}
	return true
}

// Pending returns the number of bytes that are not sent yet.
func (c *Conn) Pending() int { return int(c.pendingBytes.Load()) }

// WhenWritten has f called in a later iteration, once nothing is pending.
func (c *Conn) WhenWritten(f func()) {
	c.onWritten = f
	c.notifyWritten.Store(true)
	if c.pendingBytes.Load() == 0 {
		c.loop.Post(c.written)
	}
}

// sent records bytes that the socket took. It is called on the goroutine that wrote them, the loop's or
// the poller's.
func (c *Conn) sent(n int) {
	if c.pendingBytes.Add(-int64(n)) == 0 && c.notifyWritten.Load() {
		c.loop.Post(c.written)
	}
}

// written calls what WhenWritten was given.
func (c *Conn) written() {
	if c.pendingBytes.Load() > 0 || !c.notifyWritten.Swap(false) {
		return
	}
	if c.closing.Load() {
		c.closeWrite()
	}
	f := c.onWritten
	c.onWritten = nil
	if f != nil {
		f()
	}
}
