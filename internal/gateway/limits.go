package gateway

import (
	"runtime"
	"runtime/debug"
)

const (
	defaultMemoryMB       = 192  // if the configuration has no memory limit
	defaultMaxDescriptors = 1024 // if the configuration has no descriptor limit

	// minClients is the number of clients that are admitted however low the descriptor limit is.
	minClients = 8
	// closingClients is the number of descriptors set aside for client connections that are being closed.
	closingClients = 32

	// maxProcs is the GOMAXPROCS value. It is more than one even on a single core, because the wait of the loop's poller
	// holds a P.
	maxProcs = 3
)

// limits are the configured resource limits of this process. Zero means not configured.
type limits struct {
	memoryMB       int // memory in MiB
	maxDescriptors int // file descriptors
	maxClients     int // client connections
}

// memoryFraction returns 1/n of the memory limit, in bytes.
func (l limits) memoryFraction(n int) int {
	memoryMB := l.memoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20 / n
}

// bufferBytes returns the number of bytes that the buffers of all connections together may hold.
func (l limits) bufferBytes() int { return l.memoryFraction(6) }

// unsentBytes returns the number of bytes that may wait to be sent on all connections together.
func (l limits) unsentBytes() int { return l.memoryFraction(8) }

// maxClientsFor returns the number of clients that a descriptor limit allows. A quarter of the descriptors is left to
// engines, discovery and the program itself.
func maxClientsFor(maxDescriptors int) int {
	if maxDescriptors <= 0 {
		maxDescriptors = defaultMaxDescriptors
	}
	return max(maxDescriptors*3/4-closingClients, minClients)
}

// limitRuntime sets the garbage collector's limit to 60% of the memory limit, so that the process stays well below it, and
// sets GOMAXPROCS.
func limitRuntime(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
	}
	runtime.GOMAXPROCS(maxProcs)
}
