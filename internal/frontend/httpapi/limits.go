package httpapi

import "time"

const (
	// defaultRequestTimeout is longer than the 2 s that some clients take to write a request, and
	// shorter than the 3 s within which a client that never completes one must get an error.
	defaultRequestTimeout = 2600 * time.Millisecond
	// minStallBeforeEviction is how long a partly received request must make no progress before
	// its connection may be evicted. Clients that write slowly send a piece several times a second
	// and must not be evicted; clients that stopped send nothing more.
	minStallBeforeEviction = 500 * time.Millisecond
	// idleTimeout is how long a connection is kept open after its last activity. Clients normally
	// close idle connections earlier.
	idleTimeout = 30 * time.Second
	// minIdleBeforeEviction is how long a connection must be idle after a response before it may
	// be evicted: the client's next request may already be on its way.
	minIdleBeforeEviction = 100 * time.Millisecond
	// minSilenceBeforeEviction is how long any connection must be inactive before it may be
	// evicted; it gives a new connection time to send its first bytes.
	minSilenceBeforeEviction = 20 * time.Millisecond
	// maxUnsentBytes is the size of unsent responses above which no more requests are read, in
	// bytes. It bounds the memory taken by a client that sends requests and does not read responses.
	maxUnsentBytes = 256 << 10
	// spareConnections is how many connections may be accepted above MaxClients while others are
	// being evicted.
	spareConnections = 16
)

// LimitClients sets the maximum number of connections, at least 1, and evicts connections above it.
func (f *Frontend) LimitClients(maxClients int) {
	f.options.MaxClients = max(maxClients, 1)
	f.evictExcess()
}

// closeIdle closes connections that were idle for longer than idleTimeout, and schedules the next
// such check.
func (f *Frontend) closeIdle() {
	now := f.loop.Now()
	for c := range f.connections {
		if c.request == nil && now-c.lastActivity > idleTimeout {
			f.counters.Inc("rest.idle-closed")
			c.end()
		}
	}
	f.loop.Timers.Add(now+idleTimeout/4, f.closeIdle)
}

// evictExcess closes connections while there are more than MaxClients. Without it, clients that open
// hundreds of connections, or stay connected after one request, would use up the file descriptors.
func (f *Frontend) evictExcess() {
	for {
		openCount, candidate := f.evictionCandidate()
		if openCount <= f.options.MaxClients {
			return
		}
		if candidate == nil {
			f.retryEviction()
			return
		}
		f.counters.Inc("rest.closed-for-room")
		candidate.evict()
	}
}

// evictionCandidate returns the number of connections that are not closing, and the one to evict
// first, or nil if all are in use. It aborts the connections that are closing already. While there is any client that
// has made no valid request, one that has and is in the middle of another is not evicted: the former will be evictable
// within minStallBeforeEviction, or will have made a valid request.
func (f *Frontend) evictionCandidate() (openCount int, candidate *conn) {
	now := f.loop.Now()
	anyUnserved := false
	for c := range f.connections {
		if c.ended { // only waiting for its client to read the last response
			c.socket.Abort()
			continue
		}
		openCount++
		anyUnserved = anyUnserved || !c.served
		if !c.inUse(now) && (candidate == nil || c.evictedBefore(candidate)) {
			candidate = c
		}
	}
	if candidate != nil && anyUnserved && candidate.served && candidate.partialRequest {
		candidate = nil
	}
	return openCount, candidate
}

// evict closes the connection to make room for others. A client in the middle of a request is told.
func (c *conn) evict() {
	if !c.partialRequest {
		c.end()
		return
	}
	c.closeAfterResponse = true
	c.respondBusy(0)
}

// retryEviction schedules another evictExcess. While no connection is accepted because the limit is
// reached, nothing else would call it.
func (f *Frontend) retryEviction() {
	if f.evictionPending {
		return
	}
	f.evictionPending = true
	f.loop.Timers.Add(f.loop.Now()+minSilenceBeforeEviction, func() {
		f.evictionPending = false
		f.evictExcess()
	})
}

// inUse reports whether evicting the connection could lose a request or interrupt its client.
func (c *conn) inUse(now time.Duration) bool {
	inactive := now - c.lastActivity
	switch {
	case c.request != nil || c.nextPagePending || inactive < minSilenceBeforeEviction:
		return true
	case c.partialRequest && inactive < minStallBeforeEviction:
		return true
	}
	return c.served && inactive < minIdleBeforeEviction
}

// evictedBefore reports whether c is to be evicted before other: the lower rank goes first, and
// within a rank the connection that has been inactive for longer.
func (c *conn) evictedBefore(other *conn) bool {
	rank, otherRank := c.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && c.lastActivity < other.lastActivity
}

// evictionRank orders connections by who is evicted first. Those whose clients have made no valid request come before
// all others, and those that stopped in the middle of a request after those that are silent.
func (c *conn) evictionRank() (rank int) {
	if c.partialRequest {
		rank++
	}
	if c.served {
		rank += 2
	}
	return rank
}

// startRequestTimer closes the connection unless a request is complete within RequestTimeout. It
// bounds the time of clients that connect and send nothing, or stop in the middle of a request.
func (c *conn) startRequestTimer() {
	f := c.frontend
	c.requestTimer = f.loop.Timers.Add(f.loop.Now()+f.options.RequestTimeout, c.handleRequestTimeout)
}

// handleRequestTimeout closes the connection, with an error response if a part of a request was received.
func (c *conn) handleRequestTimeout() {
	if c.ended {
		return
	}
	c.frontend.counters.Inc("rest.too-slow")
	if c.socket.Unread() == 0 {
		c.end()
		return
	}
	c.reject(requestTimeoutError())
}
