package forwarding

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// PeerStatus is how a peer stands.
type PeerStatus struct {
	Peer         string             `json:"peer"`
	State        string             `json:"state"`
	Drained      bool               `json:"drained_here,omitempty"`
	HeardMS      float64            `json:"heard_ms_ago"` // below 0: never
	RTTMS        float64            `json:"rtt_ms"`
	Links        int                `json:"links"`
	Forwarded    int                `json:"requests_there"`
	Served       int                `json:"requests_from_there"`
	FreeCapacity map[string]float64 `json:"room"`
	Credit       float64            `json:"credit_s"`
	Distrust     float64            `json:"distrust"`
}

// Overview is how the sites stand, as this gateway sees them.
type Overview struct {
	Name         string             `json:"name"`
	Draining     bool               `json:"draining"`
	FreeCapacity map[string]float64 `json:"room"` // of this site
	Cores        float64            `json:"cores"`
	Peers        []PeerStatus       `json:"peers"`
	Log          []string           `json:"events"`
}

// Overview tells how the sites stand.
func (s *Service) Overview() Overview {
	now := s.clock.Now()
	o := Overview{Name: s.opts.Name.String(), Draining: s.draining, FreeCapacity: map[string]float64{}, Cores: s.meter.AvailableCores(now)}
	for _, name := range s.names {
		o.FreeCapacity[name] = s.meter.FreeCapacity(now, name)
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for _, p := range s.peers {
		if p.removed {
			continue
		}
		st := PeerStatus{
			Peer: p.name.String(), State: p.State(s.cfg, now).String(), Drained: p.IsDrained(), HeardMS: ms(p.SinceReply(now)), RTTMS: ms(p.RTT()),
			Links: len(p.links), FreeCapacity: map[string]float64{}, Credit: p.Credit(), Distrust: p.Distrust(now),
		}
		for _, l := range p.links {
			st.Forwarded += len(l.forwarded)
			st.Served += len(l.served)
		}
		for _, name := range s.names {
			st.FreeCapacity[name] = p.FreeCapacity(name)
		}
		o.Peers = append(o.Peers, st)
	}
	slices.SortFunc(o.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Peer, b.Peer) })
	for _, e := range s.events {
		o.Log = append(o.Log, fmt.Sprintf("%.1f s ago: %s: %s, was %s: %s", (now-e.At).Seconds(), e.Peer, e.To, e.From, e.Why))
	}
	return o
}
