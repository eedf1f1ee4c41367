package core

// Statement is a client's statement as a frontend parsed it. Each wire protocol has its own type. The
// core passes it to the backend without inspecting it.
type Statement interface {
	// SQL returns the statement's text.
	SQL() string
}

// Result is an engine's response as a backend parsed it, for a frontend of the same wire protocol.
type Result interface {
	// Size returns the size of the rows in bytes.
	Size() int
}

// CostContext is data that a CostObserver attaches to a request, to attribute the request's cost
// later.
type CostContext interface {
	// Fingerprint identifies the query shape within this process.
	Fingerprint() [2]uint64
}

// BackendState is a backend's own state of an attempt.
type BackendState interface {
	// Owner returns the attempt that the state belongs to.
	Owner() *Attempt
}
