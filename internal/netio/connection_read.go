package netio

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// read reads from the socket until it is empty or the connection's buffer is full. It runs on the poller's
// goroutine when there is new data, and on the loop's when the buffer is below its limit again. scratch is the
// memory for one read; its content does not matter. sharedEnd is true if another process may have the socket
// open and the peer has closed its side.
func (c *Conn) read(scratch []byte) (sharedEnd bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sharedEnd = c.shared && hungUp(c.socket.Hash())
	received := false
	for !c.readStopped.Load() {
		if c.closing.Load() {
			if !c.discard(scratch) {
				break
			}
			continue
		}
		if c.mustPause() || c.mustPauseForMemory() {
			c.readPaused = true
			break
		}
		n, more := c.receive(scratch)
		received = received || n > 0
		if !more {
			break
		}
	}
	if received {
		c.ScheduleData()
	}
	return sharedEnd
}

// mustPause reports whether reading must stop because the buffer is full. Once a dialed peer has closed
// its side, reading continues past the limit: the poller closes the socket, and what stayed in it would be lost.
func (c *Conn) mustPause() bool {
	return c.in.Len() >= c.bufferLimit() && (!c.dialed || !hungUp(c.socket.Hash()))
}

// receive reads once and appends the bytes to the connection's buffer. It closes the socket on a read error. more is false if the socket has nothing more to read; at the end of the
// stream the poller closes it.
func (c *Conn) receive(scratch []byte) (n int, more bool) {
	var err error
	if !c.dialed && c.loop.input.exceeded() {
		scratch = scratch[:smallBuffer]
	}
	if c.journal != nil {
		n, err = c.readJournaled(scratch)
	} else {
		n, err = c.socket.Read(scratch)
	}
	if n > 0 {
		c.in.append(scratch[:n])
		c.loop.input.used.Add(int64(n))
		c.lastRead.record()
		return n, true
	}
	if errors.Is(err, syscall.EINTR) {
		return 0, true
	}
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		c.closeSocket(err)
	}
	return 0, false
}

// discard reads once from a connection that is closing, and drops the bytes. It stops reading for good
// after maxDrainBytes. more is false if the socket has nothing more to read.
func (c *Conn) discard(scratch []byte) (more bool) {
	n, err := c.socket.Read(scratch)
	c.discardedBytes += max(n, 0)
	if c.discardedBytes > maxDrainBytes {
		c.readStopped.Store(true)
	}
	return n > 0 || errors.Is(err, syscall.EINTR)
}

// bufferLimit returns how many bytes the buffer may hold before reading pauses, so that the peer's writes
// block. readLimit has to be enough for the largest message. The last read may exceed the limit.
func (c *Conn) bufferLimit() int {
	if c.readAheadLimited.Load() {
		return min(readSize, c.readLimit)
	}
	return c.readLimit
}

// LimitReadAhead sets whether the buffer is limited to one read. The handler sets the limit while it consumes
// nothing because a request of the client is in flight, and must call ScheduleData after it lifts it.
func (c *Conn) LimitReadAhead(limited bool) { c.readAheadLimited.Store(limited) }

// ScheduleData schedules another call of Data, for the bytes that an earlier call left in the buffer, unless one is
// scheduled already.
func (c *Conn) ScheduleData() {
	if !c.dataScheduled.Swap(true) {
		c.post(c.deliver)
	}
}

// deliver passes the buffer to the handler, and resumes reading once the buffer is below its limit.
func (c *Conn) deliver() {
	c.mu.Lock()
	c.dataScheduled.Store(false)
	if !c.ended {
		began := time.Now()
		c.handleInput()
		c.loop.recordTurn(began)
	}
	resume := c.readPaused && !c.memoryPaused && c.in.Len() < c.bufferLimit()
	if resume {
		c.readPaused = false
	}
	c.mu.Unlock()
	if resume {
		c.read(c.loop.readBuffer)
	}
}

// handleInput passes the buffer to the handler, by way of TLS if there is any, or drops it if the connection
// is closing. The lock is held.
func (c *Conn) handleInput() {
	before := c.in.Len()
	switch {
	case c.closing.Load(): // nothing would answer a request that is read now
		c.in.Consume(before)
	case c.tls != nil:
		c.tls.deliver()
	default:
		c.handler.Data(c, &c.in)
	}
	c.loop.input.used.Add(int64(c.in.Len() - before))
}

// Unread returns the number of received bytes that the handler has not consumed; on a TLS connection it
// adds up the decrypted bytes and the encrypted ones in the connection's buffer.
func (c *Conn) Unread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tls != nil {
		return c.in.Len() + c.tls.plain.Len()
	}
	return c.in.Len()
}

// hungUp reports whether the peer has closed its side, or the connection has ended or failed.
func hungUp(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, _ := unix.Poll(poll, 0) // fails only if the kernel has no memory
	return n > 0
}
