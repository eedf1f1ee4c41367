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

// Fault is what happens to front ends, or to the ways from some to others, at a time.
type Fault struct {
	At    time.Duration
	For   time.Duration // pauses and changes of ways last so long; 0: to the end
	Do    Do
	Who   []int // front ends from 0
	To    []int // of ways: to these; nil: to all others
	Back  bool  // and the way back
	Share float64
	Slow  time.Duration
	Side  Side            // of Link: ways to engines (of the numbers in To, from 0; nil: all), to the bus, or from clients
	Kind  faultproxy.Kind // of Link
}

// Do is a kind of fault.
type Do string

// Kinds of fault.
const (
	Cut     Do = "cut"     // nothing passes
	Lossy   Do = "lossy"   // a share is lost
	Twice   Do = "twice"   // a share comes twice
	Spoil   Do = "spoil"   // of a share a byte is changed
	Slow    Do = "slow"    // datagrams take so much longer, and up to as much again
	Pause   Do = "pause"   // SIGSTOP, and SIGCONT later
	Crash   Do = "crash"   // SIGKILL
	Stop    Do = "stop"    // SIGTERM
	Start   Do = "start"   // what ended starts again
	Restart Do = "restart" // SIGKILL, and a start at once

	Replace    Do = "replace"     // another process takes the place, then SIGTERM to the one before
	ReplaceOld Do = "replace-old" // the same, with SIGKILL: it dies in the middle
	ReplaceNew Do = "replace-new" // the other process dies in the middle, and the one before goes on
	Starve     Do = "starve"      // it stands still for Share of each tenth of a second
	DiskFull   Do = "disk-full"   // nothing more can be written to files (RLIMIT_FSIZE)
	NoFiles    Do = "no-files"    // no descriptor more than it has (RLIMIT_NOFILE)
	Link       Do = "link"        // what Kind says happens to its connections on a Side
)

// phase is a point in a fault's life.
type phase int

const (
	faultBegins phase = iota
	faultEnds
)

// Kinds are all kinds of fault.
var Kinds = []Do{Cut, Lossy, Twice, Spoil, Slow, Pause, Crash, Stop, Start, Restart, Replace, ReplaceOld, ReplaceNew, Starve, DiskFull, NoFiles, Link}

// do begins or ends a fault.
func (t *cluster) do(f Fault, at phase) error {
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
		if at == faultBegins { // it ends by itself
			t.disturbConnections(f)
		}
	default:
		return t.strain(f, at)
	}
	return nil
}

// disturb changes the paths of datagrams between front ends, or restores them.
func (t *cluster) disturb(f Fault, at phase) {
	to := f.To
	if to == nil {
		for i := range t.procs {
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

// pause stops a process or has it continue.
func (t *cluster) pause(n int, at phase) {
	if at == faultBegins {
		t.markDown(n, true)
		t.procs[n].signal(syscall.SIGSTOP, false)
		return
	}
	t.procs[n].signal(syscall.SIGCONT, false)
	t.markUp(n)
}

// endOrStart ends processes, starts them, or does both, after replacements under way there.
func (t *cluster) endOrStart(f Fault) error {
	for _, n := range f.Who {
		t.procs[n].lifecycle.Lock()
		defer t.procs[n].lifecycle.Unlock()
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

// disturbConnections has a fault happen to front ends' connections on a side.
func (t *cluster) disturbConnections(f Fault) {
	for _, n := range f.Who {
		t.proxies[n].do(f.Side, f.To, f.Kind, f.For)
		if f.Side == Clients {
			t.noteBrokenConnections(n, f.For, false)
		}
	}
}

// replace has another process take the place of a front end's, while all else goes on.
func (t *cluster) replace(n int, how Do) {
	var err error
	switch how {
	case ReplaceNew: // the process that serves goes on, with all its clients
		err = t.procs[n].replaceAborted()
	case ReplaceOld:
		t.noteBrokenConnections(n, startTimeout, false)
		err = t.procs[n].replace(syscall.SIGKILL)
	default:
		t.noteBrokenConnections(n, startTimeout, true)
		err = t.procs[n].replace(syscall.SIGTERM)
	}
	if err != nil {
		t.mu.Lock()
		t.failed = errors.Join(t.failed, fmt.Errorf("%s: %w", how, err))
		t.mu.Unlock()
	}
}

// noteBrokenConnections notes that connections of a front end's clients may end, or only idle ones.
func (t *cluster) noteBrokenConnections(n int, maxTime time.Duration, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.spans = append(t.spans, span{who: n, from: now, to: now.Add(maxTime), disconnected: !idle, idleDisconnected: idle})
}

// starvePeriod is how often a process that is starved of time stands still.
const starvePeriod = 100 * time.Millisecond

// strain takes from a process what it needs of the machine, or gives it back.
func (t *cluster) strain(f Fault, at phase) error {
	for _, n := range f.Who {
		p := t.procs[n]
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
			err = t.limit(n, unix.RLIMIT_FSIZE, 0, at)
		case NoFiles:
			var open uint64
			if open, err = p.open(); err == nil {
				err = t.limit(n, unix.RLIMIT_NOFILE, open, at)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *cluster) limit(n, resource int, cur uint64, at phase) error {
	key := limitKey{n, resource}
	if at == faultEnds {
		cur = t.limits[key]
	}
	was, err := t.procs[n].limit(resource, cur)
	if err == nil && at == faultBegins {
		t.limits[key] = was
	}
	return err
}

// kill ends processes.
func (t *cluster) kill(f Fault) error {
	for _, n := range f.Who {
		s := syscall.SIGKILL
		if f.Do == Stop {
			s = syscall.SIGTERM
		}
		t.markDown(n, f.Do == Restart)
		t.procs[n].signal(s, true)
	}
	for _, n := range f.Who {
		if err := t.procs[n].wait(); err != nil {
			return err
		}
		if f.Do != Restart { // with its machine: clients that connect are refused, and do not wait for nobody
			t.procs[n].drop()
		}
	}
	return nil
}

func (t *cluster) startAgain(who []int) error {
	errs := make([]error, len(who))
	var all sync.WaitGroup
	for i, n := range who {
		all.Go(func() {
			if t.held && t.procs[n].socket == nil {
				errs[i] = t.procs[n].hold()
			}
			errs[i] = errors.Join(errs[i], t.start(n))
			t.markUp(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// markDown notes that a process does not run from now on; counts tells that it is still one of those who serve.
func (t *cluster) markDown(n int, counts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up[n] = counts
	t.spans = append(t.spans, span{who: n, from: time.Now(), down: true})
}

func (t *cluster) markUp(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.spans {
		if s := &t.spans[i]; s.who == n && s.down && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// notePartition notes between whom nothing passes in one direction at least.
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
