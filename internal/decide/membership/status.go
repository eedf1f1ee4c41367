package membership

import (
	"slices"
	"time"
)

// MemberStatus is what operators are shown of one member.
type MemberStatus struct {
	ID                 ID
	State              State
	Incarnation        uint32
	SinceHeard         time.Duration // by this member itself; negative: not since its start
	LossRate           float64       // of heartbeats on the path to this member
	SuspectsItself     bool          // it states that its hearing may be impaired
	SameView           bool          // its view was this member's when it was last heard
	Monitored          bool          // by this member
	NotHeardBy         []ID
	NotHeardButAliveBy []ID // members that don't hear it and know from others that it is alive
	HeardBy            []ID // members that hear it although others don't
}

// Snapshot returns the status of all members, this one first and the others by ID.
func (n *Node) Snapshot(now time.Duration) []MemberStatus {
	all := []MemberStatus{n.status(n.self, now)}
	for _, p := range n.members.sorted {
		if p != n.self {
			all = append(all, n.status(p, now))
		}
	}
	return all
}

func (n *Node) status(p *peer, now time.Duration) MemberStatus {
	status := MemberStatus{
		ID:                 p.id,
		State:              p.state,
		Incarnation:        p.record.Incarnation,
		SinceHeard:         -1,
		LossRate:           p.lossRate,
		SuspectsItself:     p.record.SuspectsItself,
		SameView:           p == n.self || p.viewDigest == n.views.current.Digest,
		Monitored:          p.monitored,
		NotHeardBy:         slices.Clone(p.notHeardBy),
		NotHeardButAliveBy: slices.Clone(p.notHeardButAliveBy),
		HeardBy:            slices.Clone(p.heardBy),
	}
	if p.lastHeard > 0 {
		status.SinceHeard = now - p.lastHeard
	}
	return status
}

// ViewAgreement counts the members that this one has heard recently, and those of them that have the same view. It
// can't know whether others agree.
func (n *Node) ViewAgreement() (heard, sameView int) {
	for _, p := range n.topology.inView {
		if p == n.self || !n.isHeard(p) {
			continue
		}
		heard++
		if p.viewDigest == n.views.current.Digest {
			sameView++
		}
	}
	return heard, sameView
}
