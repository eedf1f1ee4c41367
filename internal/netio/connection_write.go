package netio

// MaxPendingWrite bounds, in bytes, the pending writes of one connection. A peer that reads so slowly that
// they exceed it has its connection closed.
const MaxPendingWrite = 8 << 20

// Write sends p, and queues what the socket does not take at once. It reports whether p was sent or queued.
// If not, no byte of it was or will be sent, and the connection has ended or is ending, unless p is empty or the
// TLS handshake is in progress. On a TLS connection, an error of the socket is not reported here; it closes the
// connection.
func (c *Conn) Write(p []byte) bool {
	if c.ended || c.closing.Load() || len(p) == 0 {
		return false
	}
	if c.tls != nil {
		return c.tls.write(p)
	}
	return c.writeSocket(p)
}

// writeSocket sends p to the socket without encrypting it. Its result is that of Write.
func (c *Conn) writeSocket(p []byte) bool {
	if c.ended || c.closing.Load() || len(p) == 0 {
		return false
	}
	if c.journal != nil {
		c.journal.Output(c, c.writtenPosition, p)
		c.writtenPosition += int64(len(p))
	}
	c.chargeOutput(len(p))
	if _, err := c.socket.Write(p); err != nil { // the failed write has closed the connection, unless it was closed before
		c.loop.poller.barrier.recordClose(c.socket.Hash())
		return false
	}
	return true
}

// Pending returns the number of written bytes that the socket has not taken yet.
func (c *Conn) Pending() int { return int(c.pendingBytes.Load()) }

// WhenWritten schedules one call of f, in a later iteration of the loop, when nothing is pending. It replaces the
// function of an earlier call; f may be nil.
func (c *Conn) WhenWritten(f func()) {
	c.onWritten = f
	c.notifyWritten.Store(true)
	if c.pendingBytes.Load() == 0 {
		c.loop.Post(c.written)
	}
}

// sent subtracts n bytes that the socket has taken from the pending ones. It is called on the goroutine that
// wrote them, the loop's or the poller's.
func (c *Conn) sent(n int) {
	c.lastSent.record()
	pending := c.pendingBytes.Add(-int64(n))
	c.loop.output.used.Add(-int64(n))
	if pending == 0 && c.notifyWritten.Load() {
		c.loop.Post(c.written)
	}
}

// written calls the function of WhenWritten if nothing is pending, and shuts down the write side of a
// connection that is closing.
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
