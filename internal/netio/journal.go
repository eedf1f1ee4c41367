package netio

import "syscall"

// Journal records what a connection is about to read and to write, before it does. A process
// on trial after an upgrade keeps one, so that another can continue where it died.
type Journal interface {
	// Input is given bytes that lie in the socket from a position on. They are consumed once it
	// returns. It is called on the poller's goroutine or the loop's.
	Input(c *Conn, position int64, b []byte)
	// Output is given bytes that are about to be written from a position on. It is called on the
	// loop's goroutine.
	Output(c *Conn, position int64, b []byte)
	// Ended is called when the connection has ended or was closed here, on the loop's goroutine.
	Ended(c *Conn)
}

// SetJournal begins or, with nil, ends the journal of a connection.
func (c *Conn) SetJournal(j Journal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.journal = j
	if j == nil {
		return
	}
	if p, err := StreamPositionOf(c.socket.Hash()); err == nil { // else it is closed, and Closed follows
		c.readPosition = p.Read
		c.writtenPosition = p.Written + c.pendingBytes.Load()
	}
	c.basePosition = c.readPosition - int64(c.in.Len()) - c.in.taken
}

// ConsumedPosition returns the position up to which the handler has consumed what was read, while
// there is a journal.
func (c *Conn) ConsumedPosition() int64 { return c.basePosition + c.in.taken }

// HasJournal reports whether there is a journal.
func (c *Conn) HasJournal() bool { return c.journal != nil }

// endJournal ends the journal with the connection.
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

// readJournaled peeks at what the socket has, gives it to the journal, and reads it then: a process that
// dies at any point in between leaves every byte either in the socket or in the journal. The lock is held.
func (c *Conn) readJournaled(buffer []byte) (int, error) {
	n, _, err := syscall.Recvfrom(c.socket.Hash(), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return 0, err
	}
	c.journal.Input(c, c.readPosition, buffer[:n])
	n, err = c.socket.Read(buffer[:n])
	if n > 0 {
		c.readPosition += int64(n)
	}
	return n, err
}
