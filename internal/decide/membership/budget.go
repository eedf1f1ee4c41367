package membership

import "time"

// syncBudgetDivisor is the part of the saved-up bytes that sync requests may use; of the long-run rate they may use
// half of that part. Guards against members that ask so much that none can answer.
const syncBudgetDivisor = 3

// sendBudget is a token bucket that bounds the bytes sent, with a smaller bucket inside it for sync requests.
type sendBudget struct {
	available     float64 // bytes
	syncAvailable float64 // bytes of these for sync requests
	refilledAt    time.Duration
}

func newSendBudget(config Config, now time.Duration) sendBudget {
	return sendBudget{available: config.BurstBytes, syncAvailable: config.BurstBytes / syncBudgetDivisor, refilledAt: now}
}

// refill adds what has become available since the last refill.
func (b *sendBudget) refill(config Config, now time.Duration) {
	seconds := (now - b.refilledAt).Seconds()
	b.available = min(config.BurstBytes, b.available+config.BytesPerSecond*seconds)
	b.syncAvailable = min(config.BurstBytes/syncBudgetDivisor, b.syncAvailable+config.BytesPerSecond/2/syncBudgetDivisor*seconds)
	b.refilledAt = now
}
