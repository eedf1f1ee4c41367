package core

// Statement is what a client asks an engine to run, as a frontend has read it. Each wire
// protocol has a type of its own, which the core passes on to the links unread.
type Statement interface {
	// SQL is the statement's text.
	SQL() string
}

// Result is a complete response of an engine, as its links have read it, for a frontend of the
// same wire protocol.
type Result interface {
	// Size is the number of bytes that its rows take.
	Size() int
}

// CostContext is what a CostObserver attaches to a request to learn from its cost later.
type CostContext interface {
	// Fingerprint identifies the query shape within this process.
	Fingerprint() [2]uint64
}

// LinkState is what links keep of an attempt that they were given.
type LinkState interface {
	// Owner is the attempt that the state belongs to.
	Owner() *Attempt
}
