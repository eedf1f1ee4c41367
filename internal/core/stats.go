package core

import (
	"cmp"
	"slices"

	"gannetspur/policy"
)

// Stats are the statistics that operators read. Totals count from the start of the process.
type Stats struct {
	Classes         []ClassStats // sorted by class name
	AttemptsWritten int64        // attempts completely written to engines
	InFlight        int          // accepted requests without a final answer
	EnginesListed   int          // engines that discovery lists
	EnginesDown     int          // listed engines that operators disabled or the policy ejected
	Peers           *PeerStats   // nil if the gateway does not take part in a membership
}

// ClassStats counts the final answers to requests of one class, by verdict.
type ClassStats struct {
	Class                    string // name of the class
	Served, Rejected, Failed int64
}

// PeerStats describes the membership of a site's gateways, this one included.
type PeerStats struct {
	Live            int  // gateways in the membership view
	Known           int  // gateways known, in any state, or configured
	PartlyReachable int  // gateways that some others can't reach, or that can reach none of the others
	Dead            int  // gateways declared dead, and those that none of their monitors can reach
	ViewNumber      int  // number of the membership view
	Majority        bool // whether more than half of the gateways known recently are in the view
}

// stats holds the totals that are reported in Stats and used nowhere else.
type stats struct {
	byClass         map[string]*ClassStats // by class name
	attemptsWritten int64
}

func newStats(classes []policy.Class) stats {
	s := stats{byClass: map[string]*ClassStats{}}
	for _, class := range classes {
		s.byClass[class.Name] = &ClassStats{Class: class.Name}
	}
	return s
}

// countAnswer counts a final answer.
func (s *stats) countAnswer(class string, v Verdict) {
	counts := s.byClass[class]
	if counts == nil { // the settings have no such class; the policy rejects its requests
		return
	}
	switch v {
	case Served:
		counts.Served++
	case Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// Stats returns a copy of the current statistics. Peers is nil: the core knows no peers.
func (c *Core) Stats() Stats {
	s := Stats{
		AttemptsWritten: c.stats.attemptsWritten, InFlight: c.requests.unanswered,
		EnginesListed: c.endpoints.admin.ListedCount(),
	}
	for _, counts := range c.stats.byClass {
		s.Classes = append(s.Classes, *counts)
	}
	slices.SortFunc(s.Classes, func(a, b ClassStats) int { return cmp.Compare(a.Class, b.Class) })
	for id := range c.endpoints.engines {
		if c.endpoints.admin.Disabled(id) || c.policy.gateway.IsEjected(id) {
			s.EnginesDown++
		}
	}
	return s
}
