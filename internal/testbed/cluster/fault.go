package cluster

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"gannetspur/internal/testbed/faultproxy"

	"golang.org/x/sys/unix"
)

// Fault is one scheduled fault of front ends, or of the network paths between them.
type Fault struct {
	At    time.Duration // start, relative to the start of the span
	For   time.Duration // duration of a fault that ends; 0: until the end of the run
	Do    Do
	Who   []int           // affected front ends, numbered from 0
	To    []int           // of path faults: destination front ends; nil: all others
	Back  bool            // of path faults: the opposite direction is affected too
	Share float64         // fraction of the datagrams, or of the time for Starve; 0 to 1
	Slow  time.Duration   // of Slow: the minimum additional latency
	Side  Side            // of Link: connections to engines (numbers in To, from 0; nil: all), to the bus, or from clients
	Kind  faultproxy.Kind // of Link: the fault to inject
}

// Do is a kind of fault, as experiment files write it.
type Do string

// Kinds of fault.
const (
	Cut     Do = "cut"     // no datagram passes
	Lossy   Do = "lossy"   // the share Share of the datagrams is lost
	Twice   Do = "twice"   // the share Share is duplicated
	Spoil   Do = "spoil"   // one byte of the share Share is corrupted
	Slow    Do = "slow"    // latency rises by Slow, plus a random part of up to Slow
	Pause   Do = "pause"   // SIGSTOP, and SIGCONT later
	Crash   Do = "crash"   // SIGKILL
	Stop    Do = "stop"    // SIGTERM
	Start   Do = "start"   // starts a front end that ended
	Restart Do = "restart" // SIGKILL, then an immediate start

	Replace    Do = "replace"     // a new process takes over, then the old one gets SIGTERM
	ReplaceOld Do = "replace-old" // the same with SIGKILL: the old process dies during the handover
	ReplaceNew Do = "replace-new" // the new process dies during the handover, and the old one continues
	Starve     Do = "starve"      // stopped for the share Share of each 100 ms
	DiskFull   Do = "disk-full"   // file writes fail (RLIMIT_FSIZE 0)
	NoFiles    Do = "no-files"    // no further file descriptors (RLIMIT_NOFILE)
	Link       Do = "link"        // the connections on Side get the fault Kind
)

// phase is the beginning or the end of a fault.
type phase int

// The two phases of a fault.
const (
	faultBegins phase = iota
	faultEnds
)

// Kinds lists all kinds of fault.
var Kinds = []Do{Cut, Lossy, Twice, Spoil, Slow, Pause, Crash, Stop, Start, Restart, Replace, ReplaceOld, ReplaceNew, Starve, DiskFull, NoFiles, Link}

// applyFault begins or ends a fault, depending on the phase.
func (t *cluster) applyFault(f Fault, at phase) error {
	switch f.Do {
	case Cut, Lossy, Twice, Spoil, Slow:
		t.disturb(f, at)
	case Pause:
		for _, n := range f.Who {
			t.pause(n, at)
		}
	case Crash, Stop, Restart, Start:
		return t.endOrStart(f)
	case Replace, ReplaceOld, ReplaceNew:
		for _, n := range f.Who {
			t.replacements.Go(func() { t.replace(n, f.Do) })
		}
	case Link:
		if at == faultBegins { // the proxy ends the fault by itself
			t.disturbConnections(f)
		}
	default:
		return t.limitResources(f, at)
	}
	return nil
}

// disturb changes the paths of datagrams between front ends, or restores them.
func (t *cluster) disturb(f Fault, at phase) {
	to := f.To
	if to == nil {
		for i := range t.frontEnds {
			if !slices.Contains(f.Who, i) {
				to = append(to, i)
			}
		}
	}
	change := func(set func(*path)) {
		t.mesh.change(f.Who, to, set)
		if f.Back {
			t.mesh.change(to, f.Who, set)
		}
	}
	share, slow := f.Share, f.Slow
	if at == faultEnds {
		share, slow = 0, 0
	}
	switch f.Do {
	case Cut:
		change(func(p *path) { p.cut = at == faultBegins })
		t.notePartition(f, to, at)
	case Lossy:
		change(func(p *path) { p.loss = share })
	case Twice:
		change(func(p *path) { p.duplicated = share })
	case Spoil:
		change(func(p *path) { p.corrupted = share })
	case Slow:
		change(func(p *path) { p.delay = slow })
	}
}

// pause stops a process with SIGSTOP, or continues it.
func (t *cluster) pause(n int, at phase) {
	if at == faultBegins {
		t.markDown(n, true)
		t.frontEnds[n].signal(syscall.SIGSTOP, false)
		return
	}
	t.frontEnds[n].signal(syscall.SIGCONT, false)
	t.markUp(n)
}

// endOrStart stops processes, starts them, or does both. It first waits for replacements in progress at these front ends.
func (t *cluster) endOrStart(f Fault) error {
	for _, n := range f.Who {
		t.frontEnds[n].lifecycle.Lock()
		defer t.frontEnds[n].lifecycle.Unlock()
	}
	if f.Do != Start {
		if err := t.kill(f); err != nil {
			return err
		}
	}
	if f.Do == Restart || f.Do == Start {
		return t.startAgain(f.Who)
	}
	return nil
}

// disturbConnections starts a fault on the connections of front ends on a side.
func (t *cluster) disturbConnections(f Fault) {
	for _, n := range f.Who {
		t.proxies[n].inject(f.Side, f.To, f.Kind, f.For)
		if f.Side == Clients {
			t.noteBrokenConnections(n, f.For, false)
		}
	}
}

// replace replaces the process of a front end while the schedule continues. It records an error in t.failed.
func (t *cluster) replace(n int, how Do) {
	var err error
	switch how {
	case ReplaceNew: // the serving process continues, with all its clients
		err = t.frontEnds[n].replaceAborted()
	case ReplaceOld:
		t.noteBrokenConnections(n, startTimeout, false)
		err = t.frontEnds[n].replace(syscall.SIGKILL)
	default:
		t.noteBrokenConnections(n, startTimeout, true)
		err = t.frontEnds[n].replace(syscall.SIGTERM)
	}
	if err != nil {
		t.mu.Lock()
		t.failed = errors.Join(t.failed, fmt.Errorf("%s: %w", how, err))
		t.mu.Unlock()
	}
}

// noteBrokenConnections records that client connections of a front end, or only the idle ones, may close within maxTime.
func (t *cluster) noteBrokenConnections(n int, maxTime time.Duration, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.spans = append(t.spans, span{who: n, from: now, to: now.Add(maxTime), disconnected: !idle, idleDisconnected: idle})
}

// starvePeriod is the interval at which a process starved of CPU time is stopped.
const starvePeriod = 100 * time.Millisecond

// limitResources limits the CPU time, file size or file descriptors of processes, or lifts the limit.
func (t *cluster) limitResources(f Fault, at phase) error {
	for _, n := range f.Who {
		p := t.frontEnds[n]
		var err error
		switch f.Do {
		case Starve:
			if end := t.starving[n]; end != nil {
				end()
				delete(t.starving, n)
			}
			if at == faultBegins {
				t.starving[n] = p.starve(time.Duration(f.Share * float64(starvePeriod)))
			}
		case DiskFull:
			err = t.setLimit(n, unix.RLIMIT_FSIZE, 0, at)
		case NoFiles:
			var open uint64
			if open, err = p.openDescriptors(); err == nil {
				err = t.setLimit(n, unix.RLIMIT_NOFILE, open, at)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// setLimit sets a soft resource limit of a front end at the beginning of a fault, and restores it at the end.
func (t *cluster) setLimit(n, resource int, cur uint64, at phase) error {
	key := limitKey{n, resource}
	if at == faultEnds {
		cur = t.limits[key]
	}
	previous, err := t.frontEnds[n].setLimit(resource, cur)
	if err == nil && at == faultBegins {
		t.limits[key] = previous
	}
	return err
}

// kill ends processes with the signal of the fault and waits for their end.
func (t *cluster) kill(f Fault) error {
	for _, n := range f.Who {
		s := syscall.SIGKILL
		if f.Do == Stop {
			s = syscall.SIGTERM
		}
		t.markDown(n, f.Do == Restart)
		t.frontEnds[n].signal(s, true)
	}
	for _, n := range f.Who {
		if err := t.frontEnds[n].wait(); err != nil {
			return err
		}
		if f.Do != Restart { // as if the machine were gone: connecting clients are refused instead of waiting in the backlog
			t.frontEnds[n].closeSocket()
		}
	}
	return nil
}

// startAgain starts front ends that ended, all at the same time.
func (t *cluster) startAgain(who []int) error {
	errs := make([]error, len(who))
	var all sync.WaitGroup
	for i, n := range who {
		all.Go(func() {
			if t.sharedSockets && t.frontEnds[n].socket == nil {
				errs[i] = t.frontEnds[n].openSocket()
			}
			errs[i] = errors.Join(errs[i], t.start(n))
			t.markUp(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// markDown records that a process is down from now on. inView says whether the front end still belongs in the views.
func (t *cluster) markDown(n int, inView bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up[n] = inView
	t.spans = append(t.spans, span{who: n, from: time.Now(), down: true})
}

// markUp records that a front end is running again.
func (t *cluster) markUp(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.spans {
		if s := &t.spans[i]; s.who == n && s.down && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// notePartition records between which front ends at least one direction is cut, or no longer is.
func (t *cluster) notePartition(f Fault, to []int, at phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add := func(n int, others []int) {
		if at == faultBegins {
			t.spans = append(t.spans, span{who: n, from: time.Now(), unreachable: others})
			return
		}
		for i := range t.spans {
			if s := &t.spans[i]; s.who == n && !s.down && s.to.IsZero() && slices.Equal(s.unreachable, others) {
				s.to = time.Now()
			}
		}
	}
	for _, n := range f.Who {
		add(n, to)
	}
	for _, n := range to {
		add(n, f.Who)
	}
}
