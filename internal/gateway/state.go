package gateway

import (
	"errors"

	"gannetspur/internal/handover"
	"gannetspur/internal/queryshape"
)

// state returns the state that a process replacing this one continues from.
func (p *process) state() *handover.ProcessState {
	state := &handover.ProcessState{
		Core:       p.core.Snapshot(),
		Counters:   p.counters.All(),
		LastEvent:  p.protocol.lastEvent(),
		Membership: p.membershipState(),
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

// restore applies the state of the process that this one replaces.
func (p *process) restore(state *handover.ProcessState) {
	p.core.Restore(state.Core)
	if p.members != nil {
		p.members.options.SavedState = state.Membership
	}
	if p.shapes == nil || len(state.QueryShapes) == 0 {
		return
	}
	if err := p.shapes.Restore(state.QueryShapes); err != nil { // not fatal: costs are learned again
		p.log.Warn("upgrade.shapes", "error", err, "unusable", errors.Is(err, queryshape.ErrSnapshotVersion))
	}
}
