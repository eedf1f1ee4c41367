package gateway

import (
	"runtime"
	"runtime/debug"
)

const (
	defaultMemoryMB = 192
	defaultSockets  = 1024

	minClients = 8
	// closingClients is how many descriptors are left to clients that are being closed.
	closingClients = 32

	// maxProcs is the number of Ps. More than one, also on one core: the poller's wait holds one.
	maxProcs = 3
)

// limits are the configuration's bounds of this process; 0: not given.
type limits struct {
	memoryMB   int
	sockets    int // descriptors
	maxClients int // connections of clients
}

// memoryFraction is the n-th part of the memory, in bytes.
func (l limits) memoryFraction(n int) int {
	memoryMB := l.memoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20 / n
}

// bufferBytes is what the buffers of all connections may hold.
func (l limits) bufferBytes() int { return l.memoryFraction(6) }

// clientsOf is how many clients a limit on descriptors has room for. A quarter is left to engines, discovery and the program
// itself.
func clientsOf(sockets int) int {
	if sockets <= 0 {
		sockets = defaultSockets
	}
	return max(sockets*3/4-closingClients, minClients)
}

// limitRuntime keeps the garbage collector well under the memory limit.
func limitRuntime(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
	}
	runtime.GOMAXPROCS(maxProcs)
}
