package gateway

import (
	"errors"
	"os"
	"path/filepath"

	"gannetspur/internal/handover"
	"gannetspur/internal/takeover"
)

// stateFolder is the directory in $TMPDIR through which the processes of one front end find each other.
const stateFolder = "ringwood-processes"

// startOnPlatformSocket starts on the platform's socket. It takes over from the process that serves there, if there is one,
// and otherwise serves from the configuration.
func (p *process) startOnPlatformSocket(platform *platformProtocol) error {
	coordinator, err := takeover.New(p.loop, p.core, filepath.Join(os.TempDir(), stateFolder), takeover.Options{
		EventSourceChecksum: platform.endpointChecksum,
		State:               p.stateForReplacement,
		ApplyState:          p.resumeFromReplaced,
		StartAlone:          func() { p.serve(nil) },
		OnLimitShare:        func(share float64) { p.setLimitShare(platform, share) },
		OnReplaced:          func() { p.releaseClients(platform) },
	}, p.log)
	if err != nil { // not fatal: it serves, but no other process can take over from it
		p.log.Error("takeover.unavailable", "error", err)
		p.serve(nil)
		return p.failed
	}
	p.coordinator = coordinator
	p.loop.Post(coordinator.Start)
	return nil
}

// stateForReplacement returns the state for a process that replaces this one.
func (p *process) stateForReplacement() *handover.ProcessState {
	state := p.state()
	state.Shared = p.protocol.frontend().SharedState()
	return state
}

// resumeFromReplaced applies the state of the process that this one replaces, and starts to serve.
func (p *process) resumeFromReplaced(state *handover.ProcessState) error {
	p.restore(state)
	if err := p.protocol.frontend().ApplySharedState(state.Shared); err != nil { // clients of the other process have to repeat their requests
		p.log.Warn("takeover.results", "error", err)
	}
	if state.LastEvent == 0 { // no event to continue from: the endpoint list is read from the configuration
		state = nil
	}
	p.serve(state)
	return nil
}

// serve starts to watch the endpoint list and to accept clients. known is the state of the process that this one continues
// from; nil means that there is none.
func (p *process) serve(known *handover.ProcessState) {
	p.protocol.watchEndpoints(known)
	err := errors.Join(p.protocol.listen(), p.startSites(), p.openAdmin())
	if err != nil {
		p.fail(err)
		return
	}
	p.ready = true
	p.resumeMembership()
	p.log.Info("serving", "addr", p.protocol.frontend().Addr(), "took_over", known != nil)
	notifyServiceManager("READY=1\n")
}

// releaseClients leaves the clients to the process that has replaced this one: it stops accepting connections and closes
// each open one after its next response.
func (p *process) releaseClients(platform *platformProtocol) {
	p.log.Info("replaced")
	platform.front.CloseListener()
	platform.front.CloseAfterResponse()
	p.handOverMembership()
}

// setLimitShare sets the limits of this process to a share of the configured ones, above 0 and at most 1. The other
// processes of this front end use the rest.
func (p *process) setLimitShare(platform *platformProtocol, share float64) {
	p.log.Info("limits.shared", "part", share)
	platform.front.LimitClients(int(share * float64(p.limits.maxClients)))
	platform.front.SetUnpaged(share < 1) // the request for a client's next page may reach another process
	p.loop.SetDescriptorShare(share)
	p.loop.SetBufferBudget(int64(share * float64(p.limits.bufferBytes())))
	p.loop.SetWriteBudget(int64(share * float64(p.limits.unsentBytes())))
	limitRuntime(int(share * float64(p.limits.memoryMB)))
}
