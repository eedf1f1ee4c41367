// Package policy decides, for one gateway, when and on which analytic engine each query runs: admission,
// load balancing, retries, cancellation, memory grants, slow start and outlier ejection.
//
// A Gateway is a pure state machine. It takes an Event with the time and returns the Actions that the caller
// must carry out; it reads no clock, does no I/O and starts no goroutine. One goroutine at a time may call
// it. The adaptive limit on concurrency follows the paper of the project's documents (controller.go).
//
// All instants are durations since one arbitrary origin of the caller's choosing. The clock that is given to
// Handle must never go back.
package policy
