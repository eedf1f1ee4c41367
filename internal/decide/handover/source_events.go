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
	// UpgradeRequested asks for an upgrade. UsualFailureRate is the current share of answers of this
	// process that are rejections or failures: the target is judged relative to it.
	UpgradeRequested struct{ UsualFailureRate float64 }
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
	TargetHeartbeat struct{ Successes, Failures, InFlight int }
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
