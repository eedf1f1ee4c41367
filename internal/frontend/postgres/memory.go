package postgres

import "gannetspur/internal/pgproto"

// Estimated sizes of what the frontend keeps beside the bytes that a client has sent, in bytes.
const (
	statementOverhead = 1 << 10
	portalOverhead    = 512
	valueOverhead     = 24 // a slice header
	settingOverhead   = 128
)

// maxShareOfOne is the divisor of Options.MaxClientBytes for one connection, so that one client can't use up the
// memory of all.
const maxShareOfOne = 4

// clientMemory counts the bytes that a client makes the frontend keep: prepared statements, portals, settings and the
// Query in progress. Unsent rows of portals are counted by Frontend.heldBytes.
type clientMemory struct {
	total    int
	query    int // part of total: the Query in progress
	settings int // part of total
}

// maxBytesOfOne returns the number of bytes that one connection may make the frontend keep. The largest message always
// fits if the limit of all allows it.
func (f *Frontend) maxBytesOfOne() int {
	largest := min(maxMessageSize+statementOverhead, f.opts.MaxClientBytes)
	return max(f.opts.MaxClientBytes/maxShareOfOne, largest)
}

// fairShare returns the number of bytes that a connection may keep even if all others keep too much.
func (f *Frontend) fairShare() int {
	return f.opts.MaxClientBytes / max(f.opts.MaxClients, minFairShareClients)
}

// minFairShareClients is the number of clients among which the memory is divided if there is no limit on clients, or a
// lower one.
const minFairShareClients = 64

// reserveMemory counts size bytes that the client makes the frontend keep, or returns the error for the client.
func (c *connection) reserveMemory(size int) *pgproto.Error {
	e := c.checkMemory(size)
	if e == nil {
		c.addMemory(size)
	}
	return e
}

// checkMemory returns the error for the client if it can't make the frontend keep size bytes more. If all connections
// together would exceed Options.MaxClientBytes, the one that keeps most is closed, unless it waits for an answer or is
// this one. A connection within its fair share is never refused.
func (c *connection) checkMemory(size int) *pgproto.Error {
	f := c.frontend
	total := c.memory.total + size
	if total > f.maxBytesOfOne() {
		f.counters.Inc("pgwire.memory-refused")
		return newError(codeProgramLimitExceeded, "the prepared statements, portals and settings of this connection exceed %d bytes", f.maxBytesOfOne())
	}
	for total > f.fairShare() && f.clientBytes+size > f.opts.MaxClientBytes {
		victim := f.largestHolder()
		if victim == nil || victim.memory.total <= total {
			f.counters.Inc("pgwire.memory-refused")
			return newError(codeOutOfMemory, "the prepared statements, portals and settings of all clients exceed the gateway's memory")
		}
		f.counters.Inc("pgwire.closed-for-memory")
		victim.fatal(newError(codeOutOfMemory, "closed because it keeps more prepared statements, portals and settings than any other client"))
		victim.releaseAll()
	}
	return nil
}

// addMemory counts size bytes without checking a limit.
func (c *connection) addMemory(size int) {
	c.memory.total += size
	c.frontend.clientBytes += size
}

// releaseMemory takes back a reservation.
func (c *connection) releaseMemory(size int) { c.addMemory(-size) }

// releaseAll drops what an ended connection makes the frontend keep.
func (c *connection) releaseAll() {
	c.dropPortals()
	clear(c.statements)
	c.releaseMemory(c.memory.total)
	c.memory = clientMemory{}
}

// largestHolder returns the connection that keeps most among those that wait for no answer, or nil.
func (f *Frontend) largestHolder() (largest *connection) {
	for _, c := range f.connections {
		if c.ended || !c.quiescent() {
			continue
		}
		if largest == nil || c.memory.total > largest.memory.total {
			largest = c
		}
	}
	return largest
}

// countSettings counts the settings of the session anew.
func (c *connection) countSettings() {
	size := 0
	for _, setting := range c.session.settings {
		size += settingOverhead + len(setting.Text)
	}
	c.addMemory(size - c.memory.settings)
	c.memory.settings = size
}

// reserveQuery counts a Query in progress, up to releaseQuery.
func (c *connection) reserveQuery(size int) *pgproto.Error {
	if e := c.reserveMemory(size); e != nil {
		return e
	}
	c.memory.query = size
	return nil
}

// releaseQuery takes back the reservation of the Query in progress, if there is one.
func (c *connection) releaseQuery() {
	c.releaseMemory(c.memory.query)
	c.memory.query = 0
}

// size returns the estimated number of bytes that a statement keeps.
func (s *statement) size() int { return statementOverhead + len(s.query) + len(s.parameterTypes) }

// size returns the estimated number of bytes that a portal keeps beside its unsent rows. It includes the statement,
// which stays with the portal when the client closes or replaces it.
func (p *portal) size() int {
	return portalOverhead + len(p.bind) + valueOverhead*len(p.values.Values) + p.statement.size()
}

// putStatement keeps a prepared statement, in place of an earlier one of that name.
func (c *connection) putStatement(name string, s *statement) {
	c.dropStatement(name)
	c.statements[name] = s
	c.addMemory(s.size())
}

// dropStatement closes a prepared statement if it exists.
func (c *connection) dropStatement(name string) {
	if s := c.statements[name]; s != nil {
		c.releaseMemory(s.size())
		delete(c.statements, name)
	}
}

// dropStatements closes all prepared statements.
func (c *connection) dropStatements() {
	for name := range c.statements {
		c.dropStatement(name)
	}
}

// ClientBytes returns the size in bytes of what all clients make the frontend keep, without unsent rows.
func (f *Frontend) ClientBytes() int { return f.clientBytes }
