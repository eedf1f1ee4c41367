package membership

import (
	"slices"
	"time"
)

// Member is what an operator is told of one member.
type MemberStatus struct {
	ID                 ID
	State              State
	Incarnation        uint32
	SinceHeard         time.Duration // ago, by this member itself; below 0: not since its start
	LossRate           float64       // share of what it says that is lost on the way here
	SuspectsItself     bool          // it says that it trusts its own ears less
	SameView           bool          // its view was this member's when it was last heard
	Monitored          bool          // this member watches it
	NotHeardBy         []ID          // who don't hear it
	NotHeardButAliveBy []ID          // who don't, and know that it lives
	HeardBy            []ID          // who do, though others don't
}

// Snapshot is all that a member holds, itself first and the others by id.
func (m *Node) Snapshot(now time.Duration) (all []MemberStatus) {
	others := slices.DeleteFunc(slices.Clone(m.all), func(p *peer) bool { return p == m.self })
	for _, p := range append([]*peer{m.self}, others...) {
		one := MemberStatus{
			ID: p.id, State: p.state, Incarnation: p.record.Inc, SinceHeard: -1, LossRate: p.loss, SuspectsItself: p.record.Doubts, Monitored: p.watched,
			SameView: p == m.self || p.agreed == m.view.Digest, NotHeardBy: slices.Clone(p.against), NotHeardButAliveBy: slices.Clone(p.aside), HeardBy: slices.Clone(p.by),
		}
		if p.heard > 0 {
			one.SinceHeard = now - p.heard
		}
		all = append(all, one)
	}
	return all
}

// Agrees tells of how many members this one has heard lately, and how many of them have its view: what it can know of
// whether all agree. Of others it knows nothing.
func (m *Node) ViewAgreement() (heard, same int) {
	for _, p := range m.order {
		if p != m.self && m.hearing(p) {
			heard++
			if p.agreed == m.view.Digest {
				same++
			}
		}
	}
	return heard, same
}
