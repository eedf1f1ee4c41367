package netio

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// errBufferBudget ends a connection that would take more than is left for all buffers.
var errBufferBudget = errors.New("the buffers of all connections are full")

// read takes what the socket has until the buffer is full. It runs on the poller's goroutine when
// there is new data, and on the loop's when the buffer is below its limit again. It reports whether
// another process may hold the socket and its peer has closed it.
func (c *Conn) read(buffer []byte) (sharedEnd bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sharedEnd = c.shared && hungUp(c.socket.Hash())
	received := false
	for !c.readStopped.Load() {
		if c.closing.Load() {
			if !c.discard(buffer) {
				break
			}
			continue
		}
		if c.mustPause() {
			c.readPaused = true
			break
		}
		n, more := c.receive(buffer)
		received = received || n > 0
		if !more {
			break
		}
	}
	if received && !c.dataScheduled {
		c.dataScheduled = true
		c.post(c.deliver)
	}
	return sharedEnd
}

// mustPause reports whether the buffer is full. What a dialed peer sent before its end can't stay in the
// socket: the poller closes it.
func (c *Conn) mustPause() bool {
	return c.in.Len() >= c.bufferLimit() && (!c.dialed || !hungUp(c.socket.Hash()))
}

// receive reads once into the buffer. An error of the socket, or a buffer past the budget, closes it.
// more is false at the end of what there is; at the end of the stream the poller closes.
func (c *Conn) receive(buffer []byte) (n int, more bool) {
	var err error
	if c.journal != nil {
		n, err = c.readJournaled(buffer)
	} else {
		n, err = c.socket.Read(buffer)
	}
	if n > 0 {
		c.in.append(buffer[:n])
		c.chargeBudget(n)
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

// chargeBudget closes a connection that takes more than is left of the buffer budget. Guards against
// many peers that each stop in the middle of a long message.
func (c *Conn) chargeBudget(n int) {
	if c.loop.bufferedBytes.Add(int64(n)) <= c.loop.bufferBudget.Load() || c.in.Len() <= readSize {
		return
	}
	c.readStopped.Store(true)
	c.loop.bufferedBytes.Add(-int64(c.in.Len())) // now, as others need it
	c.in = Buffer{}
	c.closeSocket(errBufferBudget)
}

// discard reads once from a connection that is closing. more is false at the end of what there is.
func (c *Conn) discard(buffer []byte) (more bool) {
	n, err := c.socket.Read(buffer)
	c.discardedBytes += max(n, 0)
	if c.discardedBytes > maxDrainBytes {
		c.readStopped.Store(true)
	}
	return n > 0 || errors.Is(err, syscall.EINTR)
}

// bufferLimit is how much the buffer may hold before reading pauses; the peer's own writes then
// wait. It has to be enough for the largest message, which may be passed by one read.
func (c *Conn) bufferLimit() int {
	if c.readAheadLimited.Load() {
		return min(readSize, c.readLimit)
	}
	return c.readLimit
}

// LimitReadAhead keeps what is read ahead small while the handler consumes nothing, because a request
// of the client is in flight. ScheduleData must be called after it is lifted.
func (c *Conn) LimitReadAhead(limited bool) { c.readAheadLimited.Store(limited) }

// ScheduleData has Data called once more, for what an earlier call left in the buffer.
func (c *Conn) ScheduleData() { c.loop.Post(c.deliver) }

// deliver passes the buffer to the handler, and resumes reading once the buffer is below its limit.
func (c *Conn) deliver() {
	c.mu.Lock()
	c.dataScheduled = false
	if !c.ended {
		c.handleInput()
	}
	resume := c.readPaused && c.in.Len() < c.bufferLimit()
	if resume {
		c.readPaused = false
	}
	c.mu.Unlock()
	if resume {
		c.read(c.loop.readBuffer)
	}
}

// handleInput has the buffer consumed. The lock is held.
func (c *Conn) handleInput() {
	before := c.in.Len()
	switch {
	case c.closing.Load(): // a request that is read now would be answered by nobody
		c.in.Consume(before)
	case c.tls != nil:
		c.tls.deliver()
	default:
		c.handler.Data(c, &c.in)
	}
	c.loop.bufferedBytes.Add(int64(c.in.Len() - before))
}

// Unread returns the number of bytes received that the handler has not consumed.
func (c *Conn) Unread() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tls != nil {
		return c.in.Len() + c.tls.plain.Len()
	}
	return c.in.Len()
}

// hungUp reports whether the peer has closed its side, or the connection has ended.
func hungUp(fd int) bool {
	poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, _ := unix.Poll(poll, 0) // fails only for want of kernel memory
	return n > 0
}
