package gateway

import (
	"errors"

	"gannetspur/internal/handover"
	"gannetspur/internal/queryshape"
)

// state is what this process knows, for one that goes on in its place.
func (p *process) state() *handover.ProcessState {
	state := &handover.ProcessState{
		Core:       p.core.Snapshot(),
		Counters:   p.counters.All(),
		LastEvent:  p.protocol.lastEvent(),
		Membership: p.memberState(),
	}
	if p.shapes == nil {
		return state
	}
	shapes, err := p.shapes.Encode()
	if err != nil {
		p.log.Warn("upgrade.shapes", "error", err)
	}
	state.QueryShapes = shapes
	return state
}

// restore goes on from what another process knew.
func (p *process) restore(state *handover.ProcessState) {
	p.core.Restore(state.Core)
	if p.members != nil {
		p.members.options.SavedState = state.Membership
	}
	if p.shapes == nil || len(state.QueryShapes) == 0 {
		return
	}
	if err := p.shapes.Restore(state.QueryShapes); err != nil { // costs are learned anew
		p.log.Warn("upgrade.shapes", "error", err, "unusable", errors.Is(err, queryshape.ErrSnapshotVersion))
	}
}
