package core

import (
	"cmp"
	"slices"

	"gannetspur/policy"
)

// Figures are what operators read, counted since the process began.
type Figures struct {
	Classes         []ClassFigures // in order of name
	AttemptsWritten int64          // attempts written completely to engines
	InFlight        int            // requests accepted and not ended
	EnginesListed   int            // engines that discovery lists
	EnginesDown     int            // of these, how many are avoided: by operators, or by the policy
	Peers           *PeerFigures   // nil: this gateway is no member among others
}

// ClassFigures are the final answers to requests of one class.
type ClassFigures struct {
	Class                    string
	Served, Rejected, Failed int64
}

// PeerFigures tell of the gateways of a site, this one included.
type PeerFigures struct {
	Live        int // in the membership view
	Known       int // known or configured
	Unreachable int // of the known ones, from here
	Dead        int // declared dead, or lost
	ViewNumber  int
	Majority    bool // the view holds one
}

// figures counts what only operators read.
type figures struct {
	byClass         map[string]*ClassFigures
	attemptsWritten int64
}

func newFigures(classes []policy.Class) figures {
	f := figures{byClass: map[string]*ClassFigures{}}
	for _, class := range classes {
		f.byClass[class.Name] = &ClassFigures{Class: class.Name}
	}
	return f
}

// countAnswer counts a final answer.
func (f *figures) countAnswer(class string, v Verdict) {
	counts := f.byClass[class]
	if counts == nil { // a class that the settings don't have; the policy rejects it
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

// Figures is a copy of the present figures.
func (c *Core) Figures() Figures {
	f := Figures{
		AttemptsWritten: c.figures.attemptsWritten, InFlight: c.requests.unanswered,
		EnginesListed: c.endpoints.admin.ListedCount(),
	}
	for _, counts := range c.figures.byClass {
		f.Classes = append(f.Classes, *counts)
	}
	slices.SortFunc(f.Classes, func(a, b ClassFigures) int { return cmp.Compare(a.Class, b.Class) })
	for id := range c.endpoints.engines {
		if c.endpoints.admin.Disabled(id) || c.policy.gateway.IsEjected(id) {
			f.EnginesDown++
		}
	}
	return f
}
