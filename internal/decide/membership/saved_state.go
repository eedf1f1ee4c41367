package membership

import (
	"errors"
	"time"
)

// SavedState is what one process of a member knows of the fleet, for the process that replaces it, so that to all
// others the member goes on. What changes between it and the first Tick of the other process is found by digests, as
// after a pause. The CBOR keys are the stored form.
type SavedState struct {
	Self        ID            `cbor:"Self"`
	Incarnation uint32        `cbor:"Inc"`
	View        View          `cbor:"View"`
	HasMajority bool          `cbor:"Major"`
	HighestView uint32        `cbor:"Seen"`
	Members     []SavedMember `cbor:"Members"`
	Gossip      []byte        `cbor:"Talk"` // encoded messages, one after another
}

// SavedMember is what was known of another member.
type SavedMember struct {
	ID       ID            `cbor:"ID"`
	Record   []byte        `cbor:"Record"` // empty: named and not heard of
	State    State         `cbor:"State"`
	ViewAge  time.Duration `cbor:"Ago"` // since the member entered or left the view
	LossRate float64       `cbor:"Loss"`
}

// isValid tells whether the values are ones that SaveState returns.
func (m SavedMember) isValid() bool {
	return m.ID <= MaxID && m.State <= Departed && m.LossRate >= 0 && m.LossRate <= 1 && m.ViewAge >= 0
}

// ErrInvalidSavedState says that what another process saved is of no use: it is corrupt, or of another member. The
// caller starts anew.
var ErrInvalidSavedState = errors.New("membership: invalid saved state")

// SaveState returns what this member knows now.
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

// Resume returns the member that a previous process of it was, in a new incarnation, which makes statements on the old
// one void. It has heard nobody yet, so all silence counts from now on; the previous process's own statements are
// dropped, as this process has not observed what they report.
func Resume(config Config, saved SavedState, incarnation uint32, named []ID, now time.Duration, random RandomSource) (*Node, error) {
	n := newNode(config, saved.Self, max(incarnation, saved.Incarnation+1), named, now, random)
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

func (n *Node) resumeGossip(encoded []byte) error {
	for len(encoded) > 0 {
		g, rest, err := decodeGossip(encoded)
		if err != nil || len(n.gossip.messages) >= MaxGossipMessages {
			return ErrInvalidSavedState
		}
		encoded = rest
		switch {
		case g.Owner == n.self.id: // published anew, so that no earlier version of this member's is newer
			g.Incarnation = n.self.record.Incarnation
			n.addGossip(g)
		case n.members.byID[g.Owner] != nil:
			n.gossip.put(g)
		}
	}
	return nil
}
