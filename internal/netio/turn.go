package netio

import "time"

const (
	// turnBytes is the work that a handler does in one call of Data, in bytes of input, so that a connection at full
	// speed does not keep the others waiting.
	turnBytes = 16 << 10
	// messageCost is the work of a message in addition to its bytes, in bytes.
	messageCost = 512
)

// Turn limits the work of one call of Handler.Data. The zero value is a new turn.
type Turn struct{ spent int }

// Spend counts a message of some bytes that was handled.
func (t *Turn) Spend(bytes int) { t.spent += messageCost + bytes }

// Over reports whether the handler should stop and call Conn.ScheduleData, as others wait for the loop.
func (t *Turn) Over() bool { return t.spent >= turnBytes }

// recordTurn records how long a connection's handler has kept the loop.
func (l *Loop) recordTurn(began time.Time) {
	l.longestTurn = max(l.longestTurn, time.Since(began))
}

// LongestTurn returns the longest time for which one call of a handler has kept the loop.
func (l *Loop) LongestTurn() time.Duration { return l.longestTurn }
