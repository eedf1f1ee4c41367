package netio

import "syscall"

// Journal records the bytes that a connection is about to read and to write, before it does so. A process
// that is on probation after an upgrade keeps a journal, so that another process can continue its
// connections if it dies. Positions are those of StreamPosition, in bytes.
type Journal interface {
	// Input records b, which is in the socket from position on and is read after Input returns.
	// It is called on the poller's goroutine or the loop's.
	Input(c *Conn, position int64, b []byte)
	// Output records b, which is about to be written from position on. It is called on the loop's
	// goroutine.
	Output(c *Conn, position int64, b []byte)
	// Ended is called on the loop's goroutine when the connection has ended, whichever side closed it.
	Ended(c *Conn)
}

// SetJournal starts a journal of the connection; nil stops it.
func (c *Conn) SetJournal(j Journal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journal = j
	if j == nil {
		return
	}
	if p, err := StreamPositionOf(c.socket.Hash()); err == nil { // otherwise the socket is closed, and Closed follows
		c.readPosition = p.Read
		c.writtenPosition = p.Written + c.pendingBytes.Load()
	}
	c.basePosition = c.readPosition - int64(c.in.Len()) - c.in.consumed
}

// ConsumedPosition returns the stream position up to which the handler has consumed the input. It is
// meaningful only while there is a journal.
func (c *Conn) ConsumedPosition() int64 { return c.basePosition + c.in.consumed }

// HasJournal reports whether the connection has a journal.
func (c *Conn) HasJournal() bool { return c.journal != nil }

// endJournal stops the journal of a connection that has ended, and calls Journal.Ended.
func (c *Conn) endJournal() {
	j := c.journal
	if j == nil {
		return
	}
	c.mu.Lock()
	c.journal = nil
	c.mu.Unlock()
	j.Ended(c)
}

// readJournaled peeks at the socket's input, records it in the journal, and only then reads it: if the
// process dies at any point in between, every byte is in the socket or in the journal. The lock is held.
func (c *Conn) readJournaled(scratch []byte) (int, error) {
	n, _, err := syscall.Recvfrom(c.socket.Hash(), scratch, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return 0, err
	}
	c.journal.Input(c, c.readPosition, scratch[:n])
	n, err = c.socket.Read(scratch[:n])
	if n > 0 {
		c.readPosition += int64(n)
	}
	return n, err
}
