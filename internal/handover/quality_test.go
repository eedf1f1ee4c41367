package handover

import (
	"math"
	"testing"
)

// The share of bad answers moves by a part of the difference with each sample that has answers.
func TestAnswerQuality(t *testing.T) {
	var q answerQuality
	for _, tt := range []struct {
		good, bad int64
		want      float64
	}{{10, 10, 0.15}, {10, 10, 0.15}, {20, 10, 0.105}, {20, 20, 0.3735}} {
		q.sample(tt.good, tt.bad)
		if math.Abs(q.failureRate-tt.want) > 1e-9 {
			t.Errorf("after %d good and %d bad answers: share %g, want %g", tt.good, tt.bad, q.failureRate, tt.want)
		}
	}
}
