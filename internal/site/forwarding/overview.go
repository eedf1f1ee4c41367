package forwarding

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// PeerStatus is the state of a peer as this gateway sees it.
type PeerStatus struct {
	Peer         string             `json:"peer"` // SITE/GATEWAY
	State        string             `json:"state"`
	Drained      bool               `json:"drained_here,omitempty"` // this gateway forwards nothing new to it
	HeardMS      float64            `json:"heard_ms_ago"`           // milliseconds since its latest reply; below 0: none yet
	RTTMS        float64            `json:"rtt_ms"`                 // smoothed round-trip time in milliseconds; 0: not measured
	Links        int                `json:"links"`                  // open links
	Forwarded    int                `json:"requests_there"`         // open requests forwarded to it
	Served       int                `json:"requests_from_there"`    // open requests served here for it
	FreeCapacity map[string]float64 `json:"room"`                   // fraction by class, 0 to 1, as it reported
	Credit       float64            `json:"credit_s"`               // core-seconds that may be forwarded before its next report
	Distrust     float64            `json:"distrust"`               // fraction of its capacity, 0 to 1, discounted after recent failures
}

// Overview is the state of this site and its peers as this gateway sees them.
type Overview struct {
	Name         string             `json:"name"`     // SITE/GATEWAY of this gateway
	Draining     bool               `json:"draining"` // this site accepts no new requests from others
	FreeCapacity map[string]float64 `json:"room"`     // fraction of this site by class, 0 to 1
	Cores        float64            `json:"cores"`    // available cores of this site
	Peers        []PeerStatus       `json:"peers"`
	Log          []string           `json:"events"` // latest state changes of peers, oldest first
}

// Overview returns the state of this site and its peers, sorted by peer name.
func (s *Service) Overview() Overview {
	now := s.clock.Now()
	o := Overview{Name: s.opts.Name.String(), Draining: s.draining, FreeCapacity: map[string]float64{}, Cores: s.meter.AvailableCores(now)}
	for _, name := range s.classNames {
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
		for _, name := range s.classNames {
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
