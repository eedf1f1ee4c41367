package handover

import "time"

const (
	// qualitySampleEvery is how often the answers of this process are looked at.
	qualitySampleEvery = time.Second
	// qualityWeight is the weight of the latest sample in the moving average.
	qualityWeight = 0.3
)

// answerQuality is a moving average of the share of answers that are rejections or failures.
type answerQuality struct {
	good, bad int64 // at the latest sample
	badShare  float64
}

// sample takes the numbers of all answers so far.
func (q *answerQuality) sample(good, bad int64) {
	newGood := good - q.good
	newBad := bad - q.bad
	if n := newGood + newBad; n > 0 {
		q.badShare += qualityWeight * (float64(newBad)/float64(n) - q.badShare)
	}
	q.good = good
	q.bad = bad
}
