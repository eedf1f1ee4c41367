package forwarding

import (
	decide "gannetspur/internal/decide/remotesite"
	"slices"
	"time"
)

// peer is a gateway at another site.
type peer struct {
	decide.Peer
	name          Name
	links         []*Link // oldest first
	removed       bool    // it is no longer configured
	requestedWork float64 // core-seconds of recent requests from the peer; halved at each load report
}

// Event is a change of a peer's state.
type Event struct {
	At       time.Duration // time of the core's clock
	Peer     Name
	From, To string // states, see decide.State
	Why      string // reason for the change
}

// SetPeers sets the gateways at other sites. Links to gateways that are no longer listed are closed with
// their open requests. A gateway that is listed again continues with its previous state.
func (s *Service) SetPeers(names []Name) {
	for _, p := range s.peers { // peers keep their index, by which the chooser remembers warm data sets
		if p.removed = !slices.Contains(names, p.name); p.removed {
			for _, l := range slices.Clone(p.links) {
				l.transport.Close(ErrPeer)
			}
		}
	}
	for _, n := range names {
		if !slices.ContainsFunc(s.peers, func(p *peer) bool { return p.name == n }) {
			p := &peer{name: n}
			s.peers = append(s.peers, p)
			s.peerStates = append(s.peerStates, &p.Peer)
		}
	}
}

// openLink returns the link for new streams to a peer: the newest on which neither side has sent GoAway,
// else the newest with a recent GoAway, because its replacement is still being opened. It returns nil if
// there is none.
func (p *peer) openLink() (closing *Link) {
	for _, l := range slices.Backward(p.links) {
		switch {
		case l.isOpen():
			return l
		case closing == nil && l.greeted && l.service.clock.Now()-max(l.closingAt, l.peerClosingAt) < closingPeriod/2:
			closing = l
		}
	}
	return closing
}

// peer returns the configured peer of a name, or nil.
func (s *Service) peer(n Name) *peer {
	for _, p := range s.peers {
		if p.name == n && !p.removed {
			return p
		}
	}
	return nil
}
