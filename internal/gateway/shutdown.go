package gateway

import "time"

// The spans of a planned stop, from TERM on. Clients go on connecting for up to
// 0.4 s and calling for 0.2 s more.
const (
	stopListening = 500 * time.Millisecond
	stopReading   = 800 * time.Millisecond
	// The kill comes no sooner than the longest deadline, up to longestHeld, and
	// stopExtra after TERM. What is open beforeKill ahead of it gets its final answer.
	longestHeld = 3 * time.Second
	stopExtra   = 700 * time.Millisecond
	beforeKill  = 250 * time.Millisecond
	lastWrites  = 50 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
)

// stop serves on for as long as clients may come, then ends once nothing is open.
// What is still open shortly before the kill gets its final answer first.
func (g *gateway) stop() {
	at := g.loop.Now()
	waiting := min(g.core.LongestDeadline(), longestHeld) + stopExtra - beforeKill
	g.log.Info("stopping")
	g.leaveSites()
	if g.succession != nil {
		g.succession.ShuttingDown() // where another process serves in its place, that one goes on as the member
	}
	g.leaveFleet()
	if g.shapes != nil {
		g.shapes.Save() // now, as the end waits for nothing; what is learned until then is lost
	}
	g.loop.Timers.Add(at+stopListening, g.front.CloseListener)
	g.loop.Timers.Add(at+stopReading, g.front.Drain)
	g.loop.Timers.Add(at+waiting, g.core.Shutdown)
	var poll func()
	poll = func() {
		now := g.loop.Now()
		done := now >= at+stopReading && g.front.Idle() && g.core.Unanswered() == 0 && g.sitesIdle()
		if done || now >= at+waiting+lastWrites {
			g.loop.Timers.Add(now+lastWrites, g.loop.Stop)
			return
		}
		g.loop.Timers.Add(now+stopPoll, poll)
	}
	poll()
}
