package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum size of one read, and so of one write, in bytes.
	chunkBytes = 16 << 10
	// queuedChunks is the maximum number of chunks in transit in one direction. The limit makes a
	// slow link exert backpressure on the sender.
	queuedChunks = 64
)

// direction is one of the two directions of a connection.
type direction int

const (
	requests direction = iota // from the client to the server
	replies                   // from the server to the client
)

// connection is one client connection through the link, with its connection to the server.
type connection struct {
	link           *Link
	client, server *net.TCPConn
	once           sync.Once
	done           chan struct{} // closed when the connection ends
}

// close closes both sides gracefully, with FIN.
func (c *connection) close() {
	c.end(func(side *net.TCPConn) { _ = side.Close() })
}

// reset closes both sides with RST.
func (c *connection) reset() { c.end(reset) }

// end closes both sides with closeSide and removes the connection from its link. Only the first
// call has an effect.
func (c *connection) end(closeSide func(*net.TCPConn)) {
	c.once.Do(func() {
		close(c.done)
		closeSide(c.client)
		closeSide(c.server)
		c.link.remove(c)
	})
}

// reset closes a TCP connection with RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // without it the connection would be closed by FIN
	_ = c.Close()
}

// chunk is a piece of data in transit.
type chunk struct {
	data []byte
	due  time.Time // when it is delivered
	end  bool      // the sender has closed its side; there is no data
}

// sides returns the connections that a direction reads from and writes to.
func (c *connection) sides(d direction) (from, to *net.TCPConn) {
	if d == requests {
		return c.client, c.server
	}
	return c.server, c.client
}

// relay forwards one direction. A reader goroutine stamps each chunk with its delivery time, and
// the writer delivers it at that time.
func (c *connection) relay(d direction) {
	from, to := c.sides(d)
	transit := make(chan chunk, queuedChunks)
	go func() {
		defer close(transit)
		c.receive(d, from, transit)
	}()
	for next := range transit {
		if !c.wait(next.due, d) {
			return
		}
		if next.end {
			_ = to.CloseWrite() // fails only if it is closed already
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			c.reset()
			return
		}
		transmission := c.link.transmission(len(next.data))
		if transmission > 0 && !c.wait(time.Now().Add(transmission), d) {
			return
		}
	}
}

// receive reads chunks until the sender closes its side or the connection ends.
func (c *connection) receive(d direction, from *net.TCPConn, transit chan<- chunk) {
	var last time.Time
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			if d == replies && c.link.active(DroppedReplies) {
				continue
			}
			due := time.Now().Add(c.link.latency())
			if due.Before(last) { // TCP delivers in order, whatever the jitter
				due = last
			}
			last = due
			if d == replies && c.link.active(Garbage) {
				c.link.corrupt(buffer[:n])
			}
			if !c.enqueue(transit, chunk{data: buffer[:n], due: due}) {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			c.enqueue(transit, chunk{end: true, due: time.Now().Add(c.link.opts.Delay)})
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// enqueue puts a chunk in transit. It returns false if the connection ended first.
func (c *connection) enqueue(transit chan<- chunk, next chunk) bool {
	select {
	case transit <- next:
		return true
	case <-c.done:
		return false
	}
}

// wait waits until the given time, then until no fault holds back the direction. It returns false
// if the connection ended first.
func (c *connection) wait(at time.Time, d direction) bool {
	if remaining := time.Until(at); remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.done:
			return false
		}
	}
	for {
		change := c.link.nextChange()
		if !c.link.holds(d) {
			return true
		}
		select {
		case <-change:
		case <-c.done:
			return false
		}
	}
}
