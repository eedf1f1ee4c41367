package handover

// SourceEffect is an action that the caller of Source.Step carries out.
type SourceEffect interface{ sourceEffect() }

// Effects of the source.
type (
	// StartTarget starts the target process, which inherits the channel and the listener.
	StartTarget struct{}
	// SendState sends the state of this process to the target.
	SendState struct{}
	// StopAccepting stops accepting connections. The listener stays open.
	StopAccepting struct{}
	// StartAccepting starts to accept connections, or resumes it. It is also an effect of Target.
	StartAccepting struct{}
	// SendServe tells the target to serve the connections that it receives.
	SendServe struct{}
	// TransferConnection stops reading from a connection and sends it to the target with its state,
	// and keeps a duplicate of its descriptor. The caller reports TransferCancelled instead if a
	// request has arrived meanwhile.
	TransferConnection struct{ Conn ConnID }
	// SendCommit tells the target that it is the permanent owner of the listener and the connections.
	SendCommit struct{}
	// ReleaseDuplicate closes the source's duplicate of a connection that the target has.
	ReleaseDuplicate struct{ Conn ConnID }
	// KillTarget kills the target. The caller reports TargetExited once it is dead.
	KillTarget struct{}
	// ReclaimConnection takes a transferred connection back. Request is the target's latest record of
	// the request on it. Recover decides what happens to that request once the caller has learned
	// from the kernel how much of the response was written.
	ReclaimConnection struct {
		Conn    ConnID
		Request Request
	}
	// ReportOutcome reports the result of the upgrade to whoever requested it. A zero Failure means
	// success. After a success a second outcome, OwnerDied, is reported if the target dies while the
	// source still has connections.
	ReportOutcome struct{ Failure Failure }
	// BeginShutdown begins the graceful shutdown that was requested.
	BeginShutdown struct{}
	// Exit ends the process, which has nothing left to do. It is also an effect of Target.
	Exit struct{}
)

func (StartTarget) sourceEffect()        {}
func (SendState) sourceEffect()          {}
func (StopAccepting) sourceEffect()      {}
func (StartAccepting) sourceEffect()     {}
func (SendServe) sourceEffect()          {}
func (TransferConnection) sourceEffect() {}
func (SendCommit) sourceEffect()         {}
func (ReleaseDuplicate) sourceEffect()   {}
func (KillTarget) sourceEffect()         {}
func (ReclaimConnection) sourceEffect()  {}
func (ReportOutcome) sourceEffect()      {}
func (BeginShutdown) sourceEffect()      {}
func (Exit) sourceEffect()               {}
