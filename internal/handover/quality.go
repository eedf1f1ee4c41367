package handover

import "time"

const (
	// qualitySampleInterval is the time between two samples of this process's answers.
	qualitySampleInterval = time.Second
	// qualityWeight is the weight of the latest sample in the moving average, 0 to 1.
	qualityWeight = 0.3
)

// answerQuality computes an exponential moving average of the share of answers that are rejections
// or failures.
type answerQuality struct {
	lastSuccesses, lastFailures int64   // totals at the latest sample
	failureRate                 float64 // moving average, 0 to 1
}

// sample updates the average with the numbers of all successful and failed answers so far. A sample
// without new answers leaves it unchanged.
func (q *answerQuality) sample(successes, failures int64) {
	newSuccesses := successes - q.lastSuccesses
	newFailures := failures - q.lastFailures
	if n := newSuccesses + newFailures; n > 0 {
		q.failureRate += qualityWeight * (float64(newFailures)/float64(n) - q.failureRate)
	}
	q.lastSuccesses = successes
	q.lastFailures = failures
}
