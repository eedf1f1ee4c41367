package gateway

import (
	"errors"
	"time"
)

// Timing of a graceful shutdown, counted from SIGTERM. Clients keep connecting for up to 0.4 s, and keep sending requests
// for 0.2 s after that.
const (
	closeListenerAfter = 500 * time.Millisecond // when the listener is closed
	drainAfter         = 800 * time.Millisecond // when each connection starts to be closed as soon as it is idle

	// The platform kills the process no earlier than killMargin plus the longest request deadline (at most
	// maxKillDeadline) after SIGTERM. Requests still open answerBeforeKill before that get their final response.
	maxKillDeadline  = 3 * time.Second
	killMargin       = 700 * time.Millisecond
	answerBeforeKill = 250 * time.Millisecond

	flushTime        = 50 * time.Millisecond // for the last responses to be written
	idlePollInterval = 20 * time.Millisecond // interval of checks for idleness
)

var errStoppedDuringProbation = errors.New("stopped before the upgrade was complete")

// requestShutdown starts a graceful shutdown. The target of an upgrade that is still on probation exits at once, and the
// source takes everything back. The source of an upgrade in progress aborts the upgrade first.
func (p *process) requestShutdown() {
	p.stopping = true
	if p.target != nil && !p.target.Owner() {
		p.fail(errStoppedDuringProbation)
		return
	}
	if source := p.upgradeSource(); source != nil && source.Shutdown() {
		return // it calls beginShutdown once the upgrade is aborted
	}
	platform, ok := p.protocol.(*platformProtocol)
	if ok && platform.socket != nil && !p.ready { // it has not accepted any client yet
		p.loop.Stop()
		return
	}
	p.beginShutdown()
}

// beginShutdown keeps serving while new clients may still arrive, then ends the loop as soon as no request is open.
// Requests that are still open shortly before the platform's kill get a final response.
func (p *process) beginShutdown() {
	start := p.loop.Now()
	answerAfter := min(p.core.LongestTimeout(), maxKillDeadline) + killMargin - answerBeforeKill
	p.log.Info("stopping")
	p.leaveSites()
	if p.coordinator != nil {
		p.coordinator.AnnounceShutdown() // if another process has replaced this one, it continues the membership
	}
	p.leaveMembership()
	if p.shapes != nil {
		p.shapes.Save() // saved now because the end does not wait for the disk; costs learned during the shutdown are lost
	}
	p.loop.Timers.Add(start+closeListenerAfter, p.protocol.frontend().CloseListener)
	p.loop.Timers.Add(start+drainAfter, p.protocol.frontend().Drain)
	p.loop.Timers.Add(start+answerAfter, p.core.Shutdown)
	var poll func()
	poll = func() {
		now := p.loop.Now()
		done := now >= start+drainAfter && p.idle()
		if done || now >= start+answerAfter+flushTime {
			p.loop.Timers.Add(now+flushTime, p.loop.Stop)
			return
		}
		p.loop.Timers.Add(now+idlePollInterval, poll)
	}
	poll()
}

// idle reports whether no client and no other site waits for anything.
func (p *process) idle() bool {
	return p.protocol.frontend().Idle() && p.core.Unanswered() == 0 && p.sitesIdle()
}
