package core

import "gannetspur/policy"

// admit puts a request before the module, which sends or refuses it.
func (c *Core) admit(r *Request) {
	r.admitted = true
	c.tell(policy.QueryArrived{
		Query: r.query, Class: r.Class, Key: r.SerialKey, DataSet: r.DataSet, Deadline: r.Deadline,
		Work: r.Work, MemoryMB: r.MemoryMB, Repeat: r.ClientRetry,
	})
}

// leave tells the module that a client is gone; it gives up what is out.
func (c *Core) leave(r *Request) {
	c.tell(policy.ClientDisconnected{Query: r.query})
	for _, a := range r.tries {
		if a.began && !a.ended { // the module leaves what goes on to its end
			c.drop(a, OutcomeCancelled)
		}
	}
	c.forget(r)
}
