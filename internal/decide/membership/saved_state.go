package membership

import (
	"errors"
	"time"
)

// SavedState is what a process of a member knows about the fleet. The process that replaces it resumes from this state,
// so that to all other members the member continues to run. Changes between SaveState and the first Tick of the new
// process are detected by comparing digests, as after a pause. The CBOR keys are the storage format.
type SavedState struct {
	Self        ID            `cbor:"Self"`
	Incarnation uint32        `cbor:"Inc"` // incarnation of the saved process
	View        View          `cbor:"View"`
	HasMajority bool          `cbor:"Major"`   // whether View holds more than half of the recent fleet
	HighestView uint32        `cbor:"Seen"`    // highest view number that any member has reported
	Members     []SavedMember `cbor:"Members"` // all members of the member table except Self
	// Gossip holds the encoded gossip messages, without separators.
	Gossip []byte `cbor:"Talk"`
}

// SavedMember is what the process knows about another member.
type SavedMember struct {
	ID       ID            `cbor:"ID"`
	Record   []byte        `cbor:"Record"` // encoded record; empty: none was received
	State    State         `cbor:"State"`
	ViewAge  time.Duration `cbor:"Ago"`  // time since the member entered or left the view
	LossRate float64       `cbor:"Loss"` // fraction of heartbeats lost on the path from the member, 0 to 1
}

// isValid reports whether the values are in the ranges that SaveState produces.
func (m SavedMember) isValid() bool {
	return m.ID <= MaxID && m.State <= Departed && m.LossRate >= 0 && m.LossRate <= 1 && m.ViewAge >= 0
}

// ErrInvalidSavedState reports a saved state that is corrupt or belongs to another member. The caller starts without a
// saved state instead.
var ErrInvalidSavedState = errors.New("membership: invalid saved state")

// SaveState returns the current state for the process that replaces this one.
func (n *Node) SaveState() SavedState {
	saved := SavedState{
		Self:        n.self.id,
		Incarnation: n.self.record.Incarnation,
		View:        n.views.current,
		HasMajority: n.views.hasMajority,
		HighestView: n.views.highestNumber,
	}
	for _, p := range n.members.sorted {
		if p == n.self {
			continue
		}
		member := SavedMember{ID: p.id, State: p.state, ViewAge: n.now - p.viewChangedAt, LossRate: p.lossRate}
		if p.known {
			member.Record = p.record.appendTo(nil, deltaBase{})
		}
		saved.Members = append(saved.Members, member)
	}
	for _, g := range n.gossip.published(func(gossipKey) bool { return true }) {
		saved.Gossip = g.appendTo(saved.Gossip)
	}
	return saved
}

// Resume returns a member that continues from the state of its previous process. It starts a new incarnation, which
// invalidates statements about the old one. All silence timers start now, as the new process has not heard any member
// yet. The statements of the previous process are dropped, as this process has not observed what they report.
func Resume(config Config, saved SavedState, incarnation uint32, configured []ID, now time.Duration, random RandomSource) (*Node, error) {
	n := newNode(config, saved.Self, max(incarnation, saved.Incarnation+1), configured, now, random)
	for _, member := range saved.Members {
		if err := n.resumeMember(member); err != nil {
			return nil, err
		}
	}
	if err := n.resumeGossip(saved.Gossip); err != nil {
		return nil, err
	}
	n.views.current = saved.View
	n.views.hasMajority = saved.HasMajority
	n.views.highestNumber = saved.HighestView
	n.views.pendingDigest = saved.View.Digest
	n.recordsChanged = true
	n.evaluate()
	return n, nil
}

// resumeMember restores another member.
func (n *Node) resumeMember(saved SavedMember) error {
	if !saved.isValid() || saved.ID == n.self.id || len(n.members.sorted) > maxMembers {
		return ErrInvalidSavedState
	}
	p := n.members.getOrAdd(saved.ID)
	p.state = saved.State
	p.viewChangedAt = n.now - min(saved.ViewAge, n.now)
	p.silentSince = n.now
	p.lossRate = saved.LossRate
	if len(saved.Record) == 0 {
		return nil
	}
	r, rest, err := decodeRecord(saved.Record, deltaBase{})
	if err != nil || len(rest) > 0 || r.Author != saved.ID || p.known {
		return ErrInvalidSavedState
	}
	p.record = r
	p.known = true
	p.stateIncarnation = r.Incarnation
	n.members.toggleDigest(r)
	n.members.known++
	return nil
}

// resumeGossip restores the gossip messages, except those of unknown owners, and republishes this member's own ones.
func (n *Node) resumeGossip(encoded []byte) error {
	for len(encoded) > 0 {
		g, rest, err := decodeGossip(encoded)
		if err != nil || len(n.gossip.messages) >= MaxGossipMessages {
			return ErrInvalidSavedState
		}
		encoded = rest
		switch {
		case g.Owner == n.self.id: // republish it, so that no version of the earlier incarnation is newer
			g.Incarnation = n.self.record.Incarnation
			n.addGossip(g)
		case n.members.byID[g.Owner] != nil:
			n.gossip.put(g)
		}
	}
	return nil
}
