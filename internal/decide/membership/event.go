package membership

// Event is something that happens to a Node: a Tick, a DatagramReceived or a Leave.
type Event interface{ isEvent() }

// Tick says that time has passed. One is due every TickInterval.
type Tick struct{}

// DatagramReceived is a datagram that came from the address of a member.
type DatagramReceived struct {
	From    ID
	Payload []byte
}

// Leave is a graceful shutdown of this member.
type Leave struct{}

func (Tick) isEvent()             {}
func (DatagramReceived) isEvent() {}
func (Leave) isEvent()            {}

// Action is what the caller of a Node has to carry out: a Send, or a ViewChanged or MemberReport to publish.
type Action interface{ isAction() }

// Send asks for a datagram to be sent to a member.
type Send struct {
	To      ID
	Payload []byte
}

// ViewChanged reports that this member has installed another view.
type ViewChanged struct {
	View View
	// Majority tells whether the view holds more than half of the members that were in a view recently. Without a
	// majority either this member is in the smaller part of a partitioned fleet or most others have failed; it can't
	// tell which.
	Majority bool
}

// MemberReport reports a change of one member to operators.
type MemberReport struct {
	Member    ID
	State     State
	Reason    Reason
	Witnesses []ID // members that don't hear it
}

func (Send) isAction()         {}
func (ViewChanged) isAction()  {}
func (MemberReport) isAction() {}
