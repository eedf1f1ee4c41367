package policy

import (
	"slices"
	"time"
)

// sentWork is the expected work of one attempt.
type sentWork struct {
	at      time.Duration
	workMS  float64
	isRetry bool // a further attempt of its query
}

// recentWork is what this gateway sent to one engine within the latest overload window, in the order of
// sending.
type recentWork struct{ sends []sentWork }

// record adds an attempt, and drops those that were sent before the window.
func (r *recentWork) record(a *attempt, window time.Duration) {
	r.prune(a.sentAt - window)
	r.sends = append(r.sends, sentWork{at: a.sentAt, workMS: a.query.workMS, isRetry: a.number > 0})
}

// prune drops the attempts that were sent at or before the given time.
func (r *recentWork) prune(before time.Duration) {
	expired := 0
	for expired < len(r.sends) && r.sends[expired].at <= before {
		expired++
	}
	r.sends = slices.Delete(r.sends, 0, expired)
}

// total sums up the attempts.
func (r *recentWork) total() (total SentWork) {
	for _, sent := range r.sends {
		total.Attempts++
		total.WorkMS += sent.workMS
		if sent.isRetry {
			total.Retries++
		}
	}
	return total
}
