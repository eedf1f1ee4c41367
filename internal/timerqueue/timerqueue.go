// Package timerqueue implements a queue of timers for an event loop. The loop calls RunDue once per
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
	lastSeq uint64 // seq of the timer added last
}

// Timer is one timer of a queue.
type Timer struct {
	due   time.Duration
	seq   uint64 // position in the order of adding, from 1
	run   func()
	queue *Queue // nil once the timer has run or was stopped
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

// Add schedules run to be called by the first RunDue at or after the time due. The returned timer can
// be used to stop it.
func (q *Queue) Add(due time.Duration, run func()) *Timer {
	q.lastSeq++
	t := &Timer{due: due, seq: q.lastSeq, run: run, queue: q}
	q.tree.ReplaceOrInsert(t)
	return t
}

// Stop removes the timer from its queue. Stopping a nil timer, or one that has run or was
// stopped, does nothing.
func (t *Timer) Stop() {
	if t == nil || t.queue == nil {
		return
	}
	t.queue.tree.Delete(t)
	t.release()
}

// release drops the references to the queue and the function, so that a caller that keeps the timer
// does not keep them in memory.
func (t *Timer) release() {
	t.queue = nil
	t.run = nil
}

// RunDue runs all timers that are due at the time now. Timers added during the call wait for the
// next one even if they are due already: otherwise a timer that adds itself again could block the
// event loop forever.
func (q *Queue) RunDue(now time.Duration) {
	lastBefore := q.lastSeq
	var deferred []*Timer
	for {
		t, ok := q.tree.Min()
		if !ok || t.due > now {
			break
		}
		q.tree.DeleteMin()
		if t.seq > lastBefore {
			deferred = append(deferred, t)
			continue
		}
		run := t.run
		t.release()
		run()
	}
	for _, t := range deferred {
		stopped := t.queue == nil
		if !stopped {
			q.tree.ReplaceOrInsert(t)
		}
	}
}

// Shift makes all timers due later by the duration, or earlier if it is negative.
func (q *Queue) Shift(by time.Duration) {
	q.tree.Ascend(func(t *Timer) bool { // the order of the timers stays
		t.due += by
		return true
	})
}

// Next returns the due time of the earliest timer. ok is false if the queue is empty.
func (q *Queue) Next() (due time.Duration, ok bool) {
	t, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return t.due, true
}

// Len returns the number of timers.
func (q *Queue) Len() int { return q.tree.Len() }
