package handover

// SourceEvent is an input of Source.
type SourceEvent interface{ sourceEvent() }

// TargetMessage is a SourceEvent that the target has sent over the channel. Each one restarts
// Config.HeartbeatTimeout.
type TargetMessage interface {
	SourceEvent
	targetMessage()
}

// Events of the source's own process.
type (
	// UpgradeRequested asks for an upgrade. UsualFailureRate is the current fraction of this process's
	// responses that are rejections or failures, 0 to 1. The target's failure rate is judged relative
	// to it.
	UpgradeRequested struct{ UsualFailureRate float64 }
	// StopRequested asks for a graceful shutdown of the process.
	StopRequested struct{}
	// ConnectionAccepted reports a new connection of the source. Its ID must be higher than all
	// earlier ones.
	ConnectionAccepted struct{ Conn ConnID }
	// ConnectionBusy reports that a connection of the source can't be transferred now, as a request is
	// in flight on it or a message is partly read or written.
	ConnectionBusy struct{ Conn ConnID }
	// ConnectionIdle reports that a connection of the source can be transferred now.
	ConnectionIdle struct{ Conn ConnID }
	// TransferCancelled reports that a TransferConnection effect was not carried out, for example
	// because a request has arrived on the connection meanwhile. The connection stays at the source
	// and counts as busy. In Finishing the event is ignored, as the source has already removed the
	// connection from its table.
	TransferCancelled struct{ Conn ConnID }
	// ConnectionClosed reports that a connection of the source was closed.
	ConnectionClosed struct{ Conn ConnID }
	// TargetExited reports that the target is dead and that the channel was read to its end. The order
	// matters: a request whose last record is unread could be recovered wrongly.
	TargetExited struct{}
	// TargetMemory reports the resident memory of the target in bytes.
	TargetMemory struct{ Bytes int64 }
	// Tick reports that time has passed, so that timeouts are checked.
	Tick struct{}
)

// Messages of the target.
type (
	// TargetHello is the target's first message. Problem is why the target can't take over, such as an
	// unreadable configuration or a resource limit that is too low; "" if it can take over.
	TargetHello struct {
		Version Version
		Problem string
	}
	// TargetReady reports that the target has applied the state and is ready to serve.
	TargetReady struct{}
	// TargetHeartbeat reports the target's successful and failed responses since its previous
	// heartbeat, and its requests in flight.
	TargetHeartbeat struct{ Successes, Failures, InFlight int }
	// RequestRecorded is the target's record of the request on a connection. It replaces the previous
	// record of that connection.
	RequestRecorded struct {
		Conn    ConnID
		Request Request
	}
	// TargetActive stands for any other message of the target. It only restarts the heartbeat timeout.
	TargetActive struct{}
	// TargetClosedConnection reports that a connection of the target was closed.
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
