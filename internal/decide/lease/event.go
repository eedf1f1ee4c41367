package lease

// Event is an input of a Node: a Tick, a MessageReceived, a Demand or a LiveMembers.
type Event interface{ isEvent() }

// Tick reports that time has passed. One is due every Node.TickInterval; a Node ignores earlier ones.
type Tick struct{}

// MessageReceived reports a message of another member. The caller has authenticated the sender.
type MessageReceived struct {
	From    MemberID
	Payload []byte
}

// Demand reports the quota of an engine that this member could use, out of FullCapacity. 0 means that it does not use
// the engine any more.
type Demand struct {
	Engine EngineID
	Quota  int
}

// LiveMembers reports the members that serve, in this member's view. The view influences who becomes leader, but never
// how much is leased.
type LiveMembers struct{ IDs []MemberID }

func (Tick) isEvent()            {}
func (MessageReceived) isEvent() {}
func (Demand) isEvent()          {}
func (LiveMembers) isEvent()     {}

// Send is a message to another member, the only output of a Node.
type Send struct {
	To      MemberID
	Payload []byte
}
