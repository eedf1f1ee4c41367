package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes bounds what is passed on at once.
	chunkBytes = 16 << 10
	// queuedChunks bounds what is in transit in one direction, so that a slow link exerts
	// backpressure.
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
	done           chan struct{}
}

// close closes both sides in good order.
func (c *connection) close() {
	c.end(func(side *net.TCPConn) { _ = side.Close() })
}

// reset resets both sides.
func (c *connection) reset() { c.end(reset) }

func (c *connection) end(closeSide func(*net.TCPConn)) {
	c.once.Do(func() {
		close(c.done)
		closeSide(c.client)
		closeSide(c.server)
		c.link.remove(c)
	})
}

// reset closes a connection by RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // without it the connection would be closed by FIN
	_ = c.Close()
}

// chunk is a piece of data in transit.
type chunk struct {
	data []byte
	due  time.Time // of its delivery
	end  bool      // the sender has closed its side; there is no data
}

// sides returns the connections that a direction reads from and writes to.
func (c *connection) sides(d direction) (from, to *net.TCPConn) {
	if d == requests {
		return c.client, c.server
	}
	return c.server, c.client
}

// relay carries one direction: a reader stamps chunks with the time at which they are due, a
// writer delivers them then.
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
			if due.Before(last) { // a connection keeps its order
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

// wait waits until the given time and for the end of the faults that hold back the direction. It
// returns false if the connection ended first.
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
