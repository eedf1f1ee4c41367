package core

// Accept accepts a request whose last byte has come. From here on one final answer
// is owed. The answer may be given before Accept returns.
func (c *Core) Accept(r *Request) {
	c.enter(r)
	if c.stopped {
		c.final(r.query, c.turnedAway(r))
		return
	}
	if c.sites != nil && c.sites.ForwardOnArrival(r) {
		return
	}
	c.admit(r)
}

// FailOrphan takes a request that a process which has died left behind, and that may not go out
// any more. Its client is told so at once.
func (c *Core) FailOrphan(r *Request) {
	c.enter(r)
	c.final(r.query, Answer{Verdict: Failed})
}

func (c *Core) enter(r *Request) {
	c.last++
	r.query = c.last // the client's own id may come twice
	r.priority = 1
	c.requests[r.query] = r
	c.unended++
	c.stats.Add("taken." + r.Class)
}

// ClientDisconnected tells that the client has stopped waiting: nothing is owed any more.
func (c *Core) ClientDisconnected(r *Request) {
	if r.answered || c.requests[r.query] != r {
		return
	}
	c.stats.Add("gone." + r.Class)
	c.close(r)
	c.bringBack(r)
	c.leave(r)
}

// close marks that nothing is owed any more.
func (c *Core) close(r *Request) {
	r.answered = true
	c.unended--
}

// AcceptOrphan takes a request whose bytes may come from a process that has died: left is what
// is known of that, or nil.
func (c *Core) AcceptOrphan(r *Request, left *Orphan) {
	if left != nil {
		r.PriorSentAt = left.FirstSentAt
		if left.MustFail {
			c.FailOrphan(r)
			return
		}
	}
	c.Accept(r)
}
