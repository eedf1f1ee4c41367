package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gannetspur/internal/testbed/emulator"
)

// Fault is a violation of a rule by one request.
type Fault struct {
	Rule string // short name of the violated rule
	Mark string // the request's mark
	What string // what was observed
}

func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.Rule, f.Mark, f.What) }

// Check compares the outcomes that clients saw with the executions that engines recorded. Each
// request must get one final answer, its own, in time. A write that is not idempotent must run at
// most once. A load with an idempotency key must take effect at most once, and must not be sent
// again once window has passed since its first send. A request that a client saw served must have
// run on an engine.
func Check(records []Record, runs []emulator.Run, window time.Duration) (faults []Fault) {
	byMark := map[string][]emulator.Run{}
	for _, r := range runs {
		byMark[r.Mark] = append(byMark[r.Mark], r)
	}
	for _, r := range records {
		add := func(rule, format string, args ...any) {
			faults = append(faults, Fault{rule, r.Mark, fmt.Sprintf(format, args...)})
		}
		switch r.Verdict {
		case Reset:
			add("no answer", "the connection ended: %s", r.Detail)
		case Silent:
			add("no answer", "no answer before the deadline: %s", r.Detail)
		case Corrupt:
			add("spoilt", "%s", r.Detail)
		case Unreachable:
			add("not reached", "%s", r.Detail)
		}
		executions := byMark[r.Mark]
		effects := 0
		for _, run := range executions {
			if !run.Dropped {
				effects++
			}
			if late := run.At.Sub(executions[0].At); r.Kind == Load && late >= window {
				add("key window", "sent again %v after its first send, want less than %v", late, window)
			}
		}
		switch {
		case (r.Kind == Load || r.Kind == Write) && effects > 1:
			add("effect twice", "took effect %d times, want at most 1", effects)
		case r.Kind == Write && len(executions) > 1:
			add("effect twice", "ran %d times, want at most 1", len(executions))
		}
		if r.Verdict == Served && len(executions) == 0 {
			add("served what never ran", "no engine executed it")
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return strings.Compare(a.Rule, b.Rule) })
	return faults
}

// drainLimit is how long after discovery reports an engine as draining or departed it may still
// receive new requests: the limit of 2 s, and 250 ms for requests in transit.
const drainLimit = 2*time.Second + 250*time.Millisecond

// CheckDrains finds requests that reached an engine later than drainLimit after discovery reported it
// as draining or departed. An engine without an entry in history counts as ready.
func CheckDrains(runs []emulator.Run, history []emulator.Change) (faults []Fault) {
	for _, r := range runs {
		var last emulator.Change
		for _, c := range history {
			if c.ID == r.Engine && c.At.Before(r.At) {
				last = c
			}
		}
		if late := r.At.Sub(last.At); last.State != emulator.Ready && late > drainLimit {
			faults = append(faults, Fault{"drained engine", r.Mark, fmt.Sprintf("sent to %s %v after it was %s", r.Engine, late.Round(time.Millisecond), last.State)})
		}
	}
	return faults
}
