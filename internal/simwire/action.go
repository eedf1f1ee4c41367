package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"gannetspur/policy"
)

// outputLine is an output buffer whose last line is incomplete. Each method but end appends one value
// of the message, and end completes the line.
type outputLine []byte

// beginLine appends the start of a message from an instance: its name and the instance's number.
func beginLine(b []byte, name string, instance int64) outputLine {
	b = append(append(append(b, `["`...), name...), `",`...)
	return strconv.AppendInt(b, instance, 10)
}

func (l outputLine) id(v uint64) outputLine { return strconv.AppendUint(append(l, ','), v, 10) }

func (l outputLine) integer(v int64) outputLine { return strconv.AppendInt(append(l, ','), v, 10) }

func (l outputLine) float(v float64) outputLine {
	return strconv.AppendFloat(append(l, ','), v, 'f', -1, 64)
}

func (l outputLine) text(s string) outputLine {
	b, err := json.Marshal(s)
	if err != nil { // unreachable: every string can be encoded
		panic(err)
	}
	return append(append(l, ','), b...)
}

func (l outputLine) end() []byte { return append(l, "]\n"...) }

// appendAction appends the message for an action of the policy.
func appendAction(b []byte, instance int64, action policy.Action) []byte {
	switch a := action.(type) {
	case policy.Send:
		return beginLine(b, "FORWARD", instance).id(a.Query).text(a.Engine).float(toMS(a.Timeout)).end()
	case policy.Grant:
		return beginLine(b, "ALLOT", instance).id(a.Query).float(a.MemoryMB).integer(int64(a.Priority)).end()
	case policy.Cancel:
		return beginLine(b, "ABORT_ATTEMPT", instance).id(a.Query).integer(int64(a.Attempt)).end()
	case policy.RequestLoadReport:
		return beginLine(b, "ASK_LOAD", instance).text(a.Engine).end()
	case policy.Reject:
		return beginLine(b, "SAY_NO", instance).id(a.Query).float(toMS(a.RetryAfter)).end()
	case policy.Fail:
		return beginLine(b, "DROP_REQUEST", instance).id(a.Query).end()
	case policy.SetTimer:
		return beginLine(b, "SLEEP", instance).float(toMS(a.After)).id(a.Token).end()
	case policy.Subscribe:
		return append(beginLine(b, "LISTEN", instance), ",true]\n"...)
	case policy.SlowStartChanged: // for the logs of a process
		return b
	case policy.Log:
		return beginLine(b, "SAY_LOG", instance).text(a.Text).end()
	}
	panic(fmt.Sprintf("simwire: no line for action %T", action))
}

// toMS converts a duration to fractional milliseconds, the unit of the protocol.
func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
