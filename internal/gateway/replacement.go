package gateway

import (
	"errors"
	"os"
	"path/filepath"

	"gannetspur/internal/handover"
	"gannetspur/internal/takeover"
)

// stateFolder lies in $TMPDIR, which the processes of one front end share.
const stateFolder = "ringwood-processes"

// startBeside takes the place of a process that serves at the platform's socket, where there is one; else it serves from the
// configuration.
func (p *process) startBeside(platform *platformProtocol) error {
	coordinator, err := takeover.New(p.loop, p.core, filepath.Join(os.TempDir(), stateFolder), takeover.Options{
		EventSourceSum: platform.eventSum,
		State:          p.sharedState,
		ApplyState:     p.resumeShared,
		StartAlone:     func() { p.serve(nil) },
		OnLimitShare:   func(share float64) { p.shareLimits(platform, share) },
		OnReplaced:     func() { p.retire(platform) },
	}, p.log)
	if err != nil { // no process can replace this one later, and it serves all the same
		p.log.Error("takeover.unavailable", "error", err)
		p.serve(nil)
		return p.failed
	}
	p.coordinator = coordinator
	p.loop.Post(coordinator.Start)
	return nil
}

// sharedState is what this process knows, for one that replaces it.
func (p *process) sharedState() *handover.ProcessState {
	state := p.state()
	state.Shared = p.protocol.frontend().SharedState()
	return state
}

// resumeShared goes on from the state of the process that this one replaces.
func (p *process) resumeShared(state *handover.ProcessState) error {
	p.restore(state)
	if err := p.protocol.frontend().ApplySharedState(state.Shared); err != nil { // clients of the other process ask again
		p.log.Warn("takeover.results", "error", err)
	}
	if state.LastEvent == 0 {
		state = nil
	}
	p.serve(state)
	return nil
}

// serve watches the endpoint list and accepts clients. known is what another process had of the list; nil: nothing.
func (p *process) serve(known *handover.ProcessState) {
	p.protocol.watchEndpoints(known)
	err := errors.Join(p.protocol.listen(), p.startSites(), p.openAdmin())
	if err != nil {
		p.fail(err)
		return
	}
	p.ready = true
	p.resumeMember()
	p.log.Info("serving", "addr", p.protocol.frontend().Addr(), "took_over", known != nil)
	notifyServiceManager("READY=1\n")
}

// retire leaves the clients to the process that serves in this one's place.
func (p *process) retire(platform *platformProtocol) {
	p.log.Info("replaced")
	platform.front.CloseListener()
	platform.front.CloseAfterResponse()
	p.handOverMember()
}

// shareLimits leaves the rest of the limits to other processes of this front end.
func (p *process) shareLimits(platform *platformProtocol, share float64) {
	p.log.Info("limits.shared", "part", share)
	platform.front.LimitClients(int(share * float64(p.limits.maxClients)))
	platform.front.SetUnpaged(share < 1) // the next call of a client may come to another process
	p.loop.SetDescriptorShare(share)
	p.loop.SetBufferBudget(int64(share * float64(p.limits.bufferBytes())))
	limitRuntime(int(share * float64(p.limits.memoryMB)))
}
