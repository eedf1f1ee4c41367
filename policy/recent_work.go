package policy

import (
	"slices"
	"time"
)

// sentWork is a statement that was sent to an engine: that of an attempt, or a further one of a streamed
// attempt.
type sentWork struct {
	attempt *attempt // may have ended
	at      time.Duration
}

// recentWork is what this gateway sent to one engine within the latest overload window, in the order of
// sending.
type recentWork struct{ sends []sentWork }

// record adds a statement, and drops those that were sent before the window.
func (r *recentWork) record(sent sentWork, window time.Duration) {
	r.prune(sent.at - window)
	r.sends = append(r.sends, sent)
}

// prune drops the statements that were sent at or before the given time.
func (r *recentWork) prune(before time.Duration) {
	expired := 0
	for expired < len(r.sends) && r.sends[expired].at <= before {
		expired++
	}
	r.sends = slices.Delete(r.sends, 0, expired)
}

// total sums up the statements.
func (r *recentWork) total() (total SentWork) {
	for _, sent := range r.sends {
		total.Statements++
		total.WorkMS += sent.attempt.query.workMS
		if sent.attempt.number > 0 {
			total.Retries++
		}
	}
	return total
}
