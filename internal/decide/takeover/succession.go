// Package succession decides how processes of one front end follow each other where the
// platform starts them: whom a new one takes over from and when it waits no longer, and when
// an old one has been replaced. It does no I/O and reads no clock.
package takeover

import (
	"cmp"
	"slices"
	"time"
)

// waitMost is how long a new process waits for what the old one knows. The platform gives it
// 6 s until its yes; the old one looks for it each tenth of a second.
const waitMost = 1500 * time.Millisecond

// Process is what a living process tells of itself.
type Process struct {
	ID       string
	Began    time.Duration // on a clock that all share
	Ready    bool          // it serves
	Stopping bool          // it was told to end
	Heard    []string      // the processes that it knows of
	Knows    bool          // it has written down what it knows, since it heard of them
}

// After tells whether a process began after another one, for all in the same way.
func (p Process) After(o Process) bool {
	return cmp.Or(cmp.Compare(p.Began, o.Began), cmp.Compare(p.ID, o.ID)) > 0
}

// Step is what a new process does next.
type Step uint8

// Steps. The zero value is the patient one.
const (
	Wait  Step = iota // for what another one knows
	Take              // what another one has written down
	Alone             // serve from the configuration
)

// Next tells what a process that does not serve yet does next, and whom it takes over from:
// the latest one that serves, among these rather one that was not told to end. Where none has
// told what it knows in time it serves alone: a front end that waits is no use to anybody.
func Next(self Process, others []Process, now time.Duration) (Step, string) {
	var from *Process
	for i, o := range others {
		if !o.Ready || !self.After(o) {
			continue
		}
		if from == nil || from.Stopping && !o.Stopping || from.Stopping == o.Stopping && o.After(*from) {
			from = &others[i]
		}
	}
	switch {
	case from == nil:
		return Alone, ""
	case from.Knows && slices.Contains(from.Heard, self.ID):
		return Take, from.ID
	case now-self.Began >= waitMost:
		return Alone, ""
	}
	return Wait, from.ID
}

// Replaced tells whether another process serves in the place of one: it began later and is
// ready, and stays. Clients that connect find it, so the one before it need accept nothing more.
func Replaced(self Process, others []Process) bool {
	return slices.ContainsFunc(others, func(o Process) bool { return o.Ready && !o.Stopping && o.After(self) })
}

// Asked tells whether one that serves is to write down what it knows: another one waits.
func Asked(self Process, others []Process) bool {
	return self.Ready && slices.ContainsFunc(others, func(o Process) bool { return !o.Ready && o.After(self) })
}

// Share is the part of the limits on memory and descriptors that a process may use: processes
// of one front end share them for as long as they live side by side.
func Share(others []Process) float64 { return 1 / float64(1+len(others)) }
