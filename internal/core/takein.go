package core

// Take accepts a request whose last byte has come. From here on one final answer
// is owed. The answer may be given before Take returns.
func (c *Core) Take(r *Request) {
	c.last++
	r.query = c.last // the client's own id may come twice
	r.priority = 1
	c.requests[r.query] = r
	c.unended++
	c.stats.Add("taken." + r.Class)
	c.admit(r)
}

// Gone tells that the client has stopped waiting: nothing is owed any more.
func (c *Core) Gone(r *Request) {
	if r.answered || c.requests[r.query] != r {
		return
	}
	c.stats.Add("gone." + r.Class)
	c.close(r)
	c.leave(r)
}

// close marks that nothing is owed any more.
func (c *Core) close(r *Request) {
	r.answered = true
	c.unended--
}
