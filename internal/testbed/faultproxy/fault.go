package faultproxy

import "time"

// Kind is the effect of a fault, as experiment files write it.
type Kind string

// Kinds of fault. Requests flow from the client to the server, replies from the server to the
// client.
const (
	Silence        Kind = "silence"    // both directions: bytes are held until the fault ends
	HeldRequests   Kind = "one-way"    // requests are held until the fault ends, replies pass
	DroppedReplies Kind = "lost"       // replies are read and discarded, requests pass
	Garbage        Kind = "garbage"    // one byte of each chunk of the replies is changed
	Cut            Kind = "cut"        // both connections are closed, and new ones are refused
	Reset          Kind = "reset"      // both connections are reset (RST), once at the start
	HalfClose      Kind = "half-close" // the connection to the server is closed for writing, replies pass
)

// Kinds lists all kinds of fault.
var Kinds = []Kind{Silence, HeldRequests, DroppedReplies, Garbage, Cut, Reset, HalfClose}

// Fault is one scheduled fault.
type Fault struct {
	Kind Kind
	From time.Duration // start, relative to the start of the link
	For  time.Duration // duration; 0: until the link closes; ignored by Reset and HalfClose, which happen once
}

// activeAt reports whether the fault is in effect at a time since the start of the link.
func (f Fault) activeAt(at time.Duration) bool {
	return at >= f.From && (f.For <= 0 || at < f.From+f.For)
}
