// Package handover performs a live upgrade: a running process (the source) starts a new one (the
// target) and transfers its client connections and its state to it over a unix socket. The source
// keeps what it needs to reclaim every connection, and reclaims them if the upgrade fails. Package
// internal/decide/handover makes the decisions; this package does the I/O that they call for.
//
// The target sends a Hello, receives the source's state and is then on probation: it serves the
// connections that are transferred to it, each as soon as no request is in flight on it, but the
// source still accepts new ones, and it can kill the target and reclaim the others. If the probation
// succeeds, the source makes the target the owner: the target accepts connections from then on, and
// the source only completes its own requests in flight, transfers their connections and exits. The
// target also becomes the owner if the source dies.
//
// A Source runs in the old process and a Target in the new one. Both are used only on the event
// loop's goroutine. Each has a goroutine that reads the channel until the channel ends.
package handover

import (
	"time"

	decide "gannetspur/internal/decide/handover"
	"gannetspur/internal/metrics"

	"golang.org/x/sys/unix"
)

// Version is the version of the handover protocol in this program. A change that the previous
// version can ignore increments Minor, any other change increments Major. A field that older versions may ignore
// changes neither, if what they do without it is safe.
var Version = decide.Version{Major: 1, Minor: 1}

// AnswerTotals returns the number of successful answers counted so far, and the number of
// failures: rejected requests, failed requests and requests that the frontend itself refused. The
// pgwire.errors of the PostgreSQL frontend include its rejected and failed requests, so the larger of
// the two numbers is returned instead of their sum.
func AnswerTotals(c *metrics.Counters) (successes, failures int64) {
	successes = c.Sum("answered.served.")
	failures = c.Sum("answered.refused.") + c.Sum("answered.failed.") + c.Get("rest.bad-calls")
	return successes, max(failures, c.Sum("pgwire.errors."))
}

// monotonicNow returns the time of the machine's monotonic clock (clock_gettime(2),
// CLOCK_MONOTONIC), which is the same in all its processes. It returns 0 if the clock can't be read.
func monotonicNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// closeDescriptors closes descriptors that were received with a message and are not needed.
func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}
