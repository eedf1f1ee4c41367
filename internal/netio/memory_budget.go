package netio

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// DefaultWriteBudget is the write budget of a new loop, in bytes, see Loop.SetWriteBudget.
	DefaultWriteBudget = 32 << 20
	// smallBuffer is the size, in bytes, up to which a connection's input or output is never held up for want of memory.
	smallBuffer = 4 << 10
	// stallTime is how long a connection must make no progress to count as stalled.
	stallTime = 500 * time.Millisecond
	// reclaimInterval is the time between two attempts to reclaim memory while there is too little.
	reclaimInterval = 20 * time.Millisecond
)

// Reclaimable is implemented by the handler of an accepted connection that may be closed when the buffers of all
// connections exceed their budget. Its methods are called on the loop's goroutine.
type Reclaimable interface {
	// HasServed reports whether the client has made a valid request on this connection.
	HasServed() bool
	// CloseForMemory tells the client that there is no memory for its input, and closes the connection. It returns
	// false, and does nothing, if the client waits for an answer.
	CloseForMemory() (closed bool)
}

// memoryBudget bounds the bytes that the buffers of all connections hold in one direction.
type memoryBudget struct {
	limit     atomic.Int64
	used      atomic.Int64
	requested atomic.Bool // a reclaim is posted or waits for its timer
}

// exceeded reports whether the buffers hold more than the limit.
func (b *memoryBudget) exceeded() bool { return b.used.Load() > b.limit.Load() }

// target is the number of bytes down to which memory is reclaimed.
func (b *memoryBudget) target() int64 { return b.limit.Load() / 8 * 7 }

// progress is the time of the latest progress of a connection in one direction, in nanoseconds since processStart.
type progress struct{ at atomic.Int64 }

var processStart = time.Now()

func (p *progress) record() { p.at.Store(int64(time.Since(processStart))) }

// stalled reports whether there was no progress for stallTime.
func (p *progress) stalled() bool {
	return time.Since(processStart)-time.Duration(p.at.Load()) >= stallTime
}

// request has reclaim called on the loop's goroutine, unless it will be already.
func (b *memoryBudget) request(l *Loop, reclaim func()) {
	if !b.requested.Swap(true) {
		l.Post(reclaim)
	}
}

// requestLater is request after reclaimInterval. It is called on the loop's goroutine.
func (b *memoryBudget) requestLater(l *Loop, reclaim func()) {
	if !b.requested.Swap(true) {
		l.Timers.Add(l.Now()+reclaimInterval, reclaim)
	}
}

// holder is a connection that may be closed to free the bytes that it holds.
type holder struct {
	conn    *Conn
	bytes   int
	served  bool // its client has made a valid request
	stalled bool
}

// compareHolders orders connections by who is closed first: clients that have made no valid request, then those that
// make no progress, then those that hold most.
func compareHolders(a, b holder) int {
	return cmp.Or(compareBool(a.served, b.served), compareBool(b.stalled, a.stalled), cmp.Compare(b.bytes, a.bytes))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// mustPauseForMemory reports whether reading must stop because the buffers of all connections are full, and requests
// a reclaim. Dialed connections are read on, as others wait for what comes on them. The connection's lock is held.
func (c *Conn) mustPauseForMemory() bool {
	l := c.loop
	if c.dialed || c.in.Len() < smallBuffer || !l.input.exceeded() {
		return false
	}
	c.memoryPaused = true
	l.input.request(l, l.reclaimInput)
	return true
}

// reclaimInput closes connections until the buffers of received data are within their budget, and lets those go on
// that were paused. A client that has made a valid request and whose request still arrives is not closed.
func (l *Loop) reclaimInput() {
	l.input.requested.Store(false)
	if l.input.exceeded() {
		for _, h := range l.inputHolders() {
			if l.input.used.Load() <= l.input.target() {
				break
			}
			h.conn.closeForMemory()
		}
	}
	paused := l.resumeInput()
	if paused && l.input.exceeded() {
		l.input.requestLater(l, l.reclaimInput)
	}
}

// inputHolders returns the connections that may be closed to free received data, in the order in which to close them.
func (l *Loop) inputHolders() (holders []holder) {
	for c := range l.conns {
		client, ok := c.handler.(Reclaimable)
		if !ok || c.dialed || c.closing.Load() {
			continue
		}
		h := holder{conn: c, bytes: c.Unread(), served: client.HasServed(), stalled: c.lastRead.stalled()}
		movesUsually := h.served && !h.stalled
		if h.bytes >= smallBuffer && !movesUsually {
			holders = append(holders, h)
		}
	}
	slices.SortFunc(holders, compareHolders)
	return holders
}

// closeForMemory closes a connection through its handler, and drops its input at once. It does nothing if the client
// waits for an answer.
func (c *Conn) closeForMemory() {
	if !c.handler.(Reclaimable).CloseForMemory() {
		return
	}
	c.loop.closedForMemory++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropInput()
}

// dropInput drops the received bytes, encrypted and decrypted ones. The connection's lock is held.
func (c *Conn) dropInput() {
	c.loop.input.used.Add(-int64(c.in.Len()))
	c.in = Buffer{}
	if c.tls != nil {
		c.loop.input.used.Add(-int64(c.tls.plain.Len()))
		c.tls.plain = Buffer{}
	}
}

// resumeInput has the connections read again that were paused for memory, if there is memory. It reports whether any
// was paused.
func (l *Loop) resumeInput() (paused bool) {
	for c := range l.conns {
		c.mu.Lock()
		wasPaused := c.memoryPaused
		if wasPaused && !l.input.exceeded() {
			c.memoryPaused = false
			c.ScheduleData()
		}
		c.mu.Unlock()
		paused = paused || wasPaused
	}
	return paused
}

// chargeOutput counts n bytes that wait to be sent, and requests a reclaim if there are too many.
func (c *Conn) chargeOutput(n int) {
	l := c.loop
	c.pendingBytes.Add(int64(n))
	l.output.used.Add(int64(n))
	if l.output.exceeded() {
		l.output.request(l, l.reclaimOutput)
	}
}

// releaseOutput takes back all that the connection has counted, because it has ended.
func (c *Conn) releaseOutput() {
	c.loop.output.used.Add(-c.pendingBytes.Swap(0))
}

// reclaimOutput closes connections whose peers do not read until the bytes that wait to be sent are within their
// budget. The peer can't be told, as it would have to read first.
func (l *Loop) reclaimOutput() {
	l.output.requested.Store(false)
	if !l.output.exceeded() {
		return
	}
	var holders []holder
	for c := range l.conns {
		pending := c.Pending()
		if pending >= smallBuffer && !c.dialed && !c.disconnected.Load() {
			holders = append(holders, holder{conn: c, bytes: pending, stalled: c.lastSent.stalled()})
		}
	}
	slices.SortFunc(holders, compareHolders)
	excess := l.output.used.Load() - l.output.target()
	for _, h := range holders {
		if excess <= 0 {
			break
		}
		excess -= int64(h.bytes)
		l.closedForMemory++
		h.conn.Abort()
	}
}

// OutputFull reports whether the handler must produce no more output, because more than limit bytes wait to be sent.
// While those of all connections take more than half of the write budget, the limit is smallBuffer at most.
func (c *Conn) OutputFull(limit int) bool {
	if c.loop.output.used.Load() > c.loop.output.limit.Load()/2 {
		limit = min(limit, smallBuffer)
	}
	return c.Pending() > limit
}

// SetWriteBudget bounds the bytes of all connections that wait to be sent. Once they exceed it, connections whose
// peers do not read are closed, those that hold most first. It may be called from any goroutine.
func (l *Loop) SetWriteBudget(bytes int64) { l.output.limit.Store(bytes) }

// UnsentBytes returns the number of bytes of all connections that wait to be sent. It may be called from any goroutine.
func (l *Loop) UnsentBytes() int64 { return l.output.used.Load() }

// ClosedForMemory returns how many connections were closed because the buffers exceeded a budget.
func (l *Loop) ClosedForMemory() int64 { return l.closedForMemory }
