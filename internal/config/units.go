package config

import (
	"math"
	"time"
)

// FromMS turns fractional milliseconds into a duration, exact to the microsecond.
func FromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// FromSeconds turns fractional seconds into a duration, exact to the microsecond.
func FromSeconds(s float64) time.Duration { return FromMS(1000 * s) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
