package membership

import "time"

// Reason explains to operators why a state has changed or why a member suspects itself. Its text appears in logs.
type Reason string

func (r Reason) String() string { return string(r) }

// Reasons for the state of a member.
const (
	reasonDeparted        Reason = "it said that it leaves"
	reasonHeard           Reason = "everybody hears it who should"
	reasonPartlyReachable Reason = "some don't hear it, others do"
	reasonSuspect         Reason = "some don't hear it"
	reasonDead            Reason = "nobody hears it who should"
	reasonUnreachable     Reason = "nobody hears it who should, and half of the fleet is not heard here, or by them"
	reasonRefuted         Reason = "was not heard, and says that it lives"
)

// Reasons for a member to suspect itself.
const (
	reasonIsolated     Reason = "hears nobody"
	reasonContradicted Reason = "others hear whom it does not"
)

// reasonPaused returns the reason for a member to suspect itself after its process was paused.
func reasonPaused(pause time.Duration) Reason {
	return Reason("stood still for " + pause.Round(time.Millisecond).String())
}

// reasonSuspectsItself returns the reason for the report that a member suspects itself.
func reasonSuspectsItself(because Reason) Reason { return "doubts itself: " + because }
