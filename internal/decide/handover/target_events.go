package handover

// TargetEvent is an input of Target.
type TargetEvent interface{ targetEvent() }

// Events of the target.
type (
	// TargetStarted reports that the process has started and read its configuration. Problem is why it
	// can't take over; "" if it can.
	TargetStarted struct{ Problem string }
	// StateReceived reports that the source's state has arrived.
	StateReceived struct{}
	// StateApplied reports that the source's state has been applied.
	StateApplied struct{}
	// ServeRequested reports the source's command to serve the connections that it transfers.
	ServeRequested struct{}
	// ConnectionReceived reports a connection that the source has transferred.
	ConnectionReceived struct{ Conn ConnID }
	// OwnershipCommitted reports the source's message that the target is the permanent owner.
	OwnershipCommitted struct{}
	// SourceExited reports the end of the channel, which proves that the source is dead.
	SourceExited struct{}
)

func (TargetStarted) targetEvent()      {}
func (StateReceived) targetEvent()      {}
func (StateApplied) targetEvent()       {}
func (ServeRequested) targetEvent()     {}
func (ConnectionReceived) targetEvent() {}
func (OwnershipCommitted) targetEvent() {}
func (SourceExited) targetEvent()       {}

// TargetEffect is an action that the caller of Target.Step carries out.
type TargetEffect interface{ targetEffect() }

// Effects of the target, in addition to StartAccepting and Exit.
type (
	// SendHello sends the target's first message to the source. Problem is why the target can't take
	// over; "" if it can.
	SendHello struct {
		Version Version
		Problem string
	}
	// SendReady tells the source that the target is ready to serve.
	SendReady struct{}
	// ApplyState begins to apply the source's state. The caller reports StateApplied when it is done.
	ApplyState struct{}
	// AdoptConnection takes over a connection that the source has transferred.
	AdoptConnection struct{ Conn ConnID }
	// StopRecording stops sending records of requests, as no source remains that could reclaim a
	// connection.
	StopRecording struct{}
)

func (SendHello) targetEffect()       {}
func (SendReady) targetEffect()       {}
func (ApplyState) targetEffect()      {}
func (AdoptConnection) targetEffect() {}
func (StopRecording) targetEffect()   {}
func (StartAccepting) targetEffect()  {}
func (Exit) targetEffect()            {}
