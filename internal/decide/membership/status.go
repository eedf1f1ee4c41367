package membership

import (
	"slices"
	"time"
)

// MemberStatus is what operators see of one member.
type MemberStatus struct {
	ID                 ID
	State              State
	Incarnation        uint32
	SinceHeard         time.Duration // time since this member last received a datagram from it; negative: never since the start
	LossRate           float64       // fraction of heartbeats lost on the path from it, 0 to 1
	SuspectsItself     bool          // whether it states that it may not receive datagrams reliably
	SameView           bool          // whether its last datagram had the digest of this member's view
	Monitored          bool          // whether this member monitors it
	NotHeardBy         []ID          // members that report not hearing it
	NotHeardButAliveBy []ID          // members that do not hear it but know from others that it is alive
	HeardBy            []ID          // members that state that they hear it although others do not
}

// Snapshot returns the status of all members, this one first and the others sorted by ID.
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

// ViewAgreement returns how many members of the view this one hears, and how many of these have the same view. Whether
// other members agree with each other is not known here.
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
