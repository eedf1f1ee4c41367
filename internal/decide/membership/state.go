package membership

// State is what this member concludes about another one.
type State uint8

// Member states. The values are part of SavedState.
const (
	Unknown         State = iota // named by the settings and not heard of since the start
	Alive                        // every member that should hear it does
	Suspect                      // some don't hear it, and it is not yet known why
	PartlyReachable              // some don't hear it and others do, or it hears nobody itself
	Dead                         // none of its monitors hears it, and this side has a majority of the fleet
	Unreachable                  // none of its monitors hears it, but it may be with a majority of the fleet elsewhere
	Departed                     // it announced its shutdown
)

// stateNames are the texts of logs, counters, and the operators' overview.
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

// InView tells whether members in this state belong to the view.
func (s State) InView() bool { return s == Alive || s == Suspect || s == PartlyReachable }

// hasFailed tells whether the state is one that a quorum of witnesses brought about.
func (s State) hasFailed() bool { return s == Dead || s == Unreachable }

// View is the set of serving members as one member sees it. Equal sets have equal digests. Number orders the views of
// one member and is raised to those of others. The CBOR keys are those of SavedState.
type View struct {
	Number uint32 `cbor:"Number"`
	Digest uint32 `cbor:"Digest"`
	Size   int    `cbor:"Size"`
}
