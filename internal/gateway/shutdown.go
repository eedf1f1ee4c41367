package gateway

import (
	"errors"
	"time"
)

// The spans of a planned stop, from TERM on. Clients go on connecting for up to 0.4 s and calling for 0.2 s more.
const (
	stopListening = 500 * time.Millisecond
	stopReading   = 800 * time.Millisecond

	// The kill comes no sooner than the longest deadline, up to maxKillDeadline, and killMargin after TERM. What is open
	// answerBeforeKill ahead of it gets its final answer.
	maxKillDeadline  = 3 * time.Second
	killMargin       = 700 * time.Millisecond
	answerBeforeKill = 250 * time.Millisecond

	flushTime = 50 * time.Millisecond // for the last answers to be written
	stopPoll  = 20 * time.Millisecond
)

var errStoppedOnProbation = errors.New("stopped before it was the owner")

// planStop begins a planned stop. A process that has yet to prove itself ends at once: the source takes everything back. An
// upgrade that is under way is abandoned first.
func (p *process) planStop() {
	p.stopping = true
	if p.target != nil && !p.target.Owner() {
		p.fail(errStoppedOnProbation)
		return
	}
	if source := p.upgradeSource(); source != nil && source.Shutdown() {
		return // the stop begins once the upgrade is abandoned
	}
	platform, ok := p.protocol.(*platformProtocol)
	if ok && platform.socket != nil && !p.ready { // it has accepted nothing yet
		p.loop.Stop()
		return
	}
	p.beginStop()
}

// beginStop serves on for as long as clients may come, then ends once nothing is open. What is still open shortly before the
// kill gets its final answer first.
func (p *process) beginStop() {
	start := p.loop.Now()
	answerAfter := min(p.core.LongestDeadline(), maxKillDeadline) + killMargin - answerBeforeKill
	p.log.Info("stopping")
	p.leaveSites()
	if p.coordinator != nil {
		p.coordinator.ShuttingDown() // where another process serves in this one's place, that one goes on as the member
	}
	p.leaveMembership()
	if p.shapes != nil {
		p.shapes.Save() // now, as the end waits for no disk; what is learned until then is lost
	}
	p.loop.Timers.Add(start+stopListening, p.protocol.frontend().CloseListener)
	p.loop.Timers.Add(start+stopReading, p.protocol.frontend().Drain)
	p.loop.Timers.Add(start+answerAfter, p.core.Shutdown)
	var poll func()
	poll = func() {
		now := p.loop.Now()
		done := now >= start+stopReading && p.idle()
		if done || now >= start+answerAfter+flushTime {
			p.loop.Timers.Add(now+flushTime, p.loop.Stop)
			return
		}
		p.loop.Timers.Add(now+stopPoll, poll)
	}
	poll()
}

// idle reports whether nothing is owed to anybody.
func (p *process) idle() bool {
	return p.protocol.frontend().Idle() && p.core.Unanswered() == 0 && p.sitesIdle()
}
