package main

import "time"

// The spans of a planned stop, from TERM on. Clients go on connecting for up to
// 0.4 s and calling for 0.2 s more; the kill comes no sooner than 3.7 s.
const (
	stopListening = 500 * time.Millisecond
	stopReading   = 800 * time.Millisecond
	stopWaiting   = 3400 * time.Millisecond
	lastWrites    = 50 * time.Millisecond
	stopPoll      = 20 * time.Millisecond
)

// stop serves on for as long as clients may come, then ends once nothing is open.
// What is still open shortly before the kill gets its final answer first.
func (g *gateway) stop() {
	at := g.loop.Now()
	g.log.Print("stopping")
	g.loop.Timers.Add(at+stopListening, g.front.CloseListener)
	g.loop.Timers.Add(at+stopReading, g.front.Drain)
	g.loop.Timers.Add(at+stopWaiting, g.core.FailAll)
	var poll func()
	poll = func() {
		now := g.loop.Now()
		done := now >= at+stopReading && g.front.Idle() && g.core.Unanswered() == 0
		if done || now >= at+stopWaiting+lastWrites {
			g.loop.Timers.Add(now+lastWrites, g.loop.Stop)
			return
		}
		g.loop.Timers.Add(now+stopPoll, poll)
	}
	poll()
}
