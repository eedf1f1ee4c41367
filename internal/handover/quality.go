package handover

import "time"

const (
	// qualitySampleEvery is how often the answers of this process are looked at.
	qualitySampleEvery = time.Second
	// qualityWeight is the weight of the latest sample in the moving average.
	qualityWeight = 0.3
)

// answerQuality is a moving average of the fraction of answers that are rejections or failures.
type answerQuality struct {
	successes, failures int64 // at the latest sample
	failureRate         float64
}

// sample takes the numbers of all answers so far.
func (q *answerQuality) sample(successes, failures int64) {
	newSuccesses := successes - q.successes
	newFailures := failures - q.failures
	if n := newSuccesses + newFailures; n > 0 {
		q.failureRate += qualityWeight * (float64(newFailures)/float64(n) - q.failureRate)
	}
	q.successes = successes
	q.failures = failures
}
