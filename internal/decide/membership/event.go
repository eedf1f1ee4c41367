package membership

// Event is an input of a Node: a Tick, a DatagramReceived or a Leave.
type Event interface{ isEvent() }

// Tick signals that time has passed. The caller delivers one every TickInterval.
type Tick struct{}

// DatagramReceived is a datagram that arrived from the address of the member From.
type DatagramReceived struct {
	From    ID
	Payload []byte
}

// Leave requests a graceful shutdown of this member.
type Leave struct{}

func (Tick) isEvent()             {}
func (DatagramReceived) isEvent() {}
func (Leave) isEvent()            {}

// Action is an output of a Node for its caller to carry out: a Send, or a ViewChanged or MemberReport to publish.
type Action interface{ isAction() }

// Send asks the caller to send a datagram to a member.
type Send struct {
	To      ID
	Payload []byte
}

// ViewChanged reports that this member has installed a new view.
type ViewChanged struct {
	// View is the installed view.
	View View
	// Majority reports whether the view holds more than half of the recent fleet: the members in the view, the
	// unreachable ones and those declared dead recently. Without a majority, either this member is in the smaller part
	// of a partitioned fleet or most other members have failed; it cannot tell which.
	Majority bool
}

// MemberReport reports a state change, a refutation or a self-suspicion of one member to operators.
type MemberReport struct {
	Member    ID     // the member that the report is about
	State     State  // its state, which is the new one after a change
	Reason    Reason // why the report was made
	Witnesses []ID   // members that do not hear Member; nil in the report of a self-suspicion
}

func (Send) isAction()         {}
func (ViewChanged) isAction()  {}
func (MemberReport) isAction() {}
