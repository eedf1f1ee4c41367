package handover

// FailureReason says why an upgrade failed.
type FailureReason uint8

// Reasons. The zero value is success.
const (
	NoFailure FailureReason = iota
	AnotherUpgradeInProgress
	TargetProblem // the target has said why it can't take over
	IncompatibleVersion
	GreetTimedOut
	WarmTimedOut
	HeartbeatTimedOut
	TooMuchMemory
	TooManyFailures
	NoSuccess
	NoAnswer
	ShutdownRequested
	TargetDied
	OwnerDied // the target died after it had become the owner
)

// failureTexts are for operators, who read them as the result of an upgrade.
var failureTexts = [...]string{
	NoFailure:                "",
	AnotherUpgradeInProgress: "another upgrade or a stop is under way",
	TargetProblem:            "the new process can't take over",
	IncompatibleVersion:      "its version and this one don't understand each other",
	GreetTimedOut:            "it did not say what it is in time",
	WarmTimedOut:             "it was not ready in time",
	HeartbeatTimedOut:        "it went silent",
	TooMuchMemory:            "it takes too much memory",
	TooManyFailures:          "too many of its answers are errors of its own",
	NoSuccess:                "none of its answers was good",
	NoAnswer:                 "it takes requests and answers none",
	ShutdownRequested:        "a planned stop came first",
	TargetDied:               "it died",
	OwnerDied:                "it died after it was the owner; what it had was lost",
}

// String is the text for operators.
func (r FailureReason) String() string { return failureTexts[r] }

// Failure is why an upgrade failed. The zero value means that it did not.
type Failure struct {
	Reason FailureReason
	Detail string // the target's own words, of TargetProblem
}

// Failed reports whether there is a failure.
func (f Failure) Failed() bool { return f.Reason != NoFailure }

// String is the text for operators; "" if there is no failure.
func (f Failure) String() string {
	if f.Detail != "" {
		return f.Detail
	}
	return f.Reason.String()
}
