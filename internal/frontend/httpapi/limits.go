package httpapi

import "time"

const (
	// defaultRequestTimeout lets clients that take 2 s to write a request through, and notifies
	// those that never end one within the 3 s that they are owed.
	defaultRequestTimeout = 2600 * time.Millisecond
	// minStall is how long a request that has begun may stand still before its connection may be
	// evicted. Guards against closing clients that write slowly: their pieces come a few times a
	// second, while those that stop half way bring nothing more.
	minStall = 500 * time.Millisecond
	// idleTimeout is how long a connection is kept after its last request; clients close theirs
	// sooner.
	idleTimeout = 30 * time.Second
	// minIdle is how long a connection is idle before it may be evicted: the client's next
	// request could cross the close.
	minIdle = 100 * time.Millisecond
	// minSilence is how long a new connection has for its first bytes before it may be evicted.
	minSilence = 20 * time.Millisecond
	// maxUnsentBytes is how much may wait to be sent before no more requests are read.
	// Guards against a client that writes requests and does not read.
	maxUnsentBytes = 256 << 10
	// spareConnections is how many may be accepted past the limit while others are evicted.
	spareConnections = 16
)

// LimitClients bounds how many may be connected at once from now on.
func (f *Frontend) LimitClients(maxClients int) {
	f.options.MaxClients = max(maxClients, 1)
	f.evictExcess()
}

// closeIdle closes connections past idleTimeout, now and from time to time.
func (f *Frontend) closeIdle() {
	now := f.loop.Now()
	for c := range f.connections {
		if c.request == nil && now-c.lastActivity > idleTimeout {
			f.counters.Add("rest.idle-closed")
			c.end()
		}
	}
	f.loop.Timers.Add(now+idleTimeout/4, f.closeIdle)
}

// evictExcess closes connections while there are too many. Guards against clients that connect by
// the hundred, or make one request and stay: the others would find no descriptor left.
func (f *Frontend) evictExcess() {
	for {
		open, candidate := f.evictionCandidate()
		if open <= f.options.MaxClients {
			return
		}
		if candidate == nil {
			f.retryEviction()
			return
		}
		f.counters.Add("rest.closed-for-room")
		candidate.end()
	}
}

// evictionCandidate is the connection to close first, or nil where each is in use, with the number
// of connections that have not ended.
func (f *Frontend) evictionCandidate() (open int, candidate *conn) {
	now := f.loop.Now()
	for c := range f.connections {
		if c.ended { // it only waits for its client to read the last response
			c.socket.Abort()
			continue
		}
		open++
		if !c.inUse(now) && (candidate == nil || c.evictedBefore(candidate)) {
			candidate = c
		}
	}
	return open, candidate
}

// retryEviction calls evictExcess again a little later: at the limit no connection is accepted, so
// nothing else would call it.
func (f *Frontend) retryEviction() {
	if f.evictionPending {
		return
	}
	f.evictionPending = true
	f.loop.Timers.Add(f.loop.Now()+minSilence, func() {
		f.evictionPending = false
		f.evictExcess()
	})
}

// inUse tells whether a client would notice, or its request be lost, if its connection were
// evicted.
func (c *conn) inUse(now time.Duration) bool {
	quiet := now - c.lastActivity
	switch {
	case c.request != nil || c.nextPagePending || quiet < minSilence:
		return true
	case c.partialRequest && quiet < minStall:
		return true
	}
	return c.served && quiet < minIdle
}

// evictedBefore orders connections for eviction by rank, and by their last activity within one.
func (c *conn) evictedBefore(other *conn) bool {
	rank, otherRank := c.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && c.lastActivity < other.lastActivity
}

// evictionRank is 0 for a connection that has brought nothing yet, 1 for one that stopped in the
// middle of a request and 2 for one that was served before.
func (c *conn) evictionRank() int {
	switch {
	case c.partialRequest:
		return 1
	case c.served:
		return 2
	}
	return 0
}

// startRequestTimer has the connection closed unless a request is complete in time. Guards against
// clients that connect and stay silent, or stop in the middle of a request.
func (c *conn) startRequestTimer() {
	f := c.front
	c.requestTimer = f.loop.Timers.Add(f.loop.Now()+f.options.RequestTimeout, c.timeOutRequest)
}

func (c *conn) timeOutRequest() {
	if c.ended {
		return
	}
	c.front.counters.Add("rest.too-slow")
	if c.socket.Unread() == 0 {
		c.end()
		return
	}
	c.reject(requestTimedOut())
}
