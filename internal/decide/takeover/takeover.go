// Package takeover decides how the processes of one front end replace each other where the platform
// (a container orchestrator, for example) starts and stops them: which process a new one takes over
// from, when it stops waiting, and when an old one has been replaced. The caller exchanges the
// Process values between the processes. The package does no I/O and reads no clock.
package takeover

import (
	"cmp"
	"slices"
	"time"
)

// maxWait is how long after its start a new process waits for the state of an old one. The platform
// gives the new process 6 s to become ready, and the old one looks for new processes every 100 ms.
const maxWait = 1500 * time.Millisecond

// Process is what a live process tells the others about itself. The names in the tags are those of
// the stored form.
type Process struct {
	ID             string        `cbor:"ID"`
	StartedAt      time.Duration `cbor:"Began"` // on a clock that all processes share
	Ready          bool          `cbor:"Ready"` // it serves clients
	ShuttingDown   bool          `cbor:"Stopping"`
	KnownProcesses []string      `cbor:"Heard"` // IDs of the other processes that it has found
	StateWritten   bool          `cbor:"Knows"` // it has written its state since it found KnownProcesses
}

// StartedAfter reports whether p started after other. Processes that started at the same time are
// ordered by ID, so that the order is total.
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

// Values of Action.
const (
	Wait       Action = iota // wait for another process to write its state
	TakeOver                 // apply the state of another process and serve
	StartAlone               // serve with the state that the configuration gives
)

// NextAction returns what a process that does not serve yet does next, and the ID of the process
// that it takes over from or waits for ("" for StartAlone). Among the ready processes that started
// before self, that is the latest one that is not shutting down, or if all are shutting down, the
// latest one. If it has not written its state for self within maxWait of the start of self, self
// starts alone, as it serves no clients while it waits.
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

// choosePredecessor returns the process that self takes over from, or nil if no ready process started
// before self.
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

// Replaced reports whether another process serves in place of self: one that started later, is ready
// and is not shutting down. New connections reach that process, so self may stop accepting.
func Replaced(self Process, others []Process) bool {
	return slices.ContainsFunc(others, func(other Process) bool {
		return other.Ready && !other.ShuttingDown && other.StartedAfter(self)
	})
}

// StateWanted reports whether self is to write its state: it is ready, and a process that started
// later is not ready yet and may be waiting for it.
func StateWanted(self Process, others []Process) bool {
	return self.Ready && slices.ContainsFunc(others, func(other Process) bool {
		return !other.Ready && other.StartedAfter(self)
	})
}

// LimitShare returns the fraction of the limits on memory and file descriptors that a process may
// use. The processes of one front end divide them equally while they run side by side.
func LimitShare(others []Process) float64 { return 1 / float64(1+len(others)) }
