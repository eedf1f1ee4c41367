package handover

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
