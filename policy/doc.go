// Package policy decides, for one gateway process, when each query runs and on which analytic engine. It
// covers admission control, load balancing, retries, cancellation, memory grants, slow start and outlier
// ejection.
//
// A Gateway is a pure state machine: it takes an Event and the current time, and returns the Actions that
// the caller must carry out. It reads no clock, performs no I/O and starts no goroutine. Only one goroutine
// at a time may call it. The adaptive concurrency limit (controller.go) implements the paper "An Adaptive
// Closed-Loop Approach for Timely Data Services", to which other comments refer as the paper.
//
// All instants are durations since one arbitrary origin, which the caller chooses. The time that is passed
// to Handle must never go backwards.
package policy
