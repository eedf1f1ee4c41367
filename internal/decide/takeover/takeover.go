// Package takeover decides how processes of one front end replace each other where the platform
// starts them: from which process a new one takes over, when it stops waiting, and when an old
// one has been replaced. It does no I/O and reads no clock.
package takeover

import (
	"cmp"
	"slices"
	"time"
)

// maxWait is how long a new process waits for the state of an old one. The platform gives it 6 s
// to become ready; the old one looks for new processes each tenth of a second.
const maxWait = 1500 * time.Millisecond

// Process is what a living process tells the others of itself. The names in the tags are stored.
type Process struct {
	ID             string        `cbor:"ID"`
	StartedAt      time.Duration `cbor:"Began"` // on a clock that all processes share
	Ready          bool          `cbor:"Ready"` // it serves
	ShuttingDown   bool          `cbor:"Stopping"`
	KnownProcesses []string      `cbor:"Heard"` // the other processes that it has found
	StateWritten   bool          `cbor:"Knows"` // it has written its state since it found them
}

// StartedAfter reports whether p started after other. It is a total order of all processes.
func (p Process) StartedAfter(other Process) bool {
	return cmp.Or(cmp.Compare(p.StartedAt, other.StartedAt), cmp.Compare(p.ID, other.ID)) > 0
}

// preferredTo reports whether it is better to take over from p than from other: p is not shutting
// down and other is, or else p started later.
func (p Process) preferredTo(other Process) bool {
	if p.ShuttingDown != other.ShuttingDown {
		return other.ShuttingDown
	}
	return p.StartedAfter(other)
}

// Action is what a new process does next.
type Action uint8

// Actions.
const (
	Wait       Action = iota // for the state of another process
	TakeOver                 // go on from the state of another process
	StartAlone               // serve from the configuration
)

// NextAction returns what a process that does not serve yet does next, and the process that it
// takes over from: the latest one that serves, preferably one that is not shutting down. If none
// has written its state in time the new process starts alone: one that waits serves nobody.
func NextAction(self Process, others []Process, now time.Duration) (action Action, from string) {
	predecessor := choosePredecessor(self, others)
	switch {
	case predecessor == nil:
		return StartAlone, ""
	case predecessor.StateWritten && slices.Contains(predecessor.KnownProcesses, self.ID):
		return TakeOver, predecessor.ID
	case now-self.StartedAt >= maxWait:
		return StartAlone, ""
	}
	return Wait, predecessor.ID
}

func choosePredecessor(self Process, others []Process) *Process {
	var chosen *Process
	for i, other := range others {
		if !other.Ready || !self.StartedAfter(other) {
			continue
		}
		if chosen == nil || other.preferredTo(*chosen) {
			chosen = &others[i]
		}
	}
	return chosen
}

// Replaced reports whether another process serves in the place of self: it started later, is
// ready and stays. Clients that connect reach it, so self need accept nothing more.
func Replaced(self Process, others []Process) bool {
	return slices.ContainsFunc(others, func(other Process) bool {
		return other.Ready && !other.ShuttingDown && other.StartedAfter(self)
	})
}

// StateWanted reports whether a process that serves is to write its state: another one waits.
func StateWanted(self Process, others []Process) bool {
	return self.Ready && slices.ContainsFunc(others, func(other Process) bool {
		return !other.Ready && other.StartedAfter(self)
	})
}

// LimitShare is the part of the limits on memory and descriptors that a process may use:
// processes of one front end share them while they live side by side.
func LimitShare(others []Process) float64 { return 1 / float64(1+len(others)) }
