package handover

// SourceEvent is an input of Source.
type SourceEvent interface{ sourceEvent() }

// TargetMessage is a SourceEvent that the target has sent over the channel, and so a sign of life.
type TargetMessage interface {
	SourceEvent
	targetMessage()
}

// Events of the source's own process.
type (
	// UpgradeRequested asks for an upgrade. UsualBadShare is the current share of answers of this
	// process that are rejections or failures: the target is judged relative to it.
	UpgradeRequested struct{ UsualBadShare float64 }
	// StopRequested asks for a graceful shutdown.
	StopRequested struct{}
	// ConnectionAccepted reports a new connection of the source. IDs must rise.
	ConnectionAccepted struct{ Conn ConnID }
	// ConnectionBusy reports that a connection of the source can't be transferred now.
	ConnectionBusy struct{ Conn ConnID }
	// ConnectionIdle reports that a connection of the source can be transferred.
	ConnectionIdle struct{ Conn ConnID }
	// TransferCancelled reports that a connection could not be transferred: a request has arrived
	// on it meanwhile.
	TransferCancelled struct{ Conn ConnID }
	// ConnectionClosed reports that a connection of the source has ended.
	ConnectionClosed struct{ Conn ConnID }
	// TargetExited reports that the target is dead and that the channel was read to its end.
	TargetExited struct{}
	// TargetMemory reports the resident memory of the target.
	TargetMemory struct{ Bytes int64 }
	// Tick reports that time has passed.
	Tick struct{}
)

// Messages of the target.
type (
	// TargetHello is its first message. Problem is why it can't take over, such as a
	// configuration that it can't read or a limit that is too low; "" if it can.
	TargetHello struct {
		Version Version
		Problem string
	}
	// TargetReady says that it has applied the state and could serve.
	TargetReady struct{}
	// TargetHeartbeat counts its answers since the last heartbeat, and its requests in flight.
	TargetHeartbeat struct{ Good, Bad, InFlight int }
	// RequestRecorded is its record of the request on a connection.
	RequestRecorded struct {
		Conn    ConnID
		Request Request
	}
	// TargetActive is any other message.
	TargetActive struct{}
	// TargetClosedConnection says that a connection of the target has ended.
	TargetClosedConnection struct{ Conn ConnID }
)

func (UpgradeRequested) sourceEvent()       {}
func (StopRequested) sourceEvent()          {}
func (ConnectionAccepted) sourceEvent()     {}
func (ConnectionBusy) sourceEvent()         {}
func (ConnectionIdle) sourceEvent()         {}
func (TransferCancelled) sourceEvent()      {}
func (ConnectionClosed) sourceEvent()       {}
func (TargetExited) sourceEvent()           {}
func (TargetMemory) sourceEvent()           {}
func (Tick) sourceEvent()                   {}
func (TargetHello) sourceEvent()            {}
func (TargetReady) sourceEvent()            {}
func (TargetHeartbeat) sourceEvent()        {}
func (RequestRecorded) sourceEvent()        {}
func (TargetActive) sourceEvent()           {}
func (TargetClosedConnection) sourceEvent() {}

func (TargetHello) targetMessage()            {}
func (TargetReady) targetMessage()            {}
func (TargetHeartbeat) targetMessage()        {}
func (RequestRecorded) targetMessage()        {}
func (TargetActive) targetMessage()           {}
func (TargetClosedConnection) targetMessage() {}

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
