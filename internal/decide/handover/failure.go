package handover

// FailureReason is why an upgrade failed.
type FailureReason uint8

// Values of FailureReason. The zero value means success. "It" in the texts is the target.
const (
	NoFailure FailureReason = iota
	UpgradeOrShutdownInProgress
	TargetProblem // the target reported why it can't take over
	IncompatibleVersion
	HelloTimedOut
	WarmUpTimedOut
	HeartbeatTimedOut
	TooMuchMemory
	TooManyFailures
	NoSuccessfulResponse // all responses of the target were failures
	NoResponse           // the target had requests in flight and gave no response
	ShutdownRequested
	TargetDied // before ownership was committed
	OwnerDied  // the target died after ownership was committed
)

// failureTexts are the results of upgrades that operators read. Their scripts match these texts.
var failureTexts = [...]string{
	NoFailure:                   "",
	UpgradeOrShutdownInProgress: "another upgrade or a stop is under way",
	TargetProblem:               "the new process can't take over",
	IncompatibleVersion:         "its version and this one don't understand each other",
	HelloTimedOut:               "it did not say what it is in time",
	WarmUpTimedOut:              "it was not ready in time",
	HeartbeatTimedOut:           "it went silent",
	TooMuchMemory:               "it takes too much memory",
	TooManyFailures:             "too many of its answers are errors of its own",
	NoSuccessfulResponse:        "none of its answers was good",
	NoResponse:                  "it takes requests and answers none",
	ShutdownRequested:           "a planned stop came first",
	TargetDied:                  "it died",
	OwnerDied:                   "it died after it was the owner; what it had was lost",
}

// String returns the text for operators; "" for NoFailure.
func (r FailureReason) String() string { return failureTexts[r] }

// Failure is why an upgrade failed. The zero value means that it did not fail.
type Failure struct {
	Reason FailureReason
	Detail string // the target's description of a TargetProblem, else ""
}

// Failed reports whether the upgrade failed.
func (f Failure) Failed() bool { return f.Reason != NoFailure }

// String returns the text for operators: the target's description if there is one, else that of the
// reason; "" if there is no failure.
func (f Failure) String() string {
	if f.Detail != "" {
		return f.Detail
	}
	return f.Reason.String()
}
