package gateway

import (
	"errors"
	"os"
	"syscall"
)

// handleSignals has the loop carry out what the process is told: USR1 prints the counters, HUP reads the files again, anything
// else begins a planned stop, once.
func (p *process) handleSignals(signals <-chan os.Signal) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Post(p.printCounters)
		case s == syscall.SIGHUP:
			p.loop.Post(p.reload)
		case !stopping:
			stopping = true
			p.loop.Post(p.planStop)
		}
	}
}

// reload takes what may change while the program runs from its files. A file that can't be used changes nothing.
func (p *process) reload() {
	if !p.protocol.reloadable() && p.sites == nil && p.members == nil {
		p.log.Info("reload.nothing", "why", "the configuration names nothing that may change")
		return
	}
	err := errors.Join(p.reloadSites(), p.reloadMembership())
	if p.protocol.reloadable() {
		err = errors.Join(err, p.protocol.reload())
	}
	if err != nil {
		p.counters.Add("reload.failed")
		p.log.Warn("reload.failed", "error", err, "then", "the old file holds")
		return
	}
	p.counters.Add("reload.done")
	p.log.Info("reload.done")
	if source := p.upgradeSource(); source != nil {
		source.ForwardReload()
	}
}
