package core

import (
	"slices"
	"time"

	"gannetspur/internal/timerqueue"
	"gannetspur/policy"
)

// Client is the sender of a request. Answer is called exactly once, unless Core.ClientDisconnected
// is called first.
type Client interface{ Answer(r *Request, a Answer) }

// DisconnectDetector is implemented by a Client that can detect its disconnection earlier than the
// event loop, which calls Core.ClientDisconnected in its turn.
type DisconnectDetector interface{ Disconnected() bool }

// Request is one query or data load, from the receipt of its last byte to its final answer.
type Request struct {
	ID             string // chosen by the client and passed on unchanged; not necessarily unique
	UniqueID       bool   // each request of a client has an ID of its own, also a retry
	Class          string // name of the request class
	IdempotencyKey string // empty if the client sent none
	// SerialKey serializes requests: those with the same key run one at a time, in order of arrival.
	// Empty: no such order.
	SerialKey   string
	Statement   Statement     // passed to the backend without inspection
	DataSet     int64         // data set, a group of tables, that the request reads or writes
	Deadline    time.Duration // time on the core's clock
	Work        time.Duration // estimated processing time; 0: no estimate
	MemoryMB    float64       // estimated memory use; 0: no estimate
	ClientRetry bool          // the client marked the request as a retry
	Client      Client
	CostContext CostContext // set by the CostObserver; nil if the cost is not observed
	// PriorAttempts are the sends by other processes or at other sites after which the request may have run, and those
	// of earlier requests with its idempotency key.
	PriorAttempts []policy.PriorAttempt
	// FromOtherSite marks a request that another site forwarded here. It is not forwarded again.
	FromOtherSite bool
	// Streaming marks a request with further statements and answers after the first, such as a
	// transaction. Its attempt stays in flight, its Client is a StreamingClient, and Core.Continue
	// sends the next statement.
	Streaming bool
	// MaxSends limits the sends to engines at all sites, in addition to the policy's own limit.
	// 0: no additional limit.
	MaxSends int
	// PriorSends is the number of sends made at other sites, or granted to them and not reported as
	// unused.
	PriorSends int

	queryNumber uint64 // identifies the request to the policy: a client may use an id twice
	attempts    []*Attempt
	policyTimer *timerqueue.Timer // the policy's timer under the current query number; nil if it set none
	outstanding int               // number of attempts that have not ended
	answered    bool              // needs no answer any more: it was answered, or its client has disconnected
	grantedMB   float64           // memory granted to the next attempts, in MB
	priority    int               // priority granted by the policy
	engineError error             // latest error of an engine, for the final answer

	admitted bool // passed to the policy, and neither rejected nor failed by it
	// firstAttempt is the index in attempts of the first one under the current query number. The
	// policy numbers attempts from there: it keeps nothing about a query that it rejected.
	firstAttempt int
	remote       remoteState
}

// remoteState is the state of a request that was forwarded to another site.
type remoteState struct {
	timer       *timerqueue.Timer // ends the wait for the other site; nil if the request is not at one
	forwardedAt time.Duration     // time on the core's clock
	begun       bool              // it is at the other site, or about to be written to the link there
	// policyAnswer is the policy's rejection or failure of the request here, while the request is at
	// the other site; nil if there was none. See Core.Hedge.
	policyAnswer *Answer
}

// clear marks the request as no longer being at another site.
func (s *remoteState) clear() {
	s.timer.Stop()
	s.timer = nil
	s.begun = false
}

// SendCount returns the number of sends to engines at all sites, as far as they are known here.
func (r *Request) SendCount() int { return r.PriorSends + len(r.attempts) }

// FirstSentAt returns the time of the first send, at any site, after which the request may have run.
// It returns 0 if the request can't have run.
func (r *Request) FirstSentAt() time.Duration {
	first := time.Duration(0)
	for _, prior := range r.PriorAttempts {
		if first == 0 || prior.SentAt < first {
			first = prior.SentAt
		}
	}
	i := slices.IndexFunc(r.attempts, (*Attempt).mayHaveRun)
	if i >= 0 && (first == 0 || r.attempts[i].SentAt < first) {
		first = r.attempts[i].SentAt
	}
	return first
}

// MayHaveRunHere reports whether an engine of this site may have run the request.
func (r *Request) MayHaveRunHere() bool {
	return slices.ContainsFunc(r.attempts, (*Attempt).mayHaveRun)
}

// attemptByNumber returns the attempt with the policy's number n, or nil if there is none.
func (r *Request) attemptByNumber(n int) *Attempt {
	i := r.firstAttempt + n
	if n < 0 || i >= len(r.attempts) {
		return nil
	}
	return r.attempts[i]
}

// requestTable holds the requests that have not ended.
type requestTable struct {
	lastNumber uint64              // query number assigned last
	byNumber   map[uint64]*Request // by query number
	unanswered int                 // number of requests without a final answer
	// finished are ended requests that are removed once the policy's event queue is empty: until then,
	// actions of the policy may refer to them.
	finished []*Request
}

func newRequestTable() requestTable { return requestTable{byNumber: map[uint64]*Request{}} }

// add adds a new request and assigns its first query number.
func (t *requestTable) add(r *Request) {
	t.unanswered++
	t.assignNumber(r)
}

// renumber assigns a new query number to a request, so that the policy treats it as a new query.
func (t *requestTable) renumber(r *Request) {
	delete(t.byNumber, r.queryNumber)
	t.assignNumber(r)
	r.firstAttempt = len(r.attempts)
}

func (t *requestTable) assignNumber(r *Request) {
	t.lastNumber++
	r.queryNumber = t.lastNumber
	t.byNumber[r.queryNumber] = r
}

// markAnswered marks a request as needing no answer any more.
func (t *requestTable) markAnswered(r *Request) {
	r.answered = true
	t.unanswered--
}

// isOpen reports whether a request is in the table and has no final answer yet.
func (t *requestTable) isOpen(r *Request) bool { return t.byNumber[r.queryNumber] == r && !r.answered }

// forgetIfDone removes a request that is answered and has no attempt in flight. While the policy loop
// runs, pending events and actions may refer to the request, and forgetFinished removes it later.
func (c *Core) forgetIfDone(r *Request) {
	if !r.answered || r.outstanding > 0 {
		return
	}
	if c.policy.running {
		c.requests.finished = append(c.requests.finished, r)
		return
	}
	if _, ok := c.requests.byNumber[r.queryNumber]; ok && c.observers.cost != nil && r.CostContext != nil {
		c.observers.cost.RequestDone(r)
	}
	r.policyTimer.Stop()
	c.forgetIfNeverRan(r)
	delete(c.requests.byNumber, r.queryNumber)
}

// forgetFinished removes the requests that ended while the policy loop ran.
func (c *Core) forgetFinished() {
	for _, r := range c.requests.finished {
		c.forgetIfDone(r)
	}
	c.requests.finished = c.requests.finished[:0]
}
