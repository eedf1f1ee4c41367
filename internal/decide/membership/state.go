package membership

// State is what this member concludes about a member, which may be itself.
type State uint8

// Member states. The values are part of SavedState.
const (
	// Unknown means that no record of the member was received since the start.
	Unknown State = iota
	// Alive means that no other member states that it does not hear the member.
	Alive
	// Suspect means that some members do not hear the member, and that the cause is not known yet.
	Suspect
	// PartlyReachable means that some members do not hear the member, but that others do or that none of these
	// statements counts against it.
	PartlyReachable
	// Dead means that a quorum of members does not hear the member, that no member states that it does, and that this
	// part of the fleet is the majority.
	Dead
	// Unreachable is like Dead, except that the member may be alive in another part of the fleet that is the majority.
	Unreachable
	// Departed means that the member announced its shutdown.
	Departed
)

// stateNames are the names in logs, counters and the operators' overview.
var stateNames = [...]string{
	Unknown:         "unknown",
	Alive:           "alive",
	Suspect:         "suspect",
	PartlyReachable: "cut",
	Dead:            "dead",
	Unreachable:     "lost",
	Departed:        "left",
}

func (s State) String() string { return stateNames[s] }

// InView reports whether members in this state belong to the view.
func (s State) InView() bool { return s == Alive || s == Suspect || s == PartlyReachable }

// hasFailed reports whether members in this state were declared failed by a quorum of witnesses.
func (s State) hasFailed() bool { return s == Dead || s == Unreachable }

// View identifies the set of serving members as one member sees it. Equal sets have equal digests. Number increases
// with each view that a member installs and is raised to the numbers that others report. The CBOR keys are those of
// SavedState.
type View struct {
	Number uint32 `cbor:"Number"`
	Digest uint32 `cbor:"Digest"`
	Size   int    `cbor:"Size"` // number of members
}
