package membership

import (
	"slices"
	"time"
)

// Member is what an operator is told of one member.
type Member struct {
	ID      ID
	State   State
	Inc     uint32
	Heard   time.Duration // ago, by this member itself; below 0: not since its start
	Loss    float64       // share of what it says that is lost on the way here
	Doubts  bool          // it says that it trusts its own ears less
	Same    bool          // its view was this member's when it was last heard
	Watched bool          // this member watches it
	Deaf    []ID          // who don't hear it
	Aside   []ID          // who don't, and know that it lives
	Hear    []ID          // who do, though others don't
}

// Snapshot is all that a member holds, itself first and the others by id.
func (m *Machine) Snapshot(now time.Duration) (all []Member) {
	others := slices.DeleteFunc(slices.Clone(m.all), func(p *peer) bool { return p == m.self })
	for _, p := range append([]*peer{m.self}, others...) {
		one := Member{
			ID: p.id, State: p.state, Inc: p.record.Inc, Heard: -1, Loss: p.loss, Doubts: p.record.Doubts, Watched: p.watched,
			Same: p == m.self || p.agreed == m.view.Digest, Deaf: slices.Clone(p.against), Aside: slices.Clone(p.aside), Hear: slices.Clone(p.by),
		}
		if p.heard > 0 {
			one.Heard = now - p.heard
		}
		all = append(all, one)
	}
	return all
}

// Agrees tells of how many members this one has heard lately, and how many of them have its view: what it can know of
// whether all agree. Of others it knows nothing.
func (m *Machine) Agrees() (heard, same int) {
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
