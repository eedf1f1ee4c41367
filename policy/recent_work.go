package policy

import (
	"slices"
	"time"
)

// recentWork holds the attempts that this gateway sent to one engine within the latest overload window, in
// the order of sending. They may have ended.
type recentWork struct{ attempts []*attempt }

// record adds an attempt, and drops those that were sent before the window.
func (r *recentWork) record(a *attempt, window time.Duration) {
	r.prune(a.sentAt - window)
	r.attempts = append(r.attempts, a)
}

// prune drops the attempts that were sent at or before the given time.
func (r *recentWork) prune(before time.Duration) {
	expired := 0
	for expired < len(r.attempts) && r.attempts[expired].sentAt <= before {
		expired++
	}
	r.attempts = slices.Delete(r.attempts, 0, expired)
}

// total sums up the attempts.
func (r *recentWork) total() (total SentWork) {
	for _, a := range r.attempts {
		total.Attempts++
		total.WorkMS += a.query.workMS
		if a.number > 0 {
			total.Retries++
		}
	}
	return total
}
