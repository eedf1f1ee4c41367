package handover

// Target is the state machine of the process that takes over. Its zero value is not usable;
// NewTarget creates one.
type Target struct {
	version       Version
	stateReceived bool // the source's state has arrived; it is being applied until stateApplied is set
	stateApplied  bool
	serving       bool // the process serves the connections that it receives
	owner         bool // the process is the permanent owner: the source has committed the ownership, or is dead
	sourceExited  bool
}

// NewTarget returns the state machine of a process that was started to take over. v is the
// protocol version of that process.
func NewTarget(v Version) *Target { return &Target{version: v} }

// Owner reports whether the process is the permanent owner of the listener and the connections.
func (t *Target) Owner() bool { return t.owner }

// Serving reports whether the process serves the connections that it receives.
func (t *Target) Serving() bool { return t.serving }

// Step processes one event and returns the effects to carry out, in order.
func (t *Target) Step(event TargetEvent) []TargetEffect {
	switch event := event.(type) {
	case TargetStarted:
		hello := SendHello{Version: t.version, Problem: event.Problem}
		if event.Problem != "" {
			return []TargetEffect{hello, Exit{}}
		}
		return []TargetEffect{hello}
	case StateReceived:
		if !t.stateReceived {
			t.stateReceived = true
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
		// A target that never received the state serves like a process started without an upgrade. One
		// that is still applying the state becomes the owner on StateApplied.
		if !t.owner && (t.stateApplied || !t.stateReceived) {
			return t.becomeOwner()
		}
	}
	return nil
}

// becomeOwner makes the process the permanent owner: the source has committed the ownership, or has
// died, so that nobody else has the connections that it transferred.
func (t *Target) becomeOwner() []TargetEffect {
	t.owner = true
	t.serving = true
	return []TargetEffect{StopRecording{}, StartAccepting{}}
}
