package gateway

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"gannetspur/internal/config"
	"gannetspur/internal/handover"
)

// upgrades is what a process that may be upgraded has.
type upgrades struct {
	settings *config.Upgrade
	program  string           // what takes over, unless an operator names another
	source   *handover.Source // nil: this process is not the owner yet
}

// loadUpgrades reads the file that says how a new version takes over, if there is one.
func (p *process) loadUpgrades(path string) error {
	if path == "" {
		return nil
	}
	settings, err := config.LoadUpgrade(path)
	if err != nil {
		return err
	}
	program, err := ownProgram()
	if err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	if settings.Program != "" {
		program = settings.Program
	}
	p.upgrades = &upgrades{settings: settings, program: program}
	return nil
}

// ownProgram is the path that this program was started by. An upgrade puts another file there.
func ownProgram() (string, error) {
	path, err := exec.LookPath(os.Args[0])
	if err != nil {
		return "", err
	}
	return filepath.Abs(path)
}

// upgradeSource is the side of an upgrade that hands over; nil: upgrades are off, or this process is not the owner yet.
func (p *process) upgradeSource() *handover.Source {
	if p.upgrades == nil {
		return nil
	}
	return p.upgrades.source
}

// openUpgrades lets a new version take over from this process.
func (p *process) openUpgrades() {
	p.upgrades.source = handover.NewSource(p.loop, p.protocol.frontend(), handover.SourceOptions{
		Program:       handover.Program{Path: p.upgrades.program, Args: os.Args[1:]},
		Config:        p.upgrades.settings.Decide(),
		State:         p.state,
		Counters:      p.counters.All,
		BeginShutdown: p.beginStop,
		OnHandedOver:  p.closeUnmovable,
		OnReturned:    p.resumeMember,
		Exit:          p.exitHandedOver,
	}, p.counters, p.log)
}

// closeUnmovable ends what can't be handed to the process that is the owner now.
func (p *process) closeUnmovable() {
	p.leaveSites()
	p.handOverMember()
	if f, ok := p.protocol.frontend().(interface{ CloseUnmovable() }); ok {
		f.CloseUnmovable()
	}
}

// exitHandedOver ends a process that was taken over from, once other sites have their answers.
func (p *process) exitHandedOver() {
	deadline := p.loop.Now() + p.core.LongestDeadline()
	var poll func()
	poll = func() {
		now := p.loop.Now()
		if !p.sitesIdle() && now < deadline {
			p.loop.Timers.Add(now+stopPoll, poll)
			return
		}
		p.loop.Stop()
	}
	poll()
}
