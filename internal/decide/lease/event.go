package lease

// Event is something that happens to a Node: a Tick, a MessageReceived, a Demand or LiveMembers.
type Event interface{ isEvent() }

// Tick says that time has passed. One is due every TickInterval.
type Tick struct{}

// MessageReceived is a message of another member. The caller has checked who sent it.
type MessageReceived struct {
	From    ID
	Payload []byte
}

// Demand is the quota of an engine that this member could use; 0: none any more.
type Demand struct {
	Engine EngineID
	Quota  int
}

// LiveMembers are the members that serve, as this one sees it. They decide who leads, and never how much is leased.
type LiveMembers struct{ IDs []ID }

func (Tick) isEvent()            {}
func (MessageReceived) isEvent() {}
func (Demand) isEvent()          {}
func (LiveMembers) isEvent()     {}

// Send is the only action: a message to another member.
type Send struct {
	To      ID
	Payload []byte
}
