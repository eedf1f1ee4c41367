package handover

// Target is the state machine of the process that takes over. Its zero value is not ready: use
// NewTarget.
type Target struct {
	version       Version
	applyingState bool // the state has arrived
	stateApplied  bool
	serving       bool // it serves the connections that it receives
	owner         bool // for good
	sourceExited  bool
}

// NewTarget returns the machine of a process that was started to take over.
func NewTarget(v Version) *Target { return &Target{version: v} }

// Owner reports whether the process is the owner for good.
func (t *Target) Owner() bool { return t.owner }

// Serving reports whether the process serves the connections that it receives.
func (t *Target) Serving() bool { return t.serving }

// Step takes one event and returns what to do, in order.
func (t *Target) Step(event TargetEvent) []TargetEffect {
	switch event := event.(type) {
	case TargetStarted:
		hello := SendHello{Version: t.version, Problem: event.Problem}
		if event.Problem != "" {
			return []TargetEffect{hello, Exit{}}
		}
		return []TargetEffect{hello}
	case StateReceived:
		if !t.applyingState {
			t.applyingState = true
			return []TargetEffect{ApplyState{}}
		}
	case StateApplied:
		t.stateApplied = true
		if t.sourceExited {
			return t.becomeOwner()
		}
		return []TargetEffect{SendReady{}}
	case ServeRequested:
		t.serving = t.serving || t.stateApplied
	case ConnectionReceived:
		return []TargetEffect{AdoptConnection(event)}
	case OwnershipCommitted:
		if t.serving && !t.owner {
			return t.becomeOwner()
		}
	case SourceExited:
		t.sourceExited = true
		// A target that never received the state serves like a process that was just started.
		if !t.owner && (t.stateApplied || !t.applyingState) {
			return t.becomeOwner()
		}
	}
	return nil
}

// becomeOwner makes the process the owner: the source has committed, or it died and what it had
// transferred is the target's own.
func (t *Target) becomeOwner() []TargetEffect {
	t.owner = true
	t.serving = true
	return []TargetEffect{StopRecording{}, StartAccepting{}}
}
