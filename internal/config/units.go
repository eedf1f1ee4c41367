package config

import (
	"math"
	"time"
)

// FromMS converts milliseconds to a duration, rounded to the microsecond.
func FromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// FromSeconds converts seconds to a duration, rounded to the microsecond.
func FromSeconds(s float64) time.Duration { return FromMS(1000 * s) }

// milliseconds converts a duration to fractional milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// seconds converts seconds to a duration, truncated to the nanosecond.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
