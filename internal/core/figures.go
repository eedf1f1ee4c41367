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

// figures holds the totals that are reported in Figures and used nowhere else.
type figures struct {
	byClass         map[string]*ClassStats // by class name
	attemptsWritten int64
}

func newFigures(classes []policy.Class) figures {
	f := figures{byClass: map[string]*ClassStats{}}
	for _, class := range classes {
		f.byClass[class.Name] = &ClassStats{Class: class.Name}
	}
	return f
}

// countAnswer counts a final answer.
func (f *figures) countAnswer(class string, v Verdict) {
	counts := f.byClass[class]
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

// Stats returns a copy of the current figures. Peers is nil: the core knows no peers.
func (c *Core) Stats() Stats {
	f := Stats{
		AttemptsWritten: c.figures.attemptsWritten, InFlight: c.requests.unanswered,
		EnginesListed: c.endpoints.admin.ListedCount(),
	}
	for _, counts := range c.figures.byClass {
		f.Classes = append(f.Classes, *counts)
	}
	slices.SortFunc(f.Classes, func(a, b ClassStats) int { return cmp.Compare(a.Class, b.Class) })
	for id := range c.endpoints.engines {
		if c.endpoints.admin.Disabled(id) || c.policy.gateway.IsEjected(id) {
			f.EnginesDown++
		}
	}
	return f
}
