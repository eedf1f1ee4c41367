package membership

import "time"

// syncBudgetDivisor sets the share of the send budget that sync requests may use: 1/syncBudgetDivisor of the burst, and
// half of that share of the long-run rate. Without the limit, members could send so many requests that none has budget
// left to answer.
const syncBudgetDivisor = 3

// sendBudget is a token bucket that limits the bytes sent, with a smaller bucket inside it for sync requests.
type sendBudget struct {
	available     float64       // bytes that may be sent now
	syncAvailable float64       // bytes of available that sync requests may use
	refilledAt    time.Duration // time of the last refill
}

// newSendBudget returns a full budget.
func newSendBudget(config Config, now time.Duration) sendBudget {
	return sendBudget{available: config.BurstBytes, syncAvailable: config.BurstBytes / syncBudgetDivisor, refilledAt: now}
}

// refill adds the bytes that became available since the last refill.
func (b *sendBudget) refill(config Config, now time.Duration) {
	seconds := (now - b.refilledAt).Seconds()
	b.available = min(config.BurstBytes, b.available+config.BytesPerSecond*seconds)
	b.syncAvailable = min(config.BurstBytes/syncBudgetDivisor, b.syncAvailable+config.BytesPerSecond/2/syncBudgetDivisor*seconds)
	b.refilledAt = now
}
