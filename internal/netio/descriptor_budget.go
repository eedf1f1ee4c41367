package netio

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

const (
	// descriptorsPerDial is what a dial may take at once: the socket, and its copy for the poller.
	descriptorsPerDial = 2
	// ReservedDescriptors is what DialReserved takes of the spare descriptors: a connection may be open
	// while its successor is dialed.
	ReservedDescriptors = descriptorsPerDial + 2
)

// descriptorBudget is how many descriptors connections and dials may take together.
type descriptorBudget struct {
	process  int // descriptors that the process may hold; 0: there is no budget
	reserved int // of them, what connections and dials may not take
	limit    int // of connections and dials; 0: no limit
}

// newDescriptorBudget returns a budget that leaves out what is open now and spare more.
func newDescriptorBudget(process, spare int) (descriptorBudget, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return descriptorBudget{}, fmt.Errorf("count the open descriptors: %w", err)
	}
	b := descriptorBudget{process: process, reserved: len(entries) + spare}
	b.setShare(1)
	return b, nil
}

// setShare sets the limit for a fraction of the process's descriptors.
func (b *descriptorBudget) setShare(fraction float64) {
	if b.process > 0 {
		b.limit = max(int(fraction*float64(b.process))-b.reserved, 1)
	}
}

// allowsDial reports whether one more dial may begin.
func (b *descriptorBudget) allowsDial(conns, dials int) bool {
	return b.limit <= 0 || conns+descriptorsPerDial*(dials+1) <= b.limit
}

// LimitDescriptors bounds the descriptors that connections and dials take together: of those that the process
// may hold, what it has open by now and spare are left out. Past it dials fail as they do when the
// table is full, but for DialReserved. Guards against a control endpoint, an endpoint list or a file
// that finds no descriptor. It is called once, before there are connections.
func (l *Loop) LimitDescriptors(process, spare int) error {
	budget, err := newDescriptorBudget(process, spare)
	if err != nil {
		return err
	}
	l.descriptors = budget
	return nil
}

// SetDescriptorShare leaves all but a fraction of the process's descriptors to other processes under
// the same limit.
func (l *Loop) SetDescriptorShare(fraction float64) { l.descriptors.setShare(fraction) }

// IsDescriptorShortage reports whether an operation failed because no file descriptor was free.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
