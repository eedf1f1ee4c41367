package gateway

import (
	"errors"
	"os"
	"syscall"
)

// handleSignals handles signals on the loop's goroutine: SIGUSR1 prints the counters, SIGHUP reloads the files, and the
// first of any others starts a graceful shutdown.
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
			p.loop.Post(p.requestShutdown)
		}
	}
}

// reload applies the settings that may change at run time. A file with errors changes nothing.
func (p *process) reload() {
	if !p.protocol.reloadable() && p.sites == nil && p.members == nil {
		p.log.Info("reload.nothing", "why", "the configuration has no reloadable settings")
		return
	}
	err := errors.Join(p.reloadSites(), p.reloadMembership())
	if p.protocol.reloadable() {
		err = errors.Join(err, p.protocol.reload())
	}
	if err != nil {
		p.counters.Inc("reload.failed")
		p.log.Warn("reload.failed", "error", err, "then", "the previous configuration stays in effect")
		return
	}
	p.counters.Inc("reload.done")
	p.log.Info("reload.done")
	if source := p.upgradeSource(); source != nil {
		source.ForwardReload()
	}
}
