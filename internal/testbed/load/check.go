package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/testbed/emulator"
)

// Fault is a rule that a request saw broken.
type Fault struct {
	Rule string
	Mark string
	What string
}

func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.Rule, f.Mark, f.What) }

// Check joins what clients were told with what engines did. Each request must have one final
// answer that is its own, in time; what may run once has run once at most; what runs under a
// key has had its effect once, and went out within the window of its first send alone; what
// was served has run.
func Check(records []Record, runs []emulator.Run, window time.Duration) (faults []Fault) {
	by := map[string][]emulator.Run{}
	for _, r := range runs {
		by[r.Mark] = append(by[r.Mark], r)
	}
	for _, r := range records {
		add := func(rule, what string, args ...any) {
			faults = append(faults, Fault{rule, r.Mark, fmt.Sprintf(what, args...)})
		}
		switch r.Verdict {
		case Reset:
			add("no answer", "the connection ended: %s", r.Detail)
		case Silent:
			add("no answer", "none came in time: %s", r.Detail)
		case Corrupt:
			add("spoilt", "%s", r.Detail)
		case Unreachable:
			add("not reached", "%s", r.Detail)
		}
		mine := by[r.Mark]
		effects := 0
		for _, run := range mine {
			if !run.Dropped {
				effects++
			}
			if late := run.At.Sub(mine[0].At); r.Kind == Load && late >= window {
				add("key window", "sent again %v after its first send", late)
			}
		}
		switch {
		case (r.Kind == Load || r.Kind == Write) && effects > 1:
			add("effect twice", "%d effects", effects)
		case r.Kind == Write && len(mine) > 1:
			add("effect twice", "it ran %d times", len(mine))
		}
		if r.Verdict == Served && len(mine) == 0 {
			add("served what never ran", "no engine saw it")
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return strings.Compare(a.Rule, b.Rule) })
	return faults
}

// stopWithin is how long after word of it an engine that drains or is gone may get new work,
// with what a send may take on its way.
const stopWithin = 2*time.Second + 250*time.Millisecond

// CheckDrains finds work that reached an engine more than 2 s after the roster was told that
// it drains or is gone.
func CheckDrains(runs []emulator.Run, history []emulator.Change) (faults []Fault) {
	for _, r := range runs {
		var last emulator.Change
		for _, c := range history {
			if c.ID == r.Engine && c.At.Before(r.At) {
				last = c
			}
		}
		if late := r.At.Sub(last.At); last.State != emulator.Ready && late > stopWithin {
			faults = append(faults, Fault{"drained engine", r.Mark, fmt.Sprintf("sent to %s %v after it was %s", r.Engine, late.Round(time.Millisecond), last.State)})
		}
	}
	return faults
}
