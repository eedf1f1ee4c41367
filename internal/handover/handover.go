// Package handover carries out what internal/decide/handover decides: it starts the process
// that takes over, moves descriptors and state to it over a private unix socket, retains what
// is needed to reclaim everything, and reclaims it if the upgrade fails.
//
// Source runs in the process that serves, Target in the one that was started to take over. Both
// belong to the loop's goroutine; the channel is read by a goroutine of its own, which ends at
// the channel's end.
package handover

import (
	"time"

	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"

	"golang.org/x/sys/unix"
)

// Version is the version of the protocol that this program speaks. The minor one rises with
// every change that the version before can ignore; the major one with every other.
var Version = decide.Version{Major: 1, Minor: 0}

// CountAnswers returns how many answers so far were served, and how many were not: rejections,
// failures, and calls that the frontend itself found at fault.
func CountAnswers(c *metrics.Counters) (successes, failures int64) {
	successes = c.Sum("answered.served.")
	failures = c.Sum("answered.refused.") + c.Sum("answered.failed.") + c.Get("rest.bad-calls")
	return successes, max(failures, c.Sum("pgwire.errors."))
}

// monotonicNow reads the machine's monotonic clock, which all its processes share
// (clock_gettime(2), CLOCK_MONOTONIC).
func monotonicNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// closeDescriptors closes descriptors that came with a message and have no use.
func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}
