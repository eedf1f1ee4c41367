package gateway

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"gannetspur/internal/config"
	"gannetspur/internal/handover"
)

// upgrades holds the upgrade settings and state of a process that can be upgraded.
type upgrades struct {
	settings *config.Upgrade
	program  string           // path of the program to upgrade to by default
	source   *handover.Source // nil: this process does not own the clients yet
}

// loadUpgrades reads the upgrade file if there is one.
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

// ownProgram returns the absolute path that this program was started from. Operators install a new version at that path.
func ownProgram() (string, error) {
	path, err := exec.LookPath(os.Args[0])
	if err != nil {
		return "", err
	}
	return filepath.Abs(path)
}

// upgradeSource returns the part of this process that hands over to a new version; nil means that upgrades are disabled, or
// that this process does not own the clients yet.
func (p *process) upgradeSource() *handover.Source {
	if p.upgrades == nil {
		return nil
	}
	return p.upgrades.source
}

// openUpgrades prepares this process to hand over to a new version.
func (p *process) openUpgrades() {
	p.upgrades.source = handover.NewSource(p.loop, p.protocol.frontend(), handover.SourceOptions{
		Program:          handover.Program{Path: p.upgrades.program, Args: os.Args[1:]},
		Config:           p.upgrades.settings.HandoverConfig(),
		State:            p.state,
		Counters:         p.counters.All,
		BeginShutdown:    p.beginShutdown,
		OnHandedOver:     p.closeUnmovable,
		OnServingResumed: p.resumeMembership,
		SentKeys:         p.core,
		Exit:             p.exitAfterHandover,
	}, p.counters, p.log)
}

// closeUnmovable ends what cannot be moved to the new owner: links to other sites, the membership, and client connections
// over TLS.
func (p *process) closeUnmovable() {
	p.leaveSites()
	p.handOverMembership()
	if f, ok := p.protocol.frontend().(interface{ CloseUnmovable() }); ok {
		f.CloseUnmovable()
	}
}

// exitAfterHandover ends the loop after a handover, once no request from or to another site is open or the longest timeout
// has passed.
func (p *process) exitAfterHandover() {
	deadline := p.loop.Now() + p.core.LongestTimeout()
	var poll func()
	poll = func() {
		now := p.loop.Now()
		if !p.sitesIdle() && now < deadline {
			p.loop.Timers.Add(now+idlePollInterval, poll)
			return
		}
		p.loop.Stop()
	}
	poll()
}
