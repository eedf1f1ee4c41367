package netio

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

const (
	// descriptorsPerDial is the number of descriptors that a dial may hold at once: the socket, and its
	// duplicate for the poller.
	descriptorsPerDial = 2
	// ReservedDescriptors is the number of spare descriptors that DialReserved may use: a connection may
	// still be open while its successor is dialed.
	ReservedDescriptors = descriptorsPerDial + 2
)

// descriptorBudget bounds the descriptors that connections and dials hold together. The zero value sets no bound.
type descriptorBudget struct {
	process  int // descriptors that the process may hold; 0 if there is no budget
	reserved int // the part of process that is kept from connections and dials
	limit    int // descriptors that connections and dials may hold together; 0 for no limit
}

// newDescriptorBudget returns a budget that reserves the descriptors open now and spare more.
func newDescriptorBudget(process, spare int) (descriptorBudget, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return descriptorBudget{}, fmt.Errorf("count the open descriptors: %w", err)
	}
	b := descriptorBudget{process: process, reserved: len(entries) + spare}
	b.setShare(1)
	return b, nil
}

// setShare sets the limit to a fraction of the process's descriptors, less the reserved ones.
func (b *descriptorBudget) setShare(fraction float64) {
	if b.process > 0 {
		b.limit = max(int(fraction*float64(b.process))-b.reserved, 1)
	}
}

// allowsDial reports whether one more dial may begin, given the open connections and the dials in progress.
func (b *descriptorBudget) allowsDial(conns, dials int) bool {
	return b.limit <= 0 || conns+descriptorsPerDial*(dials+1) <= b.limit
}

// LimitDescriptors bounds the descriptors that connections and dials hold together to process, the number
// that the process may hold, less those open now and spare more. Beyond the bound, all dials except
// DialReserved fail with EMFILE, as they do when the descriptor table is full. This leaves descriptors for the
// control endpoint, the endpoint list and files. It is called once, before there are connections.
func (l *Loop) LimitDescriptors(process, spare int) error {
	budget, err := newDescriptorBudget(process, spare)
	if err != nil {
		return err
	}
	l.descriptors = budget
	return nil
}

// SetDescriptorShare restricts this process to a fraction of its descriptors and leaves the rest to other
// processes under the same limit. A fraction of 1 is the initial state.
func (l *Loop) SetDescriptorShare(fraction float64) { l.descriptors.setShare(fraction) }

// IsDescriptorShortage reports whether an operation failed because no file descriptor was free.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
