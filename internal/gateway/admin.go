package gateway

import (
	"fmt"
	"os"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/handover"
)

// openAdmin opens the operators' socket, where a file names one, and lets new versions take over, where that is on.
func (p *process) openAdmin() error {
	path := p.adminPath()
	if p.upgrades != nil {
		p.openUpgrades()
	}
	if path == "" {
		return nil
	}
	_, err := admin.Listen(path, p.answerAdmin)
	return err
}

// adminPath is the operators' socket: as the file of upgrades says, else that of sites, else that of the fleet; "": none.
func (p *process) adminPath() string {
	switch {
	case p.upgrades != nil:
		return p.upgrades.settings.Admin
	case p.sites != nil && p.sites.admin != "":
		return p.sites.admin
	case p.members != nil:
		return p.members.file.Admin
	}
	return ""
}

// answerAdmin answers an operator. It runs on a goroutine of its own.
func (p *process) answerAdmin(request admin.Request, reply func(admin.Reply)) {
	switch request.Command {
	case admin.CommandMembers:
		reply(p.adminMembers())
	case admin.CommandSiteStatus, admin.CommandSiteDrain, admin.CommandSiteUndrain:
		reply(p.adminSites(request))
	case admin.CommandStatus:
		status := onLoop(p, p.status)
		reply(admin.Reply{Status: status, Done: true})
	case admin.CommandUpgrade, admin.CommandCheck:
		if p.upgradeSource() == nil {
			reply(admin.Reply{Problem: "this gateway was started without a file of upgrades", Done: true})
			return
		}
		if request.Command == admin.CommandCheck {
			reply(p.checkUpgrade(request))
			return
		}
		p.runUpgrade(request, reply)
	default:
		problem := fmt.Sprintf("there is nothing called %q; wanted is status, upgrade, check, site-status, site-drain or site-undrain", request.Command)
		reply(admin.Reply{Problem: problem, Done: true})
	}
}

// onLoop has the loop's goroutine call a function and waits for what it returns.
func onLoop[T any](p *process, call func() T) T {
	result := make(chan T, 1)
	p.loop.Post(func() { result <- call() })
	return <-result
}

func (p *process) status() *admin.Status {
	if p.shapes != nil {
		p.shapes.UpdateMetrics()
	}
	phase := "off"
	if source := p.upgradeSource(); source != nil {
		phase = source.Phase()
	}
	return &admin.Status{
		PID:           os.Getpid(),
		Build:         BuildName(),
		Frontend:      p.protocol.frontend().Name(),
		Listen:        p.protocol.frontend().Addr(),
		Phase:         phase,
		TookOver:      p.tookOver,
		UptimeSeconds: (p.loop.Now() - p.startedAt).Seconds(),
		Connections:   p.loop.ConnCount(),
		Unanswered:    p.core.Unanswered(),
		Counters:      p.counters.All(),
	}
}

// upgradeReplies is how many phases of an upgrade may wait to be told.
const upgradeReplies = 16

// runUpgrade begins an upgrade and tells each phase of it.
func (p *process) runUpgrade(request admin.Request, reply func(admin.Reply)) {
	p.upgradeCalls.Add(1)
	defer p.upgradeCalls.Add(-1)
	replies := make(chan admin.Reply, upgradeReplies)
	p.loop.Post(func() { p.beginUpgrade(request, replies) })
	for r := range replies {
		reply(r)
		if r.Done {
			return
		}
	}
}

const (
	lastReplyTimeout = 100 * time.Millisecond
	lastReplyPoll    = time.Millisecond
)

// awaitUpgradeCalls waits, once the loop has ended, until operators have heard how their upgrade ended: a process that was
// taken over from exits right after it.
func (p *process) awaitUpgradeCalls() {
	deadline := time.Now().Add(lastReplyTimeout)
	for p.upgradeCalls.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(lastReplyPoll)
	}
}

func (p *process) beginUpgrade(request admin.Request, replies chan<- admin.Reply) {
	if p.stopping {
		replies <- admin.Reply{Problem: "a planned stop is under way", Done: true}
		return
	}
	if p.target != nil && !p.target.SourceExited() {
		replies <- admin.Reply{Problem: "the latest upgrade is not through: the process before this one still answers what it had taken", Done: true}
		return
	}
	p.upgrades.source.Upgrade(p.requestedProgram(request), func(progress handover.Progress) {
		select {
		case replies <- admin.Reply{Phase: progress.Phase, Problem: progress.Problem, Done: progress.Done}:
		default: // the caller has left
		}
	})
}

// checkUpgrade starts a program that only says whether it would take over.
func (p *process) checkUpgrade(request admin.Request) admin.Reply {
	type snapshot struct {
		program     handover.Program
		listener    *os.File
		connections int
		err         error
	}
	now := onLoop(p, func() snapshot {
		listener, err := p.protocol.frontend().Listener().File()
		return snapshot{p.requestedProgram(request), listener, p.loop.ConnCount(), err}
	})
	if now.err != nil {
		return admin.Reply{Problem: now.err.Error(), Done: true}
	}
	defer func() { _ = now.listener.Close() }() // a duplicate
	build, err := handover.CheckProgram(now.program, now.listener, now.connections, p.upgrades.settings.Decide().GreetTimeout)
	reply := admin.Reply{Build: build, Done: true}
	if err != nil {
		reply.Problem = err.Error()
	}
	return reply
}

// requestedProgram is what an operator wants started.
func (p *process) requestedProgram(request admin.Request) handover.Program {
	program := p.upgrades.source.Program()
	if request.Program != "" {
		program.Path = request.Program
	}
	if len(request.Args) > 0 {
		program.Args = request.Args
	}
	return program
}
