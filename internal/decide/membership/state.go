package membership

// State is what this member concludes about a member.
type State uint8

// Member states. The values are part of SavedState.
const (
	Unknown         State = iota // configured, but no record was received since the start
	Alive                        // no member reports that it does not hear it
	Suspect                      // some members do not hear it, and the cause is not known yet
	PartlyReachable              // some members do not hear it while others do, or it hears no other member itself
	Dead                         // none of its monitors hears it, and this side has a majority of the fleet
	Unreachable                  // none of its monitors hears it, but it may be on the side of a partition that has the majority
	Departed                     // it announced its shutdown
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

// hasFailed reports whether the state results from a quorum of witnesses.
func (s State) hasFailed() bool { return s == Dead || s == Unreachable }

// View identifies the set of serving members as one member sees it. Equal sets have equal digests. Number increases
// with each view that a member installs and is raised to the numbers that others report. The CBOR keys are those of
// SavedState.
type View struct {
	Number uint32 `cbor:"Number"`
	Digest uint32 `cbor:"Digest"`
	Size   int    `cbor:"Size"` // number of members
}
