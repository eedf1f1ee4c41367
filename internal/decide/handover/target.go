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

// TargetEvent is an input of Target.
type TargetEvent interface{ targetEvent() }

// Events of the target.
type (
	// TargetStarted reports that the process has read its configuration. Problem is why it can't
	// serve; "" if it can.
	TargetStarted struct{ Problem string }
	// StateReceived reports that the source has sent its state.
	StateReceived struct{}
	// StateApplied reports that the state is in use.
	StateApplied struct{}
	// ServeRequested is the source's order to serve the connections that it sends.
	ServeRequested struct{}
	// ConnectionReceived reports a connection that the source has transferred.
	ConnectionReceived struct{ Conn ConnID }
	// OwnershipCommitted is the source's word that the target is the owner for good.
	OwnershipCommitted struct{}
	// SourceExited reports the end of the channel: the source is dead.
	SourceExited struct{}
)

func (TargetStarted) targetEvent()      {}
func (StateReceived) targetEvent()      {}
func (StateApplied) targetEvent()       {}
func (ServeRequested) targetEvent()     {}
func (ConnectionReceived) targetEvent() {}
func (OwnershipCommitted) targetEvent() {}
func (SourceExited) targetEvent()       {}

// TargetEffect is what the caller of Target.Step carries out.
type TargetEffect interface{ targetEffect() }

// Effects of the target, beside StartAccepting and Exit.
type (
	// SendHello sends the target's first message.
	SendHello struct {
		Version Version
		Problem string
	}
	// SendReady sends that the target could serve.
	SendReady struct{}
	// ApplyState begins to apply the state. StateApplied follows.
	ApplyState struct{}
	// AdoptConnection makes a connection the target's own.
	AdoptConnection struct{ Conn ConnID }
	// StopRecording ends the records of requests: nobody would reclaim anything.
	StopRecording struct{}
)

func (SendHello) targetEffect()       {}
func (SendReady) targetEffect()       {}
func (ApplyState) targetEffect()      {}
func (AdoptConnection) targetEffect() {}
func (StopRecording) targetEffect()   {}
func (StartAccepting) targetEffect()  {}
func (Exit) targetEffect()            {}

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
