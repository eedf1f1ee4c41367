package gateway

import (
	"fmt"
	"os"
	"time"

	"gannetspur/internal/admin"
	"gannetspur/internal/handover"
)

// openAdmin opens the admin socket if a file names one, and prepares this process for upgrades if they are enabled.
func (p *process) openAdmin() error {
	path := p.adminPath()
	if p.upgrades != nil {
		p.openUpgrades()
	}
	if path == "" {
		return nil
	}
	_, err := admin.Listen(path, p.handleAdminRequest)
	return err
}

// adminPath returns the path of the admin socket. It comes from the upgrade file, or else from the sites file, or else from
// the fleet file; "" means that there is no socket.
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

// handleAdminRequest handles one admin request. It runs on a goroutine of its own.
func (p *process) handleAdminRequest(request admin.Request, reply func(admin.Reply)) {
	switch request.Command {
	case admin.CommandMembers:
		reply(p.handleMembersCommand())
	case admin.CommandSiteStatus, admin.CommandSiteDrain, admin.CommandSiteUndrain:
		reply(p.handleSiteCommand(request))
	case admin.CommandStatus:
		status := onLoop(p, p.status)
		reply(admin.Reply{Status: status, Done: true})
	case admin.CommandUpgrade, admin.CommandCheck:
		if p.upgradeSource() == nil {
			reply(admin.Reply{Problem: "upgrades are disabled: the gateway was started without an upgrade file", Done: true})
			return
		}
		if request.Command == admin.CommandCheck {
			reply(p.checkUpgrade(request))
			return
		}
		p.runUpgrade(request, reply)
	default:
		problem := fmt.Sprintf("unknown command %q: use status, upgrade, check, site-status, site-drain, site-undrain or members", request.Command)
		reply(admin.Reply{Problem: problem, Done: true})
	}
}

// onLoop calls a function on the loop's goroutine and returns its result. On the loop's goroutine itself it would block
// forever.
func onLoop[T any](p *process, call func() T) T {
	result := make(chan T, 1)
	p.loop.Post(func() { result <- call() })
	return <-result
}

// status returns the state of this process as operators see it.
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
		UptimeSeconds: time.Since(p.startedAt).Seconds(),
		Connections:   p.loop.ConnCount(),
		Unanswered:    p.core.Unanswered(),
		Counters:      p.counters.All(),
	}
}

// upgradeReplies is the number of replies of an upgrade that are buffered for the operator; further ones are dropped.
const upgradeReplies = 16

// runUpgrade begins an upgrade and replies with each of its phases.
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
	lastReplyTimeout = 100 * time.Millisecond // longest wait for final replies before the process exits
	lastReplyPoll    = time.Millisecond
)

// awaitUpgradeCalls waits until the final replies of upgrades have been sent. It is called once the loop has ended: a
// process that has handed over exits right afterwards, and the operator must still learn how the upgrade ended.
func (p *process) awaitUpgradeCalls() {
	deadline := time.Now().Add(lastReplyTimeout)
	for p.upgradeCalls.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(lastReplyPoll)
	}
}

// beginUpgrade begins an upgrade unless the process is shutting down or the previous upgrade has not ended. It sends to the
// channel without blocking the loop.
func (p *process) beginUpgrade(request admin.Request, replies chan<- admin.Reply) {
	if p.stopping {
		replies <- admin.Reply{Problem: "the gateway is shutting down", Done: true}
		return
	}
	if p.target != nil && !p.target.SourceExited() {
		replies <- admin.Reply{Problem: "the previous upgrade is not through: the old process is still answering its requests", Done: true}
		return
	}
	p.upgrades.source.Upgrade(p.requestedProgram(request), func(progress handover.Progress) {
		select {
		case replies <- admin.Reply{Phase: progress.Phase, Problem: progress.Problem, Done: progress.Done}:
		default: // the operator does not read the replies fast enough
		}
	})
}

// checkUpgrade starts the requested program to ask whether it could take over, and returns its answer.
func (p *process) checkUpgrade(request admin.Request) admin.Reply {
	type checkInput struct {
		program     handover.Program
		listener    *os.File
		connections int
		err         error
	}
	input := onLoop(p, func() checkInput {
		listener, err := p.protocol.frontend().Listener().File()
		return checkInput{p.requestedProgram(request), listener, p.loop.ConnCount(), err}
	})
	if input.err != nil {
		return admin.Reply{Problem: input.err.Error(), Done: true}
	}
	defer func() { _ = input.listener.Close() }() // a duplicate of the descriptor
	build, err := handover.CheckProgram(input.program, input.listener, input.connections, p.upgrades.settings.HandoverConfig().HelloTimeout)
	reply := admin.Reply{Build: build, Done: true}
	if err != nil {
		reply.Problem = err.Error()
	}
	return reply
}

// requestedProgram returns the program of an upgrade request. A path or arguments that the request leaves out are those of
// the default program.
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
