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
	links         []*Link // the newest last
	removed       bool    // the settings name it no more
	requestedWork float64 // work that it asked for of late, s
}

// Event is a change of what is believed of a peer.
type Event struct {
	At       time.Duration // module time
	Peer     Name
	From, To string
	Why      string
}

// SetPeers names the gateways at other sites. Links to those that are named no more end, with what
// is open on them; a peer that is named again is taken up where it was.
func (s *Service) SetPeers(names []Name) {
	for _, p := range s.peers { // places stay: what is warm where is known by them
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
			s.views = append(s.views, &p.Peer)
		}
	}
}

// openLink is where new streams to a peer are opened: the newest that neither side has left, else one
// that was left just now, as its successor is on its way; nil: none.
func (p *peer) openLink() (left *Link) {
	for _, l := range slices.Backward(p.links) {
		switch {
		case l.isOpen():
			return l
		case left == nil && l.greeted && l.service.clock.Now()-max(l.closingAt, l.peerClosingAt) < closingPeriod/2:
			left = l
		}
	}
	return left
}

func (s *Service) peer(n Name) *peer {
	for _, p := range s.peers {
		if p.name == n && !p.removed {
			return p
		}
	}
	return nil
}
