package handover

import (
	"math"
	"testing"
)

// Each sample with new answers moves the failure rate towards the sample's by a fixed share of the
// difference. A sample without new answers does not change it.
func TestAnswerQuality(t *testing.T) {
	var q answerQuality
	for _, tt := range []struct {
		successes, failures int64
		want                float64
	}{{10, 10, 0.15}, {10, 10, 0.15}, {20, 10, 0.105}, {20, 20, 0.3735}} {
		q.sample(tt.successes, tt.failures)
		if math.Abs(q.failureRate-tt.want) > 1e-9 {
			t.Errorf("failure rate after %d successes and %d failures = %g, want %g", tt.successes, tt.failures, q.failureRate, tt.want)
		}
	}
}
