// Package timerqueue implements a queue of timers for an event loop. The loop calls Sweep once per
// iteration to run the timers that are due.
package timerqueue

import (
	"time"

	"github.com/google/btree"
)

// btreeDegree is the degree of the B-tree: a node has up to twice as many children. It has little
// effect on the tree's speed.
const btreeDegree = 16

// Queue holds timers ordered by due time; timers due at the same time are in the order in which they
// were added. It is not safe for concurrent use.
type Queue struct {
	tree    *btree.BTreeG[*Timer]
	lastSeq uint64 // seq of the entry added last
}

// Timer is one timer of a queue.
type Timer struct {
	due   time.Duration
	seq   uint64 // position in the order of adding, from 1
	run   func()
	queue *Queue // nil once the entry has run or was stopped
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(btreeDegree, before)}
}

func before(a, b *Timer) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.seq < b.seq
}

// Add schedules run to be called by the first Sweep at or after the time due. The returned entry can
// be used to stop it.
func (q *Queue) Add(due time.Duration, run func()) *Timer {
	q.lastSeq++
	e := &Timer{due: due, seq: q.lastSeq, run: run, queue: q}
	q.tree.ReplaceOrInsert(e)
	return e
}

// Stop removes the entry from its queue. Stopping a nil entry, or one that has run or was
// stopped, does nothing.
func (e *Timer) Stop() {
	if e == nil || e.queue == nil {
		return
	}
	e.queue.tree.Delete(e)
	e.release()
}

// release drops the references to the queue and the function, so that a caller that keeps the entry
// does not keep them in memory.
func (e *Timer) release() {
	e.queue = nil
	e.run = nil
}

// RunDue runs all entries that are due at the time now. Entries added during the sweep wait for the
// next one even if they are due already: otherwise an entry that adds itself again could block the
// event loop forever.
func (q *Queue) RunDue(now time.Duration) {
	lastBefore := q.lastSeq
	var deferred []*Timer
	for {
		e, ok := q.tree.Min()
		if !ok || e.due > now {
			break
		}
		q.tree.DeleteMin()
		if e.seq > lastBefore {
			deferred = append(deferred, e)
			continue
		}
		run := e.run
		e.release()
		run()
	}
	for _, e := range deferred {
		stopped := e.queue == nil
		if !stopped {
			q.tree.ReplaceOrInsert(e)
		}
	}
}

// Next returns the due time of the earliest entry. ok is false if the queue is empty.
func (q *Queue) Next() (due time.Duration, ok bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.due, true
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.tree.Len() }
