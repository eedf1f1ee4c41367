package core

import (
	"slices"
	"time"

	"gannetspur/internal/timerqueue"
)

// Client is where a request came from. It is given exactly one answer, unless
// Core.ClientDisconnected was called first.
type Client interface{ Answer(r *Request, a Answer) }

// DisconnectDetector is a Client that knows whether it has disconnected before
// Core.ClientDisconnected, which waits for its turn in the event loop, is called.
type DisconnectDetector interface{ Disconnected() bool }

// Request is one query or load, from its last byte to its one final answer.
type Request struct {
	ID             string // the client's, passed on unchanged
	Class          string
	IdempotencyKey string // "": none
	// SerialKey orders requests: those of one key run one at a time, in turn. "": no order.
	SerialKey   string
	Statement   Statement // passed on to the links unread
	DataSet     int64     // group of tables
	Deadline    time.Duration
	Work        time.Duration // estimate; 0: none
	MemoryMB    float64       // estimate; 0: none
	ClientRetry bool          // the client marks it as a retry
	Client      Client
	CostContext CostContext // of the CostObserver; nil: its cost is not observed
	// PriorSentAt is when another site, or a process that has died, first sent the request to an
	// engine; 0: none did. It may have run since.
	PriorSentAt time.Duration
	// FromOtherSite tells that another site forwarded it: it is forwarded to no third one.
	FromOtherSite bool
	// Streaming tells that the request goes on behind its first answer, as a transaction does: its
	// attempt stays out, its Client is a StreamingClient, and Core.Continue gives the engine what
	// comes next.
	Streaming bool
	// MaxSends bounds the sends over all sites; 0: the policy's own bound alone.
	MaxSends int
	// PriorSends is how many of them were made elsewhere.
	PriorSends int

	query       uint64 // the policy's number of it; the client's id may come twice
	attempts    []*Attempt
	outstanding int // attempts that have not ended
	answered    bool
	grantedMB   float64 // memory for its next attempts
	priority    int
	engineError error // the latest

	admitted bool // the policy has it
	// firstAttempt is where attempts of the present query number begin: the policy has forgotten
	// those of a query that it rejected before.
	firstAttempt int
	remote       remoteState
}

// remoteState is what is kept of a request while it is at another site.
type remoteState struct {
	timer *timerqueue.Entry // ends the wait for the other site; nil: the request is not there
	since time.Duration
	// policyAnswer is what the policy answered to the hedge here; nil: nothing.
	policyAnswer *Answer
}

// clear marks that the request is no longer at the other site.
func (s *remoteState) clear() {
	s.timer.Stop()
	s.timer = nil
}

// SendCount is how often a request was sent to an engine, at any site, as far as is known here.
func (r *Request) SendCount() int { return r.PriorSends + len(r.attempts) }

// FirstSentAt is when a request that may have run was first sent, at any site; 0: it can't have
// run.
func (r *Request) FirstSentAt() time.Duration {
	if r.PriorSentAt > 0 {
		return r.PriorSentAt
	}
	if i := slices.IndexFunc(r.attempts, (*Attempt).mayHaveRun); i >= 0 {
		return r.attempts[i].SentAt
	}
	return 0
}

// MayHaveRunHere tells whether an engine of this site may have run the request.
func (r *Request) MayHaveRunHere() bool {
	return slices.ContainsFunc(r.attempts, (*Attempt).mayHaveRun)
}

// attempt returns an attempt by the policy's number of it; nil: there is none.
func (r *Request) attempt(n int) *Attempt {
	i := r.firstAttempt + n
	if n < 0 || i >= len(r.attempts) {
		return nil
	}
	return r.attempts[i]
}

// requestTable holds the requests that have not ended, by their query number.
type requestTable struct {
	lastQuery  uint64
	byQuery    map[uint64]*Request
	unanswered int
	// finished are to be forgotten once no event waits: until then the policy may still name them.
	finished []*Request
}

func newRequestTable() requestTable { return requestTable{byQuery: map[uint64]*Request{}} }

// add gives a request its first query number.
func (t *requestTable) add(r *Request) {
	t.unanswered++
	t.number(r)
}

// renumber gives a request a new query number, under which the policy has not heard of it.
func (t *requestTable) renumber(r *Request) {
	delete(t.byQuery, r.query)
	t.number(r)
	r.firstAttempt = len(r.attempts)
}

func (t *requestTable) number(r *Request) {
	t.lastQuery++
	r.query = t.lastQuery
	t.byQuery[r.query] = r
}

// markAnswered notes that the client is owed nothing any more.
func (t *requestTable) markAnswered(r *Request) {
	r.answered = true
	t.unanswered--
}

// open tells whether a request is in the table and owed an answer.
func (t *requestTable) open(r *Request) bool { return t.byQuery[r.query] == r && !r.answered }

// forgetIfDone drops a request that is answered and has no attempt out, unless events wait that
// may name it: then forgetFinished drops it.
func (c *Core) forgetIfDone(r *Request) {
	if !r.answered || r.outstanding > 0 {
		return
	}
	if c.policy.running {
		c.requests.finished = append(c.requests.finished, r)
		return
	}
	if _, ok := c.requests.byQuery[r.query]; ok && c.observers.cost != nil && r.CostContext != nil {
		c.observers.cost.RequestDone(r)
	}
	delete(c.requests.byQuery, r.query)
}

// forgetFinished drops the requests that ended while events waited.
func (c *Core) forgetFinished() {
	for _, r := range c.requests.finished {
		c.forgetIfDone(r)
	}
	c.requests.finished = c.requests.finished[:0]
}
