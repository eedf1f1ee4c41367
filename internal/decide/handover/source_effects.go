package handover

// SourceEffect is what the caller of Source.Step carries out.
type SourceEffect interface{ sourceEffect() }

// Effects of the source.
type (
	// StartTarget starts the target, with the channel and the listener.
	StartTarget struct{}
	// SendState sends the state of this process to the target.
	SendState struct{}
	// StopAccepting pauses the listener. It stays open.
	StopAccepting struct{}
	// StartAccepting resumes the listener. Target has this effect too.
	StartAccepting struct{}
	// SendServe tells the target to serve the connections that it receives.
	SendServe struct{}
	// TransferConnection stops reading a connection and sends it with its state; a duplicate is
	// kept. TransferCancelled follows if a request has arrived meanwhile.
	TransferConnection struct{ Conn ConnID }
	// SendCommit tells the target that it is the owner for good.
	SendCommit struct{}
	// ReleaseDuplicate closes the duplicate of a connection.
	ReleaseDuplicate struct{ Conn ConnID }
	// KillTarget kills the target. TargetExited follows.
	KillTarget struct{}
	// ReclaimConnection takes a transferred connection back. Recover decides on its request once
	// the kernel has told how much of its answer was written.
	ReclaimConnection struct {
		Conn    ConnID
		Request Request
	}
	// ReportOutcome tells whoever asked for the upgrade how it ended.
	ReportOutcome struct{ Failure Failure }
	// BeginShutdown begins the graceful shutdown that was requested during the upgrade.
	BeginShutdown struct{}
	// Exit ends the process: nothing is left to do. Target has this effect too.
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
